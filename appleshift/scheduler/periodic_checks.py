"""Checks that run a few times a second: leases, tasks of ended jobs, fleet and log size."""

from __future__ import annotations

import logging

from appleshift.dispatch.worker_commands import RESEND_INTERVAL_S
from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.scheduler.snapshot_trigger import SnapshotTrigger
from appleshift.state.entities import Job

log = logging.getLogger(__name__)

CANCEL_TIME_SHARE_BEFORE_DELETION = 0.6
"""Share of the cancellation deadline (``cancel_s``) that a task has to stop.

After that, its machine is deleted.
"""
RECENT_HEARTBEAT_S = 3 * RESEND_INTERVAL_S
"""Stop commands are sent again to a machine that was heard within this time, in seconds."""


class PeriodicChecks:
    """The checks of the scheduler's tick."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Check the cluster state of ``scheduler``."""
        self._scheduler = scheduler
        self._snapshots = SnapshotTrigger(scheduler)

    def run(self) -> None:
        """Run all checks once."""
        scheduler = self._scheduler
        self._expire_leases()
        for job in scheduler.cluster.jobs.values():
            if job.runs and (job.cancel_durable or job.done_durable):
                self._stop_runs_of_ended_job(job)
        if scheduler.lease.may_answer(scheduler.now):
            # A partitioned leader has no current data about its machines. One ordered
            # 425 deletions, which were carried out when the partition healed.
            scheduler.fleet.tick(scheduler.now)
        if scheduler.fleet.shortages or scheduler.now >= scheduler.next_placement_at:
            # Capacity can also become available as time passes: backoffs expire.
            scheduler.placement_needed = True
        self._snapshots.start_if_due()
        scheduler.memory_budget.step()

    def _expire_leases(self) -> None:
        scheduler = self._scheduler
        for machine in list(scheduler.cluster.machines.values()):
            scheduler.liveness.apply_fast_path_entry(machine)
            expired = machine.runs and machine.lease_until < scheduler.now and machine.agent_epoch
            # Only the leader may expire leases. A node that resumed after being suspended
            # for 23 s expired 600 leases although another node was the leader.
            if expired and scheduler.lease.may_answer(scheduler.now):
                log.info("lease expired machine=%s", machine.name)
                scheduler.agent_epoch_ended(machine)

    def _stop_runs_of_ended_job(self, job: Job) -> None:
        """Stop the remaining tasks of an ended job; delete a machine whose task does not stop."""
        scheduler = self._scheduler
        delete_after_s = (
            scheduler.settings.deployment.workers.cancel_s * CANCEL_TIME_SHARE_BEFORE_DELETION
        )
        for run in list(job.runs.values()):
            if run.stop_grace_s is None:
                scheduler.stop_run(run, 0.0, "over")
            elif scheduler.now - run.stop_ordered_at > delete_after_s:
                scheduler.fleet.delete(run.machine, "a cancelled task does not end")
            elif run.machine.last_contact_at > scheduler.now - RECENT_HEARTBEAT_S:
                scheduler.commands.schedule_send(run.machine)
