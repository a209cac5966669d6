"""Tests of the scheduler of one term, driven by single events and steps."""

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
from tests.support.scheduler_bench import PermanentLease, SchedulerHarness, initial_records
from tests.support.tokens import EARLIER_TOKEN, TOKEN


def test_scheduler_job_cancelled_in_earlier_term_starts_no_task() -> None:
    bench = SchedulerHarness(initial_records(["C", 0]))
    assert bench.report(token=EARLIER_TOKEN) == []
    assert bench.step(1.0) == []
    # The worker has seen this term's fencing token and reports no task: the task ended.
    assert bench.scheduler.cluster.jobs
    bench.report(token=TOKEN)
    bench.commit_all()
    assert bench.scheduler.cluster.final_states == {"job-000000": 2}


def test_task_attempt_is_freed_only_on_lease_expiry_or_new_agent_epoch() -> None:
    bench = SchedulerHarness(initial_records())
    runs = bench.scheduler.cluster.jobs[0].runs
    bench.step(LEASE_S - 1.0)
    assert 0 in runs, "the previous leader may have renewed the lease until this term's election"
    bench.step(2.0)
    assert 0 not in runs
    bench = SchedulerHarness(initial_records())
    bench.report(token=TOKEN, agent_epoch=2)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def test_cancelled_task_that_keeps_running_gets_its_machine_deleted() -> None:
    bench = SchedulerHarness(initial_records())
    running = TaskStatus("job-000000/0", 1, "running")
    bench.report(running)
    bench.scheduler.job_requests.cancel("job-000000", "slot")
    assert not bench.scheduler.take_actions(), (
        "the cancellation is answered only once it is durable"
    )
    bench.commit_all()
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
    """Guards against a new leader that counts open jobs only and scales in too far."""
    objective = Objective("wait", 0.9, "c", 5.0)
    settings = SMALL.settings_for("n0")
    deployment = msgspec.structs.replace(settings.deployment, objectives=[objective])
    settings = msgspec.structs.replace(settings, deployment=deployment)
    bench = SchedulerHarness(initial_records(["D", 0, [0, 1]], ["E", 0, 1]), settings)
    assert bench.scheduler.cluster.jobs == {}
    assert [entry[0] for entry in bench.scheduler.fleet.recent_submissions] == [100.0 - 10.0]


class RevocableLease(PermanentLease):
    """A leader lease that a test can take away and give back."""

    is_held = True

    def may_answer(self, now: float) -> bool:
        return self.is_held


def test_leader_without_lease_sends_no_machine_deletions() -> None:
    """Guards against deletions by a partitioned leader.

    A leader without a lease ordered 425 deletions, which were carried out when the
    partition healed.
    """
    bench = SchedulerHarness(initial_records())
    lease = bench.scheduler.lease = RevocableLease()
    bench.report()
    lease.is_held = False
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    bench.scheduler.delete_machines([machine])
    for _ in range(60):
        assert not any(
            isinstance(action, DeleteMachines | RentMachines) for action in bench.step(1.0)
        )
    lease.is_held = True
    assert sum(isinstance(action, DeleteMachines) for action in bench.step(1.0)) == 1


