"""Machines of one capacity pool (with GPUs or without) and their capacity in units."""

from __future__ import annotations

from appleshift.contracts.interfaces import FleetView
from appleshift.protocol.cloud import MachineType
from appleshift.state.entities import Machine
from appleshift.state.states import BOOTING

BOOT_LATE_FACTOR = 1.6
"""A machine that boots for more than this many times the usual boot time is no capacity."""
MIN_UNITS = 1e-6
"""Keeps ratios finite for machine types without any of a resource."""


class PoolView:
    """Machines of one pool that count as capacity at the moment.

    Capacity is measured in units: one unit is the capacity of an on-demand machine of the
    pool's cheapest type.
    """

    def __init__(self, fleet: FleetView, has_gpus: bool) -> None:
        """Select the machines; ``has_gpus`` selects the pool of machines with GPUs."""
        self.fleet = fleet
        self.has_gpus = has_gpus
        self.cluster = cluster = fleet.cluster
        self.type_indices = [
            index
            for index, machine_type in enumerate(cluster.types)
            if (machine_type.gpus > 0) == has_gpus
        ]
        self.machines = [
            machine
            for machine in cluster.machines.values()
            if machine.type in self.type_indices
            # Machines of an unreachable zone are no capacity, though the zone may come back.
            and fleet.zone_health.is_trusted(machine.zone)
            and not (
                machine.deletion_requested
                or machine.quarantined
                or machine.draining
                or machine.cordoned
            )
        ]
        self.reachable_zones = sum(
            fleet.zone_health.is_trusted(zone) for zone in range(len(cluster.zones))
        )
        self.on_demand_type = min(
            self.type_indices,
            key=lambda index: cluster.types[index].price / self.size(cluster.types[index]),
            default=-1,
        )
        """Index of the machine type of a unit, the cheapest by size; -1 in an empty pool."""

    def size(self, machine_type: MachineType) -> float:
        """Return a machine type's GPUs in the pool with GPUs, else its CPUs."""
        return max(MIN_UNITS, machine_type.gpus if self.has_gpus else machine_type.cpus)

    def units(self, machine_type: MachineType) -> float:
        """Return the capacity of a machine type in units, by its scarcest resource.

        In the pool with GPUs only GPUs count.
        """
        unit = self.cluster.types[self.on_demand_type]
        ratios = [machine_type.cpus / unit.cpus, machine_type.memory_gb / unit.memory_gb]
        if self.has_gpus:
            ratios = [machine_type.gpus / unit.gpus]
        return max(MIN_UNITS, min(ratios))

    def is_boot_late(self, machine: Machine) -> bool:
        """Whether a machine has been booting for too long to count as capacity."""
        boot_s = self.cluster.types[machine.type].boot_s
        booting_s = self.fleet.scheduler.now - machine.rented_at
        return machine.status == BOOTING and booting_s > boot_s * BOOT_LATE_FACTOR

    def capacity(self, spot: bool) -> float:
        """Return the units of spot or on-demand machines, pending rentals included."""
        total = 0.0
        for machine in self.machines:
            if machine.spot == spot and not self.is_boot_late(machine):
                total += self.units(self.cluster.types[machine.type])
        return total + self._pending_capacity(spot)

    def _pending_capacity(self, spot: bool) -> float:
        return sum(
            count * self.units(self.cluster.types[type_index])
            for type_index, _, pending_spot, count in self.fleet.pending_rentals.values()
            if type_index in self.type_indices and pending_spot == spot
        )

    def spot_machines(self, type_index: int, zone: int) -> int:
        """Return the number of spot machines of a market, pending rentals included."""
        rented = sum(1 for m in self.machines if m.spot and (m.type, m.zone) == (type_index, zone))
        return rented + sum(
            count
            for pending_type, pending_zone, spot, count in self.fleet.pending_rentals.values()
            if spot and (pending_type, pending_zone) == (type_index, zone)
        )
