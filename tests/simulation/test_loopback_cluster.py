"""Three real processes on loopback, through kills and a restart."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.loopback_cluster import LoopbackCluster


@pytest.fixture
def loopback(tmp_path: Path) -> Iterator[LoopbackCluster]:
    made = LoopbackCluster(tmp_path)
    yield made
    made.close()


def test_loopback_cluster_kills_and_restart_keep_invariants(loopback: LoopbackCluster) -> None:
    first = loopback.submit(1)
    service = loopback.submit(2, shape="daemon", pieces=2)
    loopback.request_until(first, "poll", "done")
    loopback.request_until(service, "poll", "running")
    victim = loopback.leader()
    loopback.processes[victim].kill()
    loopback.processes[victim].wait()
    second = loopback.submit(3)
    loopback.request_until(second, "poll", "done")
    loopback.request_until(first, "submit", "done")
    loopback.request_until(service, "poll", "running")
    loopback.launch(victim)
    for name in loopback.names:
        if name != victim:
            loopback.processes[name].kill()
            loopback.processes[name].wait()
    loopback.request_until(second, "poll", "done")
    loopback.request_until(service, "cancel", "aborted")
    loopback.request_until(service, "submit", "aborted")
    # An orderly end gives leadership up and exits cleanly.
    loopback.processes[victim].terminate()
    assert loopback.processes[victim].wait(20.0) == 0
    assert not any(row[2] for row in loopback.store.rows.values())
    assert not loopback.invariants.violations


@pytest.mark.slow(60)
def test_loopback_cluster_fifty_instant_restarts_keep_invariants(
    loopback: LoopbackCluster,
) -> None:
    """In their first states too, and now and then beside one that has not ended yet."""
    service = loopback.submit(1, shape="daemon", pieces=2)
    arrays = []
    loopback.request_until(service, "poll", "running")
    for number in range(50):
        victim = loopback.names[number % 3] if number % 5 else loopback.leader()
        ending = loopback.processes[victim]
        if number % 7 == 0:
            # Its addresses are still taken: it waits for them.
            loopback.launch(victim)
            time.sleep(0.3)
            assert loopback.processes[victim].poll() is None
        ending.kill()
        ending.wait()
        if number % 7:
            loopback.launch(victim)
        if number % 10 == 0:
            arrays.append(loopback.submit(100 + number, pieces=12, vcpus=0.2))
        time.sleep(loopback.clock.rng.uniform(0.02, 0.5))
    for job in arrays:
        loopback.request_until(job, "poll", "done")
        assert len(loopback.invariants.jobs[job].done) == 12
    loopback.request_until(service, "poll", "running")
    loopback.request_until(service, "cancel", "aborted")
    # None ended by itself, and each has its port.
    assert [process.poll() for process in loopback.processes.values()] == [None] * 3
    for name in loopback.names:
        loopback.wait_until_reachable(name)
    assert not loopback.invariants.violations


def test_loopback_cluster_shard_owners_killed_in_turn_lose_nothing(tmp_path: Path) -> None:
    """Three processes, three shares; every task is looked at from outside."""
    loopback = LoopbackCluster(tmp_path, operator="shares: 3\n")
    try:
        services = [loopback.submit(n, shape="daemon", pieces=2, vcpus=0.5) for n in (1, 2, 3)]
        for share in range(3):
            array = loopback.submit(10 + share, pieces=60, vcpus=0.1, ram_gb=0.1)
            victim = loopback.shard_leader(share)
            loopback.processes[victim].kill()
            loopback.processes[victim].wait()
            loopback.request_until(loopback.submit(20 + share), "poll", "done")
            loopback.launch(victim)
            loopback.request_until(array, "poll", "done")
        for service in services:
            loopback.request_until(service, "poll", "running")
            loopback.request_until(service, "cancel", "aborted")
        for number in (10, 11, 12, 20, 21, 22):
            loopback.request_until(f"job-{number:06d}", "submit", "done")
            assert len(loopback.invariants.jobs[f"job-{number:06d}"].done) == (
                60 if number < 20 else 4
            )
        assert {loopback.shard_leader(share) for share in range(3)} <= set(loopback.names)
        assert not loopback.invariants.violations
    finally:
        loopback.close()
