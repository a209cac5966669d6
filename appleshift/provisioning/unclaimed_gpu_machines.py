"""Rents spot machines with GPUs for jobs without GPUs, if no GPU job may use them.

If no job class with GPUs may run on spot machines, spot machines with GPUs stay unused. They
are expensive for jobs without GPUs. But when every market without GPUs has refused, waiting
jobs would miss their deadlines while these machines are available. So they are rented for
tasks that end, and returned when idle like any other machine.
"""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import may_share_gpu_machine
from appleshift.protocol import cloud
from appleshift.state.cluster_state import ClusterState

MAX_PRICE_RATIO = 2.0
"""Highest price per CPU, as a multiple of that of the cheapest on-demand machine. Operators
estimate that work which is long overdue is bought elsewhere for twice its cost, so at a higher
price it is cheaper to wait."""


def rent_unclaimed(fleet: FleetView, on_demand_type: int, missing: float) -> None:
    """Rent spot machines with GPUs, which no GPU job may use, for waiting jobs without GPUs.

    Does so only if every market without GPUs had too few machines, and never in a cluster with
    a shard map. ``missing`` is the missing capacity in machines of ``on_demand_type``, a type
    without GPUs.
    """
    cluster = fleet.cluster
    if fleet.scheduler.sharding is not None or not cluster.gpu_jobs_exclude_spot():
        return
    jobs = (shortage.job for shortage in fleet.shortages)
    if not any(job.spec.spot and may_share_gpu_machine(job) for job in jobs):
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
    """Return the types with GPUs up to a spot price per CPU, the cheapest per CPU first."""
    offers = sorted(
        (machine_type.spot_price / machine_type.cpus, type_index)
        for type_index, machine_type in enumerate(cluster.types)
        if machine_type.gpus > 0
        and machine_type.cpus > 0
        and machine_type.spot_price <= max_price_per_cpu * machine_type.cpus
    )
    return [type_index for _, type_index in offers]


def _spot_machines(fleet: FleetView, type_index: int) -> int:
    """Return the number of spot machines of a type in all zones, pending rentals included."""
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
    """Rent ``count`` spot machines of a type, one zone after the other."""
    for name in fleet.cluster.types[type_index].zones:
        zone = fleet.cluster.zones.get(name)
        if count > 0 and zone >= 0 and fleet.may_rent(type_index, zone, True):
            fleet.rent(type_index, zone, True, count)
            count -= min(count, cloud.MAX_MACHINES_PER_RENTAL)
