"""Tests of commands to workers: when they are sent, sent again or held back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from appleshift.contracts.actions import SendCommands
from appleshift.dispatch import worker_commands
from appleshift.dispatch.command_counts import LOG_INTERVAL_S
from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.leader_election.fencing_tokens import last_token_of_term
from appleshift.protocol.workers import Heartbeat, TaskStatus
from appleshift.scheduler.reconciliation import HeartbeatReconciler
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.start_command_histories import RepeatedCommandHistory, StartCommandHistory
from tests.support.tokens import EARLIER_TOKEN, LATER_TOKEN, TOKEN

HISTORIES = 400
HISTORIES_UNTIL_DETECTED = 2000
FIRST, SECOND = "job-000000/0", "job-000000/1"


def test_assignment_not_in_heartbeat_is_resent() -> None:
    bench = SchedulerHarness(initial_records())
    assert [command["verb"] for command in bench.report(token=EARLIER_TOKEN)] == ["run"]
    commands = bench.report(TaskStatus("job-000000/0", 1, "running"))
    assert "job-000000/0" not in [command["piece"] for command in commands]


def test_start_command_is_sent_only_after_assignment_is_durable() -> None:
    bench = SchedulerHarness(initial_records())
    bench.report(TaskStatus("job-000000/0", 1, "running"))
    bench.step(0.1)
    assert 1 in bench.scheduler.cluster.jobs[0].runs
    assert not [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    assert bench.report(TaskStatus("job-000000/0", 1, "running")) == []
    bench.commit_all()
    (sent,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    assert [(command["verb"], command["piece"]) for command in sent.commands] == [
        ("run", "job-000000/1")
    ]


def test_task_exit_is_cleared_only_when_durable_and_under_higher_token_than_start() -> None:
    bench = SchedulerHarness(initial_records())
    exited = TaskStatus("job-000000/0", 1, "exited", "done")
    assert bench.report(exited) == []
    bench.commit_all()
    assert [command["verb"] for command in bench.report(exited)] == ["clear"]
    bench.step(0.1)
    bench.commit_all()
    (sent,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    bench.scheduler.commands.commands_sent("m", 1, "unknown", None)
    second = TaskStatus("job-000000/1", 2, "exited", "done")
    assert bench.report(second) == []
    assert bench.response_token > sent.fencing_token
    bench.commit_all()
    assert [command["verb"] for command in bench.report(second)] == ["clear"]
    assert bench.response_token > sent.fencing_token, "the direct start command may still arrive"


def test_ended_attempt_reported_as_running_again_is_stopped_at_once() -> None:
    """Guards against an attempt that ran again to its end, as clears do nothing while it runs."""
    bench = SchedulerHarness(initial_records())
    exited = TaskStatus(FIRST, 1, "exited", "error")
    bench.report(exited)
    bench.commit_all()
    assert [command["verb"] for command in bench.report(exited)] == ["clear"]
    again = bench.report(TaskStatus(FIRST, 1, "running"))
    assert {"verb": "kill", "piece": FIRST, "try": 1, "wind_down_s": 0.0} in again
    stopped = bench.report(TaskStatus(FIRST, 1, "exited", "stopped"))
    assert {"verb": "clear", "piece": FIRST, "try": 1} in stopped


def test_token_is_raised_once_for_attempts_that_exited_together() -> None:
    bench = SchedulerHarness(initial_records())
    bench.report(TaskStatus(FIRST, 1, "running"))
    bench.step(0.1)
    bench.commit_all()
    (sent,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    tasks = [TaskStatus(SECOND, 2, "exited", "error"), TaskStatus("job-000009/0", 1, "running")]
    for _ in range(4):
        bench.report(*tasks)
        bench.commit_all()
        assert bench.response_token == sent.fencing_token + 1


def test_counts_of_direct_commands_and_raised_tokens_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", logger="appleshift.dispatch.command_counts")
    bench = SchedulerHarness(initial_records())
    bench.report(TaskStatus(FIRST, 1, "running"))
    bench.step(0.1)
    bench.commit_all()
    assert direct_commands(bench)
    bench.scheduler.commands.commands_sent("m", 1, "unknown", None)
    bench.report(TaskStatus(FIRST, 1, "exited", "error"), TaskStatus(SECOND, 2, "exited", "error"))
    bench.step(LOG_INTERVAL_S)
    expected = f"direct commands token={TOKEN} sent=1 refused=0 unanswered=1 tokens_raised=1"
    assert caplog.messages == [expected]


def test_term_whose_tokens_are_used_up_keeps_attempts_and_asks_for_new_term() -> None:
    bench = SchedulerHarness(initial_records())
    bench.report(TaskStatus(FIRST, 1, "running"))
    bench.step(0.1)
    bench.commit_all()
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    machine.fencing_token_raises = last_token_of_term(TOKEN) - TOKEN
    assert [command["verb"] for command in direct_commands(bench)] == ["run"]
    exited = [TaskStatus(FIRST, 1, "running"), TaskStatus(SECOND, 2, "exited", "error")]
    for _ in range(3):
        assert bench.report(*exited, token=last_token_of_term(TOKEN)) == []
        bench.commit_all()
    assert bench.response_token == last_token_of_term(TOKEN)
    assert bench.scheduler.needs_new_term


def test_machine_with_single_token_of_older_version_keeps_attempts_and_asks_for_new_term() -> None:
    """Guards against a raised token that a later leader of an older version takes for its own."""
    bench = SchedulerHarness(initial_records())
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    single_token = machine.min_fencing_token = last_token_of_term(LATER_TOKEN) + 1
    bench.report(TaskStatus(FIRST, 1, "running"), token=single_token)
    bench.step(0.1)
    bench.commit_all()
    assert [command["verb"] for command in direct_commands(bench)] == ["run"]
    tasks = [TaskStatus(FIRST, 1, "running"), TaskStatus(SECOND, 2, "exited", "error")]
    for _ in range(3):
        assert bench.report(*tasks, token=single_token) == []
        bench.commit_all()
    assert bench.response_token == single_token
    assert bench.scheduler.needs_new_term


def test_command_overtaken_by_response_with_higher_token_keeps_machine_in_use() -> None:
    """Guards against a machine without new tasks for a second after each raised token."""
    bench = SchedulerHarness(initial_records())
    bench.report(TaskStatus(FIRST, 1, "running"))
    bench.step(0.1)
    bench.commit_all()
    (sent,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    assert sent.fencing_token == TOKEN
    unknown = TaskStatus("job-000009/0", 1, "exited", "error")
    assert {command["verb"] for command in bench.report(unknown)} == {"run", "clear"}
    report = Heartbeat(
        "m", "10.1.0.1:9000", "large", "a", False, 1, bench.seq + 1, bench.response_token, []
    )
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    bench.scheduler.commands.commands_sent("m", 1, "refused", report)
    assert machine.avoid_until < bench.now
    newer = msgspec.structs.replace(report, seq=bench.seq + 2, fencing_token=LATER_TOKEN)
    bench.scheduler.commands.commands_sent("m", 1, "refused", newer)
    assert machine.avoid_until > bench.now, "another leader gives commands"


def test_heartbeat_with_many_unknown_tasks_gets_response_within_size_limit() -> None:
    bench = SchedulerHarness(initial_records())
    unknown_tasks = [TaskStatus(f"job-{number:06d}/1", 1, "running") for number in range(100, 1000)]
    first = bench.report(*unknown_tasks)
    assert len(msgspec.json.encode(first)) < 60 * 1024
    # Commands that did not fit into the first response are in the next one.
    stopped = {command["piece"] for command in first}
    remaining = [task for task in unknown_tasks if task.task not in stopped]
    assert remaining
    assert {command["piece"] for command in bench.report(*remaining)} & {
        task.task for task in remaining
    }


def direct_commands(bench: SchedulerHarness) -> list[dict[str, Any]]:
    """Make all records durable and return the commands that are then sent directly."""
    bench.commit_all()
    sent = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    return [command for action in sent for command in action.commands]


def answer_direct(bench: SchedulerHarness, second: TaskStatus) -> None:
    """Answer direct commands with a report that lists the second task of the job."""
    bench.seq += 1
    tasks = [TaskStatus(FIRST, 1, "running"), second]
    report = Heartbeat("m", "10.1.0.1:9000", "large", "a", False, 1, bench.seq, TOKEN, tasks)
    bench.scheduler.commands.commands_sent("m", 1, "done", report)


@pytest.mark.parametrize("sent_directly_before", [True, False])
def test_attempt_is_kept_while_slow_heartbeat_response_may_start_it(
    sent_directly_before: bool,
) -> None:
    """Guards against review/1: a cleared attempt ran again, beside the next one elsewhere."""
    bench = SchedulerHarness(initial_records())
    first, key = TaskStatus(FIRST, 1, "running"), (SECOND, 2)
    bench.report(first)
    bench.step(0.1)
    bench.commit_all()
    if sent_directly_before:
        assert [command["verb"] for command in direct_commands(bench)] == ["run"]
    assert [command["verb"] for command in bench.report(first)] == ["run"]
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    if sent_directly_before:
        answer_direct(bench, TaskStatus(*key, "running"))
    bench.scheduler.stop_run(machine.runs[key], 0.0, "preempt")
    verbs = [command["verb"] for command in direct_commands(bench)]
    assert verbs == (["kill"] if sent_directly_before else ["run", "kill"])
    exited = TaskStatus(*key, "exited", "stopped")
    answer_direct(bench, exited)
    for _ in range(3):
        bench.scheduler.commands.schedule_send(machine)
        assert "clear" not in [command["verb"] for command in direct_commands(bench)]
        answer_direct(bench, exited)
    # A newer heartbeat shows that the worker has read or given up the response.
    assert {"verb": "clear", "piece": SECOND, "try": 2} in bench.report(first, exited)


def run_histories(history: type[StartCommandHistory], count: int) -> None:
    for seed in range(count):
        history(seed).run()


def test_starts_that_arrive_late_run_no_task_twice() -> None:
    """Guards against starts of any leader that arrive once the attempt is cleared or freed."""
    run_histories(StartCommandHistory, HISTORIES)


def forget_starts(monkeypatch: pytest.MonkeyPatch, in_responses: bool) -> None:
    """Plant a defect: starts in responses, or those sent directly, are not recorded."""
    original = WorkerCommands._derive_commands

    def derive(self: WorkerCommands, machine: Any, resend: bool) -> Any:
        tokens = {key: run.start_token for key, run in machine.runs.items()}
        machine_token = machine.start_token
        derived = original(self, machine, resend)
        if resend is in_responses:
            machine.start_token = machine_token
            for key, token in tokens.items():
                machine.runs[key].start_token = token
        return derived

    monkeypatch.setattr(WorkerCommands, "_derive_commands", derive)


def responses_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    forget_starts(monkeypatch, in_responses=True)


def direct_commands_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    forget_starts(monkeypatch, in_responses=False)


def tokens_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worker_commands, "may_clear", lambda run, token: True)
    monkeypatch.setattr(worker_commands, "needs_higher_token", lambda machine, token: False)


def starts_of_earlier_leaders_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    original = HeartbeatReconciler._drop_unreported_runs

    def drop(machine: Any, reported: Any, token_seen: bool, exited: Any) -> None:
        original(machine, reported, True, exited)

    monkeypatch.setattr(HeartbeatReconciler, "_drop_unreported_runs", staticmethod(drop))


@pytest.mark.parametrize(
    "plant",
    [
        responses_do_not_count,
        direct_commands_do_not_count,
        tokens_do_not_count,
        starts_of_earlier_leaders_do_not_count,
    ],
)
def test_planted_defects_run_a_task_twice(
    monkeypatch: pytest.MonkeyPatch, plant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="ran twice"):
        run_histories(StartCommandHistory, HISTORIES_UNTIL_DETECTED)


def fails(history: RepeatedCommandHistory, key: tuple[str, int]) -> None:
    history.worker_with(key).tasks[key] = ["exited", "error"]


def fails_under_next_leader(history: RepeatedCommandHistory, key: tuple[str, int]) -> None:
    history.new_leader()
    fails(history, key)


def fails_unknown_to_leader(history: RepeatedCommandHistory, key: tuple[str, int]) -> None:
    machine = history.bench.scheduler.cluster.machine(history.worker_with(key).name)
    assert machine is not None
    del machine.runs[key]
    fails(history, key)


def is_stopped(history: RepeatedCommandHistory, key: tuple[str, int]) -> None:
    machine = history.bench.scheduler.cluster.machine(history.worker_with(key).name)
    assert machine is not None
    history.bench.scheduler.stop_run(machine.runs[key], 0.0, "preempt")


def is_cancelled(history: RepeatedCommandHistory, key: tuple[str, int]) -> None:
    history.cancels_left = 1
    history.cancel_job()


@pytest.mark.parametrize(
    "end", [fails, fails_under_next_leader, fails_unknown_to_leader, is_stopped, is_cancelled]
)
def test_answered_start_that_arrives_again_after_its_clear_runs_nothing(
    end: Callable[[RepeatedCommandHistory, tuple[str, int]], None],
) -> None:
    """Guards against ran_twice: a copy of an answered start ran a cleared attempt again."""
    history = RepeatedCommandHistory(0)
    history.exchange_until(lambda: bool(history.answered))
    starts = list(history.answered)
    first_command = starts[0].action.commands[0]
    key = (first_command["piece"], first_command["try"])
    worker = history.worker_with(key)
    end(history, key)
    history.exchange_until(lambda: key not in worker.tasks)
    for start in starts:
        history.arrive(start.action)
    assert key not in worker.tasks, "a cleared attempt ran again"


def test_answered_commands_that_arrive_again_run_no_task_twice() -> None:
    """Guards against copies of any direct command at any later time, also after a cancellation."""
    run_histories(RepeatedCommandHistory, HISTORIES)


@pytest.mark.parametrize("plant", [direct_commands_do_not_count, tokens_do_not_count])
def test_planted_defects_run_a_task_again_by_a_copy(
    monkeypatch: pytest.MonkeyPatch, plant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=r"ran twice|ran after"):
        test_answered_commands_that_arrive_again_run_no_task_twice()
