"""Rental requests to the cloud: pending requests, back-off after refusals, and limits."""

from __future__ import annotations

import logging

from appleshift.contracts.actions import RentMachines
from appleshift.contracts.interfaces import SchedulerView
from appleshift.machines.health import MachineHealth
from appleshift.machines.shard_ownership import update_shard_ownership
from appleshift.node_limits.node_limits import NodeLimits
from appleshift.protocol import cloud

log = logging.getLogger(__name__)

MAX_BACKOFF_S = 60.0
"""Longest pause after refusals of a market, in seconds."""
BACKOFF_FACTOR = 1.5
"""Factor between the pauses after successive refusals."""
MACHINE_LIMIT_LOG_INTERVAL_S = 30.0
"""Shortest time between log lines about the machine limit, in seconds."""
MACHINE_LIMIT_DECREASE_DELAY_S = 20.0
"""Time in seconds for which a lower machine limit must last before it applies."""


class Rentals:
    """Rental requests and refusals of each market, a (type, zone, spot) triple."""

    def __init__(self, scheduler: SchedulerView, health: MachineHealth) -> None:
        """Start without pending rentals; the limit is the capacity of this node alone."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self._health = health
        self._request_count = 0
        self.pending: dict[str, tuple[int, int, bool, int]] = {}
        """Requests without a response: request id -> (type, zone, spot, count)."""
        self._backoffs: dict[tuple[int, int, bool], tuple[float, float]] = {}
        """(type, zone, spot) -> (end of the pause after a refusal, pause in seconds)."""
        # Each machine sends heartbeats on a separate connection, so the connections of the
        # nodes limit the number of machines. A deployment of three times the usual size once
        # rented 8,677 machines although only 1,830 could connect: machines without a free
        # connection were paid for, deleted and replaced by others.
        self.max_machines = NodeLimits.from_machine_limits(
            scheduler.settings.deployment.machine_limits
        ).machines
        self._max_machines_at = scheduler.now
        self._limit_logged_at = 0.0

    # -- limits -------------------------------------------------------------------------

    def set_max_machines(self, machines: int) -> None:
        """Set how many machines all nodes together can serve.

        A lower limit applies only once it has lasted for ``MACHINE_LIMIT_DECREASE_DELAY_S``,
        because a node may be missing briefly, as after each failover.
        """
        now = self._scheduler.now
        if machines >= self.max_machines:
            self.max_machines, self._max_machines_at = machines, now
        elif now - self._max_machines_at > MACHINE_LIMIT_DECREASE_DELAY_S:
            self.max_machines = machines

    def rentable_machines(self) -> int:
        """Return how many more machines the nodes can serve besides pending rentals."""
        pending = sum(count for _, _, _, count in self.pending.values())
        return max(0, self.max_machines - len(self._cluster.machines) - pending)

    def is_near_machine_limit(self) -> bool:
        """Whether fewer than half of the machines that the nodes can serve may still be rented.

        The number of machines then matters more than their price.
        """
        return self.rentable_machines() * 2 < self.max_machines

    # -- markets ------------------------------------------------------------------------

    def accepts_rentals(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market is in no pause after a refusal, and its zone is reachable.

        In an unreachable zone, a single machine may be rented at times to test the zone.
        """
        if zone in self._health.unreachable_zones:
            pending = any(entry[1] == zone for entry in self.pending.values())
            if pending or not self._health.may_rent_in_unreachable(zone):
                return False
        retry_at, _ = self._backoffs.get((type_index, zone, spot), (0.0, 0.0))
        return retry_at <= self._scheduler.now

    def is_exhausted(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market had fewer machines than the last rental requested."""
        return (type_index, zone, spot) in self._backoffs

    def may_rent(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a rental may be sent to a market now.

        This is so if the market accepts rentals, the machine limit is not reached and no
        rental of the market is pending. The cloud accepts few calls per second: requesting
        again before the response once queued ten rentals of a market without machines.
        """
        market = (type_index, zone, spot)
        if not self.rentable_machines():
            return False
        pending = any(entry[:3] == market for entry in self.pending.values())
        return self.accepts_rentals(*market) and not pending

    # -- requests -----------------------------------------------------------------------

    def rent(self, type_index: int, zone: int, spot: bool, count: int) -> None:
        """Request up to ``count`` machines of a market, within the machine and request limits."""
        count = min(count, cloud.MAX_MACHINES_PER_RENTAL)
        if count > self.rentable_machines():
            self._log_machine_limit()
        count = min(count, self.rentable_machines())
        if zone in self._health.unreachable_zones:
            # A single machine is enough to test whether the zone is reachable again.
            count = min(count, 1)
        if count <= 0:
            return
        self._request_count += 1
        # The fencing token makes the id unique among leaders, the count within a term.
        request = f"r-{self._scheduler.fencing_token}-{self._request_count}"
        self.pending[request] = (type_index, zone, spot, count)
        type_name = self._cluster.type_names.names[type_index]
        zone_name = self._cluster.zones.names[zone]
        self._scheduler.actions.append(RentMachines(request, type_name, zone_name, spot, count))

    def _log_machine_limit(self) -> None:
        if self._scheduler.now - self._limit_logged_at < MACHINE_LIMIT_LOG_INTERVAL_S:
            return
        self._limit_logged_at = self._scheduler.now
        log.warning("rental limited by connections of nodes max_machines=%d", self.max_machines)

    def process_response(self, request: str, names: list[str] | None, refused: bool) -> bool:
        """Add the machines of the response to a request; return false if it is unknown.

        ``names`` is None if there was no response. Machines that the cloud rented nevertheless
        are found in a later listing.
        """
        requested = self.pending.pop(request, None)
        if requested is None:
            return False
        type_index, zone, spot, count = requested
        self._update_backoff((type_index, zone, spot), count, names, refused)
        type_name = self._cluster.type_names.names[type_index]
        zone_name = self._cluster.zones.names[zone]
        log.info(
            "rental answered machines=%s requested=%d type=%s zone=%s spot=%s",
            "none" if refused else "unknown" if names is None else len(names),
            count,
            type_name,
            zone_name,
            spot,
        )
        for name in names or []:
            machine = self._cluster.add_machine(name, type_name, zone_name, spot)
            if machine is not None and machine.rented_at == 0.0:
                machine.rented_at = self._scheduler.now
                update_shard_ownership(self._scheduler, machine)
        return True

    def _update_backoff(
        self, market: tuple[int, int, bool], count: int, names: list[str] | None, refused: bool
    ) -> None:
        """Pause a market that provided too few machines; end the pause of one that provided all."""
        if refused or (names is not None and len(names) < count):
            _, pause_s = self._backoffs.get(market, (0.0, 0.0))
            refusal_backoff_s = self._scheduler.operator.refusal_backoff_s
            pause_s = min(MAX_BACKOFF_S, max(refusal_backoff_s, pause_s * BACKOFF_FACTOR))
            self._backoffs[market] = (self._scheduler.now + pause_s, pause_s)
        elif names:
            self._backoffs.pop(market, None)
