"""Stops tasks on a machine that the cloud reclaims, in time to save a checkpoint."""

from __future__ import annotations

from appleshift.contracts.interfaces import SchedulerView
from appleshift.placement.fit import stop_grace_s
from appleshift.state.entities import Machine

STOP_GRACE_FACTOR = 3.0
"""A task is stopped once less than this many times its grace period, and the margin, remain."""
STOP_MARGIN_S = 6.0
"""Margin in seconds for the time that the stop command takes to arrive."""


def checkpoint_before_reclaim(scheduler: SchedulerView, machine: Machine) -> None:
    """Stop the tasks that can save a checkpoint, as late as is safe before the reclaim."""
    assert machine.reclaim_at is not None
    remaining_s = machine.reclaim_at - scheduler.now
    for run in list(machine.runs.values()):
        grace_s = stop_grace_s(run)
        if grace_s <= 0 or run.stop_grace_s is not None:
            continue
        if remaining_s >= STOP_GRACE_FACTOR * grace_s + STOP_MARGIN_S:
            continue
        if run.job.gang:
            scheduler.stop_gang(run.job, grace_s, "notice")
        else:
            scheduler.stop_run(run, grace_s, "notice")
