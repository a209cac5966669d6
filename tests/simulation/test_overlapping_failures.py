"""Overlapping failures: each pair of docs/meetings.md, and simulated days with many of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from appleshift.contracts.actions import DeleteMachines, ProbeMachine, Reply
from appleshift.machines.liveness import MachineLiveness
from appleshift.protocol.workers import Heartbeat, TaskStatus
from appleshift.scheduler.reconciliation import HeartbeatReconciler
from appleshift.state.entities import Machine
from tests.support.builders import machine as machine_of
from tests.support.deployments import CANCEL_S, LARGE, LEASE_S, SMALL, Site
from tests.support.fault_injection import (
    cancel_now,
    end_faults,
    isolated_leader,
    late_commands,
    late_reports,
    late_writes,
    slow_responses,
)
from tests.support.overlapping_failures import (
    RunResult,
    check_single_leader,
    nodes_entitled_to_answer,
    play,
    unfinished,
)
from tests.support.planted_tokens import clear_under_the_token_of_the_start
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.simulated_world import ON_DEMAND_CPU_JOB, World
from tests.support.tokens import EARLIER_TOKEN, TOKEN


def world_without_random_faults(seed: int, site: Site = SMALL) -> World:
    world = World(seed, site=site)
    check_single_leader(world)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    return world


def play_days(seeds: range) -> Counter[str]:
    """Counts of the faults that occurred on these days; no day may violate an invariant."""
    days: list[RunResult] = [play(seed) for seed in seeds]
    assert [(day.seed, day.broken) for day in days if day.broken] == []
    assert min(day.starts for day in days) > 20
    return sum((day.event_counts for day in days), Counter())


@pytest.mark.parametrize("first", [8000, 8010, 8020, 8030])
@pytest.mark.slow(180)
def test_simulated_day_with_overlapping_faults_keeps_invariants(first: int) -> None:
    fault_counts = play_days(range(first, first + 3))
    for name in (
        "copy of a report", "answer lost to a machine", "command lost to a machine",
        "store refuses the leader, then all",
        "slow answer of the state service", "isolated leader", "back at once", "standing still",
    ):  # fmt: skip
        assert fault_counts[name], f"{name} did not occur"


@pytest.mark.slow(60)
def test_simulated_day_with_slow_responses_keeps_invariants() -> None:
    day = play(8060, faults=(slow_responses, slow_responses, late_commands, cancel_now))
    assert day.broken == ""
    assert day.event_counts["slow response to a heartbeat"] > 50
    assert day.event_counts["command held up"]


# -- 1: old heartbeats after newer ones ---------------------------------------------------------


def heartbeat(
    seq: int, *tasks: TaskStatus, name: str = "m", session: int = 1, token: int = TOKEN
) -> Heartbeat:
    return Heartbeat(name, "10.1.0.1:9000", "large", "a", False, session, seq, token, [*tasks])


def receive_heartbeat(bench: SchedulerHarness, report: Heartbeat) -> list[Any]:
    bench.scheduler.now = bench.now
    bench.scheduler.heartbeat_received(report, "slot")
    return bench.scheduler.take_actions()


def commands_in_response(actions: list[Any]) -> list[Any]:
    return next(action.body["orders"] for action in actions if isinstance(action, Reply))


RUNNING = TaskStatus("job-000000/0", 1, "running")


def test_duplicate_heartbeat_renews_nothing_but_still_gets_kill_commands() -> None:
    bench = SchedulerHarness(initial_records())
    # Sent before the worker received its task and before it received this leader's token.
    receive_heartbeat(bench, heartbeat(1, token=EARLIER_TOKEN))
    receive_heartbeat(bench, heartbeat(2, RUNNING))
    machine = machine_of(bench.scheduler.cluster, "m")
    lease_until, last_contact_at = machine.lease_until, machine.last_contact_at
    bench.now += 3.0
    duplicate_actions = receive_heartbeat(bench, heartbeat(1, token=EARLIER_TOKEN))
    assert [run.name for run in machine.runs.values()] == [RUNNING.task]
    assert (machine.lease_until, machine.last_contact_at) == (lease_until, last_contact_at)
    assert commands_in_response(duplicate_actions) == []
    bench.scheduler.stop_job(bench.scheduler.cluster.jobs[0])
    kill_commands = commands_in_response(receive_heartbeat(bench, heartbeat(2, RUNNING)))
    assert [(order["verb"], order["piece"]) for order in kill_commands] == [("kill", RUNNING.task)]
    # The response may have been lost, so the kill command is also sent directly.
    assert len(bench.scheduler.commands)
    assert machine.lease_until == lease_until


def test_duplicate_heartbeat_of_earlier_agent_epoch_changes_nothing() -> None:
    bench = SchedulerHarness(initial_records())
    receive_heartbeat(bench, heartbeat(1))
    receive_heartbeat(bench, heartbeat(2, RUNNING, session=2))
    machine = machine_of(bench.scheduler.cluster, "m")
    before = (machine.lease_until, machine.agent_epoch, list(machine.runs))
    bench.now += 2.0
    replies = receive_heartbeat(bench, heartbeat(9))
    assert [reply.status for reply in replies if isinstance(reply, Reply)] == [503]
    assert (machine.lease_until, machine.agent_epoch, list(machine.runs)) == before


def test_new_agent_epoch_first_seen_by_probe_gets_its_lease_counted() -> None:
    """A new agent may restart its sequence numbers: its heartbeats are no duplicates."""
    bench = SchedulerHarness(initial_records())
    receive_heartbeat(bench, heartbeat(500))
    bench.now += 1.0
    bench.scheduler.now = bench.now
    bench.scheduler.probe_answered("m", heartbeat(2, session=2))
    bench.now += 1.0
    receive_heartbeat(bench, heartbeat(3, session=2))
    machine = machine_of(bench.scheduler.cluster, "m")
    assert machine.lease_until == bench.now + bench.scheduler.worker_lease_s


def deleted_machine_heartbeat(
    bench: SchedulerHarness, seconds: float
) -> tuple[Machine, bool, bool]:
    """Gives a new leader a duplicate heartbeat of a deleted machine.

    Returns the machine, whether it was ever schedulable and whether its deletion was requested.
    """
    receive_heartbeat(bench, heartbeat(40, name="x"))
    machine = machine_of(bench.scheduler.cluster, "x")
    usable = machine.schedulable()
    for _ in range(int(seconds / 0.5)):
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            elif isinstance(action, DeleteMachines):
                bench.scheduler.deletion_answered(action.machines, True)
            usable = usable or machine.schedulable()
        receive_heartbeat(bench, heartbeat(100 + int(bench.now * 10), name="m"))
    return machine, usable, machine.deletion_requested


def test_duplicate_heartbeat_of_deleted_machine_adds_no_usable_machine() -> None:
    _, usable, deletion_requested = deleted_machine_heartbeat(
        SchedulerHarness(initial_records()), 2 * LEASE_S
    )
    assert not usable
    assert deletion_requested


def test_planted_trust_in_every_heartbeat_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: every heartbeat, even a duplicate, proves that the machine is reachable."""
    monkeypatch.setattr(MachineLiveness, "record_heartbeat", lambda self, machine, report: True)
    assert deleted_machine_heartbeat(SchedulerHarness(initial_records()), 2.0)[1]
    with pytest.raises(AssertionError):
        test_duplicate_heartbeat_renews_nothing_but_still_gets_kill_commands()


