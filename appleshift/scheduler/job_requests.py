"""Handles users' requests to a shard: submissions, status queries and cancellations.

Responses contain durable state only. A response that depends on a record is sent once
the record is durable; if the key-value store accepts no writes, the request is refused
at once.
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
from appleshift.scheduler.scheduler_interfaces import AcceptingScheduler
from appleshift.state.entities import Job
from appleshift.state.states import CANCELLED, FINISHED, FORWARDED, OPEN
from appleshift.storage import records

log = logging.getLogger(__name__)

MAX_LOG_LAG_FOR_REQUESTS_S = 2.0
"""Above this lag of the write-ahead log, in seconds, requests that write are refused.

Users wait 5 s for a response, which is sent only after the write is durable.
"""
REJECTED_RETRY_AFTER_S = 1
"""Retry-After of a submission that cannot be accepted or rejected yet, in seconds."""
MEMORY_RETRY_AFTER_S = 5
"""Retry-After of a submission for which no memory is left, in seconds."""
FINAL_STATE_NAMES = {FINISHED: users.DONE, CANCELLED: users.CANCELLED}
"""Final states of jobs as users see them."""


class JobRequests:
    """Answers users' requests from the cluster state of one leader term."""

    def __init__(self, scheduler: AcceptingScheduler) -> None:
        """Handle requests for ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self._first_submission_logged = False

    # -- submissions --------------------------------------------------------------------

    def submit(
        self, spec: Submission, reply_to: Any, wall_time: float, forwarded_by_home: bool = False
    ) -> None:
        """Accept, reject or forward a submission.

        A submission whose job id is known is answered with the state of that job.
        ``wall_time`` is the current time in seconds since the Unix epoch.
        ``forwarded_by_home``: the home shard of the job id has recorded that this shard
        decides about the job.
        """
        scheduler = self._scheduler
        if self._reply_if_final(spec.id, reply_to, users.acknowledgement_body):
            return
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply_unavailable(reply_to)
            return
        job = self._cluster.job_by_id.get(spec.id)
        if job is not None:
            self._reply_to_repeated_submission(job, reply_to)
            return
        if self._reply_if_rejected(spec, reply_to):
            return
        if not self._can_write():
            scheduler.reply_unavailable(reply_to)
            return
        sharding = scheduler.sharding
        decided_elsewhere = (
            sharding is not None
            and not forwarded_by_home
            and self._reply_if_decided_elsewhere(sharding, spec, reply_to)
        )
        if not decided_elsewhere and not self._reply_if_out_of_memory(spec, reply_to):
            self._accept(spec, reply_to, wall_time)

    def _reply_to_repeated_submission(self, job: Job, reply_to: Any) -> None:
        scheduler, job_id = self._scheduler, job.spec.id
        if job.accepted:
            scheduler.reply(reply_to, 200, users.acknowledgement_body(job_id, self.state(job)))
        elif scheduler.writes_stalled:
            scheduler.reply_unavailable(reply_to)
        else:
            scheduler.reply_when_durable(
                reply_to, 200, users.acknowledgement_body(job_id, users.PENDING)
            )

    def _reply_if_rejected(self, spec: Submission, reply_to: Any) -> bool:
        """Answer a submission that cannot be accepted; return whether it was answered.

        A rejection writes no record, so this works while the store accepts no writes.
        """
        scheduler = self._scheduler
        rejected = rejection(self._cluster, spec, scheduler.counted_resources)
        if rejected is None:
            return False
        status, reason = rejected
        retry_after = REJECTED_RETRY_AFTER_S if status == 503 else 0
        scheduler.reply(reply_to, status, users.error_body(reason), retry_after)
        return True

    def _reply_if_out_of_memory(self, spec: Submission, reply_to: Any) -> bool:
        """Refuse a job that no leader could hold for now; return whether it was refused."""
        scheduler = self._scheduler
        if scheduler.memory_budget.admits(spec):
            return False
        scheduler.memory_budget.record_refusal(spec)
        body = users.error_body("no memory left for further jobs")
        scheduler.reply(reply_to, 429, body, MEMORY_RETRY_AFTER_S)
        return True

    def _reply_if_decided_elsewhere(
        self, sharding: ShardingView, spec: Submission, reply_to: Any
    ) -> bool:
        """Answer a submission that another shard decides about; return whether it was answered."""
        if not sharding.is_home_shard(spec.id):
            # The node that routed the request uses an older shard map.
            self._scheduler.reply_unavailable(reply_to)
            return True
        shard = sharding.deciding_shard(spec)
        if shard == sharding.shard:
            return False
        self._forward_to_shard(spec, shard, reply_to)
        return True

    def _forward_to_shard(self, spec: Submission, shard: int, reply_to: Any) -> None:
        """Record in the job's home shard that another shard decides about the job.

        The redirect to that shard is sent only after the record is durable, or two shards
        could accept the job.
        """
        scheduler, cluster = self._scheduler, self._cluster
        final_state = FORWARDED + shard

        def durable() -> None:
            cluster.final_states[spec.id] = final_state

        scheduler.append_records([records.final_state_record(spec.id, final_state)], durable)
        scheduler.unsaved_final_states.append((spec.id, final_state))
        scheduler.reply_when_durable(reply_to, 421, {"share": shard})

    def _accept(self, spec: Submission, reply_to: Any, wall_time: float) -> None:
        scheduler, cluster = self._scheduler, self._cluster
        if scheduler.counted_resources is None and spec.counted_resources is not None:
            spec = msgspec.structs.replace(spec, counted_resources=None)
        job = cluster.add_job(cluster.next_job_index, spec, wall_time)
        record = records.job_record(job)
        if not scheduler.write_ahead_log.fits(record):
            cluster.discard_job(job)
            scheduler.reply(reply_to, 400, users.error_body("description too large"))
            return
        new_records = [record]
        if scheduler.sharding is not None:
            new_records += scheduler.sharding.partition_array(job)
        scheduler.append_records(new_records, partial(self._submission_durable, job))
        scheduler.reply_when_durable(
            reply_to, 201, users.acknowledgement_body(spec.id, users.PENDING)
        )
        scheduler.job_arrived(spec)

    def _submission_durable(self, job: Job) -> None:
        job.accepted = True
        self._scheduler.placement_needed = True
        if not self._first_submission_logged:
            self._first_submission_logged = True
            log.info("first submission of this term is durable")

    # -- status queries -----------------------------------------------------------------

    def status(
        self,
        job_id: str,
        reply_to: Any,
        forwarded_by_home: bool = False,
        shard_map_version: int = 0,
    ) -> None:
        """Answer a query for the status of a job.

        ``forwarded_by_home``: the home shard of the job id has recorded that this shard
        decides about the job. ``shard_map_version`` is the version of the shard map with
        which the request was routed here; 0 if the routing node had no map.
        """
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.status_body):
            return
        job = self._cluster.job_by_id.get(job_id)
        ended = job is not None and self._final_state(job) is not None
        # A durable final state remains valid under any later leader.
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
        """Return a job's state for a response; a final state only once it is durable."""
        final_state = self._final_state(job)
        if final_state is not None:
            return final_state
        return users.RUNNING if job.running() else users.PENDING

    def last_reported_state(self, job_id: str) -> str | None:
        """Return the final state of a job if users may already have been told that it ended.

        Returns PENDING if the job has not ended, even if it runs, or if another shard decides
        about it; None if the job is not known. Safe to call from any thread: each read of
        shared state is a single lookup.
        """
        # job_by_id is read first: an ended job enters final_states before it leaves job_by_id.
        job = self._cluster.job_by_id.get(job_id)
        final_state = self._cluster.final_states.get(job_id)
        if final_state is not None:
            return FINAL_STATE_NAMES.get(final_state, users.PENDING)
        if job is None:
            return None
        return self._final_state(job) or users.PENDING

    @staticmethod
    def _final_state(job: Job) -> str | None:
        """Return a job's final state if it is durable, else None."""
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
        """Cancel a job and answer once the cancellation is durable.

        The other parameters are those of ``status``.
        """
        scheduler = self._scheduler
        if self._reply_if_final(job_id, reply_to, users.acknowledgement_body):
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
            # The user is answered once every shard that runs a part has ended its tasks.
            scheduler.sharding.cancel_partitioned(job, reply_to)
            return
        if job.status == OPEN:
            job.status = CANCELLED
            scheduler.write_ahead_log.append(
                records.cancel_record(job), lambda: scheduler.job_cancelled(job)
            )
        scheduler.reply_when_durable(
            reply_to, 200, users.acknowledgement_body(job_id, FINAL_STATE_NAMES[job.status])
        )

    # -- common -------------------------------------------------------------------------

    def _reply_if_final(
        self, job_id: str, reply_to: Any, body: Callable[[str, str], dict[str, Any]]
    ) -> bool:
        """Answer if the job ended or another shard decides about it; return whether answered."""
        final_state = self._cluster.final_states.get(job_id)
        if final_state is None:
            return False
        if final_state >= FORWARDED:
            self._scheduler.reply(reply_to, 421, {"share": final_state - FORWARDED})
        else:
            self._scheduler.reply(reply_to, 200, body(job_id, FINAL_STATE_NAMES[final_state]))
        return True

    def _reply_unknown_job(
        self, job_id: str, reply_to: Any, forwarded_by_home: bool, shard_map_version: int
    ) -> None:
        """Answer a request about a job that this shard does not have.

        The answer is 404 only if the request was routed with the current shard map or
        forwarded by the home shard of the job id, and 503 otherwise. Without this check,
        nodes with no shard map or an older one reported accepted jobs as unknown.
        """
        sharding = self._scheduler.sharding
        if (
            sharding is None
            or forwarded_by_home
            or sharding.is_routing_current(job_id, shard_map_version)
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
