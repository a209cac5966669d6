"""The leader's core, event by event: what it orders, and what it waits for."""

from __future__ import annotations

import msgspec
import pytest

from appleshift.contracts.actions import (
    DeleteMachines,
    ProbeMachine,
    RentMachines,
    Reply,
    SendCommands,
)
from appleshift.protocol.settings import Objective
from appleshift.protocol.workers import Heartbeat, HeartbeatHeader, TaskStatus
from appleshift.storage import records
from tests.support.builders import cluster, job, submission
from tests.support.deployments import CANCEL_S, LEASE_S, SMALL
from tests.support.scheduler_bench import Always, Bench, history


def test_scheduler_job_cancelled_in_earlier_term_starts_no_task() -> None:
    bench = Bench(history(["C", 0]))
    assert bench.report(token=6) == []
    assert bench.step(1.0) == []
    # The worker has seen this term's token and lists nothing: the task is gone.
    assert bench.scheduler.cluster.jobs
    bench.report(token=7)
    bench.durable()
    assert bench.scheduler.cluster.final_states == {"job-000000": 2}


def test_task_attempt_is_freed_only_on_lease_expiry_or_new_agent_epoch() -> None:
    bench = Bench(history())
    runs = bench.scheduler.cluster.jobs[0].runs
    bench.step(LEASE_S - 1.0)
    assert 0 in runs, "whoever led before may have answered until our election"
    bench.step(2.0)
    assert 0 not in runs
    bench = Bench(history())
    bench.report(token=7, session=2)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def test_cancelled_task_that_keeps_running_gets_its_machine_deleted() -> None:
    bench = Bench(history())
    running = TaskStatus("job-000000/0", 1, "running")
    bench.report(running)
    bench.scheduler.job_requests.cancel("job-000000", "slot")
    assert not bench.scheduler.take_actions(), "told only once it is durable"
    bench.durable()
    deleted = False
    for _ in range(int(CANCEL_S / 2)):
        bench.report(running)
        deleted = deleted or any("Delete" in str(action) for action in bench.step(1.0))
        bench.now += 1.0
        if deleted:
            break
    assert deleted
    assert bench.now < 100.0 + CANCEL_S


def test_arrival_history_after_failover_includes_finished_jobs() -> None:
    """Once it knew only the open ones, and returned what the next ones needed."""
    objective = Objective("wait", 0.9, "c", 5.0)
    settings = SMALL.settings_for("n0")
    deployment = msgspec.structs.replace(settings.deployment, objectives=[objective])
    settings = msgspec.structs.replace(settings, deployment=deployment)
    bench = Bench(history(["D", 0, [0, 1]], ["E", 0, 1]), settings)
    assert bench.scheduler.cluster.jobs == {}
    assert [entry[0] for entry in bench.scheduler.fleet.arrivals] == [100.0 - 10.0]


class Lapsing(Always):
    entitled = True

    def may_answer(self, now: float) -> bool:
        return self.entitled


def test_leader_without_lease_sends_no_machine_deletions() -> None:
    """Once 425 deletions waited in a cut network, and came when it was over."""
    bench = Bench(history())
    authority = bench.scheduler.lease = Lapsing()
    bench.report()
    authority.entitled = False
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    bench.scheduler.delete_machines([machine])
    for _ in range(60):
        assert not any(
            isinstance(action, DeleteMachines | RentMachines) for action in bench.step(1.0)
        )
    authority.entitled = True
    assert sum(isinstance(action, DeleteMachines) for action in bench.step(1.0)) == 1


