"""Tests of commands to workers: when they are sent, sent again or held back."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from appleshift.contracts.actions import SendCommands
from appleshift.dispatch.command_counts import LOG_INTERVAL_S
from appleshift.protocol.workers import Heartbeat, TaskStatus
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.tokens import EARLIER_TOKEN, TOKEN

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
