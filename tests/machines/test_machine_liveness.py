"""Machine liveness and health: silent machines and zones, and slow machines."""

from __future__ import annotations

from appleshift.contracts.actions import (
    DeleteMachines,
    ProbeMachine,
)
from appleshift.state.cluster_state import UP
from tests.support.builders import machine as machine_of
from tests.support.builders import submission
from tests.support.deployments import LEASE_S
from tests.support.scheduler_bench import Bench, history


def test_machine_health_distinguishes_slow_machine_from_long_tasks() -> None:
    bench = Bench(history())
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    slow, good = cluster.machine("m"), cluster.add_machine("g", "large", "a", False)
    assert slow is not None
    assert good is not None
    for number in range(1, 9):
        job = cluster.add_job(number, submission(id=f"job-{number:06d}"), 0.0)
        # Long work is long everywhere; on the slow machine it is three times as long.
        for _ in range(5):
            fleet.health.task_ran(good, job, 10.0 * number)
        fleet.health.task_ran(slow, job, 30.0 * number)
    assert slow.quarantined
    assert not good.quarantined


def two_zones() -> tuple[Bench, dict[str, list[str]]]:
    """Six machines that are up in each of two zones."""
    bench = Bench(history())
    cluster = bench.scheduler.cluster
    names = {"a": [f"a{n}" for n in range(6)], "b": [f"b{n}" for n in range(6)]}
    for zone, some in names.items():
        for name in some:
            made = cluster.add_machine(name, "small", zone, False)
            assert made is not None
            made.status, made.agent_epoch, made.addr = UP, 1, "10.1.0.9:9000"
            made.lease_until = bench.now + LEASE_S
    return bench, names


def pass_by(bench: Bench, seconds: float, heard: list[str]) -> set[str]:
    """Only these machines are heard, no other answers; returns who is deleted."""
    deleted: set[str] = set()
    for _ in range(int(seconds / 0.5)):
        for name in heard:
            heard_one = machine_of(bench.scheduler.cluster, name)
            heard_one.last_heard = bench.now
            bench.scheduler.liveness.command_result(heard_one, True)
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            elif isinstance(action, DeleteMachines):
                deleted.update(action.machines)
    return deleted


def test_machine_liveness_unreachable_zone_keeps_its_machines() -> None:
    bench, names = two_zones()
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    replica = cluster.add_job(50, submission(id="job-000050", shape="daemon", spot=False), 0.0)
    cluster.assign(replica, 0, 1, cluster.machine("a0"), 1)  # type: ignore[arg-type]
    # Spread over both zones: the replica in this one may not start in the other.
    bound = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, bound, 0.0)
    cluster.assign(spread, 0, 1, cluster.machine("a1"), 1)  # type: ignore[arg-type]
    cluster.assign(spread, 1, 1, cluster.machine("b0"), 1)  # type: ignore[arg-type]
    deleted = pass_by(bench, 20.0, names["b"])
    assert list(fleet.health.unreachable_zones) == [cluster.zones.get("a")]
    # The replica's machine goes, which proves it gone; the others come back.
    assert deleted & set(names["a"]) == {"a0"}
    assert not fleet.may_rent(0, cluster.zones.get("a"), False)
    for name in names["a"][1:]:
        machine_of(cluster, name).last_heard = bench.now
        bench.scheduler.liveness.command_result(machine_of(cluster, name), True)
    bench.step(0.5)
    assert not fleet.health.unreachable_zones


def test_machine_liveness_zone_reachable_again_restarts_timeout_of_silent_machine() -> None:
    """Once 41 machines were deleted in the second in which their zone came back."""
    bench, names = two_zones()
    cluster, health = bench.scheduler.cluster, bench.scheduler.fleet.health
    bound = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, bound, 0.0)
    for number, name in enumerate((names["a"][0], names["b"][0])):
        cluster.assign(spread, number, 1, cluster.machine(name), 1)  # type: ignore[arg-type]
    deleted = pass_by(bench, LEASE_S - 1.0, names["b"])
    assert health.unreachable_zones
    deleted |= pass_by(bench, 1.5, names["b"] + names["a"][1:])
    assert not health.unreachable_zones
    assert not deleted
    deleted |= pass_by(bench, 15.0, names["b"] + names["a"][1:])
    assert deleted - {"m"} == {names["a"][0]}, "silent for long after the others: it is lost"


def test_machine_liveness_all_machines_silent_deletes_none() -> None:
    bench = Bench(history())
    for number in range(6):
        made = bench.scheduler.cluster.add_machine(f"x{number}", "small", "ab"[number % 2], False)
        assert made is not None
        made.status, made.agent_epoch, made.addr = UP, 1, "10.1.0.9:9000"
    for _ in range(60):
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            assert not isinstance(action, DeleteMachines)
