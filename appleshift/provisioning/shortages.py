"""Rents machines for tasks that can never run on the existing machines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

from appleshift.contracts.interfaces import CapacityNeed
from appleshift.placement.eventual_capacity import can_ever_run, eventual_tasks_by_zone
from appleshift.placement.fit import spread_allowance_per_zone, tasks_that_fit
from appleshift.placement.result import Shortage
from appleshift.provisioning.pool_view import PoolView
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.states import BOOTING, OPEN, UP


def capacity_need_for(cluster: ClusterState, shortage: Shortage) -> CapacityNeed:
    """Return the resources that the tasks of a shortage need, and the types and zones allowed."""
    job, spec = shortage.job, shortage.job.spec
    remaining = spread_allowance_per_zone(cluster, job)
    zones = [
        zone
        for zone in range(len(cluster.zones))
        if job.zone in (-1, zone) and (remaining is None or remaining[zone] > 0)
    ]
    eligible_types = cluster.eligible_types(job)
    return CapacityNeed(
        spec.gpus, spec.cpus, spec.memory_gb, shortage.tasks, spec.spot, eligible_types, zones
    )


def unplaceable_needs(pool: PoolView) -> list[CapacityNeed]:
    """Return the needs of this shard that none of its machines that are up can ever meet."""
    cluster = pool.cluster
    machines_up = [m for m in pool.machines if m.status == UP and not m.in_other_shard]
    needs = []
    for shortage in pool.fleet.shortages:
        job = shortage.job
        if job.status != OPEN or (job.spec.gpus > 0) != pool.has_gpus:
            continue
        need = capacity_need_for(cluster, shortage)
        # Tasks that are not replicas may wait for running tasks to end, but not for replicas.
        at_once = need.tasks if job.gang else 1
        usable = _usable(need, machines_up)
        if job.service:
            needs.append(need)
        elif not can_ever_run(cluster, job, at_once, usable):
            needs.append(_gang_need(pool, job, need, machines_up) if job.gang else need)
    return needs


def _gang_need(
    pool: PoolView, job: Job, need: CapacityNeed, machines_up: list[Machine]
) -> CapacityNeed:
    """Return the need for those tasks of a gang that the machines can never run with the others."""
    by_zone = eventual_tasks_by_zone(pool.cluster, job, _usable(need, machines_up))
    if not (job.spec.together and need.zones):
        return replace(need, tasks=need.tasks - by_zone.total())
    # All tasks have to be in one zone: the one that lacks least, boots and rentals included.
    expected = by_zone + _incoming_tasks(pool, need)
    zone = max(
        need.zones,
        key=lambda zone: (
            expected[zone] >= need.tasks,
            _accepts_rentals(pool, need, zone),
            expected[zone],
        ),
    )
    return replace(need, tasks=need.tasks - by_zone[zone], zones=[zone])


def _usable(need: CapacityNeed, machines: list[Machine]) -> Iterator[Machine]:
    """Yield the machines on which the tasks of a need may run."""
    return (m for m in machines if _may_use(need, m.type, m.zone, m.spot))


def _incoming_tasks(pool: PoolView, need: CapacityNeed) -> Counter[int]:
    """Return by zone how many tasks of a need fit on machines that boot or are being rented."""
    tasks: Counter[int] = Counter()
    for market, count in _incoming_machines(pool).items():
        if _may_use(need, *market):
            tasks[market[1]] += count * _tasks_per_machine(pool, market[0], need)
    return tasks


def _accepts_rentals(pool: PoolView, need: CapacityNeed, zone: int) -> bool:
    """Return whether machines for a need may be rented in a zone at present."""
    return bool(_offers(pool, need, [zone]))


def cover_shortages(pool: PoolView) -> None:
    """Rent machines for needs that the existing machines can never meet.

    The required capacity is a total without types or zones. A job that is bound to a zone or a
    machine type, and replicas that must be spread, may not fit although the total capacity
    is sufficient. Other tasks wait for running tasks to end, but replicas cannot: the tasks
    beside them may never end.
    """
    incoming = _incoming_machines(pool)
    sharding = pool.fleet.scheduler.sharding
    other_shards_needs = [] if sharding is None else sharding.unplaceable_needs(pool.has_gpus)
    for need in [*unplaceable_needs(pool), *other_shards_needs]:
        missing = _uncovered_tasks(pool, need, incoming)
        if missing > 0:
            _rent_for(pool, need, missing)


def _incoming_machines(pool: PoolView) -> Counter[tuple[int, int, bool]]:
    """Count the machines that boot or are being rented, by (type, zone, spot)."""
    incoming: Counter[tuple[int, int, bool]] = Counter(
        (m.type, m.zone, m.spot)
        for m in pool.machines
        if m.status == BOOTING and not pool.is_boot_late(m)
    )
    for type_index, zone, spot, count in pool.fleet.pending_rentals.values():
        incoming[type_index, zone, spot] += count
    return incoming


def _uncovered_tasks(
    pool: PoolView, need: CapacityNeed, incoming: Counter[tuple[int, int, bool]]
) -> int:
    """Reserve machines that boot or are being rented for a need.

    Subtracts the reserved machines from ``incoming`` and returns the number of tasks that are
    still without a machine.
    """
    missing = need.tasks
    for market, count in incoming.items():
        if missing <= 0:
            break
        if count and _may_use(need, *market):
            fit = _tasks_per_machine(pool, market[0], need)
            used = min(count, -(-missing // max(1, fit)) * need.rentals_per_machine)
            incoming[market] -= used
            missing -= used * fit // need.rentals_per_machine
    return missing


def _may_use(need: CapacityNeed, type_index: int, zone: int, spot: bool) -> bool:
    """Whether the tasks of a need may run on machines of a market."""
    return need.eligible_types[type_index] and zone in need.zones and need.spot >= spot


def _tasks_per_machine(pool: PoolView, type_index: int, need: CapacityNeed) -> int:
    """Return how many tasks of a need fit on an empty machine of a type."""
    machine_type = pool.cluster.types[type_index]
    return tasks_that_fit(machine_type.cpus, machine_type.gpus, machine_type.memory_gb, need)


def _rent_for(pool: PoolView, need: CapacityNeed, tasks: int) -> None:
    """Rent the cheapest machines on which ``tasks`` tasks of a need may run."""
    fleet, cluster = pool.fleet, pool.cluster

    def machines(type_index: int) -> int:
        return -(-tasks // max(1, _tasks_per_machine(pool, type_index, need)))

    def price(type_index: int, spot: bool) -> float:
        machine_type = cluster.types[type_index]
        unit_price = machine_type.spot_price if spot else machine_type.price
        return unit_price * machines(type_index)

    offers = sorted(
        (price(type_index, spot), type_index, zone, spot)
        for type_index, zone, spot in _offers(pool, need, need.zones)
    )
    if offers:
        _, type_index, zone, spot = offers[0]
        fleet.rent(type_index, zone, spot, machines(type_index) * need.rentals_per_machine)


def _offers(pool: PoolView, need: CapacityNeed, zones: list[int]) -> list[tuple[int, int, bool]]:
    """Return the markets, as (type, zone, spot), where machines for a need may be rented now."""
    cluster, fleet = pool.cluster, pool.fleet
    return [
        (type_index, zone, spot)
        for type_index in pool.type_indices
        if need.eligible_types[type_index]
        for spot in ((False, True) if need.spot else (False,))
        for zone in zones
        if cluster.zones.names[zone] in cluster.types[type_index].zones
        and fleet.may_rent(type_index, zone, spot)
    ]
