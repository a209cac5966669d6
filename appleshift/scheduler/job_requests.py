"""What users ask of a share: submissions, queries and cancellations.

Part of the core. Nobody is told what is not durable: answers that rest on a
record wait for it, and are given up at once when the state service stalls.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from appleshift.contracts.interfaces import SchedulerView, ShardingView
from appleshift.placement.admission import rejection
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import CANCELLED, FINISHED, FORWARDED, OPEN, Job
from appleshift.storage import records

log = logging.getLogger(__name__)

MAX_LAG_S = 2.0
"""Users wait 5 s for an answer: nothing is accepted that is durable much later."""
FINAL_NAMES = {FINISHED: users.DONE, CANCELLED: users.CANCELLED}


class ReplyingScheduler(SchedulerView, Protocol):
    """The core, as what answers users sees it."""

    sharding: ShardingView | None
    is_stalled: bool
    draining: bool

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None: ...

    def reply_durable(self, reply_to: Any, status: int, body: Any) -> None: ...

    def reply_unavailable(self, reply_to: Any) -> None: ...

    def job_arrived(self, spec: Submission) -> None: ...

    def job_cancelled(self, job: Job) -> None: ...


class JobRequests:
    """Users' requests, answered from the tables."""

    def __init__(self, scheduler: ReplyingScheduler) -> None:
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self._first_submission_logged = False

    def _reply_if_final(
        self, job_id: str, reply_to: Any, body: Callable[[str, str], dict[str, Any]]
    ) -> bool:
        """Answer from what is over, or say which share decides for the job."""
        final = self._cluster.final_states.get(job_id)
        if final is None:
            return False
        if final >= FORWARDED:
            self._scheduler.reply(reply_to, 421, {"share": final - FORWARDED})
        else:
            self._scheduler.reply(reply_to, 200, body(job_id, FINAL_NAMES[final]))
        return True

    def submit(self, spec: Submission, reply_to: Any, wall: float, homed: bool = False) -> None:
        scheduler, cluster = self._scheduler, self._cluster
        if self._reply_if_final(spec.id, reply_to, users.state_body):
            return
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        known = cluster.job_by_id.get(spec.id)
        if known is not None:
            if known.accepted:
                scheduler.reply(reply_to, 200, users.state_body(spec.id, self.state(known)))
            else:
                self._reply_unless_stalled(reply_to, 200, users.state_body(spec.id, users.PENDING))
            return
        wrong = rejection(cluster, spec, scheduler.counted_resources)
        if wrong is not None:
            # Also in an outage: nothing has to be written to refuse it.
            scheduler.reply(
                reply_to, wrong[0], users.error_body(wrong[1]), 1 if wrong[0] == 503 else 0
            )
            return
        if not self._can_write():
            scheduler.reply_unavailable(reply_to)
            return
        if scheduler.sharding is not None and not homed:
            if not scheduler.sharding.is_home(spec.id):
                # Sent by a node that goes by an older map.
                scheduler.reply_unavailable(reply_to)
                return
            share = scheduler.sharding.deciding_shard(spec)
            if share != scheduler.sharding.shard:
                self._forward_to_shard(spec, share, reply_to)
                return
        if scheduler.counted_resources is None and spec.counted_resources is not None:
            spec = msgspec.structs.replace(spec, counted_resources=None)
        job = cluster.add_job(cluster.next_job_index, spec, wall)
        record = records.job_record(job)
        if not scheduler.write_ahead_log.fits(record):
            cluster.jobs.pop(job.index)
            cluster.job_by_id.pop(spec.id)
            scheduler.reply(reply_to, 400, users.error_body("description too large"))
            return

        def accepted() -> None:
            job.accepted = True
            scheduler.placement_needed = True
            if not self._first_submission_logged:
                self._first_submission_logged = True
                log.info("first submission of this term is durable")

        written = [record]
        if scheduler.sharding is not None:
            written += scheduler.sharding.partition_array(job)
        scheduler.append_records(written, accepted)
        scheduler.reply_durable(reply_to, 201, users.state_body(spec.id, users.PENDING))
        scheduler.job_arrived(spec)

    def _forward_to_shard(self, spec: Submission, share: int, reply_to: Any) -> None:
        """Another share decides for this job: written down here, where its id leads.

        Only then may that share be asked, or two might take the same job.
        """
        scheduler, cluster = self._scheduler, self._cluster
        final = FORWARDED + share

        def durable() -> None:
            cluster.final_states[spec.id] = final

        scheduler.append_records([records.final_state_record(spec.id, final)], durable)
        scheduler.unsaved_final_states.append((spec.id, final))
        scheduler.reply_durable(reply_to, 421, {"share": share})

    def _can_write(self) -> bool:
        scheduler = self._scheduler
        return (
            not (scheduler.is_stalled or scheduler.draining)
            and scheduler.lease.may_write(scheduler.now)
            and scheduler.write_ahead_log.lag_s() < MAX_LAG_S
        )

    def _reply_unless_stalled(self, reply_to: Any, status: int, body: dict[str, Any]) -> None:
        if self._scheduler.is_stalled:
            self._scheduler.reply_unavailable(reply_to)
        else:
            self._scheduler.reply_durable(reply_to, status, body)

    def state(self, job: Job) -> str:
        """What users may be told: only what is durable."""
        final = self._final_state(job)
        if final is not None:
            return final
        return users.RUNNING if job.running() else users.PENDING

    @staticmethod
    def _final_state(job: Job) -> str | None:
        """Durable, and so told to whoever asks; None: the job is not over."""
        if job.done_durable:
            return users.DONE
        return users.CANCELLED if job.cancel_durable else None

    def last_reported_state(self, job_id: str) -> str | None:
        """What users have been told of a job at least: its final state, PENDING if it was
        accepted, None if it is not known. Any routine may ask: it reads single values."""
        # In this order: an ended job is among the finals before it is gone from here.
        job = self._cluster.job_by_id.get(job_id)
        final = self._cluster.final_states.get(job_id)
        if final is not None:
            return FINAL_NAMES.get(final, users.PENDING)
        if job is None:
            return None
        return self._final_state(job) or users.PENDING

    def _reply_unknown_job(self, job_id: str, reply_to: Any, homed: bool, map_version: int) -> None:
        """No such job here. Only if it was asked for by the map in force, or sent on
        from where its id leads, does that mean that there is none: nodes that knew of
        no map yet, or of an older one, once told users that their jobs were unknown."""
        sharing = self._scheduler.sharding
        if sharing is None or homed or sharing.is_current_map(job_id, map_version):
            self._scheduler.reply(reply_to, 404, users.error_body("no such job"))
        else:
            self._scheduler.reply_unavailable(reply_to)

    def status(self, job_id: str, reply_to: Any, homed: bool = False, map_version: int = 0) -> None:
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.status_body):
            return
        job = self._cluster.job_by_id.get(job_id)
        if job is not None and (job.done_durable or job.cancel_durable):
            pass
        elif not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        if job is None:
            self._reply_unknown_job(job_id, reply_to, homed, map_version)
        elif not job.accepted:
            scheduler.reply_unavailable(reply_to)
        else:
            body = users.status_body(job_id, self.state(job), job.done_count, job.running())
            scheduler.reply(reply_to, 200, body)

    def cancel(self, job_id: str, reply_to: Any, homed: bool = False, map_version: int = 0) -> None:
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.state_body):
            return
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        job = self._cluster.job_by_id.get(job_id)
        if job is None:
            self._reply_unknown_job(job_id, reply_to, homed, map_version)
            return
        if not self._can_write():
            scheduler.reply_unavailable(reply_to)
            return
        apart = job.remote_tasks and job.status == OPEN
        if scheduler.sharding is not None and (apart or job.cancel_requested):
            # Users are told once every share that has a portion has ended it.
            scheduler.sharding.cancel_partitioned(job, reply_to)
            return
        if job.status == OPEN:
            job.status = CANCELLED
            scheduler.write_ahead_log.append(
                records.cancel_record(job), lambda: scheduler.job_cancelled(job)
            )
        scheduler.reply_durable(reply_to, 200, users.state_body(job_id, FINAL_NAMES[job.status]))