# -- 2: jobs of two or three tasks that end far apart, across leader changes --------------------


@pytest.mark.parametrize("shape", ["array", "ensemble"])
def test_job_done_through_failovers_is_reported_only_after_all_tasks_ended(shape: str) -> None:
    world = world_without_random_faults(8100)
    try:
        jobs = [
            world.submit(**ON_DEMAND_CPU_JOB, shape=shape, pieces=2 + number % 2)
            for number in range(6)
        ]
        for job in jobs:
            world.invariants.jobs[job].tried_cancel = False
            world.run_times[job] = 6.0
        # The last task of a job runs many times as long as its first, so they end far apart.
        world.run_time = lambda piece: 2.0 + 14.0 * int(piece.split("/")[1])  # type: ignore[method-assign]
        terms = set()
        for at in range(14, 70, 4):
            world.run(float(at))
            terms |= {host.node.lease.fencing_token for host in world.leaders() if host.node}
            for host in world.leaders():
                host.crash(0.2)
        world.run(140.0)
        assert len(terms) >= 10
        reported_states = {world.invariants.jobs[job].reported_state for job in jobs}
        assert reported_states <= {"done", "aborted"}
        assert "done" in reported_states
    finally:
        world.close()


# -- 3: a leader cut off from store and peers, still reached by workers and users ---------------


