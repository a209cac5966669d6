"""Renting by the paper's plan, for the machines with cards and for those without."""

from __future__ import annotations

import logging
import math
from collections import Counter

from appleshift.contracts.interfaces import CapacityNeed, FleetView
from appleshift.placement.fit import remaining_per_zone, tasks_that_fit
from appleshift.placement.result import Shortage
from appleshift.protocol import cloud
from appleshift.protocol.cloud import MachineType
from appleshift.provisioning.planner import CapacityPlan, SpotMarket, find_plan, machines_for
from appleshift.provisioning.unclaimed_gpu_machines import rent_unclaimed
from appleshift.state.cluster_state import BOOTING, OPEN, UP, ClusterState, Job, Machine

log = logging.getLogger(__name__)

PROMPT_BOOTS = 2.0
"""Work that may wait for this many boots can be rented for when it comes."""


def need_of_shortage(cluster: ClusterState, shortage: Shortage) -> CapacityNeed:
    """Work that found no room, with where there may be any for it."""
    job, spec = shortage.job, shortage.job.spec
    rooms = remaining_per_zone(cluster, job)
    zones = [
        zone
        for zone in range(len(cluster.zones))
        if job.zone in (-1, zone) and (rooms is None or rooms[zone] > 0)
    ]
    kinds = cluster.eligible_types(job)
    return CapacityNeed(
        spec.gpus, spec.cpus, spec.memory_gb, shortage.tasks, spec.spot, kinds, zones
    )


