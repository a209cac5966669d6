"""Schedules the reviews of the capacity plan."""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.provisioning.pool import CapacityPool

REVIEW_INTERVAL_S = 1.0
"""Time between reviews while there are shortages, in seconds."""
REVIEW_TIME_SHARE = 0.1
"""Largest fraction of time that reviews may take. On an overloaded leader, scaling out ahead of
demand is delayed first."""
SUMMARY_INTERVAL_S = 30.0
"""Time between summaries of the pools in the log, in seconds."""
LISTING_WAIT_S = 5.0
"""Longest time that a new leader waits for its first cloud listing, in seconds."""
LISTING_RETRY_S = 0.5
"""Time between checks whether the first listing has arrived, in seconds."""


class PlanReview:
    """Reviews both capacity pools, with and without GPUs, at intervals within a time budget."""

    def __init__(self, fleet: FleetView) -> None:
        """Schedule the first review of ``fleet`` for the start of the term."""
        scheduler = fleet.scheduler
        self._fleet = fleet
        self._operator = fleet.operator
        self._started = scheduler.now
        self._budget = TimeBudget(scheduler.clock, REVIEW_TIME_SHARE)
        self._next_regroup = scheduler.now + self._operator.regroup_s
        self.next_review = scheduler.now
        self.listing_received = False
        """Whether a cloud listing has arrived in this term."""

    def step(self, now: float) -> bool:
        """Review the plan if a review is due; return whether it was."""
        if now < self.next_review or not self._budget.is_due():
            return False
        shortages = self._fleet.shortages
        self.next_review = now + (REVIEW_INTERVAL_S if shortages else self._operator.review_s)
        with self._budget:
            self._review(now)
        return True

    def _review(self, now: float) -> None:
        fleet, operator = self._fleet, self._operator
        if not self.listing_received and now - self._started < LISTING_WAIT_S:
            # A new leader waits for a listing of the existing machines before it rents any.
            self.next_review = now + LISTING_RETRY_S
            return
        while (
            fleet.recent_submissions
            and fleet.recent_submissions[0][0] < now - operator.warm_window_s
        ):
            fleet.recent_submissions.popleft()
        if now >= self._next_regroup:
            self._next_regroup = now + operator.regroup_s
            # Plans keep the current groups; clearing them at long intervals lets the planner
            # replace groups that have become expensive.
            fleet.spot_groups.clear()
        for gpu_pool in (False, True):
            CapacityPool(fleet, gpu_pool).review(now)
        if now >= fleet.next_summary_at:
            fleet.next_summary_at = now + SUMMARY_INTERVAL_S
