"""Spot machines with cards that no work with cards may use, for work without.

Where no class with cards may run on spot machines, nobody rents those. They are dear
for work without cards, but when every market without cards has refused, what waits
misses its deadline on machines that nobody else wants. So they are rented for tasks
that end, and go back when idle like any other.
"""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import may_run_beside_gpus
from appleshift.protocol import cloud

MAX_PRICE_RATIO = 2.0
"""Of the price of the cheapest steady machine, by CPUs. Operators reckon that work which
is long overdue is bought elsewhere for twice its cost: beyond that, waiting is cheaper."""


def rent_unclaimed(fleet: FleetView, steady: int, missing: float) -> None:
    """Rent for capacity that is missing, in steady machines of a type without cards, once
    no market without cards has any."""
    cluster = fleet.cluster
    if fleet.scheduler.sharding is not None or not cluster.spot_gpus_unclaimed():
        return
    jobs = (shortage.job for shortage in fleet.shortages)
    if not any(job.spec.spot and may_run_beside_gpus(job) for job in jobs):
        return
    plain = cluster.types[steady]
    for index, kind in enumerate(cluster.types):
        for name in kind.zones if kind.gpus <= 0 else ():
            zone = cluster.zones.get(name)
            if not all(fleet.is_exhausted(index, zone, spot) for spot in (False, True)):
                return
    dear = plain.price / plain.cpus * MAX_PRICE_RATIO
    offers = sorted(
        (kind.spot_price / kind.cpus, index)
        for index, kind in enumerate(cluster.types)
        if kind.gpus > 0 and kind.cpus > 0 and kind.spot_price <= dear * kind.cpus
    )
    for _, index in offers:
        kind = cluster.types[index]
        units = min(kind.cpus / plain.cpus, kind.memory_gb / plain.memory_gb)
        have = sum(
            1
            for machine in cluster.machines.values()
            if machine.type == index and machine.spot and not machine.deletion_requested
        )
        have += sum(
            count
            for asked, _, spot, count in fleet.pending_rentals.values()
            if spot and asked == index
        )
        wanted = int(missing / units) - have
        for name in kind.zones:
            zone = cluster.zones.get(name)
            if wanted > 0 and zone >= 0 and fleet.may_rent(index, zone, True):
                fleet.rent(index, zone, True, wanted)
                wanted -= min(wanted, cloud.MAX_RENT)
        missing -= have * units
