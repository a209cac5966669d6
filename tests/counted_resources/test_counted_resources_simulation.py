"""Simulated days with counted resources: no unit is used twice, whatever fails."""

from __future__ import annotations

from typing import Any

import pytest

from appleshift.protocol.counted_resources import (
    CountedResourceDefinition,
    CountedResourceRules,
    LicenseServer,
    TeamAllotment,
)
from appleshift.protocol.operator import OperatorSettings
from appleshift.scheduler.scheduler import Scheduler
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import TaskRun
from tests.support.fault_injection import end_faults, inject_faults
from tests.support.license_server import FakeLicenseServer
from tests.support.simulated_world import LICENCES, World

TOTALS = {"plain": 5, "served": 6}
OPERATOR = OperatorSettings(
    snapshot_kb=16,
    silent_s=4.0,
    seats=(
        CountedResourceDefinition(
            "plain", 5, (TeamAllotment("red", 4, 2), TeamAllotment("blue", 0, 2))
        ),
        CountedResourceDefinition(
            "served", 6, (), LicenseServer(LICENCES, ask_s=1.0, silent_s=12.0)
        ),
    ),
    seat_rules=CountedResourceRules(starve_s=10.0),
)


def create_world(seed: int, operator: OperatorSettings = OPERATOR) -> World:
    world = World(seed, operator)
    world.invariants.unit_totals = TOTALS
    # Longer than any outage of all nodes, so that a started task can check out its units.
    world.licences = FakeLicenseServer(world.sim, {"served": 6}, ttl_s=90.0)
    return world


def submit_jobs(world: World, jobs: int, until: float) -> None:
    for _ in range(jobs):
        seats: dict[str, Any] = {}
        for name, total in TOTALS.items():
            if world.rng.random() < 0.6:
                seats[name] = world.rng.randint(1, 2 if total > 4 else 1)
        # Small jobs without GPUs, so that only counted resources are scarce.
        changes: dict[str, Any] = {
            "seats": seats, "pieces": world.rng.randint(1, 3), "cards": 0.0, "vcpus": 1.0,
            "rig_kinds": None,
        }  # fmt: skip
        if world.rng.random() < 0.5:
            # The task saves a checkpoint when stopped, and holds its units meanwhile.
            changes |= {"snapshot_every_s": 5.0, "snapshot_cost_s": 3.0}
        world.sim.after(
            world.rng.uniform(0.0, until), lambda changes=changes: world.submit(**changes)
        )


def schedule_other_accounts(world: World, until: float) -> None:
    """Other accounts check out units at random times and return them later."""
    assert world.licences is not None
    pool = world.licences.pools["served"]

    def take() -> None:
        assert world.licences is not None
        taken = world.licences.take_for_others("served", world.rng.randint(1, 3))
        world.sim.after(world.rng.uniform(3.0, 20.0), lambda: give_back(taken))

    def give_back(count: int) -> None:
        pool.others -= count

    at = 5.0
    while at < until:
        world.sim.after(at, take)
        at += world.rng.uniform(4.0, 15.0)


def end_services(world: World, at: float) -> None:
    """Cancel all services at time ``at``: they would never free their units."""

    def cancel() -> None:
        for job_id, seen in world.invariants.jobs.items():
            if seen.spec["shape"] == "daemon" and seen.accepted and seen.reported_state is None:
                world._user(job_id, "cancel")

    world.sim.after(at, cancel)
    world.sim.after(at + 30.0, cancel)


def unfinished_jobs(world: World) -> list[str]:
    """Return the accepted jobs, other than services, that have not ended."""
    return [
        job_id
        for job_id, job in world.invariants.jobs.items()
        if job.spec["shape"] != "daemon" and job.accepted and job.reported_state is None
    ]


def run_day(seed: int, operator: OperatorSettings = OPERATOR) -> World:
    world = create_world(seed, operator)
    try:
        submit_jobs(world, 30, 70.0)
        schedule_other_accounts(world, 90.0)
        inject_faults(world, 90.0, 8.0)
        assert world.licences is not None
        for at in (30.0, 60.0):
            world.sim.after(at, lambda: setattr(world.licences, "unavailable", True))
            world.sim.after(at + 14.0, lambda: setattr(world.licences, "unavailable", False))
        world.sim.after(100.0, lambda: end_faults(world))
        end_services(world, 105.0)
        world.run(260.0)
    finally:
        world.close()
    return world


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.slow(60)
def test_counted_resource_under_random_faults_is_never_used_twice(seed: int) -> None:
    world = run_day(seed)
    assert world.licences is not None
    assert world.licences.over_issued == []
    assert world.licences.refused_check_outs == []
    assert world.invariants.starts > 20
    assert unfinished_jobs(world) == []
    assert world.licences.max_used >= 4, "the jobs contended for the server's units"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("path", ["/txn", "/do", "/v1/seats"])
@pytest.mark.slow(50)
def test_leader_paused_across_grant_grants_nothing_twice(path: str, seed: int) -> None:
    """A leader is paused after its lease check and before it sends a request.

    The request is the commit of an assignment, the start of a task or a license heartbeat.
    """
    world = create_world(seed)
    try:
        submit_jobs(world, 25, 60.0)
        schedule_other_accounts(world, 80.0)
        paused_nodes: list[str] = []

        def arm_pauses() -> None:
            for host in world.leaders():
                world.freeze_before_request[host.name] = (path, world.rng.uniform(2.0, 20.0))
                paused_nodes.append(host.name)

        for at in (12.0, 25.0, 45.0, 60.0):
            world.sim.after(at, arm_pauses)
        end_services(world, 90.0)
        world.run(220.0)
        assert len(paused_nodes) >= 3
        assert world.licences is not None
        assert world.licences.over_issued == []
        assert world.licences.refused_check_outs == []
        assert unfinished_jobs(world) == []
    finally:
        world.close()


def release_at_kill_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plant a defect: units are freed when a task is told to stop, before it is gone."""
    original_stop, original_free = Scheduler.stop_run, ClusterState.free
    # The runs themselves: the id of a run that was collected may be another run's.
    freed_early: set[TaskRun] = set()

    def stop_and_free(self: Scheduler, run: TaskRun, grace_s: float, reason: str) -> None:
        counted = self.cluster.counted_resources
        if counted is not None and run.job.counted_needs and run not in freed_early:
            freed_early.add(run)
            counted.on_freed(run)
        original_stop(self, run, grace_s, reason)

    def free_once(self: ClusterState, run: TaskRun) -> None:
        if (
            run in freed_early
            and run.job.runs.get(run.task) is run
            and self.counted_resources is not None
        ):
            self.counted_resources.on_assigned(run)
        original_free(self, run)

    monkeypatch.setattr(Scheduler, "stop_run", stop_and_free)
    monkeypatch.setattr(ClusterState, "free", free_once)


def test_planted_release_at_kill_command_is_detected_by_simulated_days(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    release_at_kill_order(monkeypatch)
    detected = 0
    for seed in range(4):
        try:
            world = run_day(seed)
            assert world.licences is not None
            detected += bool(world.licences.refused_check_outs)
        except AssertionError as error:
            detected += "seats at" in str(error)
    assert detected >= 2