def test_leader_after_process_pause_expires_no_worker_leases_until_entitled() -> None:
    bench = SchedulerHarness(initial_records())
    lease = bench.scheduler.lease = RevocableLease()
    bench.report(TaskStatus("job-000000/0", 1, "running"))
    lease.is_held = False
    bench.step(90.0)
    assert 0 in bench.scheduler.cluster.jobs[0].runs, "the new leader may have renewed the lease"
    lease.is_held = True
    bench.step(1.0)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def test_unchanged_heartbeats_trigger_no_placement_pass_and_no_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against placement passes over all machines while nothing changes."""
    bench = SchedulerHarness(initial_records())
    scheduler, cluster = bench.scheduler, bench.scheduler.cluster
    names = [f"u{number}" for number in range(200)]
    running = [TaskStatus("job-000000/0", 1, "running")]

    def send_heartbeats(seq: int) -> None:
        scheduler.now = bench.now
        bench.report(*running)
        for number, name in enumerate(names):
            scheduler.heartbeat_received(
                Heartbeat(name, f"10.1.1.{number}:9000", "small", "a", False, 1, seq, TOKEN, []),
                "slot",
            )

    send_heartbeats(1)
    bench.commit_all()
    for _ in range(8):
        bench.step(0.5)
        bench.commit_all()
    passes: list[float] = []
    monkeypatch.setattr(scheduler, "_place", lambda: passes.append(bench.now))
    for seq in range(2, 12):
        send_heartbeats(seq)
        assert scheduler.write_ahead_log.backlog() == 0
        # Close to the longest gap between heartbeats; after 1.4 s a machine is probed.
        actions = bench.step(1.25)
        assert sum(isinstance(action, Reply) for action in actions) == len(names)
        assert not any(isinstance(action, SendCommands | ProbeMachine) for action in actions)
        # Reviews of the capacity plan may record other spot groups.
        bench.commit_all()
    assert passes == []
    assert len(cluster.machines) == 201


def test_admission_submission_flood_is_refused_by_write_backlog_time() -> None:
    """Submissions are refused before their responses would be late, at any write rate."""
    for write_rps, value_kb in ((13.5, 8), (40.0, 16)):
        bench = SchedulerHarness(initial_records())
        write_ahead_log = bench.scheduler.write_ahead_log
        write_ahead_log.write_rps, write_ahead_log.value_bytes = write_rps, value_kb * 1024
        for number in range(20_000):
            bench.scheduler.job_requests.submit(
                submission(id=f"job-1{number:05d}"), f"slot{number}", 5000.0
            )
        refused = [
            action.status for action in bench.scheduler.take_actions() if isinstance(action, Reply)
        ]
        assert set(refused) == {503}
        accepted = 20_000 - len(refused)
        queued_bytes = accepted * len(
            msgspec.json.encode(records.job_record(bench.scheduler.cluster.jobs[9]))
        )
        assert 1.5 < queued_bytes / (write_rps * value_kb * 1024) < 2.5
        while write_ahead_log.backlog():
            bench.now += 1.0
            bench.commit_all()
        assert write_ahead_log.lag_s() == 0.0


def test_fast_path_lease_renewal_counts_despite_later_command_response() -> None:
    """Guards against tasks that run twice after a lease renewal on the fast path is lost.

    The response to a direct command is later than the heartbeat and renews no lease. The
    renewal by the earlier heartbeat must still count.
    """
    bench = SchedulerHarness([records.job_record(job(cluster([]), tasks=1))])
    bench.report()
    bench.step(0.5)
    bench.commit_all()
    running = TaskStatus("job-000000/0", 1, "running")
    bench.step(0.5)
    raw_tasks = msgspec.msgpack.encode([{"piece": "job-000000/0", "try": 1, "status": "running"}])
    for _ in range(int(2.5 * LEASE_S)):
        bench.now += 1.0
        bench.seq += 1
        bench.scheduler.now = bench.now
        heartbeat = Heartbeat(
            "m", "10.1.0.1:9000", "large", "a", False, 1, bench.seq, TOKEN, [running]
        )
        header = HeartbeatHeader("m", "large", 1, bench.seq, TOKEN, msgspec.Raw(raw_tasks))
        if bench.scheduler.fast_path.response_to(header, bench.now) is None:
            bench.scheduler.heartbeat_received(heartbeat, "slot", raw_tasks)
        # A command is answered before the scheduler reads the fast path entry.
        bench.seq += 1
        bench.scheduler.now = bench.now + 0.01
        bench.scheduler.reconcile(
            bench.scheduler.cluster.machine("m"),  # type: ignore[arg-type]
            msgspec.structs.replace(heartbeat, seq=bench.seq),
        )
        bench.step(0.3)
    assert bench.scheduler.fast_path.entries["m"].last_answered[0] > bench.now - 2.0, (
        "the fast path was not used"
    )
    assert [run.name for run in bench.scheduler.cluster.jobs[0].runs.values()] == ["job-000000/0"]
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    assert machine.lease_until > bench.now
