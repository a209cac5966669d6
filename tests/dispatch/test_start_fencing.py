"""Tests of the fencing tokens under which attempts are started and cleared."""

from __future__ import annotations

import msgspec

from appleshift.contracts.actions import SendCommands
from appleshift.leader_election.fencing_tokens import last_token_of_term
from appleshift.protocol.workers import Heartbeat, TaskStatus
from tests.dispatch.test_worker_commands import FIRST, SECOND, direct_commands
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.tokens import LATER_TOKEN, TOKEN


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
