"""Tests of machine liveness and health: silent machines, unreachable zones, slow machines."""

from __future__ import annotations

from appleshift.contracts.actions import (
    DeleteMachines,
    ProbeMachine,
)
from appleshift.state.states import UP
from tests.support.builders import machine as machine_of
from tests.support.builders import submission
from tests.support.deployments import LEASE_S
from tests.support.scheduler_bench import SchedulerHarness, initial_records


def test_machine_health_distinguishes_slow_machine_from_long_tasks() -> None:
    bench = SchedulerHarness(initial_records())
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    slow, normal = cluster.machine("m"), cluster.add_machine("g", "large", "a", False)
    assert slow is not None
    assert normal is not None
    for number in range(1, 9):
        job = cluster.add_job(number, submission(id=f"job-{number:06d}"), 0.0)
        # Each job's tasks have another duration, and take three times as long on ``slow``.
        for _ in range(5):
            fleet.health.task_completed(normal, job, 10.0 * number)
        fleet.health.task_completed(slow, job, 30.0 * number)
    assert slow.quarantined
    assert not normal.quarantined


def bench_with_two_zones() -> tuple[SchedulerHarness, dict[str, list[str]]]:
    """Create a bench with six machines that are up in each of two zones; return their names."""
    bench = SchedulerHarness(initial_records())
    cluster = bench.scheduler.cluster
    names_by_zone = {"a": [f"a{n}" for n in range(6)], "b": [f"b{n}" for n in range(6)]}
    for zone, names in names_by_zone.items():
        for name in names:
            machine = cluster.add_machine(name, "small", zone, False)
            assert machine is not None
            machine.status, machine.agent_epoch, machine.addr = UP, 1, "10.1.0.9:9000"
            machine.lease_until = bench.now + LEASE_S
    return bench, names_by_zone


def run_with_reachable(bench: SchedulerHarness, seconds: float, reachable: list[str]) -> set[str]:
    """Run while only some machines are reachable; return the names of deleted machines."""
    deleted: set[str] = set()
    for _ in range(int(seconds / 0.5)):
        for name in reachable:
            reachable_machine = machine_of(bench.scheduler.cluster, name)
            reachable_machine.last_contact_at = bench.now
            bench.scheduler.liveness.record_command_result(reachable_machine, True)
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            elif isinstance(action, DeleteMachines):
                deleted.update(action.machines)
    return deleted


def test_machine_liveness_unreachable_zone_keeps_its_machines() -> None:
    bench, names_by_zone = bench_with_two_zones()
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    replica = cluster.add_job(50, submission(id="job-000050", shape="daemon", spot=False), 0.0)
    cluster.assign(replica, 0, 1, cluster.machine("a0"), 1)  # type: ignore[arg-type]
    # The two replicas are spread over both zones, so neither may start in the other zone.
    spread_spec = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, spread_spec, 0.0)
    cluster.assign(spread, 0, 1, cluster.machine("a1"), 1)  # type: ignore[arg-type]
    cluster.assign(spread, 1, 1, cluster.machine("b0"), 1)  # type: ignore[arg-type]
    deleted = run_with_reachable(bench, 20.0, names_by_zone["b"])
    assert list(fleet.health.unreachable_zones) == [cluster.zones.get("a")]
    # a0 is deleted, because its replica can start in zone b; the other machines are kept.
    assert deleted & set(names_by_zone["a"]) == {"a0"}
    assert not fleet.may_rent(0, cluster.zones.get("a"), False)
    for name in names_by_zone["a"][1:]:
        machine_of(cluster, name).last_contact_at = bench.now
        bench.scheduler.liveness.record_command_result(machine_of(cluster, name), True)
    bench.step(0.5)
    assert not fleet.health.unreachable_zones


def test_machine_liveness_zone_reachable_again_restarts_timeout_of_silent_machine() -> None:
    """Guards against deleting silent machines as soon as their zone is reachable again.

    41 machines were once deleted in the second in which their zone came back.
    """
    bench, names_by_zone = bench_with_two_zones()
    cluster, health = bench.scheduler.cluster, bench.scheduler.fleet.health
    spread_spec = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, spread_spec, 0.0)
    for number, name in enumerate((names_by_zone["a"][0], names_by_zone["b"][0])):
        cluster.assign(spread, number, 1, cluster.machine(name), 1)  # type: ignore[arg-type]
    deleted = run_with_reachable(bench, LEASE_S - 1.0, names_by_zone["b"])
    assert health.unreachable_zones
    deleted |= run_with_reachable(bench, 1.5, names_by_zone["b"] + names_by_zone["a"][1:])
    assert not health.unreachable_zones
    assert not deleted
    deleted |= run_with_reachable(bench, 15.0, names_by_zone["b"] + names_by_zone["a"][1:])
    assert deleted - {"m"} == {names_by_zone["a"][0]}, (
        "the machine stays silent after its zone is reachable again"
    )


def test_machine_liveness_all_machines_silent_deletes_none() -> None:
    bench = SchedulerHarness(initial_records())
    for number in range(6):
        machine = bench.scheduler.cluster.add_machine(
            f"x{number}", "small", "ab"[number % 2], False
        )
        assert machine is not None
        machine.status, machine.agent_epoch, machine.addr = UP, 1, "10.1.0.9:9000"
    for _ in range(60):
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            assert not isinstance(action, DeleteMachines)
