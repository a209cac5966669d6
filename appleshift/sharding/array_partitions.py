"""Large arrays, divided between shares.

Which tasks go where is durable at home before anyone hears of it, and each share that
gets some writes them down before it says so; from then on they are its own. The home
asks, again and again, until all is done; every message may be lost, late or repeated.
What is called off leaves a final state behind even where its portion has not come yet,
so that a portion that arrives afterwards starts nothing; and the user is told once all
have said so.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from appleshift.protocol import users
from appleshift.protocol.sharding import ArrayPartition, PartitionRequest, PartitionStatus
from appleshift.sharding.interfaces import ShardScheduler
from appleshift.state.cluster_state import CANCELLED, FINISHED, OPEN, Job, partition_key
from appleshift.state.name_index import from_ranges, to_ranges
from appleshift.storage import records
from appleshift.storage.records import Record

MIN_TASKS_PER_SHARD = 24
"""Arrays of so many tasks for each share are divided: of smaller ones each share
would fetch the image for a handful."""
MAX_PARTITIONS_PER_CALL = 40


class ArrayPartitions:
    """Of one term of a share, as a home and as one that runs what others sent."""

    def __init__(
        self,
        scheduler: ShardScheduler,
        number: int,
        takers: list[int],
        hurry: Callable[[int], None],
    ) -> None:
        self._scheduler = scheduler
        self._shard = number
        self._submission_shards = takers
        # That share is to be asked at once.
        self._poll_now = hurry
        # As a home: jobs with tasks away, by id; (id, share) that took their portion,
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
        # Of portions here: how many tasks were done when their ranges were worked out.
        self._ranges: dict[str, tuple[int, list[int]]] = {}

    def __len__(self) -> int:
        return len(self._divided)

    # -- at home -------------------------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        spec, takers = job.spec, self._submission_shards
        whole = spec.shape != users.ARRAY or spec.together or spec.spread
        if whole or self._shard not in takers or len(takers) < 2:
            return []
        if spec.tasks < MIN_TASKS_PER_SHARD * len(takers):
            return []
        count = spec.tasks // len(takers)
        others = [share for share in takers if share != self._shard]
        start = spec.tasks - count * len(others)
        job.assign_partitions([[share, start + n * count, count] for n, share in enumerate(others)])
        self._divided[spec.id] = job
        return [records.partitions_record(job)]

    def cancel(self, job: Job, reply_to: Any) -> None:
        scheduler = self._scheduler
        if not job.cancel_requested and job.status == OPEN:
            # From here on nothing of it starts or counts as done at home.
            job.status = CANCELLED
            job.cancel_requested = True
            scheduler.append_records(
                [records.cancel_requested_record(job)], lambda: self._cancel_requested(job)
            )
        scheduler.hold_reply(reply_to)
        self._waiting[job.spec.id].append(reply_to)

    def _cancel_requested(self, job: Job) -> None:
        self._scheduler.stop_job(job)
        for share, _, _ in job.partitions:
            self._poll_now(share)
        self._maybe_cancelled(job)

    def _maybe_cancelled(self, job: Job) -> None:
        """Once no share will ever start anything of it, the user may be told."""
        job_id = job.spec.id
        if not job.cancel_requested or job.cancel_durable:
            return
        if any((job_id, share) not in self._ended for share, _, _ in job.partitions):
            return
        job.cancel_requested = False
        scheduler = self._scheduler

        def durable() -> None:
            job.cancel_durable = True
            self._forget(job)
            for reply_to in self._waiting.pop(job_id, ()):
                scheduler.answer_held(reply_to, 200, users.state_body(job_id, users.CANCELLED))
            scheduler.job_cancelled(job)

        scheduler.append_records([records.cancel_record(job)], durable)

    def _forget(self, job: Job) -> None:
        """No other share has anything of it any more that matters here."""
        self._divided.pop(job.spec.id, None)
        for share, _, _ in job.partitions:
            key = (job.spec.id, share)
            self._accepted.discard(key)
            self._ended.discard(key)
            self._running.pop(key, None)

    def outstanding(self) -> dict[int, tuple[list[ArrayPartition], list[str], list[str]]]:
        """By share: portions to be taken, jobs called off, jobs to be told of."""
        found: dict[int, tuple[list[ArrayPartition], list[str], list[str]]] = {}
        for job_id, job in list(self._divided.items()):
            if not job.remote_tasks and job.status != CANCELLED:
                self._forget(job)
                continue
            # Nobody hears of portions that are not durable yet.
            for share, start, count in job.partitions if job.accepted else ():
                key = (job_id, share)
                if key in self._ended or (job.status != OPEN and not job.cancel_requested):
                    continue
                portions, called_off, wanted = found.setdefault(share, ([], [], []))
                if job.cancel_requested:
                    called_off.append(job_id)
                elif key in self._accepted:
                    wanted.append(job_id)
                elif len(portions) < MAX_PARTITIONS_PER_CALL:
                    portions.append(ArrayPartition(start, count, job.submitted, job.spec))
        return found

    def status_received(self, share: int, standing: PartitionStatus) -> None:
        job = self._divided.get(standing.id)
        portion = next((p for p in job.partitions if p[0] == share), None) if job else None
        if job is None or portion is None:
            return
        key = (standing.id, share)
        self._accepted.add(key)
        _, start, count = portion
        mine = range(start, start + count)
        if standing.state == CANCELLED:
            # Called off here or by a holder before, whose word was durable.
            self._ended.add(key)
        elif job.status == OPEN:
            told = mine if standing.state == FINISHED else from_ranges(standing.done)
            done = [task for task in told if task in mine and not job.done[task]]
            self._running[key] = standing.running
            job.remote_running = sum(
                self._running.get((standing.id, other), 0) for other, _, _ in job.partitions
            )
            if done:
                self._scheduler.complete_tasks(job, done, [])
            if standing.state == FINISHED:
                self._ended.add(key)
        elif standing.state == FINISHED:
            self._ended.add(key)
        self._maybe_cancelled(job)

    # -- where they run ----------------------------------------------------------------

    def request_received(self, ask: PartitionRequest) -> list[PartitionStatus]:
        """Take and end what another share says; how all that it names stands.

        What this says may not be durable yet: the answer must wait until it is.
        """
        cluster = self._scheduler.cluster
        for portion in ask.partitions:
            key = partition_key(portion.spec.id)
            known = key in cluster.final_states or key in cluster.job_by_id
            if not known and cluster.team_names.get(portion.spec.team) >= 0:
                self._accept(portion)
        for job_id in ask.cancelled:
            self._end(job_id)
        ids = [portion.spec.id for portion in ask.partitions] + ask.cancelled + ask.status_of
        return [standing for job_id in ids if (standing := self._status(job_id)) is not None]

    def _accept(self, portion: ArrayPartition) -> None:
        scheduler = self._scheduler
        cluster = scheduler.cluster
        job = cluster.add_job(
            cluster.next_job_index, portion.spec, portion.submitted, partition=True
        )
        mine = range(portion.start, portion.start + portion.count)
        others = [task for task in range(portion.spec.tasks) if task not in mine]
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
