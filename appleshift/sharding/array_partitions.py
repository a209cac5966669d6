"""Large arrays, divided between shards.

Which tasks go where is durable at home before anyone hears of it, and each shard that
gets some writes them down before it says so; from then on they are its own. The home
asks, again and again, until all is done; every message may be lost, late or repeated.
What is cancelled leaves a final state behind even where its partition has not come yet,
so that a partition that arrives afterwards starts nothing; and the user is told once all
have said so.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from appleshift.protocol import users
from appleshift.protocol.sharding import ArrayPartition, PartitionRequest, PartitionStatus
from appleshift.sharding.interfaces import ShardScheduler
from appleshift.state.entities import Job, partition_key
from appleshift.state.name_index import from_ranges, to_ranges
from appleshift.state.states import CANCELLED, FINISHED, OPEN
from appleshift.storage import records
from appleshift.storage.records import Record

MIN_TASKS_PER_SHARD = 24
"""Arrays of so many tasks for each shard are divided: of smaller ones each shard
would fetch the image for a handful."""
MAX_PARTITIONS_PER_CALL = 40


class ArrayPartitions:
    """Of one term of a shard, as a home and as one that runs what others sent."""

    def __init__(
        self,
        scheduler: ShardScheduler,
        number: int,
        submission_shards: list[int],
        poll_now: Callable[[int], None],
    ) -> None:
        """``poll_now`` asks a shard for its partitions' progress without waiting for the
        interval."""
        self._scheduler = scheduler
        self._shard = number
        self._submission_shards = submission_shards
        # That shard is to be asked at once.
        self._poll_now = poll_now
        # As a home: jobs with tasks away, by id; (id, share) that took their partition,
        # that ended it, and how many tasks ran there; who waits for a cancellation.
        self._divided: dict[str, Job] = {
            job.spec.id: job
            for job in scheduler.cluster.jobs.values()
            if job.remote_tasks or job.cancel_requested
        }
        self._accepted: set[tuple[str, int]] = set()
        self._ended: set[tuple[str, int]] = set()
        self._running: dict[tuple[str, int], int] = {}
        self._waiting: dict[str, list[Any]] = defaultdict(list)
        # Of partitions here: how many tasks were done when their ranges were worked out.
        self._ranges: dict[str, tuple[int, list[int]]] = {}

    def __len__(self) -> int:
        """Number of jobs with tasks in other shards."""
        return len(self._divided)

    # -- at home -------------------------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        """Divide a new array among the shards; returns the records to append, none if it stays
        whole."""
        spec, submission_shards = job.spec, self._submission_shards
        whole = spec.shape != users.ARRAY or spec.together or spec.spread
        if whole or self._shard not in submission_shards or len(submission_shards) < 2:
            return []
        if spec.tasks < MIN_TASKS_PER_SHARD * len(submission_shards):
            return []
        count = spec.tasks // len(submission_shards)
        others = [shard for shard in submission_shards if shard != self._shard]
        start = spec.tasks - count * len(others)
        job.assign_partitions([[shard, start + n * count, count] for n, shard in enumerate(others)])
        self._divided[spec.id] = job
        return [records.partitions_record(job)]

    def cancel(self, job: Job, reply_to: Any) -> None:
        """Cancel a job with tasks in other shards; ``reply_to`` is answered once all have ended
        them."""
        scheduler = self._scheduler
        if not job.cancel_requested and job.status == OPEN:
            # From here on nothing of it starts or counts as done at home.
            job.status = CANCELLED
            job.cancel_requested = True
            scheduler.append_records(
                [records.cancel_requested_record(job)], lambda: self._cancel_requested(job)
            )
        scheduler.add_pending_reply(reply_to)
        self._waiting[job.spec.id].append(reply_to)

    def _cancel_requested(self, job: Job) -> None:
        self._scheduler.stop_job(job)
        for shard, _, _ in job.partitions:
            self._poll_now(shard)
        self._maybe_cancelled(job)

    def _maybe_cancelled(self, job: Job) -> None:
        """Once no shard will ever start anything of it, the user may be told."""
        job_id = job.spec.id
        if not job.cancel_requested or job.cancel_durable:
            return
        if any((job_id, shard) not in self._ended for shard, _, _ in job.partitions):
            return
        job.cancel_requested = False
        scheduler = self._scheduler

        def durable() -> None:
            job.cancel_durable = True
            self._forget(job)
            for reply_to in self._waiting.pop(job_id, ()):
                scheduler.reply_if_pending(
                    reply_to, 200, users.acknowledgement_body(job_id, users.CANCELLED)
                )
            scheduler.job_cancelled(job)

        scheduler.append_records([records.cancel_record(job)], durable)

    def _forget(self, job: Job) -> None:
        """No other shard has anything of it any more that matters here."""
        self._divided.pop(job.spec.id, None)
        for shard, _, _ in job.partitions:
            key = (job.spec.id, shard)
            self._accepted.discard(key)
            self._ended.discard(key)
            self._running.pop(key, None)

    def outstanding(self) -> dict[int, tuple[list[ArrayPartition], list[str], list[str]]]:
        """By share: partitions to be taken, jobs cancelled, jobs to be told of."""
        found: dict[int, tuple[list[ArrayPartition], list[str], list[str]]] = {}
        for job_id, job in list(self._divided.items()):
            if not job.remote_tasks and job.status != CANCELLED:
                self._forget(job)
                continue
            # Nobody hears of partitions that are not durable yet.
            for shard, start, count in job.partitions if job.accepted else ():
                key = (job_id, shard)
                if key in self._ended or (job.status != OPEN and not job.cancel_requested):
                    continue
                portions, called_off, wanted = found.setdefault(shard, ([], [], []))
                if job.cancel_requested:
                    called_off.append(job_id)
                elif key in self._accepted:
                    wanted.append(job_id)
                elif len(portions) < MAX_PARTITIONS_PER_CALL:
                    portions.append(ArrayPartition(start, count, job.submitted, job.spec))
        return found

    def status_received(self, shard: int, partition_status: PartitionStatus) -> None:
        """Apply another shard's durable status of one partition."""
        job = self._divided.get(partition_status.id)
        partition = next((p for p in job.partitions if p[0] == shard), None) if job else None
        if job is None or partition is None:
            return
        key = (partition_status.id, shard)
        self._accepted.add(key)
        _, start, count = partition
        mine = range(start, start + count)
        if partition_status.state == CANCELLED:
            # Called off here or by a holder before, whose word was durable.
            self._ended.add(key)
        elif job.status == OPEN:
            told = (
                mine
                if partition_status.state == FINISHED
                else from_ranges(partition_status.done_ranges)
            )
            done = [task for task in told if task in mine and not job.done[task]]
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
        self._maybe_cancelled(job)

    # -- where they run ----------------------------------------------------------------

    def request_received(self, ask: PartitionRequest) -> list[PartitionStatus]:
        """Take and end what another shard says; how all that it names stands.

        What this says may not be durable yet: the answer must wait until it is.
        """
        cluster = self._scheduler.cluster
        for partition in ask.partitions:
            key = partition_key(partition.spec.id)
            known = key in cluster.final_states or key in cluster.job_by_id
            if not known and cluster.team_names.get(partition.spec.team) >= 0:
                self._accept(partition)
        for job_id in ask.cancelled:
            self._end(job_id)
        ids = [partition.spec.id for partition in ask.partitions] + ask.cancelled + ask.status_of
        return [
            partition_status
            for job_id in ids
            if (partition_status := self._status(job_id)) is not None
        ]

    def _accept(self, partition: ArrayPartition) -> None:
        scheduler = self._scheduler
        cluster = scheduler.cluster
        job = cluster.add_job(
            cluster.next_job_index, partition.spec, partition.submitted, partition=True
        )
        mine = range(partition.start, partition.start + partition.count)
        others = [task for task in range(partition.spec.tasks) if task not in mine]
        for task in others:
            cluster.finish_task(job, task)

        def durable() -> None:
            job.accepted = True
            scheduler.placement_needed = True

        scheduler.append_records(
            [records.job_record(job), *records.done_records(job, others)], durable
        )

    def _end(self, job_id: str) -> None:
        """Nothing of this job starts here from now on, not even if it comes later."""
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

    def _status(self, job_id: str) -> PartitionStatus | None:
        cluster, key = self._scheduler.cluster, partition_key(job_id)
        final = cluster.final_states.get(key)
        if final is not None:
            self._ranges.pop(job_id, None)
            return PartitionStatus(job_id, final, [])
        job = cluster.job_by_id.get(key)
        if job is None:
            return None
        if job.status != OPEN:
            return PartitionStatus(job_id, job.status, [])
        count, ranges = self._ranges.get(job_id, (-1, []))
        if count != job.done_count:
            ranges = to_ranges([task for task in range(job.spec.tasks) if job.done[task]])
            self._ranges[job_id] = (job.done_count, ranges)
        return PartitionStatus(job_id, OPEN, ranges, job.running())
