"""Reviews a capacity pool: plans its capacity, scales out, covers shortages, scales in."""

from __future__ import annotations

import logging
import math

from appleshift.contracts.interfaces import CapacityNeed, FleetView
from appleshift.protocol.cloud import MachineType
from appleshift.provisioning.demand import needed_resources, required_capacity
from appleshift.provisioning.planner import CapacityPlan, SpotMarket, find_plan, machines_for
from appleshift.provisioning.pool_view import PoolView
from appleshift.provisioning.scale_in import scale_in
from appleshift.provisioning.scale_out import scale_out
from appleshift.provisioning.shortages import cover_shortages, unplaceable_needs
from appleshift.state.states import BOOTING

log = logging.getLogger(__name__)


class CapacityPool:
    """All machines with GPUs, or all machines without, at one point in time."""

    def __init__(self, fleet: FleetView, has_gpus: bool) -> None:
        """Select the machines of the pool; ``has_gpus`` selects machines with GPUs."""
        self._fleet = fleet
        self._cluster = fleet.cluster
        self._has_gpus = has_gpus
        self._view = PoolView(fleet, has_gpus)

    def units(self, machine_type: MachineType) -> float:
        """Return the capacity of a machine type in units; see ``PoolView.units``."""
        return self._view.units(machine_type)

    def needed_capacity(self, now: float) -> tuple[list[float], list[float]]:
        """Return the resources that this shard's jobs need; see ``needed_resources``."""
        return needed_resources(self._view, now)

    def unplaceable_needs(self) -> list[CapacityNeed]:
        """Return the capacity needs that no machine of this shard can meet."""
        return unplaceable_needs(self._view)

    def review(self, now: float) -> None:
        """Plan the pool's capacity, then rent and return machines according to the plan."""
        view = self._view
        if view.on_demand_type < 0:
            return
        required, on_demand_only = required_capacity(view, now)
        self._record_required(required, now)
        plan = self._find_plan(required, on_demand_only, now)
        self._set_spot_groups(plan)
        if now >= self._fleet.next_summary_at:
            self._log_summary(required, on_demand_only)
        log.debug(
            "capacity plan gpus=%s required=%.1f on_demand_only=%.1f plan=%s",
            self._has_gpus,
            required,
            on_demand_only,
            plan,
        )
        scale_out(view, plan, required, on_demand_only)
        cover_shortages(view)
        scale_in(view, plan, required, on_demand_only, now)

    def _record_required(self, required: float, now: float) -> None:
        recent = self._fleet.recent_required_capacity[self._has_gpus]
        recent.append((now, required))
        while recent[0][0] < now - self._fleet.operator.peak_window_s:
            recent.popleft()

    def _find_plan(self, required: float, on_demand_only: float, now: float) -> CapacityPlan:
        operator = self._fleet.operator
        min_on_demand = machines_for(max(on_demand_only, required * operator.floor_share), 1.0)
        current: list[SpotMarket] = []
        others: list[SpotMarket] = []
        for market in self._spot_markets(now):
            chosen = (market.type_index, market.zone) in self._fleet.spot_groups
            (current if chosen else others).append(market)
        return find_plan(
            required,
            min_on_demand,
            self._cluster.types[self._view.on_demand_type].price,
            current,
            others,
            operator.spare_groups,
            operator.max_groups,
        )

    def _set_spot_groups(self, plan: CapacityPlan) -> None:
        """Replace this pool's spot groups by those of the plan."""
        groups = self._fleet.spot_groups
        groups -= {market for market in groups if market[0] in self._view.type_indices}
        groups |= {(market.type_index, market.zone) for market, count in plan.groups if count}

    def _spot_markets(self, now: float) -> list[SpotMarket]:
        """Return the markets for spot groups, without those evicted recently.

        A market that currently accepts no rentals is capped at the machines it has provided.
        """
        fleet, view = self._fleet, self._view
        markets = []
        for type_index in view.type_indices:
            machine_type = self._cluster.types[type_index]
            units, price = view.units(machine_type), machine_type.spot_price
            for name in machine_type.zones:
                zone = self._cluster.zones.get(name)
                if fleet.evicted_markets.get((type_index, zone), 0.0) > now:
                    continue
                rented = view.spot_machines(type_index, zone)
                accepts = fleet.accepts_rentals(type_index, zone, True)
                max_machines = math.inf if accepts else rented
                if max_machines > 0:
                    markets.append(SpotMarket(type_index, zone, units, price, max_machines))
        return markets

    def _log_summary(self, required: float, on_demand_only: float) -> None:
        """Log the required, available and used capacity of the pool in one line."""
        view = self._view
        shortages = [s for s in self._fleet.shortages if (s.job.spec.gpus > 0) == self._has_gpus]
        log.info(
            "capacity pool gpus=%s required=%.1f on_demand_only=%.1f unit=%s on_demand=%.1f"
            " spot=%.1f machines=%d booting=%d used=%.1f waiting_tasks=%d waiting_jobs=%d",
            self._has_gpus,
            required,
            on_demand_only,
            self._cluster.type_names.names[view.on_demand_type],
            view.capacity(False),
            view.capacity(True),
            len(view.machines),
            sum(1 for machine in view.machines if machine.status == BOOTING),
            self._used_units(),
            sum(shortage.tasks for shortage in shortages),
            len(shortages),
        )

    def _used_units(self) -> float:
        used = 0.0
        for machine in self._view.machines:
            machine_type = self._cluster.types[machine.type]
            if self._has_gpus:
                free = machine.free_gpus / machine_type.gpus
            else:
                free = machine.free_cpus / machine_type.cpus
            used += (1.0 - free) * self._view.units(machine_type)
        return used
