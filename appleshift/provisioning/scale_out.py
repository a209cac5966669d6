"""Scale-out: rents the machines that the capacity plan still lacks."""

from __future__ import annotations

from appleshift.protocol import cloud
from appleshift.provisioning.planner import CapacityPlan
from appleshift.provisioning.pool_view import PoolView
from appleshift.provisioning.unclaimed_gpu_machines import rent_unclaimed

EPSILON = 1e-6
"""Missing capacity below this, in units, is a rounding error."""


def scale_out(pool: PoolView, plan: CapacityPlan, required: float, on_demand_only: float) -> None:
    """Rent machines of the spot groups, then on-demand machines, then any spot machines.

    ``required`` and ``on_demand_only``, the part of it that may not be spot machines, are in
    units.
    """
    _rent_groups(pool, plan)
    on_demand = pool.capacity(False)
    needed = max(on_demand_only, required - pool.capacity(True))
    type_indices = _types_by_preference(pool)
    missing = _rent_types(pool, type_indices, False, needed - on_demand)
    if missing <= EPSILON:
        return
    missing = min(missing, required - on_demand_only - pool.capacity(True))
    if missing <= EPSILON:
        return
    # No more on-demand machines are available. Tasks that may use spot machines get them, of
    # any type.
    missing = _rent_types(pool, type_indices, True, missing)
    if missing > EPSILON and not pool.has_gpus:
        rent_unclaimed(pool.fleet, pool.on_demand_type, missing)


def _rent_groups(pool: PoolView, plan: CapacityPlan) -> None:
    """Rent the machines that the plan's spot groups lack."""
    fleet = pool.fleet
    # Spot machines outside all groups count towards the groups before more are rented.
    outside_groups = sum(
        pool.units(pool.cluster.types[m.type])
        for m in pool.machines
        if m.spot and (m.type, m.zone) not in fleet.spot_groups
    )
    for market, wanted in plan.groups:
        missing = wanted - pool.spot_machines(market.type_index, market.zone)
        filled = min(missing, int(outside_groups / market.units)) if missing > 0 else 0
        outside_groups -= filled * market.units
        missing -= filled
        if missing > 0 and fleet.may_rent(market.type_index, market.zone, True):
            fleet.rent(market.type_index, market.zone, True, missing)


def _types_by_preference(pool: PoolView) -> list[int]:
    """Return the pool's machine types, the cheapest by size first.

    If the number of machines is limited, the largest type is first.
    """
    crowded = pool.fleet.is_near_machine_limit()

    def cost(type_index: int) -> float:
        machine_type = pool.cluster.types[type_index]
        # Each machine uses a connection, so large machines give more capacity per connection.
        return -pool.size(machine_type) if crowded else machine_type.price / pool.size(machine_type)

    return sorted(pool.type_indices, key=cost)


def _rent_types(pool: PoolView, type_indices: list[int], spot: bool, missing: float) -> float:
    """Rent machines of one type after the other until ``missing`` units are rented.

    Returns the units that could not be rented.
    """
    for type_index in type_indices:
        if missing <= EPSILON:
            break
        units = pool.units(pool.cluster.types[type_index])
        missing -= _rent_spread(pool, type_index, spot, int(-(-missing // units))) * units
    return missing


def _rent_spread(pool: PoolView, type_index: int, spot: bool, count: int) -> int:
    """Rent machines of one type in the zones with the least capacity.

    Zones whose market accepts no rentals at present are left out. Returns the number of
    machines requested.
    """
    fleet, cluster = pool.fleet, pool.cluster
    zones = [cluster.zones.get(name) for name in cluster.types[type_index].zones]
    open_zones = [zone for zone in zones if zone >= 0 and fleet.may_rent(type_index, zone, spot)]
    if count <= 0 or not open_zones:
        return 0
    capacity = dict.fromkeys(open_zones, 0.0)
    for machine in pool.machines:
        if machine.zone in capacity:
            capacity[machine.zone] += pool.units(cluster.types[machine.type])
    counts = dict.fromkeys(open_zones, 0)
    for _ in range(min(count, cloud.MAX_MACHINES_PER_RENTAL)):
        zone = min(open_zones, key=lambda zone: (capacity[zone], zone))
        counts[zone] += 1
        capacity[zone] += pool.units(cluster.types[type_index])
    for zone, zone_count in counts.items():
        if zone_count:
            fleet.rent(type_index, zone, spot, zone_count)
    return sum(counts.values())