class CapacityPool:
    """One review of the machines with cards, or of those without."""

    def __init__(self, fleet: FleetView, gpus: bool) -> None:
        self.fleet = fleet
        self.gpus = gpus
        cluster = fleet.cluster
        self.type_indices = [
            index for index, kind in enumerate(cluster.types) if (kind.gpus > 0) == gpus
        ]
        self.machines = [
            machine
            for machine in cluster.machines.values()
            if machine.type in self.type_indices
            # What cannot be heard is no capacity, though it may come back.
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
            key=lambda index: cluster.types[index].price / self._size(cluster.types[index]),
            default=-1,
        )

    def _size(self, kind: MachineType) -> float:
        return max(1e-6, kind.gpus if self.gpus else kind.cpus)

    def units(self, kind: MachineType) -> float:
        """A machine measured in steady machines, by its scarcest dimension."""
        steady = self.fleet.cluster.types[self.on_demand_type]
        ratios = [kind.cpus / steady.cpus, kind.memory_gb / steady.memory_gb]
        if self.gpus:
            ratios = [kind.gpus / steady.gpus]
        return max(1e-6, min(ratios))

    def demand(self, now: float) -> tuple[float, float]:
        """R, and the part of it that may not use spot machines, over all shares."""
        steady = self.fleet.cluster.types[self.on_demand_type]
        total, fixed = self.needed_capacity(now)
        sharing = self.fleet.scheduler.sharding
        if sharing is not None:
            total, fixed = sharing.needed_capacity(self.gpus, (total, fixed))

        def in_steady(sums: list[float]) -> float:
            sizes = (steady.cpus, steady.gpus, steady.memory_gb)
            return max(amount / size for amount, size in zip(sums, sizes, strict=True) if size > 0)

        return in_steady(total), in_steady(fixed)

    def needed_capacity(self, now: float) -> tuple[list[float], list[float]]:
        """CPUs, GPUs and GB that this share's jobs need: all, and without spot machines."""
        cluster = self.fleet.cluster
        total = [0.0, 0.0, 0.0]
        fixed = [0.0, 0.0, 0.0]
        if self.on_demand_type < 0:
            return total, fixed
        steady = cluster.types[self.on_demand_type]
        seats = self.fleet.scheduler.counted_resources
        caps = seats.capped_tasks(cluster.jobs.values()) if seats is not None else {}
        for job in cluster.jobs.values():
            spec = job.spec
            if job.status != OPEN or (spec.gpus > 0) != self.gpus:
                continue
            # What waits for seats only needs no machine yet, nor do replicas that
            # may run nowhere but in a zone that is cut off.
            tasks = min(job.remaining(), caps.get(job.index, spec.tasks), self._spread_most(job))
            limits = cluster.teams[job.team].limits
            if spec.gpus > 0 and limits.gpus_max > 0:
                tasks = min(tasks, int(limits.gpus_max / spec.gpus))
            if spec.gpus <= 0 and limits.cpus_max > 0 and spec.cpus > 0:
                tasks = min(tasks, int(limits.cpus_max / spec.cpus))
            for sums in (total, fixed) if not spec.spot else (total,):
                sums[0] += tasks * spec.cpus
                sums[1] += tasks * spec.gpus
                sums[2] += tasks * spec.memory_gb
        # Work that will arrive while a machine boots.
        operator = self.fleet.operator
        first = min((entry[0] for entry in self.fleet.arrivals), default=now)
        # Measured over a short time at first, but not so short that the jobs
        # there were at the start look like a stream.
        window = min(operator.warm_window_s, max(now - first, operator.warm_window_s / 3))
        share = steady.boot_s * operator.headroom / window
        size = 1 if self.gpus else 0
        for _, cpus, gpus, spot, within in self.fleet.arrivals:
            # What may wait longer than machines take to come needs none ready.
            if (gpus > 0) == self.gpus and within < PROMPT_BOOTS * steady.boot_s:
                coming = (gpus if self.gpus else cpus) * share
                total[size] += coming
                fixed[size] += 0.0 if spot else coming
        return total, fixed

    def _spread_most(self, job: Job) -> int:
        """How many of its tasks the zones that can be heard may take."""
        if not job.spec.spread:
            return job.spec.tasks
        return self.reachable_zones * ((job.spec.tasks + 1) // 2)

    def review(self, now: float) -> None:
        if self.on_demand_type < 0:
            return
        fleet, cluster = self.fleet, self.fleet.cluster
        steady_kind = cluster.types[self.on_demand_type]
        required, fixed = self.demand(now)
        recent = fleet.recent_required[self.gpus]
        recent.append((now, required))
        while recent[0][0] < now - fleet.operator.peak_window_s:
            recent.popleft()
        floor = machines_for(max(fixed, required * fleet.operator.floor_share), 1.0)
        current: list[SpotMarket] = []
        others: list[SpotMarket] = []
        for market in self.markets(now):
            chosen = (market.kind, market.zone) in fleet.spot_groups
            (current if chosen else others).append(market)
        plan = find_plan(
            required,
            floor,
            steady_kind.price,
            current,
            others,
            fleet.operator.spare_groups,
            fleet.operator.max_groups,
        )
        fleet.spot_groups = {
            market for market in fleet.spot_groups if market[0] not in self.type_indices
        }
        fleet.spot_groups |= {
            (market.kind, market.zone) for market, machines in plan.groups if machines
        }
        if now >= fleet.next_summary:
            self._summary(required, fixed)
        log.debug("pool gpus=%s R=%.1f fixed=%.1f plan=%s", self.gpus, required, fixed, plan)
        self._scale_out(plan, required, fixed, now)
        self._cover_shortages(now)
        self._scale_in(plan, required, fixed, now)

    def markets(self, now: float) -> list[SpotMarket]:
        """Where spot machines may be rented, capped where there are no more."""
        fleet, cluster = self.fleet, self.fleet.cluster
        found = []
        for kind in self.type_indices:
            spec = cluster.types[kind]
            for name in spec.zones:
                zone = cluster.zones.get(name)
                if fleet.evicted_markets.get((kind, zone), 0.0) > now:
                    continue
                have = self._rented_units(kind, zone)
                most = math.inf if fleet.accepts_rentals(kind, zone, True) else have
                if most > 0:
                    found.append(SpotMarket(kind, zone, self.units(spec), spec.spot_price, most))
        return found

    def _rented_units(self, kind: int, zone: int) -> int:
        """Spot machines of a market, those under way included."""
        have = sum(1 for m in self.machines if m.spot and (m.type, m.zone) == (kind, zone))
        return have + sum(
            count
            for asked, asked_zone, spot, count in self.fleet.pending_rentals.values()
            if spot and (asked, asked_zone) == (kind, zone)
        )

    def _summary(self, required: float, fixed: float) -> None:
        """One line for operators: what is needed, what there is, what is used."""
        cluster = self.fleet.cluster
        used = 0.0
        for machine in self.machines:
            kind = cluster.types[machine.type]
            free = machine.free_gpus / kind.gpus if self.gpus else machine.free_cpus / kind.cpus
            used += (1.0 - free) * self.units(kind)
        short = [s for s in self.fleet.shortages if (s.job.spec.gpus > 0) == self.gpus]
        log.info(
            "%s: need %.1f (%.1f steady) in %s; have %.1f steady, %.1f spot, of %d machines"
            " %d boot; use %.1f; %d tasks of %d jobs wait",
            "with cards" if self.gpus else "no cards",
            required,
            fixed,
            cluster.type_names.names[self.on_demand_type],
            self._capacity(False),
            self._capacity(True),
            len(self.machines),
            sum(1 for machine in self.machines if machine.status == BOOTING),
            used,
            sum(s.tasks for s in short),
            len(short),
        )

    def _pending_units(self, spot: bool) -> float:
        return sum(
            count * self.units(self.fleet.cluster.types[kind])
            for kind, _, asked_spot, count in self.fleet.pending_rentals.values()
            if kind in self.type_indices and asked_spot == spot
        )

    def _capacity(self, spot: bool) -> float:
        """Capacity there is or will be; boots that are late no longer count."""
        cluster, now = self.fleet.cluster, self.fleet.scheduler.now
        total = 0.0
        for machine in self.machines:
            kind = cluster.types[machine.type]
            late = machine.status == BOOTING and now - machine.rented_at > kind.boot_s * 1.6
            if machine.spot == spot and not late:
                total += self.units(kind)
        return total + self._pending_units(spot)

    def _scale_out(self, plan: CapacityPlan, required: float, fixed: float, now: float) -> None:
        fleet, cluster = self.fleet, self.fleet.cluster
        # Orphans fill what groups lack before anything is rented.
        orphans = sum(
            self.units(cluster.types[m.type])
            for m in self.machines
            if m.spot and (m.type, m.zone) not in fleet.spot_groups
        )
        for market, wanted in plan.groups:
            missing = wanted - self._rented_units(market.kind, market.zone)
            filled = min(missing, int(orphans / market.units)) if missing > 0 else 0
            orphans -= filled * market.units
            missing -= filled
            if missing > 0 and fleet.may_rent(market.kind, market.zone, True):
                fleet.rent(market.kind, market.zone, True, missing)
        steady_have = self._capacity(False)
        needed = max(fixed, required - self._capacity(True))
        crowded = fleet.is_crowded()

        def worth(index: int) -> float:
            kind = cluster.types[index]
            # Each machine takes a place: of few places, the large make more.
            return -self._size(kind) if crowded else kind.price / self._size(kind)

        order = sorted(self.type_indices, key=worth)
        missing_units = needed - steady_have
        for kind in order:
            if missing_units <= 1e-6:
                return
            units = self.units(cluster.types[kind])
            count = int(-(-missing_units // units))
            got = self._rent_spread(kind, False, count)
            missing_units -= got * units
        missing_units = min(missing_units, required - fixed - self._capacity(True))
        if missing_units > 1e-6:
            # No steady machine to be had: spot of any type is better than none,
            # for work that may use it.
            for kind in order:
                units = self.units(cluster.types[kind])
                got = self._rent_spread(kind, True, int(-(-missing_units // units)))
                missing_units -= got * units
                if missing_units <= 1e-6:
                    return
            if not self.gpus:
                rent_unclaimed(fleet, self.on_demand_type, missing_units)

    def _cover_shortages(self, now: float) -> None:
        """Rent for work that the capacity there is can never take.

        R says how much is needed, not where: a job bound to a zone or a type,
        or replicas that must be spread, may find no room although R is met.
        Other work may wait for what is running to end; replicas cannot, for
        nothing that runs beside them need ever end.
        """
        fleet, cluster = self.fleet, self.fleet.cluster
        # What is on its way, by (type, zone, spot).
        coming: Counter[tuple[int, int, bool]] = Counter(
            (m.type, m.zone, m.spot)
            for m in self.machines
            if m.status == BOOTING and now - m.rented_at <= cluster.types[m.type].boot_s * 1.6
        )
        for kind, zone, spot, count in fleet.pending_rentals.values():
            coming[kind, zone, spot] += count
        sharing = fleet.scheduler.sharding
        others = [] if sharing is None else sharing.unplaceable_needs(self.gpus)
        for need in [*self.unplaceable_needs(), *others]:
            missing = need.tasks
            for place, count in coming.items():
                kind, zone, spot = place
                if missing <= 0:
                    break
                if count and need.eligible_types[kind] and zone in need.zones and need.spot >= spot:
                    fit = self._tasks_per_machine(kind, need)
                    used = min(count, -(-missing // max(1, fit)) * need.spread_by)
                    coming[place] -= used
                    missing -= used * fit // need.spread_by
            if missing > 0:
                self._rent_for(need, missing)

    def unplaceable_needs(self) -> list[CapacityNeed]:
        """Of this share: work that what it has can never take."""
        fleet, cluster = self.fleet, self.fleet.cluster
        there = {
            (m.type, m.zone, m.spot)
            for m in self.machines
            if m.status == UP and not m.in_other_shard
        }
        found = []
        for shortage in fleet.shortages:
            job = shortage.job
            if job.status != OPEN or (job.spec.gpus > 0) != self.gpus:
                continue
            need = need_of_shortage(cluster, shortage)
            if not job.service and any(
                need.eligible_types[kind] and zone in need.zones and need.spot >= spot
                for kind, zone, spot in there
            ):
                continue
            found.append(need)
        return found

    def _tasks_per_machine(self, kind: int, need: CapacityNeed) -> int:
        """How many of its tasks an empty machine of a type takes."""
        offer = self.fleet.cluster.types[kind]
        return tasks_that_fit(offer.cpus, offer.gpus, offer.memory_gb, need)

    def _rent_for(self, need: CapacityNeed, tasks: int) -> None:
        """Rent the cheapest machines on which these tasks may run."""
        fleet, cluster = self.fleet, self.fleet.cluster

        def price(kind: int, spot: bool) -> float:
            offer = cluster.types[kind]
            each = offer.spot_price if spot else offer.price
            return each * -(-tasks // max(1, self._tasks_per_machine(kind, need)))

        offers = sorted(
            (price(kind, spot), kind, zone, spot)
            for kind in self.type_indices
            if need.eligible_types[kind]
            for spot in ((False, True) if need.spot else (False,))
            for zone in need.zones
            if cluster.zones.names[zone] in cluster.types[kind].zones
            and fleet.may_rent(kind, zone, spot)
        )
        if offers:
            _, kind, zone, spot = offers[0]
            machines = -(-tasks // max(1, self._tasks_per_machine(kind, need)))
            fleet.rent(kind, zone, spot, machines * need.spread_by)

    def _rent_spread(self, kind: int, spot: bool, count: int) -> int:
        """Rent in the zones that have least, as far as none refuses."""
        fleet, cluster = self.fleet, self.fleet.cluster
        zones = [cluster.zones.get(zone) for zone in cluster.types[kind].zones]
        open_zones = [
            zone
            for zone in zones
            if zone >= 0
            and fleet.may_rent(kind, zone, spot)
            and not any(entry[:3] == (kind, zone, spot) for entry in fleet.pending_rentals.values())
        ]
        if count <= 0 or not open_zones:
            return 0
        held = dict.fromkeys(open_zones, 0.0)
        for machine in self.machines:
            if machine.zone in held:
                held[machine.zone] += self.units(cluster.types[machine.type])
        shares = dict.fromkeys(open_zones, 0)
        for _ in range(min(count, cloud.MAX_RENT)):
            zone = min(open_zones, key=lambda zone: (held[zone], zone))
            shares[zone] += 1
            held[zone] += self.units(cluster.types[kind])
        for zone, share in shares.items():
            if share:
                fleet.rent(kind, zone, spot, share)
        return sum(shares.values())

    def _scale_in(self, plan: CapacityPlan, required: float, fixed: float, now: float) -> None:
        """Return idle machines that the plan does without, the dearest first."""
        fleet, cluster = self.fleet, self.fleet.cluster
        sharing = fleet.scheduler.sharding
        fleet.on_demand_spare[self.gpus] = 0.0
        if fleet.pending_rentals or any(s.job.spec.gpus > 0 for s in fleet.shortages if self.gpus):
            return
        wanted = {(market.kind, market.zone): count for market, count in plan.groups}
        steady_spare = self._capacity(False) - max(fixed, required - self._capacity(True))
        total_spare = self._capacity(False) + self._capacity(True) - required
        idle = [m for m in self.machines if m.status == UP and m.idle_since and m.empty()]
        idle.sort(key=lambda m: -cluster.types[m.type].price)
        leaving: list[Machine] = []
        for machine in idle:
            units = self.units(cluster.types[machine.type])
            operator = fleet.operator
            limit = operator.idle_cards_s if self.gpus else operator.idle_steady_s
            if machine.spot:
                limit = operator.idle_spot_s
            # A machine that is rented again costs its boot: waiting idle for as
            # long as that is never worse than twice the best hindsight.
            limit = max(limit, cluster.types[machine.type].boot_s)
            if now - machine.idle_since < limit or len(leaving) >= cloud.MAX_DELETE:
                continue
            if machine.spot:
                market = (machine.type, machine.zone)
                gone = sum(1 for m in leaving if m.spot and (m.type, m.zone) == market)
                if (
                    self._rented_units(*market) - gone <= wanted.get(market, 0)
                    or total_spare < units
                ):
                    continue
            elif steady_spare < units:
                continue
            else:
                steady_spare -= units
            total_spare -= units
            leaving.append(machine)
        if not leaving:
            # Bursts come back: what one needed a moment ago is not to spare.
            peak = max((amount for _, amount in fleet.recent_required[self.gpus]), default=required)
            needed = max(fixed, peak - self._capacity(True))
            fleet.on_demand_spare[self.gpus] = self._capacity(False) - needed
        for machine in leaving:
            log.info("returning idle machine %s", machine.name)
        fleet.scheduler.delete_machines(
            [machine for machine in leaving if not machine.in_other_shard]
        )
        if sharing is not None:
            sharing.return_machines([machine for machine in leaving if machine.in_other_shard])
