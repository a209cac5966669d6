"""Spot machines with GPUs that no GPU job may use, rented for other jobs.

Where no job class with GPUs may run on spot machines, nobody rents those. They are expensive
for jobs without GPUs, but when every market without GPUs has refused, what waits misses its
deadline beside machines that nobody else wants. So they are rented for tasks that end, and
returned when idle like any other.
"""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import may_run_beside_gpus
from appleshift.protocol import cloud
from appleshift.state.cluster_state import ClusterState

MAX_PRICE_RATIO = 2.0
"""Of the price per CPU of the cheapest on-demand machine. Operators reckon that work which
is long overdue is bought elsewhere for twice its cost: beyond that, waiting is cheaper."""


def rent_unclaimed(fleet: FleetView, on_demand_type: int, missing: float) -> None:
    """Rent for missing capacity once no market without GPUs has any machines.

    ``missing`` is in machines of ``on_demand_type``, a type without GPUs.
    """
    cluster = fleet.cluster
    if fleet.scheduler.sharding is not None or not cluster.gpu_jobs_exclude_spot():
        return
    jobs = (shortage.job for shortage in fleet.shortages)
    if not any(job.spec.spot and may_run_beside_gpus(job) for job in jobs):
        return
    if not _is_exhausted_without_gpus(fleet):
        return
    unit = cluster.types[on_demand_type]
    for type_index in _affordable_types(cluster, unit.price / unit.cpus * MAX_PRICE_RATIO):
        machine_type = cluster.types[type_index]
        units = min(machine_type.cpus / unit.cpus, machine_type.memory_gb / unit.memory_gb)
        rented = _spot_machines(fleet, type_index)
        _rent_in_all_zones(fleet, type_index, int(missing / units) - rented)
        missing -= rented * units


def _is_exhausted_without_gpus(fleet: FleetView) -> bool:
    """Whether every market without GPUs had too few machines when last asked."""
    cluster = fleet.cluster
    return all(
        fleet.is_exhausted(type_index, cluster.zones.get(name), spot)
        for type_index, machine_type in enumerate(cluster.types)
        if machine_type.gpus <= 0
        for name in machine_type.zones
        for spot in (False, True)
    )


def _affordable_types(cluster: ClusterState, max_price_per_cpu: float) -> list[int]:
    """Types with GPUs, the cheapest per CPU first."""
    offers = sorted(
        (machine_type.spot_price / machine_type.cpus, type_index)
        for type_index, machine_type in enumerate(cluster.types)
        if machine_type.gpus > 0
        and machine_type.cpus > 0
        and machine_type.spot_price <= max_price_per_cpu * machine_type.cpus
    )
    return [type_index for _, type_index in offers]


def _spot_machines(fleet: FleetView, type_index: int) -> int:
    """Spot machines of a type in all zones, pending rentals included."""
    rented = sum(
        1
        for machine in fleet.cluster.machines.values()
        if machine.type == type_index and machine.spot and not machine.deletion_requested
    )
    return rented + sum(
        count
        for pending_type, _, spot, count in fleet.pending_rentals.values()
        if spot and pending_type == type_index
    )


def _rent_in_all_zones(fleet: FleetView, type_index: int, count: int) -> None:
    """Rent spot machines of a type, in as many zones as it takes."""
    for name in fleet.cluster.types[type_index].zones:
        zone = fleet.cluster.zones.get(name)
        if count > 0 and zone >= 0 and fleet.may_rent(type_index, zone, True):
            fleet.rent(type_index, zone, True, count)
            count -= min(count, cloud.MAX_RENT)