def test_leader_after_process_pause_expires_no_worker_leases_until_entitled() -> None:
    bench = Bench(history())
    authority = bench.scheduler.lease = Lapsing()
    bench.report(TaskStatus("job-000000/0", 1, "running"))
    authority.entitled = False
    bench.step(90.0)
    assert 0 in bench.scheduler.cluster.jobs[0].runs, "whoever leads now may have renewed the lease"
    authority.entitled = True
    bench.step(1.0)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def test_unchanged_heartbeats_trigger_no_placement_pass_and_no_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What a quiet deployment costs must not grow with passes over all of it."""
    bench = Bench(history())
    scheduler, cluster = bench.scheduler, bench.scheduler.cluster
    names = [f"u{number}" for number in range(200)]
    running = [TaskStatus("job-000000/0", 1, "running")]

    def report_all(seq: int) -> None:
        scheduler.now = bench.now
        bench.report(*running)
        for number, name in enumerate(names):
            scheduler.heartbeat_received(
                Heartbeat(name, f"10.1.1.{number}:9000", "small", "a", False, 1, seq, 7, []), "slot"
            )

    report_all(1)
    bench.durable()
    for _ in range(8):
        bench.step(0.5)
        bench.durable()
    passes: list[float] = []
    monkeypatch.setattr(scheduler, "_place", lambda: passes.append(bench.now))
    for round_ in range(2, 12):
        report_all(round_)
        assert scheduler.write_ahead_log.backlog() == 0
        # As late as reports come; after 1.4 s a machine is asked whether it is there.
        actions = bench.step(1.25)
        assert sum(isinstance(action, Reply) for action in actions) == len(names)
        assert not any(isinstance(action, SendCommands | ProbeMachine) for action in actions)
        # Reviews of the plan may note other groups.
        bench.durable()
    assert passes == []
    assert len(cluster.machines) == 201


def test_admission_submission_flood_is_refused_by_write_backlog_time() -> None:
    """A flood is refused before its answers would come too late, at any rate of writes."""
    for write_rps, value_kb in ((13.5, 8), (40.0, 16)):
        bench = Bench(history())
        write_ahead_log = bench.scheduler.write_ahead_log
        write_ahead_log.write_rps, write_ahead_log.value_bytes = write_rps, value_kb * 1024
        for number in range(20_000):
            bench.scheduler.job_requests.submit(
                submission(id=f"job-1{number:05d}"), f"slot{number}", 5000.0
            )
        refused = [e.status for e in bench.scheduler.take_actions() if isinstance(e, Reply)]
        assert set(refused) == {503}
        taken = 20_000 - len(refused)
        waiting = taken * len(
            msgspec.json.encode(records.job_record(bench.scheduler.cluster.jobs[9]))
        )
        assert 1.5 < waiting / (write_rps * value_kb * 1024) < 2.5
        while write_ahead_log.backlog():
            bench.now += 1.0
            bench.durable()
        assert write_ahead_log.lag_s() == 0.0


def test_fast_path_lease_renewal_counts_despite_later_command_response() -> None:
    """A direct command's answer is later than the report's time, and renews nothing.

    Unless the renewal counted all the same, tasks ran in two places.
    """
    bench = Bench([records.job_record(job(cluster([]), tasks=1))])
    bench.report()
    bench.step(0.5)
    bench.durable()
    running = TaskStatus("job-000000/0", 1, "running")
    bench.step(0.5)
    raw = msgspec.msgpack.encode([{"piece": "job-000000/0", "try": 1, "status": "running"}])
    for _ in range(int(2.5 * LEASE_S)):
        bench.now += 1.0
        bench.seq += 1
        bench.scheduler.now = bench.now
        report = Heartbeat("m", "10.1.0.1:9000", "large", "a", False, 1, bench.seq, 7, [running])
        glance = HeartbeatHeader("m", "large", 1, bench.seq, 7, msgspec.Raw(raw))
        if bench.scheduler.fast_path.response_to(glance, bench.now) is None:
            bench.scheduler.heartbeat_received(report, "slot", raw)
        # Before the core looks, a command is answered.
        bench.seq += 1
        bench.scheduler.now = bench.now + 0.01
        bench.scheduler.reconcile(
            bench.scheduler.cluster.machine("m"),  # type: ignore[arg-type]
            msgspec.structs.replace(report, seq=bench.seq),
        )
        bench.step(0.3)
    assert bench.scheduler.fast_path.entries["m"].last_answered[0] > bench.now - 2.0, (
        "it was not used at all"
    )
    assert [run.name for run in bench.scheduler.cluster.jobs[0].runs.values()] == ["job-000000/0"]
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    assert machine.lease_until > bench.now
