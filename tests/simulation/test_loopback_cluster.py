"""Runs three real node processes on loopback and kills and restarts them."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.loopback_cluster import LoopbackCluster


@pytest.fixture
def loopback(tmp_path: Path) -> Iterator[LoopbackCluster]:
    cluster = LoopbackCluster(tmp_path)
    yield cluster
    cluster.close()


def test_loopback_cluster_kills_and_restart_keep_invariants(loopback: LoopbackCluster) -> None:
    first = loopback.submit(1)
    service = loopback.submit(2, shape="daemon", pieces=2)
    loopback.request_until(first, "poll", "done")
    loopback.request_until(service, "poll", "running")
    killed = loopback.leader()
    loopback.processes[killed].kill()
    loopback.processes[killed].wait()
    second = loopback.submit(3)
    loopback.request_until(second, "poll", "done")
    loopback.request_until(first, "submit", "done")
    loopback.request_until(service, "poll", "running")
    loopback.launch(killed)
    for name in loopback.names:
        if name != killed:
            loopback.processes[name].kill()
            loopback.processes[name].wait()
    loopback.request_until(second, "poll", "done")
    loopback.request_until(service, "cancel", "aborted")
    loopback.request_until(service, "submit", "aborted")
    # SIGTERM makes the node release its leadership and exit with code 0.
    loopback.processes[killed].terminate()
    assert loopback.processes[killed].wait(20.0) == 0
    assert not any(row[2] for row in loopback.store.rows.values())
    assert not loopback.invariants.violations


@pytest.mark.slow(60)
def test_loopback_cluster_fifty_instant_restarts_keep_invariants(
    loopback: LoopbackCluster,
) -> None:
    """Kills nodes also during startup, and starts some while the old process still runs."""
    service = loopback.submit(1, shape="daemon", pieces=2)
    arrays = []
    loopback.request_until(service, "poll", "running")
    for number in range(50):
        killed = loopback.names[number % 3] if number % 5 else loopback.leader()
        old_process = loopback.processes[killed]
        if number % 7 == 0:
            # The old process still has the ports: the new one waits for them.
            loopback.launch(killed)
            time.sleep(0.3)
            assert loopback.processes[killed].poll() is None
        old_process.kill()
        old_process.wait()
        if number % 7:
            loopback.launch(killed)
        if number % 10 == 0:
            arrays.append(loopback.submit(100 + number, pieces=12, vcpus=0.2))
        time.sleep(loopback.clock.rng.uniform(0.02, 0.5))
    for job in arrays:
        loopback.request_until(job, "poll", "done")
        assert len(loopback.invariants.jobs[job].done) == 12
    loopback.request_until(service, "poll", "running")
    loopback.request_until(service, "cancel", "aborted")
    # No process exited by itself, and each node responds on its port.
    assert [process.poll() for process in loopback.processes.values()] == [None] * 3
    for name in loopback.names:
        loopback.wait_until_reachable(name)
    assert not loopback.invariants.violations


def test_loopback_cluster_shard_owners_killed_in_turn_lose_nothing(tmp_path: Path) -> None:
    """Three nodes, three shards; task states are checked through the user API alone."""
    loopback = LoopbackCluster(tmp_path, operator="shares: 3\n")
    try:
        services = [loopback.submit(n, shape="daemon", pieces=2, vcpus=0.5) for n in (1, 2, 3)]
        for shard in range(3):
            array = loopback.submit(10 + shard, pieces=60, vcpus=0.1, ram_gb=0.1)
            killed = loopback.shard_leader(shard)
            loopback.processes[killed].kill()
            loopback.processes[killed].wait()
            loopback.request_until(loopback.submit(20 + shard), "poll", "done")
            loopback.launch(killed)
            loopback.request_until(array, "poll", "done")
        for service in services:
            loopback.request_until(service, "poll", "running")
            loopback.request_until(service, "cancel", "aborted")
        for number in (10, 11, 12, 20, 21, 22):
            loopback.request_until(f"job-{number:06d}", "submit", "done")
            assert len(loopback.invariants.jobs[f"job-{number:06d}"].done) == (
                60 if number < 20 else 4
            )
        assert {loopback.shard_leader(shard) for shard in range(3)} <= set(loopback.names)
        assert not loopback.invariants.violations
    finally:
        loopback.close()
