"""Seeded histories: no start that arrives late or again runs a task twice or after its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.scheduler.reconciliation import HeartbeatReconciler
from tests.support.planted_tokens import clear_under_the_token_of_the_start
from tests.support.start_command_histories import RepeatedCommandHistory, StartCommandHistory

HISTORIES = 400
HISTORIES_UNTIL_DETECTED = 2000


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
        clear_under_the_token_of_the_start,
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


@pytest.mark.parametrize(
    "plant", [direct_commands_do_not_count, clear_under_the_token_of_the_start]
)
def test_planted_defects_run_a_task_again_by_a_copy(
    monkeypatch: pytest.MonkeyPatch, plant: Callable[[pytest.MonkeyPatch], None]
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=r"ran twice|ran after"):
        test_answered_commands_that_arrive_again_run_no_task_twice()
