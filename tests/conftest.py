"""Starts the slowest tests first, so that all workers of a parallel run end together."""

from __future__ import annotations

import pytest

USUAL_SECONDS = 1.0
"""What a test without a mark is taken to need."""


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line(
        "markers", "slow(seconds): about how long one row of a slow test takes; orders a run"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    workers = getattr(config, "workerinput", {}).get("workercount", 1)
    if workers > 1:
        items[:] = spread_over_workers(items, workers)


def seconds_of(item: pytest.Item) -> float:
    mark = item.get_closest_marker("slow")
    return USUAL_SECONDS if mark is None else float(mark.args[0])


def spread_over_workers(items: list[pytest.Item], workers: int) -> list[pytest.Item]:
    """Longest first within equal work for each worker.

    The ``worksteal`` scheduler gives each worker one stretch of the list, and one without work
    takes over the end of another's. It never takes the test that comes right after a running
    one, so a slow test must not be among the last of a stretch.
    """
    sizes = [(len(items) + number) // workers for number in range(workers)]
    stretches: list[list[pytest.Item]] = [[] for _ in range(workers)]
    work = [0.0] * workers
    for item in sorted(items, key=seconds_of, reverse=True):
        with_room = [number for number in range(workers) if len(stretches[number]) < sizes[number]]
        least = min(with_room, key=lambda number: work[number])
        stretches[least].append(item)
        work[least] += seconds_of(item)
    return [item for stretch in stretches for item in stretch]
