"""Registers the list of known failures, and sets the order of tests in a parallel run.

The order lets all pytest workers finish at about the same time.
"""

from __future__ import annotations

import pytest

from tests.support.known_failures import KnownFailuresPlugin

pytest_plugins = ["pytester"]

DEFAULT_TEST_DURATION_S = 1.0
"""Assumed duration of a test without a ``slow`` mark."""


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line(
        "markers",
        "slow(seconds): approximate duration of a slow test per parameter set",
    )
    config.pluginmanager.register(KnownFailuresPlugin(config.rootpath))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    workers = getattr(config, "workerinput", {}).get("workercount", 1)
    if workers > 1:
        items[:] = order_for_workers(items, workers)


def expected_duration_s(item: pytest.Item) -> float:
    mark = item.get_closest_marker("slow")
    return DEFAULT_TEST_DURATION_S if mark is None else float(mark.args[0])


def order_for_workers(items: list[pytest.Item], workers: int) -> list[pytest.Item]:
    """Gives each pytest worker about the same total duration, with its longest tests first.

    The ``worksteal`` scheduler assigns each worker one contiguous chunk of the list; an idle
    worker steals tests from the end of another worker's chunk. It never steals the test that
    follows a running one, so a slow test must not be among the last of a chunk.
    """
    sizes = [(len(items) + number) // workers for number in range(workers)]
    chunks: list[list[pytest.Item]] = [[] for _ in range(workers)]
    assigned_s = [0.0] * workers
    for item in sorted(items, key=expected_duration_s, reverse=True):
        not_full = [number for number in range(workers) if len(chunks[number]) < sizes[number]]
        least_loaded = min(not_full, key=lambda number: assigned_s[number])
        chunks[least_loaded].append(item)
        assigned_s[least_loaded] += expected_duration_s(item)
    return [item for chunk in chunks for item in chunk]
