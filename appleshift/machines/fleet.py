"""Interface to all machines of a shard, used by the scheduler, capacity planning and sharding."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

from appleshift.contracts.interfaces import SchedulerView, ZoneHealth
from appleshift.machines.boot_monitor import BootMonitor
from appleshift.machines.cloud_inventory import CloudInventory
from appleshift.machines.health import MachineHealth
from appleshift.machines.plan_review import PlanReview
from appleshift.machines.reclaim import checkpoint_before_reclaim
from appleshift.machines.rentals import Rentals
from appleshift.machines.spot_groups import SpotGroups
from appleshift.placement.result import Shortage
from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.provisioning.consolidation import Consolidation
from appleshift.provisioning.pool import CapacityPool
from appleshift.state.entities import Machine
from appleshift.state.states import BOOTING, UP
from appleshift.storage import records

log = logging.getLogger(__name__)


class Fleet:
    """Manages the machines of a shard, as a part of the scheduler.

    It uses the scheduler's state, clock and actions. Rentals, spot groups, cloud listings,
    boots, health, consolidation and the capacity plan are delegated to separate modules.
    """

    def __init__(self, scheduler: SchedulerView, groups: Any) -> None:
        """Start a term; ``groups`` are the spot group names recovered from the write-ahead log."""
        self.scheduler = scheduler
        self.cluster = scheduler.cluster
        self.operator = scheduler.operator
        # With several shards, only shard 0 plans capacity and rents machines, for all shards.
        self.plans_capacity = scheduler.sharding is None or scheduler.sharding.shard == 0
        self.shortages: list[Shortage] = []
        # Recent jobs of classes with a wait objective, as
        # (time, CPUs, GPUs, may use spot, accepted wait in seconds).
        self.recent_submissions: deque[tuple[float, float, float, bool, float]] = deque()
        self.next_summary_at = scheduler.now
        # Pool (whether with GPUs) -> on-demand capacity that is not needed, in units.
        self.on_demand_spare: dict[bool, float] = {}
        # Pool (whether with GPUs) -> recently required capacity as (time, units).
        self.recent_required_capacity: dict[bool, deque[tuple[float, float]]] = {
            False: deque(),
            True: deque(),
        }
        # Machine type -> capacity in units; cleared when types or prices change.
        self._units_by_type: dict[int, float] = {}
        self._spot_groups = SpotGroups(scheduler, groups)
        self.spot_groups = self._spot_groups.markets
        self.evicted_markets = self._spot_groups.evicted_until
        self.consolidation = Consolidation(self)
        self.health = MachineHealth(self)
        self._rentals = Rentals(scheduler, self.health)
        self.pending_rentals = self._rentals.pending
        self._inventory = CloudInventory(self)
        self._boot_monitor = BootMonitor(self, self.health)
        self._plan_review = PlanReview(self)

    @property
    def zone_health(self) -> ZoneHealth:
        """Which zones are reachable."""
        return self.health

    @property
    def next_review(self) -> float:
        """Time of the next review of the capacity plan, by the scheduler's clock."""
        return self._plan_review.next_review

    @next_review.setter
    def next_review(self, at: float) -> None:
        self._plan_review.next_review = at

    @property
    def listing_received(self) -> bool:
        """Whether a cloud listing has arrived in this term."""
        return self._plan_review.listing_received

    @listing_received.setter
    def listing_received(self, received: bool) -> None:
        self._plan_review.listing_received = received

    # -- machine types and demand -------------------------------------------------------

    def set_machine_types(self, types: list[MachineType]) -> None:
        """Set the machine types and prices that the cloud offers."""
        self._units_by_type.clear()
        if self.cluster.update_machine_types(types):
            self.scheduler.append_records(records.machine_type_records(self.cluster.types))
            self.scheduler.placement_needed = True

    def job_arrived(self, spec: Submission, at: float) -> None:
        """Record what a job needs, if its class has a wait objective.

        From these records the capacity plan predicts the jobs that arrive soon.
        """
        accepted_wait_s = self.scheduler.objectives.max_wait_s(spec.job_class)
        if accepted_wait_s is not None:
            counted = self.cluster.counted_resources
            tasks = spec.tasks if counted is None else counted.max_concurrent_tasks(spec)
            cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
            self.recent_submissions.append((at, cpus, gpus, spec.spot, accepted_wait_s))

    def capacity_units(self, machine: Machine) -> float:
        """Return a machine's capacity in on-demand machines of its pool.

        The result is cached by machine type. ``CapacityPool`` iterates over all machines when
        it is created; without the cache, creating one per machine took most of the time of a
        review with 1,800 machines.
        """
        units = self._units_by_type.get(machine.type)
        if units is None:
            machine_type = self.cluster.types[machine.type]
            pool = CapacityPool(self, machine_type.gpus > 0)
            units = self._units_by_type[machine.type] = pool.units(machine_type)
        return units

    # -- heartbeats ---------------------------------------------------------------------

    def adopt(self, heartbeat: Heartbeat) -> Machine | None:
        """Add an unknown machine that sends heartbeats.

        Such a machine was rented by an earlier leader, or the response to its rental is late
        or lost. Returns None if the machine was deleted, has no address or belongs to another
        shard.
        """
        if heartbeat.machine in self.cluster.deleted_machines or not heartbeat.addr:
            return None
        sharding = self.scheduler.sharding
        if sharding is not None and not sharding.owns_machine(heartbeat.machine, heartbeat.type):
            return None
        machine = self.cluster.add_machine(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot
        )
        if machine is not None:
            log.info("machine adopted machine=%s", machine.name)
            machine.rented_at = self.scheduler.now
            machine.idle_since = self.scheduler.now
        return machine

    def heartbeat_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Record from a heartbeat that a machine is up, its address and an announced reclaim."""
        if machine.status == BOOTING or machine.addr != heartbeat.addr:
            machine.status = UP
            machine.addr = heartbeat.addr
            machine.idle_since = self.scheduler.now
            self.scheduler.write_ahead_log.append(records.machine_record(self.cluster, machine))
            self.scheduler.placement_needed = True
        if heartbeat.reclaim_in_s is not None:
            self._reclaim_announced(machine, heartbeat.reclaim_in_s)

    def _reclaim_announced(self, machine: Machine, reclaim_in_s: float) -> None:
        """Drain a machine that the cloud reclaims in ``reclaim_in_s`` seconds."""
        self.scheduler.placement_needed = True
        if not machine.draining:
            log.info(
                "machine reclaim announced machine=%s reclaim_in_s=%.0f",
                machine.name,
                reclaim_in_s,
            )
            machine.draining = True
            self.evict_spot_group(machine)
        machine.reclaim_at = self.scheduler.now + max(0.0, reclaim_in_s)
        checkpoint_before_reclaim(self.scheduler, machine)

    # -- spot groups --------------------------------------------------------------------

    def spot_group_names(self) -> list[str]:
        """Return the chosen spot groups as sorted ``type@zone`` names."""
        return self._spot_groups.names()

    def evict_spot_group(self, machine: Machine) -> None:
        """Remove the spot group of a machine that was reclaimed or lost from the capacity plan.

        The plan leaves out the group's market for a while. The group's other machines are
        kept, but belong to no group. Does nothing for on-demand machines.
        """
        if not machine.spot:
            return
        if not self.plans_capacity and self.scheduler.sharding is not None:
            # Shard 0 plans capacity for all shards; report the loss to it.
            self.scheduler.sharding.machine_evicted(machine.type, machine.zone)
            return
        self.evict_market((machine.type, machine.zone))

    def evict_market(self, market: tuple[int, int]) -> None:
        """Remove the group of a (type, zone) market; see ``SpotGroups.evict``."""
        self._spot_groups.evict(market)

    # -- deletion -----------------------------------------------------------------------

    def delete(self, machine: Machine, reason: str) -> None:
        """Request the deletion of a machine, unless it was already requested.

        The machine's tasks count as ended only when the cloud confirms the deletion.
        """
        if machine.deletion_requested:
            return
        log.info('deleting machine machine=%s reason="%s"', machine.name, reason)
        self.scheduler.delete_machines([machine])

    def machine_deleted(self, machine: Machine) -> None:
        """Evict the spot group of a machine that was deleted after a reclaim was announced."""
        if machine.spot and machine.reclaim_at is not None:
            self.evict_spot_group(machine)

    # -- responses of the cloud ---------------------------------------------------------

    def machines_listed(self, rows: list[ListedMachine], complete: bool) -> None:
        """Reconcile the machines with a cloud listing; see ``CloudInventory.reconcile``."""
        self.listing_received = True
        self._inventory.reconcile(rows, complete)

    def rental_answered(self, request: str, names: list[str] | None, refused: bool) -> None:
        """Process the response to a rental; ``names`` is None if there was no response."""
        if self._rentals.process_response(request, names, refused):
            self.next_review = min(self.next_review, self.scheduler.now)

    # -- rentals ------------------------------------------------------------------------

    @property
    def max_machines(self) -> int:
        """Largest number of machines that all nodes together can serve."""
        return self._rentals.max_machines

    def set_max_machines(self, machines: int) -> None:
        """Set the machine limit; see ``Rentals.set_max_machines``."""
        self._rentals.set_max_machines(machines)

    def is_near_machine_limit(self) -> bool:
        """Whether so many machines are rented that their number matters more than price."""
        return self._rentals.is_near_machine_limit()

    def accepts_rentals(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market accepts rentals; see ``Rentals.accepts_rentals``."""
        return self._rentals.accepts_rentals(type_index, zone, spot)

    def is_exhausted(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market had fewer machines than the last rental requested."""
        return self._rentals.is_exhausted(type_index, zone, spot)

    def may_rent(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a rental may be sent to a market now; see ``Rentals.may_rent``."""
        return self._rentals.may_rent(type_index, zone, spot)

    def rent(self, type_index: int, zone: int, spot: bool, count: int) -> None:
        """Request up to ``count`` machines of a market; see ``Rentals.rent``."""
        self._rentals.rent(type_index, zone, spot, count)

    # -- ticks --------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Check all machines, then consolidate and review the capacity plan if due."""
        self.health.check(now)
        self._check_machines(now)
        if not self.cluster.types or not self.scheduler.lease.may_write(now):
            return
        self.consolidation.step(now)
        if self.plans_capacity and self._plan_review.step(now):
            self._spot_groups.write_changes(now)

    def _check_machines(self, now: float) -> None:
        """Retry deletions; delete machines that boot late or are quarantined and empty.

        Also stops tasks in time before an announced reclaim.
        """
        for machine in list(self.cluster.machines.values()):
            if machine.deletion_requested:
                if machine.retry_deletion_at <= now:
                    self.scheduler.delete_machines([machine])
                continue
            if machine.status == BOOTING:
                self._boot_monitor.check(machine, now)
            elif machine.in_other_shard:
                continue
            elif machine.quarantined and machine.empty():
                self.delete(machine, "quarantined and empty")
            elif machine.reclaim_at is not None:
                checkpoint_before_reclaim(self.scheduler, machine)
