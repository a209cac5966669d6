"""Tests of commands to workers: when they are sent, sent again or held back."""

from __future__ import annotations

import msgspec

from appleshift.contracts.actions import SendCommands
from appleshift.protocol.workers import TaskStatus
from tests.support.scheduler_bench import SchedulerHarness, initial_records


def test_assignment_not_in_heartbeat_is_resent() -> None:
    bench = SchedulerHarness(initial_records())
    assert [command["verb"] for command in bench.report(token=6)] == ["run"]
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


def test_task_exit_is_cleared_only_when_durable_and_no_start_in_flight() -> None:
    bench = SchedulerHarness(initial_records())
    exited = TaskStatus("job-000000/0", 1, "exited", "done")
    assert bench.report(exited) == []
    bench.commit_all()
    assert [command["verb"] for command in bench.report(exited)] == ["clear"]
    bench.step(0.1)
    bench.commit_all()
    (sent,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    bench.scheduler.commands.commands_sent("m", 1, sent.starts, "unknown", None)
    second = TaskStatus("job-000000/1", 2, "exited", "done")
    bench.report(second)
    bench.commit_all()
    assert bench.report(second) == [], "the direct start command may still arrive"


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
