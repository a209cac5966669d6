"""All machines of a shard, as the scheduler, the planner and other shards see them."""

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
    """Part of the scheduler: shares its state, clock and actions.

    It joins the concerns that have modules of their own: rentals, spot groups, the cloud's
    listing, boots, health, consolidation and the capacity plan.
    """

    def __init__(self, scheduler: SchedulerView, groups: Any) -> None:
        """Start a term; ``groups`` are the spot groups that the log names."""
        self.scheduler = scheduler
        self.cluster = scheduler.cluster
        self.operator = scheduler.operator
        # Of several shards only the leader's rents, for all of them.
        self.is_provisioning = scheduler.sharding is None or scheduler.sharding.shard == 0
        self.shortages: list[Shortage] = []
        # Jobs that arrived lately, of classes with an objective for their wait, as
        # (time, CPUs, GPUs, may use spot, accepted wait in seconds).
        self.arrivals: deque[tuple[float, float, float, bool, float]] = deque()
        self.next_summary = scheduler.now
        # By pool (with GPUs or without): on-demand capacity that is not needed.
        self.on_demand_spare: dict[bool, float] = {}
        # By pool: the capacity required lately, as (time, capacity).
        self.recent_required: dict[bool, deque[tuple[float, float]]] = {
            False: deque(),
            True: deque(),
        }
        # By machine type; valid as long as prices stay.
        self._units_by_type: dict[int, float] = {}
        self._spot_groups = SpotGroups(scheduler, groups)
        self.spot_groups = self._spot_groups.markets
        self.evicted_markets = self._spot_groups.evicted_until
        self.consolidation = Consolidation(self)
        self.health = MachineHealth(self)
        self._rentals = Rentals(scheduler, self.health)
        self.pending_rentals = self._rentals.pending
        self._inventory = CloudInventory(self)
        self._boots = BootMonitor(self, self.health)
        self._review = PlanReview(self)

    @property
    def zone_health(self) -> ZoneHealth:
        """Which zones are reachable."""
        return self.health

    @property
    def next_review(self) -> float:
        """When the capacity plan is reviewed next, by the scheduler's clock."""
        return self._review.next_review

    @next_review.setter
    def next_review(self, at: float) -> None:
        self._review.next_review = at

    @property
    def list_seen(self) -> bool:
        """Whether the cloud's machines were listed in this term."""
        return self._review.listing_received

    @list_seen.setter
    def list_seen(self, received: bool) -> None:
        self._review.listing_received = received

    # -- machine types and demand -------------------------------------------------------

    def set_machine_types(self, types: list[MachineType]) -> None:
        """Take over the types and prices that the cloud offers."""
        self._units_by_type.clear()
        if self.cluster.update_machine_types(types):
            self.scheduler.append_records(records.machine_type_records(self.cluster.types))
            self.scheduler.placement_needed = True

    def job_arrived(self, spec: Submission, at: float) -> None:
        """Count a job as demand to scale out ahead for, if its class has an objective."""
        accepted_wait_s = self.scheduler.objectives.wait_s(spec.job_class)
        if accepted_wait_s is not None:
            counted = self.cluster.counted_resources
            tasks = spec.tasks if counted is None else counted.max_concurrent_tasks(spec)
            cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
            self.arrivals.append((at, cpus, gpus, spec.spot, accepted_wait_s))

    def capacity_units(self, machine: Machine) -> float:
        """A machine's capacity in on-demand machines of its pool.

        Cached by type: a pool looks at all machines when it is made, and making one for
        each machine asked about took most of a review of 1,800 machines.
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

        It was rented late, or by an earlier leader. None if it was deleted, has no address
        or belongs to another shard.
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
        """Note that a machine is up, at which address, and whether it is reclaimed."""
        if machine.status == BOOTING or machine.addr != heartbeat.addr:
            machine.status = UP
            machine.addr = heartbeat.addr
            machine.idle_since = self.scheduler.now
            self.scheduler.write_ahead_log.append(records.machine_record(self.cluster, machine))
            self.scheduler.placement_needed = True
        if heartbeat.reclaim_in_s is not None:
            self._reclaim_announced(machine, heartbeat.reclaim_in_s)

    def _reclaim_announced(self, machine: Machine, reclaim_in_s: float) -> None:
        """Drain a machine that the cloud takes back in so many seconds."""
        self.scheduler.placement_needed = True
        if not machine.draining:
            log.info(
                "machine reclaim announced machine=%s reclaim_in_s=%.0f",
                machine.name,
                reclaim_in_s,
            )
            machine.draining = True
            self.evict_group(machine)
        machine.reclaim_at = self.scheduler.now + max(0.0, reclaim_in_s)
        checkpoint_before_reclaim(self.scheduler, machine)

    # -- spot groups --------------------------------------------------------------------

    def spot_group_names(self) -> list[str]:
        """The chosen spot groups as sorted ``type@zone`` names."""
        return self._spot_groups.names()

    def evict_group(self, machine: Machine) -> None:
        """Evict the spot group of a machine that was reclaimed or lost.

        The group's other machines stay, outside any group.
        """
        if not machine.spot:
            return
        if not self.is_provisioning and self.scheduler.sharding is not None:
            # The leader's plan has the groups.
            self.scheduler.sharding.machine_evicted(machine.type, machine.zone)
            return
        self.evict_market((machine.type, machine.zone))

    def evict_market(self, market: tuple[int, int]) -> None:
        """Drop the spot group of a (type, zone) market and leave it out of plans for a while."""
        self._spot_groups.evict(market)

    # -- deletion -----------------------------------------------------------------------

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine with whatever runs on it; the cloud's answer proves it gone."""
        if machine.deletion_requested:
            return
        log.info('deleting machine machine=%s reason="%s"', machine.name, reason)
        self.scheduler.delete_machines([machine])

    def machine_deleted(self, machine: Machine) -> None:
        """The cloud confirmed a deletion."""
        if machine.spot and machine.reclaim_at is not None:
            self.evict_group(machine)

    # -- the cloud's answers ------------------------------------------------------------

    def machines_listed(self, rows: list[ListedMachine], complete: bool) -> None:
        """Reconcile the machines with a listing; see ``CloudInventory.reconcile``."""
        self.list_seen = True
        self._inventory.reconcile(rows, complete)

    def rental_answered(self, request: str, names: list[str] | None, refused: bool) -> None:
        """Handle the answer to a rental; ``names`` is None if none came."""
        if self._rentals.answered(request, names, refused):
            self.next_review = min(self.next_review, self.scheduler.now)

    # -- rentals ------------------------------------------------------------------------

    @property
    def max_machines(self) -> int:
        """How many machines all nodes together can serve."""
        return self._rentals.max_machines

    def set_max_machines(self, machines: int) -> None:
        """Set how many machines all nodes together can serve."""
        self._rentals.set_max_machines(machines)

    def is_crowded(self) -> bool:
        """Whether so many machines are rented that their number matters more than price."""
        return self._rentals.is_crowded()

    def accepts_rentals(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market has not refused lately and its machines could be heard."""
        return self._rentals.accepts_rentals(type_index, zone, spot)

    def is_exhausted(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether a market, when last asked, had fewer machines than were requested."""
        return self._rentals.is_exhausted(type_index, zone, spot)

    def may_rent(self, type_index: int, zone: int, spot: bool) -> bool:
        """Whether to ask a market now; see ``Rentals.may_rent``."""
        return self._rentals.may_rent(type_index, zone, spot)

    def rent(self, type_index: int, zone: int, spot: bool, count: int) -> None:
        """Request up to ``count`` machines of a market, within all limits."""
        self._rentals.rent(type_index, zone, spot, count)

    # -- ticks --------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Check every machine, then scale in or out by the plan."""
        self.health.check(now)
        self._check_machines(now)
        if not self.cluster.types or not self.scheduler.lease.may_write(now):
            return
        self.consolidation.step(now)
        if self.is_provisioning and self._review.step(now):
            self._spot_groups.write_changes(now)

    def _check_machines(self, now: float) -> None:
        """Retry deletions, give up late boots and drop what is quarantined and empty."""
        for machine in list(self.cluster.machines.values()):
            if machine.deletion_requested:
                if machine.retry_deletion_at <= now:
                    self.scheduler.delete_machines([machine])
                continue
            if machine.status == BOOTING:
                self._boots.check(machine, now)
            elif machine.in_other_shard:
                continue
            elif machine.quarantined and machine.empty():
                self.delete(machine, "quarantined and empty")
            elif machine.reclaim_at is not None:
                checkpoint_before_reclaim(self.scheduler, machine)
