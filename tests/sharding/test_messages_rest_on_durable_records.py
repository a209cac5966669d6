"""Planted defects: each message that leaves a leader before its record must be detected.

``docs/design-shares.md`` has the table of messages and the records that they rest on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from appleshift.scheduler.job_requests import JobRequests
from appleshift.scheduler.scheduler import Scheduler
from appleshift.scheduler.task_termination import TaskTermination
from appleshift.sharding.array_partitions import ArrayPartitions
from appleshift.state.cluster_state import ClusterState
from tests.counted_resources.test_counted_resources_model import DEFECT_SEARCH
from tests.sharding.test_sharding_model import (
    cancellation_is_confirmed_before_all_shards_ended,
    machine_is_offered_before_the_hand_off_is_durable,
    partitions_are_sent_before_the_division_is_durable,
    replies_are_sent_before_their_records_are_durable,
)
from tests.support.builders import submission
from tests.support.durability_check import DurabilityCheckedModel
from tests.support.sharding_model import HOME, IDS, MAP, OTHER, answer_calls

Patch = pytest.MonkeyPatch


pytestmark = pytest.mark.usefixtures("divide_small_arrays")


def users_are_answered_before_records_are_durable(patch: Patch) -> None:
    patch.setattr(Scheduler, "reply_when_durable", Scheduler.reply)


def job_counts_as_done_before_that_is_durable(patch: Patch) -> None:
    complete_tasks = TaskTermination.complete_tasks

    def without_waiting(self: TaskTermination, job: Any, tasks: Any, runs: Any) -> None:
        complete_tasks(self, job, tasks, runs)
        job.done_durable = job.done_count == job.spec.tasks

    patch.setattr(TaskTermination, "complete_tasks", without_waiting)


def start_is_sent_before_the_assignment_is_durable(patch: Patch) -> None:
    assign = ClusterState.assign

    def without_waiting(self: ClusterState, *given: Any) -> Any:
        run = assign(self, *given)
        run.assignment_durable = True
        return run

    patch.setattr(ClusterState, "assign", without_waiting)


def attempt_is_cleared_before_its_end_is_durable(patch: Patch) -> None:
    free = ClusterState.free

    def without_waiting(self: ClusterState, run: Any) -> None:
        free(self, run)
        run.exit_durable = True

    patch.setattr(ClusterState, "free", without_waiting)


def divided_cancellation_is_answered_before_it_is_durable(patch: Patch) -> None:
    cancel = ArrayPartitions.cancel

    def without_waiting(self: ArrayPartitions, job: Any, reply_to: Any) -> None:
        cancel(self, job, reply_to)
        if not job.accepted:
            return
        body = {"name_id": job.spec.id, "status": "aborted"}
        self._scheduler.reply_if_pending(reply_to, 200, body)

    patch.setattr(ArrayPartitions, "cancel", without_waiting)


DEFECTS: list[tuple[Callable[[Patch], None], str]] = [
    (users_are_answered_before_records_are_durable, "before it was durable"),
    (start_is_sent_before_the_assignment_is_durable, "before the assignment was durable"),
    (attempt_is_cleared_before_its_end_is_durable, "cleared before its end was durable"),
    (divided_cancellation_is_answered_before_it_is_durable, "cancelled before it was durable"),
    (cancellation_is_confirmed_before_all_shards_ended, "starts after"),
    (partitions_are_sent_before_the_division_is_durable, "before the division was durable"),
    (machine_is_offered_before_the_hand_off_is_durable, "offered before it was handed off"),
    (replies_are_sent_before_their_records_are_durable, "before it was durable"),
]


@pytest.mark.parametrize(("plant_defect", "message"), DEFECTS)
def test_planted_early_message_is_detected_by_sharding_model(
    plant_defect: Callable[[Patch], None], message: str, monkeypatch: Patch
) -> None:
    plant_defect(monkeypatch)
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(DurabilityCheckedModel, settings=settings(DEFECT_SEARCH))


def poll_until_done(model: DurabilityCheckedModel) -> None:
    """Poll a divided job after each event in which its last task may count as done."""
    for _ in range(12):
        for number in (HOME, OTHER):
            model.finish(0, number)
        model.decide(HOME)
        model.user(IDS[0], "poll")
        model.go_on(1)
        answer_calls(model)
        model.user(IDS[0], "poll")


def test_job_is_done_only_once_that_is_durable() -> None:
    model = DurabilityCheckedModel()
    poll_until_done(model)
    assert model.told[IDS[0]] == "done"


def test_planted_early_done_is_detected(monkeypatch: Patch) -> None:
    job_counts_as_done_before_that_is_durable(monkeypatch)
    with pytest.raises(AssertionError, match="done before it was durable"):
        poll_until_done(DurabilityCheckedModel())


def submit_job_of_first_shard(model: DurabilityCheckedModel) -> list[tuple[int, Any]]:
    """Submit a job with GPUs, about which the first shard decides; returns the answers."""
    job_id = next(
        name for n in range(500, 600) if MAP.home_shards(name := f"job-{n:06d}")[0] == HOME
    )
    answers: list[tuple[int, Any]] = []
    scheduler = model.shares[HOME].scheduler
    scheduler.now = model.now
    spec = submission(id=job_id, team="blue", gpus=1.0)
    scheduler.job_requests.submit(
        spec, lambda status, body: answers.append((status, body)), 5000.0 + model.now
    )
    model.collect(model.shares[HOME])
    return answers


def test_submission_is_sent_on_only_once_that_is_durable() -> None:
    model = DurabilityCheckedModel()
    answers = submit_job_of_first_shard(model)
    assert not answers
    model.go_on(1)
    assert answers == [(421, {"share": 0})]


def test_planted_early_forward_is_detected(monkeypatch: Patch) -> None:
    forward = JobRequests._forward_to_shard

    def without_waiting(self: JobRequests, *given: Any) -> None:
        users_are_answered_before_records_are_durable(monkeypatch)
        forward(self, *given)

    monkeypatch.setattr(JobRequests, "_forward_to_shard", without_waiting)
    with pytest.raises(AssertionError, match="sent on before it was durable"):
        submit_job_of_first_shard(DurabilityCheckedModel())
