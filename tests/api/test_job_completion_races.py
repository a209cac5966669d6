"""Races between the end of a job's last task and a cancellation, query or resubmission.

Guards against reporting two different final states of one job. Covers all 24 orders of the four
events, each with or without a log commit before, between and after them: 768 cases.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from appleshift.contracts.actions import Reply
from appleshift.protocol import users
from appleshift.protocol.workers import TaskStatus
from appleshift.scheduler.job_requests import JobRequests
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.states import CANCELLED, OPEN
from appleshift.storage import records
from tests.support.builders import submission
from tests.support.scheduler_bench import SchedulerHarness
from tests.support.tokens import LATER_TOKEN

JOB = "job-000000"
SPEC = submission(id=JOB, tasks=1)
FINAL = (users.DONE, users.CANCELLED)
EVENTS = ("end", "cancel", "query", "repeat")
COMMITS = list(itertools.product([False, True], repeat=len(EVENTS) + 1))


def history() -> list[list[Any]]:
    """Log records of a job with one task, which runs on a machine."""
    job = ClusterState([], []).add_job(0, SPEC, 4990.0)
    machine = ["M", "m", "10.1.0.1:9000", "large", "a", False]
    return [records.job_record(job), machine, ["A", 0, 1, "m", 1, [0, 0]]]


@dataclass
class Case:
    """One order of events and commits, with the final state reported to the user so far."""

    bench: SchedulerHarness = field(default_factory=lambda: SchedulerHarness(history()))
    state_when_asked: dict[int, str | None] = field(default_factory=dict)
    """The final state reported so far when each request was sent, by request number."""
    reply_slots: list[list[int]] = field(default_factory=list)
    """One reply slot for each request; the scheduler distinguishes them by identity."""
    reported_state: str | None = None
    log_when_reported: list[list[Any]] = field(default_factory=list)
    """The log when a final state was first reported."""
    ended: bool = False

    def ask(self, send: Callable[[Any], None]) -> None:
        reply_to = [len(self.reply_slots)]
        self.reply_slots.append(reply_to)
        self.state_when_asked[reply_to[0]] = self.reported_state
        send(reply_to)
        self.check_replies()

    def check_replies(self) -> None:
        for action in self.bench.scheduler.take_actions():
            if isinstance(action, Reply) and isinstance(action.reply_to, list):
                self.check_reply(action)

    def check_reply(self, reply: Reply) -> None:
        state = reply.body.get("status")
        assert reply.status == 200, reply
        state_before = self.state_when_asked[reply.reply_to[0]]
        assert state_before in (None, state), f"went back from {state_before} to {state}"
        assert state != users.DONE or self.ended, "done before its task had ended"
        if state in FINAL:
            assert self.reported_state in (None, state), f"both {self.reported_state} and {state}"
            if self.reported_state is None:
                self.log_when_reported = [*self.bench.log]
            self.reported_state = state

    def inject(self, event: str) -> None:
        requests = self.bench.scheduler.job_requests
        if event == "end":
            self.ended = True
            self.bench.report(TaskStatus(f"{JOB}/0", 1, "exited", "done"))
        elif event == "cancel":
            self.ask(lambda reply_to: requests.cancel(JOB, reply_to))
        elif event == "query":
            self.ask(lambda reply_to: requests.status(JOB, reply_to))
        else:
            self.ask(lambda reply_to: requests.submit(SPEC, reply_to, 5000.0))

    def commit(self) -> None:
        self.bench.commit_all()
        self.check_replies()


def run_case(order: tuple[str, ...], commits: tuple[bool, ...]) -> Case:
    case = Case()
    case.bench.report(TaskStatus(f"{JOB}/0", 1, "running"))
    case.check_replies()
    for event, commit in zip((*order, None), commits, strict=True):
        if commit:
            case.commit()
        if event is not None:
            case.inject(event)
    case.commit()
    return case


def final_states(order: tuple[str, ...]) -> Iterator[str]:
    """The final state reported for each combination of commits."""
    for commits in COMMITS:
        case = run_case(order, commits)
        assert case.reported_state in FINAL, "the cancellation was answered"
        case.inject("query")
        case.inject("repeat")
        case.commit()
        # The next leader must report the same state from the log, even from the log at the
        # time of the first report.
        for log in (case.bench.log, case.log_when_reported):
            after = Case(
                bench=SchedulerHarness(log, token=LATER_TOKEN),
                reported_state=case.reported_state,
                ended=True,
            )
            after.inject("query")
            after.inject("repeat")
            after.inject("cancel")
            after.commit()
            assert after.reported_state == case.reported_state
        yield str(case.reported_state)


def check_one_final_state(order: tuple[str, ...]) -> None:
    found = list(final_states(order))
    assert len(found) == len(COMMITS)
    first = order.index("end") < order.index("cancel")
    assert set(found) == {users.DONE if first else users.CANCELLED}


@pytest.mark.parametrize("order", list(itertools.permutations(EVENTS)), ids="-".join)
def test_job_completion_raced_by_requests_gives_one_final_state(
    order: tuple[str, ...],
) -> None:
    check_one_final_state(order)


def test_planted_cancellation_before_durable_completion_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted: a job whose last task has ended can be cancelled until its end is durable."""
    original = JobRequests.cancel

    def cancel(self: JobRequests, job_id: str, reply_to: Any, *by: Any) -> None:
        job = self._cluster.job_by_id.get(job_id)
        if job is not None and not job.done_durable:
            job.status = OPEN
        original(self, job_id, reply_to, *by)

    monkeypatch.setattr(JobRequests, "cancel", cancel)
    with pytest.raises(AssertionError):
        check_one_final_state(("end", "cancel", "query", "repeat"))


def test_planted_response_before_durable_cancellation_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted: a cancellation is reported before its record is durable."""

    def state(self: JobRequests, job: Job) -> str:
        return users.CANCELLED if job.status == CANCELLED else users.RUNNING

    monkeypatch.setattr(JobRequests, "state", state)
    with pytest.raises(AssertionError):
        check_one_final_state(("cancel", "query", "end", "repeat"))
