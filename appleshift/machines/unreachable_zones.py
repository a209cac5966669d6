"""Tracks the zones that this node cannot reach."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import SchedulerView

log = logging.getLogger(__name__)

CONFIRMED_SILENT_S = 1.0
"""Machines of a zone may count as lost only after the zone was unreachable for this long, in
seconds. If this node is isolated, the zones become silent one after the other, so a zone that
has just become silent proves nothing."""
CONFIRMED_LOST_S = 5.0
"""The capacity of a zone that is unreachable for longer than this, in seconds, is replaced in
other zones."""
RETENTION_S = 180.0
"""Empty machines of a zone that is unreachable for longer than this, in seconds, are deleted to
save their cost. An unreachable zone without machines then counts as reachable again."""
RETRY_S = 10.0
"""Time in seconds after which a single machine may be rented in an unreachable zone without
machines."""


class UnreachableZones:
    """The zones that are unreachable from this node."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Start with all zones reachable."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self.unreachable_since: dict[int, float] = {}
        """Unreachable zone -> time since which it is unreachable."""
        self._reachable_again_at: dict[int, float] = {}

    def reachable_again_at(self, zone: int) -> float:
        """Return when a zone last became reachable again; 0 if it never was unreachable."""
        return self._reachable_again_at.get(zone, 0.0)

    def unconfirmed(self, up: dict[int, int], now: float) -> set[int]:
        """Return the zones that stay unreachable because they have no machines that are up.

        ``up`` is the number of machines that are up, by zone. A zone is reachable again when
        most of its machines send heartbeats, but not because all its silent machines were
        deleted: 124 machines were once rented too early for that reason. A zone without
        machines counts as unreachable for ``RETENTION_S`` at most.
        """
        return {
            zone
            for zone, since in self.unreachable_since.items()
            if zone not in up and now - since <= RETENTION_S
        }

    def is_confirmed(self, zone: int, now: float) -> bool:
        """Whether a zone has been unreachable for longer than ``CONFIRMED_SILENT_S``."""
        return now - self.unreachable_since.get(zone, now) > CONFIRMED_SILENT_S

    def is_past_retention(self, zone: int, now: float) -> bool:
        """Whether an unreachable zone's empty machines are to be deleted to save their cost."""
        return now - self.unreachable_since[zone] > RETENTION_S

    def is_trusted(self, zone: int) -> bool:
        """Whether a zone's machines count as capacity.

        They still count for ``CONFIRMED_LOST_S`` after the zone became unreachable, because a
        zone may seem unreachable briefly after a failover and need not be replaced then.
        """
        now = self._scheduler.now
        return now - self.unreachable_since.get(zone, now) <= CONFIRMED_LOST_S

    def may_rent_in(self, zone: int) -> bool:
        """Whether a machine may be rented in an unreachable zone to test if it is reachable again.

        True if the zone has been unreachable for ``RETRY_S`` and has no machines left except
        those being deleted: no heartbeat can then show that it is reachable again. Without such
        a test, jobs that are bound to the zone once waited three minutes. False for a zone that
        is reachable, which needs no test.
        """
        since = self.unreachable_since.get(zone)
        if since is None or self._scheduler.now - since < RETRY_S:
            return False
        machines = self._cluster.machines.values()
        return not any(each.zone == zone and not each.deletion_requested for each in machines)

    def update(self, zones: set[int], now: float, isolated: bool) -> None:
        """Set the unreachable zones.

        ``isolated``: this node reaches no zone at all, which proves nothing about the zones;
        ``zones`` is then empty, and no timeouts are restarted.
        """
        for zone in zones - self.unreachable_since.keys():
            log.info("zone unreachable zone=%s", self._cluster.zones.names[zone])
            self.unreachable_since[zone] = now
        for zone in self.unreachable_since.keys() - zones:
            log.info("zone reachable again zone=%s", self._cluster.zones.names[zone])
            del self.unreachable_since[zone]
            self._scheduler.placement_needed = True
            if not isolated:
                self._restart_timeouts(zone, now)

    def _restart_timeouts(self, zone: int, now: float) -> None:
        """Restart the timeouts of the machines of a zone that is reachable again.

        Without this, 41 machines were once deleted within the second in which their zone became
        reachable, because of the probes that they had not answered before.
        """
        self._reachable_again_at[zone] = now
        for machine in self._cluster.machines.values():
            if machine.zone == zone:
                machine.unanswered_probes = 0
