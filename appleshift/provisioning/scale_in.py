"""Scale-in: returns idle machines that the capacity plan does not need."""

from __future__ import annotations

import logging

from appleshift.protocol import cloud
from appleshift.provisioning.planner import CapacityPlan
from appleshift.provisioning.pool_view import PoolView
from appleshift.state.entities import Job, Machine
from appleshift.state.states import UP

log = logging.getLogger(__name__)


class SpareCapacity:
    """Capacity beyond the plan, and the idle machines chosen to be returned for it."""

    def __init__(
        self, pool: PoolView, plan: CapacityPlan, required: float, on_demand_only: float
    ) -> None:
        """Calculate the spare capacity of ``pool`` in units.

        ``required`` and ``on_demand_only``, the part of it that may not be spot machines, are
        in units.
        """
        self._pool = pool
        self._planned = {(market.type_index, market.zone): count for market, count in plan.groups}
        on_demand, spot = pool.capacity(False), pool.capacity(True)
        self._spare_on_demand = on_demand - max(on_demand_only, required - spot)
        self._spare_total = on_demand + spot - required
        self.chosen: list[Machine] = []
        """Machines to return."""

    def choose(self, machine: Machine) -> None:
        """Choose a machine to be returned if the plan is met without it."""
        units = self._pool.units(self._pool.cluster.types[machine.type])
        if machine.spot:
            if self._is_planned(machine) or self._spare_total < units:
                return
        elif self._spare_on_demand < units:
            return
        else:
            self._spare_on_demand -= units
        self._spare_total -= units
        self.chosen.append(machine)

    def _is_planned(self, machine: Machine) -> bool:
        """Whether the plan's spot group of a machine's market needs the machine."""
        market = (machine.type, machine.zone)
        chosen = sum(1 for m in self.chosen if m.spot and (m.type, m.zone) == market)
        return self._pool.spot_machines(*market) - chosen <= self._planned.get(market, 0)


def scale_in(
    pool: PoolView, plan: CapacityPlan, required: float, on_demand_only: float, now: float
) -> None:
    """Return idle machines that the plan does not need, the most expensive first.

    ``required`` and ``on_demand_only``, the part of it that may not be spot machines, are in
    units.
    """
    fleet = pool.fleet
    fleet.on_demand_spare[pool.has_gpus] = 0.0
    if fleet.pending_rentals:
        return
    if any(_keeps_machines(pool, shortage.job) for shortage in fleet.shortages):
        return
    spare = SpareCapacity(pool, plan, required, on_demand_only)
    for machine in _idle_machines(pool):
        if len(spare.chosen) >= cloud.MAX_MACHINES_PER_DELETION:
            break
        if now - machine.idle_since >= _idle_limit_s(pool, machine):
            spare.choose(machine)
    if not spare.chosen:
        _record_spare(pool, required, on_demand_only)
    _return_machines(pool, spare.chosen)


def _keeps_machines(pool: PoolView, job: Job) -> bool:
    """Return whether no idle machine of the pool is returned while a job lacks machines.

    A gang needs all its machines at once: one that is returned would have to be rented again.
    """
    waits_for_several = job.gang and job.spec.tasks > 1
    return (job.spec.gpus > 0) == pool.has_gpus and (pool.has_gpus or waits_for_several)


def _idle_machines(pool: PoolView) -> list[Machine]:
    idle = [m for m in pool.machines if m.status == UP and m.idle_since and m.empty()]
    idle.sort(key=lambda m: -pool.cluster.types[m.type].price)
    return idle


def _idle_limit_s(pool: PoolView, machine: Machine) -> float:
    """How many seconds a machine may be idle before it is returned."""
    operator = pool.fleet.operator
    if machine.spot:
        limit_s = operator.idle_spot_s
    else:
        limit_s = operator.idle_cards_s if pool.has_gpus else operator.idle_steady_s
    # A machine that is returned and rented again costs its boot time. Keeping it idle for one
    # boot time never costs more than twice the best decision in hindsight.
    return max(limit_s, pool.cluster.types[machine.type].boot_s)


def _record_spare(pool: PoolView, required: float, on_demand_only: float) -> None:
    """Record the spare on-demand capacity that consolidation may empty."""
    # Bursts of demand recur, so capacity needed by a recent peak is not spare.
    peak = max(
        (amount for _, amount in pool.fleet.recent_required_capacity[pool.has_gpus]),
        default=required,
    )
    needed = max(on_demand_only, peak - pool.capacity(True))
    pool.fleet.on_demand_spare[pool.has_gpus] = pool.capacity(False) - needed


def _return_machines(pool: PoolView, machines: list[Machine]) -> None:
    """Delete this shard's machines; pass the others to the shards that own them."""
    scheduler = pool.fleet.scheduler
    for machine in machines:
        log.info("returning idle machine machine=%s", machine.name)
    scheduler.delete_machines([machine for machine in machines if not machine.in_other_shard])
    if scheduler.sharding is not None:
        scheduler.sharding.return_machines(
            [machine for machine in machines if machine.in_other_shard]
        )
