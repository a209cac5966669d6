"""When the capacity plan is reviewed."""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.provisioning.pool import CapacityPool

REVIEW_INTERVAL_S = 1.0
"""Between reviews while tasks find no room, in seconds."""
REVIEW_TIME_SHARE = 0.1
"""Share of the time that reviews may take: on a controller that falls behind,
scaling out ahead of demand is what waits first."""
SUMMARY_INTERVAL_S = 30.0
LISTING_WAIT_S = 5.0
"""How long a new leader waits for a first listing of the cloud, in seconds."""
LISTING_RETRY_S = 0.5


class PlanReview:
    """Reviews both capacity pools, with and without GPUs, at intervals and within a budget."""

    def __init__(self, fleet: FleetView) -> None:
        """Review the plan of ``fleet`` from now on."""
        scheduler = fleet.scheduler
        self._fleet = fleet
        self._operator = fleet.operator
        self._started = scheduler.now
        self._budget = TimeBudget(scheduler.clock, REVIEW_TIME_SHARE)
        self._next_regroup = scheduler.now + self._operator.regroup_s
        self.next_review = scheduler.now
        self.listing_received = False
        """Whether the cloud's machines were listed in this term."""

    def step(self, now: float) -> bool:
        """Review the plan if it is time; returns whether it was."""
        if now < self.next_review or not self._budget.due():
            return False
        shortages = self._fleet.shortages
        self.next_review = now + (REVIEW_INTERVAL_S if shortages else self._operator.review_s)
        with self._budget:
            self._review(now)
        return True

    def _review(self, now: float) -> None:
        fleet, operator = self._fleet, self._operator
        if not self.listing_received and now - self._started < LISTING_WAIT_S:
            # A new leader waits to see which machines there are before it rents any.
            self.next_review = now + LISTING_RETRY_S
            return
        while fleet.arrivals and fleet.arrivals[0][0] < now - operator.warm_window_s:
            fleet.arrivals.popleft()
        if now >= self._next_regroup:
            self._next_regroup = now + operator.regroup_s
            # Choosing the spot groups anew at long intervals drops expensive ones.
            fleet.spot_groups.clear()
        for gpu_pool in (False, True):
            CapacityPool(fleet, gpu_pool).review(now)
        if now >= fleet.next_summary:
            fleet.next_summary = now + SUMMARY_INTERVAL_S