@pytest.mark.parametrize("site", [SMALL, LARGE])
def test_isolated_leader_steps_down_and_successor_leads_within_seconds(site: Site) -> None:
    world = world_without_random_faults(8200, site)
    try:
        jobs = [world.submit(**ON_DEMAND_CPU_JOB, shape="array", pieces=3) for _ in range(6)]
        for job in jobs:
            world.run_times[job] = 300.0
        world.run(30.0)
        old = world.leaders()[0]
        isolated_leader(world)
        for job in jobs:
            world.sim.after(world.rng.uniform(0.5, 4.0), lambda job=job: world._user(job, "cancel"))
        world.run(32.0)
        assert old.name not in nodes_entitled_to_answer(world)
        world.run(34.0)
        assert nodes_entitled_to_answer(world) not in ([], [old.name])
        world.run(40.0)
        assert [job for job in jobs if world.invariants.jobs[job].confirmed_at is not None]
        end_faults(world)
        world.run(30.0 + CANCEL_S + 20.0)
        assert not any(any(world.invariants.jobs[job].machines_by_task.values()) for job in jobs)
        assert world.invariants.max_end_after_cancel_s < LEASE_S + 0.5
        assert world.event_counts["isolated leader"]
    finally:
        world.close()


# -- 4: a slow store that refuses one node, then all; see also test_store_isolation.py ----------


@pytest.mark.parametrize("seed", range(8300, 8303))
def test_leader_isolated_from_slow_store_breaks_no_invariant(seed: int) -> None:
    world = world_without_random_faults(seed)
    try:
        for _ in range(20):
            world.sim.after(world.rng.uniform(0.0, 60.0), world.submit)
        world.slow_store_share = 0.6
        for at in (25.0, 60.0):
            world.sim.after(
                at, lambda: world.store.unavailable_for.update(h.name for h in world.leaders())
            )
            world.sim.after(at + 2.5, lambda: setattr(world.store, "unavailable", True))
            world.sim.after(at + 2.5 + 1.1 * CANCEL_S / 2, world.store.recover)
            world.sim.after(at + 10.0, world.store.unavailable_for.clear)
        world.sim.after(110.0, lambda: end_faults(world))
        world.run(200.0)
        assert world.event_counts["slow answer of the state service"] > 50
        assert unfinished(world) == []
    finally:
        world.close()


# -- 5: commands and responses delayed by seconds -----------------------------------------------


@pytest.mark.parametrize("seed", range(8400, 8403))
def test_command_delivered_late_starts_no_cancelled_task(seed: int) -> None:
    world = world_without_random_faults(seed)
    try:
        world.delayed_command_share = 0.8
        for _ in range(35):
            job = world.submit(**ON_DEMAND_CPU_JOB, shape="array", pieces=world.rng.randint(1, 4))
            world.run_times[job] = 60.0
            world.sim.after(world.rng.uniform(2.0, 20.0), partial(world._user, job, "cancel"))
        for at in (18.0, 26.0):
            # Commands of the old leader are delayed until after its successor took over.
            world.sim.after(at, lambda: [host.crash(0.3) for host in world.leaders()][:0])
        world.run(120.0)
        assert world.event_counts["command held up"] > 10
        assert len([job for job in world.invariants.jobs.values() if job.confirmed_at]) > 10
        assert world.invariants.max_end_after_cancel_s < CANCEL_S
    finally:
        world.close()


