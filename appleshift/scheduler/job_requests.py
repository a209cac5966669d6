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

    def reply(self, slot: Any, status: int, body: Any, retry_after: int = 0) -> None: ...

    def reply_durable(self, slot: Any, status: int, body: Any) -> None: ...

    def reply_unavailable(self, slot: Any) -> None: ...

    def job_arrived(self, spec: Submission) -> None: ...

    def job_cancelled(self, job: Job) -> None: ...


class JobRequests:
    """Users' requests, answered from the tables."""

    def __init__(self, core: ReplyingScheduler) -> None:
        self._core = core
        self._cluster = core.cluster
        self._first_submission_logged = False

    def _reply_if_final(
        self, job_id: str, slot: Any, body: Callable[[str, str], dict[str, Any]]
    ) -> bool:
        """Answer from what is over, or say which share decides for the job."""
        final = self._cluster.final_states.get(job_id)
        if final is None:
            return False
        if final >= FORWARDED:
            self._core.reply(slot, 421, {"share": final - FORWARDED})
        else:
            self._core.reply(slot, 200, body(job_id, FINAL_NAMES[final]))
        return True

    def submit(self, spec: Submission, slot: Any, wall: float, homed: bool = False) -> None:
        core, cluster = self._core, self._cluster
        if self._reply_if_final(spec.id, slot, users.state_body):
            return
        if not core.lease.may_answer(core.now):
            core.reply_unavailable(slot)
            return
        known = cluster.job_by_id.get(spec.id)
        if known is not None:
            if known.accepted:
                core.reply(slot, 200, users.state_body(spec.id, self.state(known)))
            else:
                self._reply_unless_stalled(slot, 200, users.state_body(spec.id, users.PENDING))
            return
        wrong = rejection(cluster, spec, core.counted_resources)
        if wrong is not None:
            # Also in an outage: nothing has to be written to refuse it.
            core.reply(slot, wrong[0], users.error_body(wrong[1]), 1 if wrong[0] == 503 else 0)
            return
        if not self._can_write():
            core.reply_unavailable(slot)
            return
        if core.sharding is not None and not homed:
            if not core.sharding.is_home(spec.id):
                # Sent by a node that goes by an older map.
                core.reply_unavailable(slot)
                return
            share = core.sharding.deciding_shard(spec)
            if share != core.sharding.shard:
                self._forward_to_shard(spec, share, slot)
                return
        if core.counted_resources is None and spec.seats is not None:
            spec = msgspec.structs.replace(spec, seats=None)
        job = cluster.add_job(cluster.next_job_index, spec, wall)
        record = records.job_record(job)
        if not core.log.fits(record):
            cluster.jobs.pop(job.index)
            cluster.job_by_id.pop(spec.id)
            core.reply(slot, 400, users.error_body("description too large"))
            return

        def accepted() -> None:
            job.accepted = True
            core.placement_needed = True
            if not self._first_submission_logged:
                self._first_submission_logged = True
                log.info("first submission of this term is durable")

        written = [record]
        if core.sharding is not None:
            written += core.sharding.partition_array(job)
        core.append_records(written, accepted)
        core.reply_durable(slot, 201, users.state_body(spec.id, users.PENDING))
        core.job_arrived(spec)

    def _forward_to_shard(self, spec: Submission, share: int, slot: Any) -> None:
        """Another share decides for this job: written down here, where its id leads.

        Only then may that share be asked, or two might take the same job.
        """
        core, cluster = self._core, self._cluster
        final = FORWARDED + share

        def durable() -> None:
            cluster.final_states[spec.id] = final

        core.append_records([records.final_state_record(spec.id, final)], durable)
        core.unsaved_final_states.append((spec.id, final))
        core.reply_durable(slot, 421, {"share": share})

    def _can_write(self) -> bool:
        core = self._core
        return (
            not (core.is_stalled or core.draining)
            and core.lease.may_write(core.now)
            and core.log.lag_s() < MAX_LAG_S
        )

    def _reply_unless_stalled(self, slot: Any, status: int, body: dict[str, Any]) -> None:
        if self._core.is_stalled:
            self._core.reply_unavailable(slot)
        else:
            self._core.reply_durable(slot, status, body)

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

    def _reply_unknown_job(self, job_id: str, slot: Any, homed: bool, map_version: int) -> None:
        """No such job here. Only if it was asked for by the map in force, or sent on
        from where its id leads, does that mean that there is none: nodes that knew of
        no map yet, or of an older one, once told users that their jobs were unknown."""
        sharing = self._core.sharding
        if sharing is None or homed or sharing.is_current_map(job_id, map_version):
            self._core.reply(slot, 404, users.error_body("no such job"))
        else:
            self._core.reply_unavailable(slot)

    def status(self, job_id: str, slot: Any, homed: bool = False, map_version: int = 0) -> None:
        core = self._core
        if self._reply_if_final(job_id, slot, users.status_body):
            return
        job = self._cluster.job_by_id.get(job_id)
        if job is not None and (job.done_durable or job.cancel_durable):
            pass
        elif not core.lease.may_answer(core.now):
            core.reply_unavailable(slot)
            return
        if job is None:
            self._reply_unknown_job(job_id, slot, homed, map_version)
        elif not job.accepted:
            core.reply_unavailable(slot)
        else:
            body = users.status_body(job_id, self.state(job), job.done_count, job.running())
            core.reply(slot, 200, body)

    def cancel(self, job_id: str, slot: Any, homed: bool = False, map_version: int = 0) -> None:
        core = self._core
        if self._reply_if_final(job_id, slot, users.state_body):
            return
        if not core.lease.may_answer(core.now):
            core.reply_unavailable(slot)
            return
        job = self._cluster.job_by_id.get(job_id)
        if job is None:
            self._reply_unknown_job(job_id, slot, homed, map_version)
            return
        if not self._can_write():
            core.reply_unavailable(slot)
            return
        apart = job.remote_tasks and job.status == OPEN
        if core.sharding is not None and (apart or job.cancel_requested):
            # Users are told once every share that has a portion has ended it.
            core.sharding.cancel_partitioned(job, slot)
            return
        if job.status == OPEN:
            job.status = CANCELLED
            core.log.append(records.cancel_record(job), lambda: core.job_cancelled(job))
        core.reply_durable(slot, 200, users.state_body(job_id, FINAL_NAMES[job.status]))
