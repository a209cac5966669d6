"""Which zones this node cannot reach: since when, and which came back."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import SchedulerView

log = logging.getLogger(__name__)

CONFIRMED_SILENT_S = 1.0
"""Zones fall silent one after the other, also if it is this node that is isolated: its
machines count as lost only once a zone was unreachable for so long, in seconds."""
CONFIRMED_LOST_S = 5.0
"""The capacity of a zone that is unreachable for so long, in seconds, is rented elsewhere."""
PATIENCE_S = 180.0
"""Machines that cannot be heard for longer than this, in seconds, are not paid for, and a
zone of which no machine is left to be heard is tried again."""
RETRY_S = 10.0
"""After so many seconds a single machine may be rented in an unreachable zone that has none."""


class UnreachableZones:
    """The zones that are unreachable from this node."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Start with all zones reachable."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self.since: dict[int, float] = {}
        """Zones that are unreachable, and since when."""
        self._reachable_again_at: dict[int, float] = {}

    def reachable_again_at(self, zone: int) -> float:
        """When a zone that was unreachable came back; 0 if it never was."""
        return self._reachable_again_at.get(zone, 0.0)

    def unconfirmed(self, up: dict[int, int], now: float) -> set[int]:
        """Unreachable zones without a machine that could be heard, for a limited time.

        That all silent machines were deleted does not prove that a zone is back; it is
        when most of its machines are heard. 124 machines were once rented too early.
        """
        return {
            zone
            for zone, since in self.since.items()
            if zone not in up and now - since <= PATIENCE_S
        }

    def is_confirmed(self, zone: int, now: float) -> bool:
        """Whether a zone has been unreachable for longer than a moment."""
        return now - self.since.get(zone, now) > CONFIRMED_SILENT_S

    def is_past_patience(self, zone: int, now: float) -> bool:
        """Whether an unreachable zone's empty machines are no longer worth their price."""
        return now - self.since[zone] > PATIENCE_S

    def is_trusted(self, zone: int) -> bool:
        """Whether a zone's capacity counts.

        A zone may seem unreachable for a moment after a failover; what it holds is not
        rented again for that.
        """
        now = self._scheduler.now
        return now - self.since.get(zone, now) <= CONFIRMED_LOST_S

    def may_rent_in(self, zone: int) -> bool:
        """Whether a single machine may be rented in an unreachable zone, to find out.

        If all machines of a zone were deleted or died, nothing can ever be heard of it
        again. Jobs that are bound to it once waited three minutes for that reason alone.
        """
        since = self.since.get(zone)
        if since is None or self._scheduler.now - since < RETRY_S:
            return False
        machines = self._cluster.machines.values()
        return not any(each.zone == zone and not each.deletion_requested for each in machines)

    def update(self, zones: set[int], now: float, isolated: bool) -> None:
        """Set the unreachable zones; none if ``isolated``, which proves nothing of them."""
        for zone in zones - self.since.keys():
            log.info("zone unreachable zone=%s", self._cluster.zones.names[zone])
            self.since[zone] = now
        for zone in self.since.keys() - zones:
            log.info("zone reachable again zone=%s", self._cluster.zones.names[zone])
            del self.since[zone]
            self._scheduler.placement_needed = True
            if not isolated:
                self._restart_timeouts(zone, now)

    def _restart_timeouts(self, zone: int, now: float) -> None:
        """Give the machines of a zone that came back time to be heard, as after a failover.

        41 machines were once deleted in the second in which their zone came back, for the
        probes that they had not answered while it was unreachable.
        """
        self._reachable_again_at[zone] = now
        for machine in self._cluster.machines.values():
            if machine.zone == zone:
                machine.unanswered_probes = 0
