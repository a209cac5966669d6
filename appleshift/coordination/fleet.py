"""The machines: renting by the paper's plan, adoption, health and return."""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import TYPE_CHECKING, Any

from appleshift.bookkeeping import records
from appleshift.bookkeeping.tables import BOOTING, OPEN, UP, Job, Machine
from appleshift.coordination.effects import Inspect, Rent
from appleshift.coordination.placement import Shortage, how_many, stop_grace, zone_room
from appleshift.coordination.scaling import Market, Plan, find_plan, machines_for
from appleshift.protocol import cloud
from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.workers import Report

if TYPE_CHECKING:
    from appleshift.coordination.core import Core

log = logging.getLogger(__name__)

REVIEW_GAP_S = 1.0
SUMMARY_S = 30.0
ERROR_WINDOW_S = 120.0
MAX_BACKOFF_S = 20.0
AVOID_S = 20.0
PAUSE_S = 3.0


class Fleet:
    """Part of the core: shares its tables, clock and effects."""

    def __init__(self, core: Core, groups: Any) -> None:
        self.core = core
        self.tables = core.tables
        self.operator = core.operator
        self.started = core.now
        self.shortages: list[Shortage] = []
        self.types_at = 0.0
        self.requests = 0
        # Rentals under way: request -> what was asked for.
        self.asked: dict[str, tuple[int, int, bool, int]] = {}
        # (type, zone, spot) -> when to ask again after a refusal, and the pause.
        self.refused: dict[tuple[int, int, bool], tuple[float, float]] = {}
        self.next_review = core.now
        self.next_regroup = core.now + self.operator.regroup_s
        # The chosen spot groups, each of one market: (type, zone).
        self.groups: set[tuple[int, int]] = set()
        for name in groups if isinstance(groups, list) else []:
            kind, _, zone = str(name).partition("@")
            market = (self.tables.type_names.get(kind), self.tables.zones.get(zone))
            if min(market) >= 0:
                self.groups.add(market)
        self.evicted: dict[tuple[int, int], float] = {}
        self._written_groups: list[str] = self.group_table()
        self._groups_at = 0.0
        # Classes whose tasks are to start soon: for these, room is kept.
        self.prompt_classes = {
            objective.job_class
            for objective in core.settings.deployment.objectives
            if objective.kind == "wait"
        }
        # What arrived of them lately: time, CPUs, GPUs, and whether it may use spot.
        self.arrivals: deque[tuple[float, float, float, bool]] = deque()
        self.list_seen = False
        self.next_summary = core.now

    # -- what others tell -------------------------------------------------------

    def types(self, types: list[MachineType]) -> None:
        if self.tables.set_types(types):
            self.core.write(records.types_record(self.tables.types))
            self.core.dirty = True
        self.types_at = self.core.now

    def arrived(self, job: Job, at: float) -> None:
        spec = job.spec
        if spec.job_class not in self.prompt_classes:
            return
        self.arrivals.append((at, spec.cpus * spec.tasks, spec.gpus * spec.tasks, spec.spot))

    def adopt(self, report: Report) -> Machine | None:
        """A machine we did not know: rented late, or by a leader before us."""
        if report.machine in self.tables.gone or not report.addr:
            return None
        machine = self.tables.add_machine(report.machine, report.type, report.zone, report.spot)
        if machine is not None:
            log.info("adopting machine %s", machine.name)
            machine.rented_at = self.core.now
            machine.idle_since = self.core.now
        return machine

    def heard(self, machine: Machine, report: Report) -> None:
        if machine.status == BOOTING or machine.addr != report.addr:
            machine.status = UP
            machine.addr = report.addr
            machine.idle_since = self.core.now
            self.core.journal.append(records.machine_record(self.tables, machine))
            self.core.dirty = True
        if report.notice_s is not None:
            self.core.dirty = True
            if not machine.draining:
                log.info("machine %s is taken back in %.0f s", machine.name, report.notice_s)
                machine.draining = True
                self.evict(machine)
            machine.notice_at = self.core.now + max(0.0, report.notice_s)
            self._save_work(machine)

    def evict(self, machine: Machine) -> None:
        """One machine taken back evicts its group; the others become orphans."""
        market = (machine.type, machine.zone)
        if not machine.spot:
            return
        self.evicted[market] = self.core.now + self.operator.evict_pause_s
        if market in self.groups:
            self.groups.discard(market)
            log.info("group %s evicted", self._market_name(market))

    def _save_work(self, machine: Machine) -> None:
        """Stop what can save in time, as late as is safe."""
        assert machine.notice_at is not None
        left = machine.notice_at - self.core.now
        for run in list(machine.runs.values()):
            grace = stop_grace(run)
            if grace > 0 and run.grace is None and left < 3.0 * grace + 6.0:
                if run.job.gang:
                    self.core.stop_gang(run.job, grace, "notice")
                else:
                    self.core.stop(run, grace, "notice")

    # -- health -------------------------------------------------------------------

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Tell a faulty machine from a faulty job by who else failed where."""
        now = self.core.now
        job.errors_on.add(machine.index)
        job.avoid[machine.index] = now + AVOID_S
        machine.failed_until = now + PAUSE_S
        if len(job.errors_on) >= 2 and not job.done_count:
            # It failed on several machines: the job is to blame, not they.
            job.backoff_s = min(MAX_BACKOFF_S, max(1.0, job.backoff_s * 2))
            job.not_before = now + job.backoff_s
            for other in self.tables.machines.values():
                other.errors.pop(job.index, None)
            return
        machine.errors[job.index] = now
        recent = [at for at in machine.errors.values() if at > now - ERROR_WINDOW_S]
        if len(recent) >= self.operator.sick_jobs and not machine.sick:
            log.info("machine %s fails tasks of several jobs: set aside", machine.name)
            machine.sick = True
            self.core.dirty = True

    def give_up(self, machine: Machine, reason: str) -> None:
        """Delete a machine with whatever is on it; the answer is proof."""
        if machine.asked_gone:
            return
        log.info("deleting machine %s: %s", machine.name, reason)
        self.core.delete([machine])

    def dropped(self, machine: Machine) -> None:
        if machine.spot and machine.notice_at is not None:
            self.evict(machine)

    def _check_health(self, now: float) -> None:
        report_s = self.core.settings.deployment.workers.report_s
        # Reports are a quarter late at most: one that is missing is probed for
        # at once, and two intervals without any must have passed.
        probe_s = report_s * 1.4
        silent_s = max(self.operator.silent_s, 2.2 * report_s)
        up = [m for m in self.tables.machines.values() if m.status == UP and not m.asked_gone]
        silent = [m for m in up if now - max(m.last_heard, self.started) > probe_s]
        # If much of the fleet is silent at once, it is more likely ourselves.
        ourselves = len(silent) > max(2, len(up) // 2)
        for machine in silent:
            quiet = now - max(machine.last_heard, self.started)
            grace = 0.0 if machine.last_heard >= self.started else silent_s
            if quiet > silent_s + grace and machine.probe >= 2 and not ourselves:
                self.evict(machine)
                self.give_up(machine, f"silent for {quiet:.1f} s")
            elif quiet > self.core.worker_lease_s + silent_s and machine.empty():
                self.evict(machine)
                self.give_up(machine, "silent beyond its lease")
            elif machine.addr and not machine.pushing:
                machine.pushing = True
                self.core.effects.append(Inspect(machine.name, machine.addr))

    def probed(self, name: str, answered: bool) -> None:
        machine = self.tables.machine(name)
        if machine is not None:
            machine.pushing = False
            machine.probe = 0 if answered else machine.probe + 1

    # -- the cloud's list -------------------------------------------------------------

    def listed(self, rows: list[ListedMachine], asked_at: float) -> None:
        """Take in a whole list; it is old, and may be older than the last one."""
        now = self.core.now
        lag = self.core.settings.deployment.cloud.list_lag_s
        names = set()
        self.list_seen = True
        for row in rows:
            names.add(row.name)
            machine = self.tables.machine(row.name)
            if machine is None:
                if row.name in self.tables.gone:
                    continue
                machine = self.tables.add_machine(row.name, row.type, row.zone, row.spot)
                if machine is None:
                    continue
                log.info("machine %s found in the list", row.name)
                machine.rented_at = now - row.age_s
                machine.idle_since = now
                machine.lease_until = now + self.core.worker_lease_s
            if machine.listed_at is None:
                machine.listed_at = now
                machine.rented_at = min(machine.rented_at, now - row.age_s)
            machine.missing_since = None
            if row.state == cloud.FAILED and not machine.asked_gone:
                self.evict(machine)
                self.give_up(machine, "failed")
        for machine in list(self.tables.machines.values()):
            if machine.name in names or machine.asked_gone:
                continue
            heard = machine.last_heard > now - 2 * lag
            old = now - machine.rented_at > 4 * lag + 10.0
            if heard or not old:
                continue
            # Taken by the cloud, or never really there; deleting a name that
            # is unknown is harmless, and the answer is the proof we need.
            if machine.listed_at is None or now - machine.listed_at > 3 * lag:
                self.evict(machine)
                self.give_up(machine, "no longer listed")

    # -- renting ------------------------------------------------------------------------

    def rented(self, request: str, names: list[str] | None, refused: bool) -> None:
        """The answer to a rental; None: no answer, so machines may still appear."""
        asked = self.asked.pop(request, None)
        if asked is None:
            return
        kind, zone, spot, count = asked
        if refused or (names is not None and len(names) < count):
            _, pause = self.refused.get((kind, zone, spot), (0.0, 0.0))
            pause = min(60.0, max(self.operator.refusal_backoff_s, pause * 1.5))
            self.refused[(kind, zone, spot)] = (self.core.now + pause, pause)
        elif names:
            self.refused.pop((kind, zone, spot), None)
        type_name, zone_name = self.tables.type_names.names[kind], self.tables.zones.names[zone]
        log.info(
            "rented %s of %d %s in %s%s",
            "none" if refused else "unknown" if names is None else len(names),
            count,
            type_name,
            zone_name,
            " (spot)" if spot else "",
        )
        for name in names or []:
            machine = self.tables.add_machine(name, type_name, zone_name, spot)
            if machine is not None and machine.rented_at == 0.0:
                machine.rented_at = self.core.now
        self.next_review = min(self.next_review, self.core.now)

    def available(self, kind: int, zone: int, spot: bool) -> bool:
        return self.refused.get((kind, zone, spot), (0.0, 0.0))[0] <= self.core.now

    def tick(self, now: float) -> None:
        self._check_health(now)
        for machine in list(self.tables.machines.values()):
            if machine.asked_gone:
                if machine.delete_at <= now:
                    self.core.delete([machine])
                continue
            if machine.status == BOOTING:
                boot_s = self.tables.types[machine.type].boot_s
                if now - machine.rented_at > boot_s * self.operator.boot_patience + 5.0:
                    self.give_up(machine, "did not come up")
            elif machine.sick and machine.empty():
                self.give_up(machine, "sick and empty")
            elif machine.notice_at is not None:
                self._save_work(machine)
        if not self.tables.types or not self.core.authority.may_write(now):
            return
        if now >= self.next_review:
            self.next_review = now + (REVIEW_GAP_S if self.shortages else self.operator.review_s)
            self._review(now)
            self._write_groups(now)

    def _market_name(self, market: tuple[int, int]) -> str:
        return f"{self.tables.type_names.names[market[0]]}@{self.tables.zones.names[market[1]]}"

    def group_table(self) -> list[str]:
        return sorted(self._market_name(market) for market in self.groups)

    def _write_groups(self, now: float) -> None:
        table = self.group_table()
        if table != self._written_groups and now - self._groups_at >= 1.0:
            self._written_groups = table
            self._groups_at = now
            self.core.journal.append([records.GROUPS, table])

    def _review(self, now: float) -> None:
        if not self.list_seen and now - self.started < 5.0:
            # A new leader looks at what there is before it rents.
            self.next_review = now + 0.5
            return
        while self.arrivals and self.arrivals[0][0] < now - self.operator.warm_window_s:
            self.arrivals.popleft()
        if now >= self.next_regroup:
            self.next_regroup = now + self.operator.regroup_s
            self._regroup()
        for gpu_pool in (False, True):
            Pool(self, gpu_pool).review(now)
        if now >= self.next_summary:
            self.next_summary = now + SUMMARY_S

    def _regroup(self) -> None:
        """At long intervals groups are chosen anew, so that dear ones drop out."""
        self.groups.clear()

    def rent(self, kind: int, zone: int, spot: bool, count: int) -> None:
        self.requests += 1
        # The token makes the name unique among leaders, the number within one.
        request = f"r-{self.core.token}-{self.requests}"
        count = min(count, cloud.MAX_RENT)
        self.asked[request] = (kind, zone, spot, count)
        names = self.tables.type_names.names
        self.core.effects.append(
            Rent(request, names[kind], self.tables.zones.names[zone], spot, count)
        )


class Pool:
    """One review of the machines with cards, or of those without."""

    def __init__(self, fleet: Fleet, gpus: bool) -> None:
        self.fleet = fleet
        self.gpus = gpus
        tables = fleet.tables
        self.kinds = [index for index, kind in enumerate(tables.types) if (kind.gpus > 0) == gpus]
        self.machines = [
            machine
            for machine in tables.machines.values()
            if machine.type in self.kinds
            and not (machine.asked_gone or machine.sick or machine.draining)
        ]
        self.steady = min(
            self.kinds,
            key=lambda index: tables.types[index].price / self._size(tables.types[index]),
            default=-1,
        )

    def _size(self, kind: MachineType) -> float:
        return max(1e-6, kind.gpus if self.gpus else kind.cpus)

    def units(self, kind: MachineType) -> float:
        """A machine measured in steady machines, by its scarcest dimension."""
        steady = self.fleet.tables.types[self.steady]
        ratios = [kind.cpus / steady.cpus, kind.memory_gb / steady.memory_gb]
        if self.gpus:
            ratios = [kind.gpus / steady.gpus]
        return max(1e-6, min(ratios))

    def demand(self, now: float) -> tuple[float, float]:
        """R, and the part of it that may not use spot machines."""
        tables = self.fleet.tables
        steady = tables.types[self.steady]
        total = [0.0, 0.0, 0.0]
        fixed = [0.0, 0.0, 0.0]
        for job in tables.jobs.values():
            spec = job.spec
            if job.status != OPEN or (spec.gpus > 0) != self.gpus:
                continue
            tasks = spec.tasks - job.done_count
            limits = tables.teams[job.team].limits
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
        share = steady.boot_s * operator.headroom / operator.warm_window_s
        size = 1 if self.gpus else 0
        for _, cpus, gpus, spot in self.fleet.arrivals:
            if (gpus > 0) == self.gpus:
                coming = (gpus if self.gpus else cpus) * share
                total[size] += coming
                fixed[size] += 0.0 if spot else coming

        def in_steady(sums: list[float]) -> float:
            sizes = (steady.cpus, steady.gpus, steady.memory_gb)
            return max(amount / size for amount, size in zip(sums, sizes, strict=True) if size > 0)

        return in_steady(total), in_steady(fixed)

    def review(self, now: float) -> None:
        if self.steady < 0:
            return
        fleet, tables = self.fleet, self.fleet.tables
        steady_kind = tables.types[self.steady]
        required, fixed = self.demand(now)
        floor = machines_for(max(fixed, required * fleet.operator.floor_share), 1.0)
        current: list[Market] = []
        others: list[Market] = []
        for market in self.markets(now):
            chosen = (market.kind, market.zone) in fleet.groups
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
        fleet.groups = {market for market in fleet.groups if market[0] not in self.kinds}
        fleet.groups |= {(market.kind, market.zone) for market, machines in plan.groups if machines}
        if now >= fleet.next_summary:
            self._summary(required, fixed)
        log.debug("pool gpus=%s R=%.1f fixed=%.1f plan=%s", self.gpus, required, fixed, plan)
        self._grow(plan, required, fixed, now)
        self._cover_shortages(now)
        self._shrink(plan, required, fixed, now)

    def markets(self, now: float) -> list[Market]:
        """Where spot machines may be rented, capped where there are no more."""
        fleet, tables = self.fleet, self.fleet.tables
        found = []
        for kind in self.kinds:
            spec = tables.types[kind]
            for name in spec.zones:
                zone = tables.zones.get(name)
                if fleet.evicted.get((kind, zone), 0.0) > now:
                    continue
                have = self._held(kind, zone)
                most = math.inf if fleet.available(kind, zone, True) else have
                if most > 0:
                    found.append(Market(kind, zone, self.units(spec), spec.spot_price, most))
        return found

    def _held(self, kind: int, zone: int) -> int:
        """Spot machines of a market, those under way included."""
        have = sum(1 for m in self.machines if m.spot and (m.type, m.zone) == (kind, zone))
        return have + sum(
            count
            for asked, asked_zone, spot, count in self.fleet.asked.values()
            if spot and (asked, asked_zone) == (kind, zone)
        )

    def _summary(self, required: float, fixed: float) -> None:
        """One line for operators: what is needed, what there is, what is used."""
        tables = self.fleet.tables
        used = 0.0
        for machine in self.machines:
            kind = tables.types[machine.type]
            free = machine.free_gpus / kind.gpus if self.gpus else machine.free_cpus / kind.cpus
            used += (1.0 - free) * self.units(kind)
        short = [s for s in self.fleet.shortages if (s.job.spec.gpus > 0) == self.gpus]
        log.info(
            "%s: need %.1f (%.1f steady) in %s; have %.1f steady, %.1f spot, of %d machines"
            " %d boot; use %.1f; %d tasks of %d jobs wait",
            "with cards" if self.gpus else "no cards",
            required,
            fixed,
            tables.type_names.names[self.steady],
            self._capacity(False),
            self._capacity(True),
            len(self.machines),
            sum(1 for machine in self.machines if machine.status == BOOTING),
            used,
            sum(s.tasks for s in short),
            len(short),
        )

    def _asked(self, spot: bool) -> float:
        return sum(
            count * self.units(self.fleet.tables.types[kind])
            for kind, _, asked_spot, count in self.fleet.asked.values()
            if kind in self.kinds and asked_spot == spot
        )

    def _capacity(self, spot: bool) -> float:
        """Capacity there is or will be; boots that are late no longer count."""
        tables, now = self.fleet.tables, self.fleet.core.now
        total = 0.0
        for machine in self.machines:
            kind = tables.types[machine.type]
            late = machine.status == BOOTING and now - machine.rented_at > kind.boot_s * 1.6
            if machine.spot == spot and not late:
                total += self.units(kind)
        return total + self._asked(spot)

    def _grow(self, plan: Plan, required: float, fixed: float, now: float) -> None:
        fleet, tables = self.fleet, self.fleet.tables
        # Orphans fill what groups lack before anything is rented.
        orphans = sum(
            self.units(tables.types[m.type])
            for m in self.machines
            if m.spot and (m.type, m.zone) not in fleet.groups
        )
        for market, wanted in plan.groups:
            missing = wanted - self._held(market.kind, market.zone)
            filled = min(missing, int(orphans / market.units)) if missing > 0 else 0
            orphans -= filled * market.units
            missing -= filled
            if missing > 0 and fleet.available(market.kind, market.zone, True):
                fleet.rent(market.kind, market.zone, True, missing)
        steady_have = self._capacity(False)
        needed = max(fixed, required - self._capacity(True))
        order = sorted(
            self.kinds,
            key=lambda index: tables.types[index].price / self._size(tables.types[index]),
        )
        missing_units = needed - steady_have
        for kind in order:
            if missing_units <= 1e-6:
                return
            units = self.units(tables.types[kind])
            count = int(-(-missing_units // units))
            got = self._rent_spread(kind, False, count)
            missing_units -= got * units
        missing_units = min(missing_units, required - fixed - self._capacity(True))
        if missing_units > 1e-6:
            # No steady machine to be had: spot of any type is better than none,
            # for work that may use it.
            for kind in order:
                units = self.units(tables.types[kind])
                got = self._rent_spread(kind, True, int(-(-missing_units // units)))
                missing_units -= got * units
                if missing_units <= 1e-6:
                    return

    def _cover_shortages(self, now: float) -> None:
        """Rent for work that the capacity there is can never take.

        R says how much is needed, not where: a job bound to a zone or a type,
        or replicas that must be spread, may find no room although R is met.
        Other work may wait for what is running to end; replicas cannot, for
        nothing that runs beside them need ever end.
        """
        fleet, tables = self.fleet, self.fleet.tables
        coming = [
            (tables.types[m.type], m.type, m.zone, m.spot)
            for m in self.machines
            if m.status == BOOTING and now - m.rented_at <= tables.types[m.type].boot_s * 1.6
        ]
        for kind, zone, spot, count in fleet.asked.values():
            coming += [(tables.types[kind], kind, zone, spot)] * count
        for shortage in fleet.shortages:
            job, spec = shortage.job, shortage.job.spec
            if job.status != OPEN or (spec.gpus > 0) != self.gpus:
                continue
            rooms = zone_room(tables, job)
            type_ok = tables.types_for(job)
            zones = [
                zone
                for zone in range(len(tables.zones))
                if job.zone in (-1, zone) and (rooms is None or rooms[zone] > 0)
            ]
            if not job.service and any(
                m.status == UP and type_ok[m.type] and m.zone in zones and spec.spot >= m.spot
                for m in self.machines
            ):
                continue
            missing = shortage.tasks
            for entry in list(coming):
                offer, index, zone, spot = entry
                if missing > 0 and type_ok[index] and zone in zones and spec.spot >= spot:
                    coming.remove(entry)
                    missing -= how_many(offer.cpus, offer.gpus, offer.memory_gb, spec)
            if missing > 0:
                self._rent_for(job, missing, zones)

    def _rent_for(self, job: Job, tasks: int, zones: list[int]) -> None:
        """Rent the cheapest machines on which these tasks may run."""
        fleet, tables = self.fleet, self.fleet.tables
        type_ok = tables.types_for(job)
        spec = job.spec

        def price(kind: int, spot: bool) -> float:
            offer = tables.types[kind]
            fit = max(1, how_many(offer.cpus, offer.gpus, offer.memory_gb, spec))
            each = offer.spot_price if spot else offer.price
            return each * -(-tasks // fit)

        offers = sorted(
            (price(kind, spot), kind, zone, spot)
            for kind in self.kinds
            if type_ok[kind]
            for spot in ((False, True) if spec.spot else (False,))
            for zone in zones
            if tables.zones.names[zone] in tables.types[kind].zones
            and fleet.available(kind, zone, spot)
        )
        if offers:
            _, kind, zone, spot = offers[0]
            offer = tables.types[kind]
            fit = max(1, how_many(offer.cpus, offer.gpus, offer.memory_gb, spec))
            fleet.rent(kind, zone, spot, -(-tasks // fit))

    def _rent_spread(self, kind: int, spot: bool, count: int) -> int:
        """Rent in the zones that have least, as far as none refuses."""
        fleet, tables = self.fleet, self.fleet.tables
        zones = [tables.zones.get(zone) for zone in tables.types[kind].zones]
        open_zones = [
            zone
            for zone in zones
            if zone >= 0
            and fleet.available(kind, zone, spot)
            and not any(entry[:3] == (kind, zone, spot) for entry in fleet.asked.values())
        ]
        if count <= 0 or not open_zones:
            return 0
        held = dict.fromkeys(open_zones, 0.0)
        for machine in self.machines:
            if machine.zone in held:
                held[machine.zone] += self.units(tables.types[machine.type])
        shares = dict.fromkeys(open_zones, 0)
        for _ in range(min(count, cloud.MAX_RENT)):
            zone = min(open_zones, key=lambda zone: (held[zone], zone))
            shares[zone] += 1
            held[zone] += self.units(tables.types[kind])
        for zone, share in shares.items():
            if share:
                fleet.rent(kind, zone, spot, share)
        return sum(shares.values())

    def _shrink(self, plan: Plan, required: float, fixed: float, now: float) -> None:
        """Return idle machines that the plan does without, the dearest first."""
        fleet, tables = self.fleet, self.fleet.tables
        if fleet.asked or any(s.job.spec.gpus > 0 for s in fleet.shortages if self.gpus):
            return
        wanted = {(market.kind, market.zone): count for market, count in plan.groups}
        steady_spare = self._capacity(False) - max(fixed, required - self._capacity(True))
        total_spare = self._capacity(False) + self._capacity(True) - required
        idle = [m for m in self.machines if m.status == UP and m.idle_since and m.empty()]
        idle.sort(key=lambda m: -tables.types[m.type].price)
        leaving: list[Machine] = []
        for machine in idle:
            units = self.units(tables.types[machine.type])
            limit = fleet.operator.idle_spot_s if machine.spot else fleet.operator.idle_steady_s
            # A machine that is rented again costs its boot: waiting idle for as
            # long as that is never worse than twice the best hindsight.
            limit = max(limit, tables.types[machine.type].boot_s)
            if now - machine.idle_since < limit or len(leaving) >= cloud.MAX_DELETE:
                continue
            if machine.spot:
                market = (machine.type, machine.zone)
                gone = sum(1 for m in leaving if m.spot and (m.type, m.zone) == market)
                if self._held(*market) - gone <= wanted.get(market, 0) or total_spare < units:
                    continue
            elif steady_spare < units:
                continue
            else:
                steady_spare -= units
            total_spare -= units
            leaving.append(machine)
        for machine in leaving:
            log.info("returning idle machine %s", machine.name)
        fleet.core.delete(leaving)
