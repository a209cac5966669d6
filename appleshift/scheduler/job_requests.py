"""Users' requests to a shard: submissions, queries and cancellations.

No answer tells what is not durable. An answer that rests on a record waits for it, and
is given up at once when the key-value store takes no writes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from appleshift.contracts.interfaces import ShardingView
from appleshift.placement.admission import rejection
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.scheduler.interfaces import ReplyingScheduler
from appleshift.state.entities import Job
from appleshift.state.states import CANCELLED, FINISHED, FORWARDED, OPEN
from appleshift.storage import records

log = logging.getLogger(__name__)

MAX_LOG_LAG_FOR_REQUESTS_S = 2.0
"""Nothing is accepted that becomes durable much later: users wait 5 s for an answer."""
REJECTED_RETRY_AFTER_S = 1
"""After this a submission that cannot be judged yet may be repeated."""
FINAL_STATE_NAMES = {FINISHED: users.DONE, CANCELLED: users.CANCELLED}


class JobRequests:
    """Answers users' requests from the cluster state of one term."""

    def __init__(self, scheduler: ReplyingScheduler) -> None:
        """Answer in the name of ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self._first_submission_logged = False

    # -- submissions --------------------------------------------------------------------

    def submit(
        self, spec: Submission, reply_to: Any, wall_time: float, forwarded_by_home: bool = False
    ) -> None:
        """Accept, refuse or forward a submission; a repeated one is answered as the first.

        ``wall_time`` is now, in seconds since the epoch. ``forwarded_by_home``: the shard
        where the job's id belongs has recorded that this one decides for the job.
        """
        scheduler = self._scheduler
        if self._reply_if_final(spec.id, reply_to, users.state_body):
            return
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        job = self._cluster.job_by_id.get(spec.id)
        if job is not None:
            self._reply_to_repeated_submission(job, reply_to)
            return
        if self._reject(spec, reply_to):
            return
        if not self._can_write():
            scheduler.reply_unavailable(reply_to)
            return
        sharding = scheduler.sharding
        if (
            sharding is not None
            and not forwarded_by_home
            and self._decided_elsewhere(sharding, spec, reply_to)
        ):
            return
        self._accept(spec, reply_to, wall_time)

    def _reply_to_repeated_submission(self, job: Job, reply_to: Any) -> None:
        scheduler, job_id = self._scheduler, job.spec.id
        if job.accepted:
            scheduler.reply(reply_to, 200, users.state_body(job_id, self.state(job)))
        elif scheduler.writes_stalled:
            scheduler.reply_unavailable(reply_to)
        else:
            scheduler.reply_when_durable(reply_to, 200, users.state_body(job_id, users.PENDING))

    def _reject(self, spec: Submission, reply_to: Any) -> bool:
        """Answer a submission that cannot be taken, and tell whether it was one.

        This works while the store takes no writes, too: nothing has to be recorded.
        """
        scheduler = self._scheduler
        refused = rejection(self._cluster, spec, scheduler.counted_resources)
        if refused is None:
            return False
        status, reason = refused
        retry_after = REJECTED_RETRY_AFTER_S if status == 503 else 0
        scheduler.reply(reply_to, status, users.error_body(reason), retry_after)
        return True

    def _decided_elsewhere(self, sharding: ShardingView, spec: Submission, reply_to: Any) -> bool:
        """Answer a submission that is not this shard's to decide; tell whether it was one."""
        if not sharding.is_home(spec.id):
            # Sent by a node that goes by an older shard map.
            self._scheduler.reply_unavailable(reply_to)
            return True
        shard = sharding.deciding_shard(spec)
        if shard == sharding.shard:
            return False
        self._forward_to_shard(spec, shard, reply_to)
        return True

    def _forward_to_shard(self, spec: Submission, shard: int, reply_to: Any) -> None:
        """Record here, where the job's id leads, that another shard decides for the job.

        Only once that is durable may that shard be asked, or two might take the job.
        """
        scheduler, cluster = self._scheduler, self._cluster
        final = FORWARDED + shard

        def durable() -> None:
            cluster.final_states[spec.id] = final

        scheduler.append_records([records.final_state_record(spec.id, final)], durable)
        scheduler.unsaved_final_states.append((spec.id, final))
        scheduler.reply_when_durable(reply_to, 421, {"share": shard})

    def _accept(self, spec: Submission, reply_to: Any, wall_time: float) -> None:
        scheduler, cluster = self._scheduler, self._cluster
        if scheduler.counted_resources is None and spec.counted_resources is not None:
            spec = msgspec.structs.replace(spec, counted_resources=None)
        job = cluster.add_job(cluster.next_job_index, spec, wall_time)
        record = records.job_record(job)
        if not scheduler.write_ahead_log.fits(record):
            cluster.jobs.pop(job.index)
            cluster.job_by_id.pop(spec.id)
            scheduler.reply(reply_to, 400, users.error_body("description too large"))
            return
        new_records = [record]
        if scheduler.sharding is not None:
            new_records += scheduler.sharding.partition_array(job)
        scheduler.append_records(new_records, partial(self._submission_durable, job))
        scheduler.reply_when_durable(reply_to, 201, users.state_body(spec.id, users.PENDING))
        scheduler.job_arrived(spec)

    def _submission_durable(self, job: Job) -> None:
        job.accepted = True
        self._scheduler.placement_needed = True
        if not self._first_submission_logged:
            self._first_submission_logged = True
            log.info("first submission of this term is durable")

    # -- queries ------------------------------------------------------------------------

    def status(
        self,
        job_id: str,
        reply_to: Any,
        forwarded_by_home: bool = False,
        shard_map_version: int = 0,
    ) -> None:
        """Answer how far a job is.

        ``shard_map_version`` is of the map by which the asking node chose this shard;
        0: it had none.
        """
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.status_body):
            return
        job = self._cluster.job_by_id.get(job_id)
        ended = job is not None and self._final_state(job) is not None
        # What is final stays true whoever leads.
        if not ended and not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
        elif job is None:
            self._reply_unknown_job(job_id, reply_to, forwarded_by_home, shard_map_version)
        elif not job.accepted:
            scheduler.reply_unavailable(reply_to)
        else:
            body = users.status_body(job_id, self.state(job), job.done_count, job.running())
            scheduler.reply(reply_to, 200, body)

    def state(self, job: Job) -> str:
        """Return a job's state as users may learn it: only what is durable."""
        final = self._final_state(job)
        if final is not None:
            return final
        return users.RUNNING if job.running() else users.PENDING

    def last_reported_state(self, job_id: str) -> str | None:
        """Return the least that users have been told of a job.

        That is its final state, PENDING if it was accepted, or None if it is not known.
        Any thread may ask: single values are read.
        """
        # In this order: an ended job is among the final states before it leaves the jobs.
        job = self._cluster.job_by_id.get(job_id)
        final = self._cluster.final_states.get(job_id)
        if final is not None:
            return FINAL_STATE_NAMES.get(final, users.PENDING)
        if job is None:
            return None
        return self._final_state(job) or users.PENDING

    @staticmethod
    def _final_state(job: Job) -> str | None:
        """Return a job's state once it is durable that the job is over, else None."""
        if job.done_durable:
            return users.DONE
        return users.CANCELLED if job.cancel_durable else None

    # -- cancellations --------------------------------------------------------------------

    def cancel(
        self,
        job_id: str,
        reply_to: Any,
        forwarded_by_home: bool = False,
        shard_map_version: int = 0,
    ) -> None:
        """Cancel a job and answer once that is durable; parameters as for ``status``."""
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.state_body):
            return
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        job = self._cluster.job_by_id.get(job_id)
        if job is None:
            self._reply_unknown_job(job_id, reply_to, forwarded_by_home, shard_map_version)
            return
        if not self._can_write():
            scheduler.reply_unavailable(reply_to)
            return
        partitioned = job.remote_tasks and job.status == OPEN
        if scheduler.sharding is not None and (partitioned or job.cancel_requested):
            # Users are answered once every shard that runs a part has ended it.
            scheduler.sharding.cancel_partitioned(job, reply_to)
            return
        if job.status == OPEN:
            job.status = CANCELLED
            scheduler.write_ahead_log.append(
                records.cancel_record(job), lambda: scheduler.job_cancelled(job)
            )
        scheduler.reply_when_durable(
            reply_to, 200, users.state_body(job_id, FINAL_STATE_NAMES[job.status])
        )

    # -- common -------------------------------------------------------------------------

    def _reply_if_final(
        self, job_id: str, reply_to: Any, body: Callable[[str, str], dict[str, Any]]
    ) -> bool:
        """Answer if the job is over or another shard decides for it; tell whether it is so."""
        final = self._cluster.final_states.get(job_id)
        if final is None:
            return False
        if final >= FORWARDED:
            self._scheduler.reply(reply_to, 421, {"share": final - FORWARDED})
        else:
            self._scheduler.reply(reply_to, 200, body(job_id, FINAL_STATE_NAMES[final]))
        return True

    def _reply_unknown_job(
        self, job_id: str, reply_to: Any, forwarded_by_home: bool, shard_map_version: int
    ) -> None:
        """Answer a request about a job that is not here.

        That means that there is none only if the request came by the map in force, or
        was forwarded by the shard where the job's id leads: nodes that had no map yet,
        or an older one, once told users that their jobs were unknown.
        """
        sharding = self._scheduler.sharding
        if (
            sharding is None
            or forwarded_by_home
            or sharding.is_current_map(job_id, shard_map_version)
        ):
            self._scheduler.reply(reply_to, 404, users.error_body("no such job"))
        else:
            self._scheduler.reply_unavailable(reply_to)

    def _can_write(self) -> bool:
        scheduler = self._scheduler
        return (
            not (scheduler.writes_stalled or scheduler.draining)
            and scheduler.lease.may_write(scheduler.now)
            and scheduler.write_ahead_log.lag_s() < MAX_LOG_LAG_FOR_REQUESTS_S
        )
