"""The machines: renting by the paper's plan, adoption, health and return."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

from appleshift.contracts.actions import ProbeMachine, RentMachines
from appleshift.contracts.interfaces import SchedulerView, ZoneHealth
from appleshift.machines.health import MachineHealth
from appleshift.node_limits.node_limits import NodeLimits, TimeBudget
from appleshift.placement.fit import stop_grace_s
from appleshift.placement.result import Shortage
from appleshift.protocol import cloud
from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.provisioning.consolidation import Consolidation
from appleshift.provisioning.pool import CapacityPool
from appleshift.state.cluster_state import BOOTING, UP, Machine
from appleshift.storage import records

log = logging.getLogger(__name__)

REVIEW_GAP_S = 1.0
REVIEW_SHARE = 0.1
"""Of the time, reviews of the plan may take so much: on a controller that falls
behind, renting ahead is what waits first."""
SUMMARY_S = 30.0
SETTLED_S = 20.0
BOOT_PROBES = 2
"""Questions that a late boot leaves unanswered before it is given up."""


class Fleet:
    """Part of the core: shares its tables, clock and effects."""

    def __init__(self, scheduler: SchedulerView, groups: Any) -> None:
        self.scheduler = scheduler
        self.cluster = scheduler.cluster
        self.operator = scheduler.operator
        self.started = scheduler.now
        # Of several shares only the leader's rents, for all of them.
        self.is_provisioning = scheduler.sharding is None or scheduler.sharding.shard == 0
        self.shortages: list[Shortage] = []
        self.types_updated_at = 0.0
        self.requests = 0
        # Rentals under way: request -> what was asked for.
        self.pending_rentals: dict[str, tuple[int, int, bool, int]] = {}
        # (type, zone, spot) -> when to ask again after a refusal, and the pause.
        self.rental_backoffs: dict[tuple[int, int, bool], tuple[float, float]] = {}
        self.next_review = scheduler.now
        self._reviewing = TimeBudget(scheduler.clock, REVIEW_SHARE)
        self.next_regroup = scheduler.now + self.operator.regroup_s
        # The chosen spot groups, each of one market: (type, zone).
        self.spot_groups: set[tuple[int, int]] = set()
        for name in groups if isinstance(groups, list) else []:
            kind, _, zone = str(name).partition("@")
            market = (self.cluster.type_names.get(kind), self.cluster.zones.get(zone))
            if min(market) >= 0:
                self.spot_groups.add(market)
        self.evicted_markets: dict[tuple[int, int], float] = {}
        self._written_spot_groups: list[str] = self.spot_group_names()
        self._spot_groups_written_at = 0.0
        # What arrived lately of classes with an aim for their wait: time, CPUs,
        # GPUs, whether it may use spot, and the wait that is accepted.
        self.arrivals: deque[tuple[float, float, float, bool, float]] = deque()
        self.list_seen = False
        self.next_summary = scheduler.now
        # By pool (with cards or without): steady capacity that is not needed.
        self.on_demand_spare: dict[bool, float] = {}
        # By pool: what was required lately, as (time, capacity).
        self.recent_required: dict[bool, deque[tuple[float, float]]] = {
            False: deque(),
            True: deque(),
        }
        # Each machine reports on a connection of its own. One that finds no
        # place is paid for and never heard: three times the fleet once rented
        # 8,677 machines for 1,830 that there could be, gave up those that it
        # did not hear, and rented others in their stead.
        self.max_machines = NodeLimits.from_machine_limits(
            scheduler.settings.deployment.machine_limits
        ).machines
        self._max_machines_at = scheduler.now
        self._logged_full_at = 0.0
        # Of each type, as long as prices stay.
        self._units_by_type: dict[int, float] = {}
        self.consolidation = Consolidation(self)
        self.health = MachineHealth(self)

    @property
    def zone_health(self) -> ZoneHealth:
        return self.health

    # -- what others tell -------------------------------------------------------

    def set_machine_types(self, types: list[MachineType]) -> None:
        self._units_by_type.clear()
        if self.cluster.set_types(types):
            self.scheduler.append_records(records.machine_type_records(self.cluster.types))
            self.scheduler.placement_needed = True
        self.types_updated_at = self.scheduler.now

    def job_arrived(self, spec: Submission, at: float) -> None:
        within = self.scheduler.objectives.wait_s(spec.job_class)
        if within is not None:
            counted = self.cluster.counted_resources
            tasks = spec.tasks if counted is None else counted.max_concurrent_tasks(spec)
            cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
            self.arrivals.append((at, cpus, gpus, spec.spot, within))

    def adopt(self, heartbeat: Heartbeat) -> Machine | None:
        """A machine we did not know: rented late, or by a leader before us."""
        if heartbeat.machine in self.cluster.deleted_machines or not heartbeat.addr:
            return None
        sharing = self.scheduler.sharding
        if sharing is not None and not sharing.owns_machine(heartbeat.machine, heartbeat.type):
            return None
        machine = self.cluster.add_machine(
            heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot
        )
        if machine is not None:
            log.info("adopting machine %s", machine.name)
            machine.rented_at = self.scheduler.now
            machine.idle_since = self.scheduler.now
        return machine

    def heartbeat_received(self, machine: Machine, heartbeat: Heartbeat) -> None:
        if machine.status == BOOTING or machine.addr != heartbeat.addr:
            machine.status = UP
            machine.addr = heartbeat.addr
            machine.idle_since = self.scheduler.now
            self.scheduler.write_ahead_log.append(records.machine_record(self.cluster, machine))
            self.scheduler.placement_needed = True
        if heartbeat.reclaim_in_s is not None:
            self.scheduler.placement_needed = True
            if not machine.draining:
                log.info("machine %s is taken back in %.0f s", machine.name, heartbeat.reclaim_in_s)
                machine.draining = True
                self.evict_group(machine)
            machine.reclaim_at = self.scheduler.now + max(0.0, heartbeat.reclaim_in_s)
            self._checkpoint_before_reclaim(machine)

    def evict_group(self, machine: Machine) -> None:
        """One machine taken back evicts its group; the others become orphans."""
        if not machine.spot:
            return
        if not self.is_provisioning and self.scheduler.sharding is not None:
            # The leader's plan has the groups.
            self.scheduler.sharding.machine_evicted(machine.type, machine.zone)
            return
        self.evict_market((machine.type, machine.zone))

    def evict_market(self, market: tuple[int, int]) -> None:
        self.evicted_markets[market] = self.scheduler.now + self.operator.evict_pause_s
        if market in self.spot_groups:
            self.spot_groups.discard(market)
            log.info("group %s evicted", self._market_name(market))

    def _checkpoint_before_reclaim(self, machine: Machine) -> None:
        """Stop what can save in time, as late as is safe."""
        assert machine.reclaim_at is not None
        left = machine.reclaim_at - self.scheduler.now
        for run in list(machine.runs.values()):
            grace = stop_grace_s(run)
            if grace > 0 and run.stop_grace_s is None and left < 3.0 * grace + 6.0:
                if run.job.gang:
                    self.scheduler.stop_gang(run.job, grace, "notice")
                else:
                    self.scheduler.stop_run(run, grace, "notice")

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine with whatever is on it; the answer is proof."""
        if machine.deletion_requested:
            return
        log.info("deleting machine %s: %s", machine.name, reason)
        self.scheduler.delete_machines([machine])

    def machine_deleted(self, machine: Machine) -> None:
        if machine.spot and machine.reclaim_at is not None:
            self.evict_group(machine)

    # -- the cloud's list -------------------------------------------------------------

    def machines_listed(self, rows: list[ListedMachine], complete: bool) -> None:
        """Take in a list; it is old, and may be older than the last one.

        Only a list of which every row could be read says what is not in it.
        """
        now = self.scheduler.now
        lag = self.scheduler.settings.deployment.cloud.list_lag_s
        names = set()
        self.list_seen = True
        for row in rows:
            names.add(row.name)
            machine = self.cluster.machine(row.name)
            if machine is None:
                if row.name in self.cluster.deleted_machines:
                    continue
                machine = self.cluster.add_machine(row.name, row.type, row.zone, row.spot)
                if machine is None:
                    continue
                log.info("machine %s found in the list", row.name)
                self.mark_shard(machine)
                machine.rented_at = now - row.age_s
                machine.idle_since = now
                machine.lease_until = now + self.scheduler.worker_lease_s
            # Before its first report this is where it can be asked.
            machine.listed_addr = row.addr or machine.listed_addr
            if machine.listed_at is None:
                machine.listed_at = now
                machine.rented_at = min(machine.rented_at, now - row.age_s)
            if (
                row.state == cloud.FAILED
                and not machine.deletion_requested
                and self._may_delete(machine)
            ):
                self.evict_group(machine)
                self.delete(machine, "failed")
        for machine in list(self.cluster.machines.values()) if complete else []:
            if machine.name in names or machine.deletion_requested or not self._may_delete(machine):
                continue
            heard = machine.last_heard > now - 2 * lag
            old = now - machine.rented_at > 4 * lag + 10.0
            if heard or not old:
                continue
            # Taken by the cloud, or never really there; deleting a name that
            # is unknown is harmless, and the answer is the proof we need.
            if machine.listed_at is None or now - machine.listed_at > 3 * lag:
                self.evict_group(machine)
                self.delete(machine, "no longer listed")

    def mark_shard(self, machine: Machine) -> None:
        """Is it for another share?"""
        sharing = self.scheduler.sharding
        if sharing is not None:
            kind = self.cluster.type_names.names[machine.type]
            given = machine.name in self.cluster.handed_off
            machine.in_other_shard = given or not sharing.owns_machine(machine.name, kind)

    @staticmethod
    def _may_delete(machine: Machine) -> bool:
        """May this core give it up? Once up, only the holder of its share may."""
        return not machine.in_other_shard or machine.status == BOOTING

    # -- renting ------------------------------------------------------------------------

    def rental_answered(self, request: str, names: list[str] | None, refused: bool) -> None:
        """The answer to a rental; None: no answer, so machines may still appear."""
        asked = self.pending_rentals.pop(request, None)
        if asked is None:
            return
        kind, zone, spot, count = asked
        if refused or (names is not None and len(names) < count):
            _, pause = self.rental_backoffs.get((kind, zone, spot), (0.0, 0.0))
            pause = min(60.0, max(self.operator.refusal_backoff_s, pause * 1.5))
            self.rental_backoffs[(kind, zone, spot)] = (self.scheduler.now + pause, pause)
        elif names:
            self.rental_backoffs.pop((kind, zone, spot), None)
        type_name, zone_name = self.cluster.type_names.names[kind], self.cluster.zones.names[zone]
        log.info(
            "rented %s of %d %s in %s%s",
            "none" if refused else "unknown" if names is None else len(names),
            count,
            type_name,
            zone_name,
            " (spot)" if spot else "",
        )
        for name in names or []:
            machine = self.cluster.add_machine(name, type_name, zone_name, spot)
            if machine is not None and machine.rented_at == 0.0:
                machine.rented_at = self.scheduler.now
                self.mark_shard(machine)
        self.next_review = min(self.next_review, self.scheduler.now)

    def accepts_rentals(self, kind: int, zone: int, spot: bool) -> bool:
        """This market has not refused lately, and what it gives could be heard."""
        if zone in self.health.unreachable_zones:
            asked = any(entry[1] == zone for entry in self.pending_rentals.values())
            if asked or not self.health.may_try_unreachable(zone):
                return False
        return self.rental_backoffs.get((kind, zone, spot), (0.0, 0.0))[0] <= self.scheduler.now

    def is_exhausted(self, kind: int, zone: int, spot: bool) -> bool:
        """Asked last, this market had less than was wanted."""
        return (kind, zone, spot) in self.rental_backoffs

    def may_rent(self, kind: int, zone: int, spot: bool) -> bool:
        """Worth asking now: not refused lately, and no answer still to come.

        The cloud takes few calls a second. Asking again before the answer is
        there once queued ten rentals of one market that had nothing left.
        """
        market = (kind, zone, spot)
        if not self.rentable_machines():
            return False
        asked = any(entry[:3] == market for entry in self.pending_rentals.values())
        return self.accepts_rentals(*market) and not asked

    def tick(self, now: float) -> None:
        self.health.check(now)
        for machine in list(self.cluster.machines.values()):
            if machine.deletion_requested:
                if machine.retry_deletion_at <= now:
                    self.scheduler.delete_machines([machine])
                continue
            if machine.status == BOOTING:
                self._check_boot(machine, now)
            elif machine.in_other_shard:
                continue
            elif machine.quarantined and machine.empty():
                self.delete(machine, "sick and empty")
            elif machine.reclaim_at is not None:
                self._checkpoint_before_reclaim(machine)
        if not self.cluster.types or not self.scheduler.lease.may_write(now):
            return
        self.consolidation.step(now)
        if not self.is_provisioning:
            return
        if now >= self.next_review and self._reviewing.due():
            self.next_review = now + (REVIEW_GAP_S if self.shortages else self.operator.review_s)
            with self._reviewing:
                self._review_plan(now)
            self._write_spot_groups(now)

    def _check_boot(self, machine: Machine, now: float) -> None:
        """Give up a boot that is late, but not one that may be up and unheard."""
        boot_s = self.cluster.types[machine.type].boot_s
        if now - machine.rented_at <= boot_s * self.operator.boot_patience + 5.0:
            return
        if machine.zone in self.health.unreachable_zones:
            return
        if machine.listed_addr and machine.unanswered_probes < BOOT_PROBES:
            # Its reports may find no place: ask it. An answer says that it is up.
            if not machine.probe_in_flight:
                machine.probe_in_flight = True
                self.scheduler.actions.append(ProbeMachine(machine.name, machine.listed_addr))
            return
        self.delete(machine, "did not come up")

    def _market_name(self, market: tuple[int, int]) -> str:
        return f"{self.cluster.type_names.names[market[0]]}@{self.cluster.zones.names[market[1]]}"

    def spot_group_names(self) -> list[str]:
        return sorted(self._market_name(market) for market in self.spot_groups)

    def capacity_units(self, machine: Machine) -> float:
        """A machine's capacity in steady machines of its pool.

        Asked for each of many machines at a time: a pool looks at all of them, and
        making one for each was most of a look at 1,800 machines.
        """
        units = self._units_by_type.get(machine.type)
        if units is None:
            kind = self.cluster.types[machine.type]
            units = self._units_by_type[machine.type] = CapacityPool(self, kind.gpus > 0).units(
                kind
            )
        return units

    def _write_spot_groups(self, now: float) -> None:
        table = self.spot_group_names()
        if table != self._written_spot_groups and now - self._spot_groups_written_at >= 1.0:
            self._written_spot_groups = table
            self._spot_groups_written_at = now
            self.scheduler.write_ahead_log.append([records.SPOT_GROUPS, table])

    def _review_plan(self, now: float) -> None:
        if not self.list_seen and now - self.started < 5.0:
            # A new leader looks at what there is before it rents.
            self.next_review = now + 0.5
            return
        while self.arrivals and self.arrivals[0][0] < now - self.operator.warm_window_s:
            self.arrivals.popleft()
        if now >= self.next_regroup:
            self.next_regroup = now + self.operator.regroup_s
            self._choose_spot_groups()
        for gpu_pool in (False, True):
            CapacityPool(self, gpu_pool).review(now)
        if now >= self.next_summary:
            self.next_summary = now + SUMMARY_S

    def _choose_spot_groups(self) -> None:
        """At long intervals groups are chosen anew, so that dear ones drop out."""
        self.spot_groups.clear()

    def set_max_machines(self, machines: int) -> None:
        """So many machines the nodes together can hear. One that is missing for a
        moment, as after each takeover, changes nothing yet."""
        now = self.scheduler.now
        if machines >= self.max_machines:
            self.max_machines, self._max_machines_at = machines, now
        elif now - self._max_machines_at > SETTLED_S:
            self.max_machines = machines

    def rentable_machines(self) -> int:
        """How many more machines could be heard, those under way counted."""
        under_way = sum(count for _, _, _, count in self.pending_rentals.values())
        return max(0, self.max_machines - len(self.cluster.machines) - under_way)

    def is_crowded(self) -> bool:
        """Are there so many machines that their number counts for more than their price?"""
        return self.rentable_machines() * 2 < self.max_machines

    def rent(self, kind: int, zone: int, spot: bool, count: int) -> None:
        count = min(count, cloud.MAX_RENT)
        if (
            count > self.rentable_machines()
            and self.scheduler.now - self._logged_full_at >= SUMMARY_S
        ):
            self._logged_full_at = self.scheduler.now
            log.warning(
                "%d machines are as many as the nodes can hear: nothing beyond is rented",
                self.max_machines,
            )
        count = min(count, self.rentable_machines())
        if zone in self.health.unreachable_zones:
            # One shows whether the zone is back as well as a hundred do.
            count = min(count, 1)
        if count <= 0:
            return
        self.requests += 1
        # The token makes the name unique among leaders, the number within one.
        request = f"r-{self.scheduler.fencing_token}-{self.requests}"
        self.pending_rentals[request] = (kind, zone, spot, count)
        names = self.cluster.type_names.names
        self.scheduler.actions.append(
            RentMachines(request, names[kind], self.cluster.zones.names[zone], spot, count)
        )
