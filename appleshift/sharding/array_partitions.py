"""Divides large arrays into partitions that run in several shards.

The home shard of a job accepted it from the user. The division into partitions is durable
there before any other shard receives a partition. The receiving shard records a partition
before it confirms, and from then on decides on its tasks. The home shard requests the status
of each partition until all its tasks are done; any message may be lost, late or repeated.
If a job is cancelled, the home shard first makes the request durable: another shard cancels
its partition permanently, so a request that a successor does not know must not reach it.
Then each shard records a final state for its partition, even if the partition has not arrived
yet, so that a partition that arrives later starts nothing. The user is answered once all
shards have confirmed.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from appleshift.protocol import users
from appleshift.protocol.sharding import ArrayPartition, PartitionRequest, PartitionStatus
from appleshift.sharding.shard_scheduler_interface import ShardScheduler
from appleshift.state.entities import Job, partition_key
from appleshift.state.states import CANCELLED, FINISHED, OPEN
from appleshift.state.task_set import TaskSet
from appleshift.storage import records
from appleshift.storage.records import Record

log = logging.getLogger(__name__)

MIN_TASKS_PER_SHARD = 24
"""Least number of tasks per shard for which an array is divided: with fewer, each shard would
fetch the image for only a few tasks."""
MAX_PARTITIONS_PER_CALL = 40
"""Most partitions offered to a shard in one request."""


class ArrayPartitions:
    """The divided jobs of a shard in one term, and its partitions of other shards' jobs."""

    def __init__(
        self,
        scheduler: ShardScheduler,
        shard: int,
        submission_shards: list[int],
        poll_now: Callable[[int], None],
    ) -> None:
        """``poll_now`` lets the next request to a shard be sent without waiting for the
        interval."""
        self._scheduler = scheduler
        self._shard = shard
        self._submission_shards = submission_shards
        self._poll_now = poll_now
        # At the home shard: jobs with tasks in other shards, by id.
        self._divided_jobs: dict[str, Job] = {
            job.spec.id: job
            for job in scheduler.cluster.jobs.values()
            if job.remote_tasks or job.cancel_requested
        }
        # Partitions, as (job id, shard), that their shard accepted.
        self._accepted: set[tuple[str, int]] = set()
        # Partitions, as (job id, shard), of which no task will ever start there again.
        self._ended: set[tuple[str, int]] = set()
        # Number of running tasks by partition, as last reported.
        self._running: dict[tuple[str, int], int] = {}
        # Open cancellation requests of users, by job id.
        self._cancel_replies: dict[str, list[Any]] = defaultdict(list)
        # For partitions that run here: number of done tasks, and their ranges, by job id. The
        # ranges are computed again when the number changes.
        self._done_ranges: dict[str, tuple[int, list[int]]] = {}
        # Ids of jobs with an invalid partition that was logged.
        self._logged_invalid: set[str] = set()

    def __len__(self) -> int:
        """Number of jobs with tasks in other shards."""
        return len(self._divided_jobs)

    # -- at the home shard ---------------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        """Divide a new array among the shards; returns the records to append, none if it stays
        whole."""
        spec, submission_shards = job.spec, self._submission_shards
        stays_whole = spec.shape != users.ARRAY or spec.together or spec.spread
        if stays_whole or self._shard not in submission_shards or len(submission_shards) < 2:
            return []
        if spec.tasks < MIN_TASKS_PER_SHARD * len(submission_shards):
            return []
        count = spec.tasks // len(submission_shards)
        other_shards = [shard for shard in submission_shards if shard != self._shard]
        start = spec.tasks - count * len(other_shards)
        self._scheduler.cluster.assign_partitions(
            job, [[shard, start + n * count, count] for n, shard in enumerate(other_shards)]
        )
        self._divided_jobs[spec.id] = job
        return [records.partitions_record(job)]

    def cancel(self, job: Job, reply_to: Any) -> None:
        """Cancel a job with tasks in other shards; ``reply_to`` is answered once all of them have
        ended their partition."""
        if not job.cancel_requested and job.status == OPEN:
            self._request_cancellation(job)
        self._scheduler.add_pending_reply(reply_to)
        self._cancel_replies[job.spec.id].append(reply_to)

    def _request_cancellation(self, job: Job) -> None:
        """Record that an open job is to be cancelled; the other shards are told afterwards."""
        # From here on no task of the job starts or counts as done at the home shard.
        job.status = CANCELLED
        job.cancel_requested = True
        self._scheduler.append_records(
            [records.cancel_requested_record(job)], lambda: self._cancel_request_durable(job)
        )

    def _cancel_request_durable(self, job: Job) -> None:
        job.cancel_request_durable = True
        self._scheduler.stop_job(job)
        for shard, _, _ in job.partitions:
            self._poll_now(shard)
        self._finish_cancellation(job)

    def _finish_cancellation(self, job: Job) -> None:
        """Record the cancellation and answer the user once no shard can start a task of the
        job."""
        job_id = job.spec.id
        if not job.cancel_requested or not job.cancel_request_durable:
            return
        if any((job_id, shard) not in self._ended for shard, _, _ in job.partitions):
            return
        job.cancel_requested = False
        scheduler = self._scheduler

        def durable() -> None:
            job.cancel_durable = True
            self._remove_divided_job(job)
            for reply_to in self._cancel_replies.pop(job_id, ()):
                scheduler.reply_if_pending(
                    reply_to, 200, users.acknowledgement_body(job_id, users.CANCELLED)
                )
            scheduler.job_cancelled(job)

        scheduler.append_records([records.cancel_record(job)], durable)

    def _remove_divided_job(self, job: Job) -> None:
        """Remove a divided job that is cancelled, or whose tasks in other shards are all done."""
        self._divided_jobs.pop(job.spec.id, None)
        for shard, _, _ in job.partitions:
            key = (job.spec.id, shard)
            self._accepted.discard(key)
            self._ended.discard(key)
            self._running.pop(key, None)

    def outstanding(self) -> dict[int, PartitionRequest]:
        """Requests to other shards about divided jobs of this shard, by shard."""
        requests: dict[int, PartitionRequest] = {}
        for job in list(self._divided_jobs.values()):
            if not job.remote_tasks and job.status != CANCELLED:
                self._remove_divided_job(job)
            elif self._may_leave(job):
                self._add_requests(job, requests)
        return requests

    @staticmethod
    def _may_leave(job: Job) -> bool:
        """Whether other shards may be told the state of a job: its division, and a cancellation
        if there is one, are durable."""
        if job.cancel_requested:
            return job.accepted and job.cancel_request_durable
        return job.accepted and job.status == OPEN

    def _add_requests(self, job: Job, requests: dict[int, PartitionRequest]) -> None:
        """Add what the other shards are to be asked about a job."""
        job_id = job.spec.id
        for shard, start, count in job.partitions:
            key = (job_id, shard)
            if key in self._ended:
                continue
            request = requests.setdefault(shard, PartitionRequest(self._shard, [], [], []))
            if job.cancel_requested:
                request.cancelled.append(job_id)
            elif key in self._accepted:
                request.status_of.append(job_id)
            elif len(request.partitions) < MAX_PARTITIONS_PER_CALL:
                request.partitions.append(ArrayPartition(start, count, job.submitted, job.spec))

    def status_received(self, shard: int, partition_status: PartitionStatus) -> None:
        """Apply the durable status that another shard reports for its partition of a job."""
        job = self._divided_jobs.get(partition_status.id)
        partition = next((p for p in job.partitions if p[0] == shard), None) if job else None
        if job is None or partition is None:
            return
        key = (partition_status.id, shard)
        self._accepted.add(key)
        _, start, count = partition
        partition_tasks = range(start, start + count)
        if partition_status.state == CANCELLED:
            self._ended.add(key)
            if job.status == OPEN:
                self._resume_lost_cancellation(job, shard)
        elif job.status == OPEN:
            done = (
                TaskSet(partition_tasks)
                if partition_status.state == FINISHED
                else TaskSet.from_ranges(partition_status.done_ranges, partition_tasks)
            )
            done.difference_update(job.done_tasks)
            self._running[key] = partition_status.running
            job.remote_running = sum(
                self._running.get((partition_status.id, other), 0) for other, _, _ in job.partitions
            )
            if done:
                self._scheduler.complete_tasks(job, done, [])
            if partition_status.state == FINISHED:
                self._ended.add(key)
        elif partition_status.state == FINISHED:
            self._ended.add(key)
        self._finish_cancellation(job)

    def _resume_lost_cancellation(self, job: Job, shard: int) -> None:
        """Cancel an open job of which another shard has already cancelled its partition.

        The tasks of that partition never start again, so the job could not end otherwise. Only
        a request of the user causes this: an earlier version of the leader sent the
        cancellation to the other shards before it was durable, and failed.
        """
        log.warning("lost cancellation resumed job=%s partition_shard=%d", job.spec.id, shard)
        self._request_cancellation(job)

    # -- at the shard that runs a partition --------------------------------------------

    def request_received(self, request: PartitionRequest) -> list[PartitionStatus]:
        """Accept and cancel partitions as requested; returns the status of all that are named.

        The status may not be durable yet: the reply must wait until it is.
        """
        cluster = self._scheduler.cluster
        for partition in request.partitions:
            key = partition_key(partition.spec.id)
            known = key in cluster.final_states or key in cluster.job_by_id
            if not known and self._is_acceptable(partition):
                self._accept(partition)
        for job_id in request.cancelled:
            self._cancel_partition(job_id)
        ids = (
            [partition.spec.id for partition in request.partitions]
            + request.cancelled
            + request.status_of
        )
        return [
            partition_status
            for job_id in ids
            if (partition_status := self._partition_status(job_id)) is not None
        ]

    def _is_acceptable(self, partition: ArrayPartition) -> bool:
        """Whether the partition is a part of its job, and its team is known here."""
        end = partition.start + partition.count
        if not 0 <= partition.start < end <= partition.spec.tasks:
            job_id = partition.spec.id
            if job_id not in self._logged_invalid:
                self._logged_invalid.add(job_id)
                log.warning(
                    "invalid partition ignored job=%s start=%d count=%d",
                    job_id,
                    partition.start,
                    partition.count,
                )
            return False
        return self._scheduler.cluster.team_names.get(partition.spec.team) >= 0

    def _accept(self, partition: ArrayPartition) -> None:
        scheduler = self._scheduler
        cluster = scheduler.cluster
        job = cluster.add_job(
            cluster.next_job_index, partition.spec, partition.submitted, partition=True
        )
        partition_tasks = range(partition.start, partition.start + partition.count)
        other_tasks = TaskSet(range(partition.spec.tasks))
        other_tasks.difference_update(TaskSet(partition_tasks))
        job.mark_done(other_tasks)

        def durable() -> None:
            job.accepted = True
            scheduler.placement_needed = True

        scheduler.append_records(
            [records.job_record(job), *records.done_records(job, other_tasks)], durable
        )

    def _cancel_partition(self, job_id: str) -> None:
        """Cancel this shard's partition of the job; one that arrives later is not accepted."""
        scheduler, key = self._scheduler, partition_key(job_id)
        job = scheduler.cluster.job_by_id.get(key)
        if job is not None:
            if job.status == OPEN:
                job.status = CANCELLED
                scheduler.append_records(
                    [records.cancel_record(job)], lambda: scheduler.job_cancelled(job)
                )
        elif key not in scheduler.cluster.final_states:
            scheduler.cluster.final_states[key] = CANCELLED
            scheduler.unsaved_final_states.append((key, CANCELLED))
            scheduler.append_records([records.final_state_record(key, CANCELLED)])

    def _partition_status(self, job_id: str) -> PartitionStatus | None:
        """The status of this shard's partition of a job; None if the shard has no record of it."""
        cluster, key = self._scheduler.cluster, partition_key(job_id)
        final = cluster.final_states.get(key)
        if final is not None:
            self._done_ranges.pop(job_id, None)
            return PartitionStatus(job_id, final, [])
        job = cluster.job_by_id.get(key)
        if job is None:
            return None
        if job.status != OPEN:
            return PartitionStatus(job_id, job.status, [])
        count, ranges = self._done_ranges.get(job_id, (-1, []))
        if count != job.done_count:
            ranges = job.done_tasks.ranges()
            self._done_ranges[job_id] = (job.done_count, ranges)
        return PartitionStatus(job_id, OPEN, ranges, job.running())