def test_planted_clear_under_the_token_of_the_start_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted: the worker accepts a delayed start command after it has cleared the attempt."""
    clear_under_the_token_of_the_start(monkeypatch)
    # Otherwise the attempt is stopped at the first report, before its lease is renewed.
    monkeypatch.setattr(HeartbeatReconciler, "_attempt_restarted", lambda *arguments: None)
    with pytest.raises(AssertionError, match=r"renewed_unknowing|ran_"):
        test_command_delivered_late_starts_no_cancelled_task(8400)


# -- 6: a leader crashes while machines with long tasks receive no messages ---------------------


def inbound_cut_during_leader_change(seed: int) -> tuple[World, list[str], list[str]]:
    """Cuts the inbound links of some machines with replicas and crashes the leader.

    Returns the world, the job IDs and a list that receives the name of each task that starts on
    one of these machines.
    """
    world = world_without_random_faults(seed)
    jobs = [world.submit(**ON_DEMAND_CPU_JOB, shape="daemon", pieces=4) for _ in range(4)]
    for job in jobs:
        world.invariants.jobs[job].tried_cancel = True
    world.run(30.0)
    cut_off = sorted(world.workers)[::3]
    world.inbound_cut |= set(cut_off)
    names = {world.workers[address].machine.name for address in cut_off}
    for host in world.leaders():
        host.crash(0.3)
    started: list[str] = []
    original = world.invariants.task_started

    def task_started(now: float, piece: str, machine: dict[str, Any]) -> None:
        if machine["name"] in names:
            started.append(piece)
        original(now, piece, machine)

    world.invariants.task_started = task_started  # type: ignore[method-assign]
    return world, jobs, started


def test_inbound_partitioned_machines_have_tasks_restarted_elsewhere_after_expiry() -> None:
    world, jobs, started = inbound_cut_during_leader_change(8500)
    try:
        world.run(30.0 + 2.5 * LEASE_S)
        assert world.event_counts["answer lost to a machine"] > 0
        assert world.event_counts["command lost to a machine"] > 2
        assert started == []
        remaining = [
            world.invariants.jobs[job]
            for job in jobs
            if world.invariants.jobs[job].reported_state != "aborted"
        ]
        assert len(remaining) > 1
        places = [len(names) for job in remaining for names in job.machines_by_task.values()]
        assert places == [1] * 4 * len(remaining), "each replica must run on exactly one machine"
        world.inbound_cut.clear()
        world.run(90.0)
        assert nodes_entitled_to_answer(world)
    finally:
        world.close()


# -- 7: unanswered transactions applied late; see also test_write_ahead_log.py ------------------


def play_day_with_late_messages(seed: int) -> Counter[str]:
    def prepare(world: World) -> None:
        for at in range(10, 90, 8):
            world.sim.after(float(at), lambda: late_writes(world))
            world.sim.after(at + 3.0, lambda: late_reports(world))

    day = play(seed, prepare)
    assert day.broken == ""
    return day.event_counts


@pytest.mark.slow(60)
def test_late_write_is_never_applied_after_writer_gave_it_up() -> None:
    fault_counts = sum((play_day_with_late_messages(seed) for seed in range(8600, 8603)), Counter())
    # Most late writes fail on a guard; for the others, the writer was still waiting.
    assert fault_counts["late write refused"] > 20
    assert fault_counts["late write carried out"] + fault_counts["late write of an ended lease"] > 0


# -- 8: leadership is handed over and back, all nodes crash, one restarts -----------------------


@pytest.mark.parametrize("seed", range(8700, 8702))
def test_election_all_nodes_restarted_within_a_second_recovers(seed: int) -> None:
    world = world_without_random_faults(seed, LARGE if seed % 2 else SMALL)
    rounds: list[Callable[[], None]] = []
    try:
        for _ in range(20):
            world.sim.after(world.rng.uniform(0.0, 60.0), world.submit)

        def crash_and_hand_over() -> None:
            for number, name in enumerate(world.site.nodes):
                world.hosts[name].crash(0.05 if not number else world.rng.uniform(0.2, 2.0))
            restarted = world.hosts[world.site.nodes[0]]
            world.sim.after(world.rng.uniform(0.1, 1.5), lambda: restarted.crash(0.05))
            for host in world.leaders():
                if host.node is not None:
                    host.node.election.hand_over()
            rounds.append(crash_and_hand_over)

        for at in range(15, 80, 5):
            world.sim.after(float(at) + world.rng.uniform(0.0, 2.0), crash_and_hand_over)
        world.sim.after(95.0, lambda: end_faults(world))
        world.run(190.0)
        assert len(rounds) == 13
        assert unfinished(world) == []
    finally:
        world.close()
