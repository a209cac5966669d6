"""What is checked a few times a second: leases, tasks of ended jobs, fleet, log size."""

from __future__ import annotations

import logging

from appleshift.dispatch.worker_commands import RESEND_INTERVAL_S
from appleshift.scheduler.interfaces import TermScheduler
from appleshift.scheduler.snapshot_trigger import SnapshotTrigger
from appleshift.state.entities import Job

log = logging.getLogger(__name__)

CANCEL_TIME_BEFORE_DELETION = 0.6
"""Fraction of the platform's time to cancel a task after which its machine is deleted."""
RECENT_HEARTBEAT_S = 3 * RESEND_INTERVAL_S
"""A machine heard within this time is sent its stop commands again."""


class PeriodicChecks:
    """The scheduler's tick."""

    def __init__(self, scheduler: TermScheduler) -> None:
        """Check the cluster state of ``scheduler``."""
        self._scheduler = scheduler
        self._snapshots = SnapshotTrigger(scheduler)

    def run(self) -> None:
        """Run all checks once."""
        scheduler = self._scheduler
        self._expire_leases()
        for job in scheduler.cluster.jobs.values():
            if job.runs and (job.cancel_durable or job.done_durable):
                self._stop_runs_of_ended(job)
        if scheduler.lease.may_answer(scheduler.now):
            # A leader that was cut off knows nothing of its machines: once one
            # ordered 425 deletions, which arrived when the partition healed.
            scheduler.fleet.tick(scheduler.now)
        if scheduler.fleet.shortages:
            # Room also comes back with time: pauses and backoffs end.
            scheduler.placement_needed = True
        self._snapshots.start_if_due()

    def _expire_leases(self) -> None:
        scheduler = self._scheduler
        for machine in list(scheduler.cluster.machines.values()):
            scheduler.liveness.apply_fast_path(machine)
            expired = machine.runs and machine.lease_until < scheduler.now and machine.agent_epoch
            # Only a leader may judge: a node that was suspended for 23 s once expired
            # 600 leases in its first moment, though another one led by then.
            if expired and scheduler.lease.may_answer(scheduler.now):
                log.info("lease expired machine=%s", machine.name)
                scheduler.agent_epoch_ended(machine)

    def _stop_runs_of_ended(self, job: Job) -> None:
        """Stop what still runs of a job that is over; a machine that does not is deleted."""
        scheduler = self._scheduler
        delete_after_s = (
            scheduler.settings.deployment.workers.cancel_s * CANCEL_TIME_BEFORE_DELETION
        )
        for run in list(job.runs.values()):
            if run.stop_grace_s is None:
                scheduler.stop_run(run, 0.0, "over")
            elif scheduler.now - run.stop_ordered_at > delete_after_s:
                scheduler.fleet.delete(run.machine, "a cancelled task does not end")
            elif run.machine.last_contact_at > scheduler.now - RECENT_HEARTBEAT_S:
                scheduler.commands.schedule_send(run.machine)
