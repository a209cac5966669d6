"""The leader's view of all shards: their needs, their machines, and transfers between them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container

from appleshift.contracts.interfaces import CapacityNeed
from appleshift.placement.fit import tasks_that_fit
from appleshift.protocol import cloud
from appleshift.protocol.sharding import (
    REPORTED_DRAINING,
    REPORTED_GONE,
    REPORTED_MOVED,
    FleetPlan,
    MachineSummary,
    ShardSummary,
    UnmetNeed,
)
from appleshift.sharding.interfaces import SUMMARY_INTERVAL_S, ShardScheduler
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.sharding.shard_map import ShardMap
from appleshift.sharding.shard_reporter import unmet_needs
from appleshift.state.entities import Machine
from appleshift.state.states import UP as MACHINE_UP

SHORTAGE_S = 12.0
"""Work that waited for so many seconds shows that its shard has too few machines,
however many there are in all."""
MOVES_AT_ONCE = 8
"""Most machines on their way to one shard."""
MOVE_S = 4.0
"""Seconds after which a transfer that was not made is abandoned."""
STALE_S = 30.0
"""Seconds without a summary after which a shard's needs are no longer rented for."""


class FleetSummary:
    """Kept by the leader of the first shard, for one term."""

    def __init__(
        self, scheduler: ShardScheduler, known: ShardMap, transfer: MachineTransfer
    ) -> None:
        """For one term of the first shard; ``transfer`` hands off machines of that shard."""
        self._scheduler = scheduler
        self._map = known
        self._transfer = transfer
        # The shards' last summaries, and idle machines that they are to give back.
        self._summaries: dict[int, tuple[float, ShardSummary]] = {}
        self._leaving: dict[int, set[str]] = defaultdict(set)
        self._shard_of: dict[str, int] = {}
        # Machines to be handed off, by the shard that has them: name -> share, since.
        self._moving: dict[int, dict[str, tuple[int, float]]] = defaultdict(dict)
        self._next_moves = 0.0
        # Since when work waits in a shard without a break.
        self._waiting_since: dict[int, float] = {}

    def summary_received(self, summary: ShardSummary) -> FleetPlan:
        """Apply a shard's summary unless a newer one is known; returns the plan for that shard."""
        scheduler = self._scheduler
        fleet, cluster = scheduler.fleet, scheduler.cluster
        last = self._summaries.get(summary.shard)
        newer = last is None or (summary.fencing_token, summary.seq) > (
            last[1].fencing_token,
            last[1].seq,
        )
        if newer:
            # A summary that was delayed on its way must not replace a newer one.
            self._summaries[summary.shard] = (scheduler.now, summary)
            for each in summary.machines:
                self._machine(summary.shard, each)
            for kind, zone in summary.evicted:
                market = (cluster.type_names.get(kind), cluster.zones.get(zone))
                if min(market) >= 0:
                    fleet.evict_market(market)
            self._waits(summary.shard, summary.waiting > 0)
            if summary.waiting:
                fleet.next_review = min(fleet.next_review, scheduler.now + SUMMARY_INTERVAL_S)
        plain = max(1, len(self._map.plain))
        moving = self._moving[summary.shard]
        for name, (_, since) in list(moving.items()):
            if scheduler.now - since > MOVE_S:
                del moving[name]
        return FleetPlan(
            scheduler.fencing_token,
            cluster.types,
            sorted(self._leaving[summary.shard])[: cloud.MAX_MACHINES_PER_DELETION],
            fleet.on_demand_spare.get(False, 0.0) / plain,
            [(name, shard) for name, (shard, _) in moving.items()],
        )

    def _machine(self, shard: int, reported: MachineSummary) -> None:
        cluster, leaving = self._scheduler.cluster, self._leaving[shard]
        machine = cluster.machine(reported.name)
        if reported.state == REPORTED_MOVED:
            # The shard that accepted it reports it.
            leaving.discard(reported.name)
            if machine is not None and machine.in_other_shard:
                machine.idle_since = 0.0
                machine.cordoned = False
            self._moving[shard].pop(reported.name, None)
            return
        if machine is not None and not machine.in_other_shard:
            # It came back to this shard meanwhile.
            return
        if reported.state == REPORTED_GONE:
            leaving.discard(reported.name)
            self._shard_of.pop(reported.name, None)
            self._moving[shard].pop(reported.name, None)
            if machine is not None and machine.in_other_shard:
                cluster.remove_deleted_machine(machine)
            return
        machine = self._shadow_machine(
            reported.name, reported.kind, reported.zone, reported.spot, shard
        )
        if machine is None:
            return
        machine.cordoned = reported.state == REPORTED_DRAINING
        if not reported.idle or machine.cordoned:
            leaving.discard(reported.name)
            machine.idle_since = 0.0
        else:
            machine.idle_since = machine.idle_since or self._scheduler.now

    def _shadow_machine(
        self, name: str, kind: str, zone: str, spot: bool, shard: int
    ) -> Machine | None:
        """The leader's record of a machine that another shard uses."""
        cluster = self._scheduler.cluster
        machine = cluster.machine(name)
        if machine is None:
            machine = cluster.add_machine(name, kind, zone, spot)
            if machine is None:
                return None
            machine.rented_at = self._scheduler.now
        machine.in_other_shard = True
        machine.status = MACHINE_UP
        self._shard_of[name] = shard
        return machine

    def step(self, now: float) -> None:
        """Move idle machines of shards without shortages to shards that lack room.

        Only whole idle machines move, as many as what waits there fills.
        """
        if now < self._next_moves:
            return
        self._next_moves = now + SUMMARY_INTERVAL_S
        shortages = self._lasting_shortages(now)
        if not shortages:
            return
        idle = self._idle_machines(without=shortages)
        for shard, needs in shortages.items():
            self._move_machines(shard, needs, idle, now)

    def _lasting_shortages(self, now: float) -> dict[int, list[UnmetNeed]]:
        """Unmet needs of shards where work has waited for a while, by shard."""
        own = unmet_needs(self._scheduler) if 0 in self._map.plain else []
        self._waits(0, bool(own))
        needs = {summary.shard: summary.shortages for summary in self._fresh()}
        return {
            shard: found
            for shard, found in {**needs, 0: own}.items()
            if found and now - self._waiting_since.get(shard, now) > SHORTAGE_S / 4
        }

    def _idle_machines(self, without: Container[int]) -> list[tuple[int, Machine]]:
        """Idle machines without GPUs that may move, with their shards."""
        cluster = self._scheduler.cluster
        moving = {name for moves in self._moving.values() for name in moves}
        idle = []
        for machine in cluster.machines.values():
            shard = 0 if not machine.in_other_shard else self._shard_of.get(machine.name, 0)
            if (
                self._is_idle(machine)
                and machine.name not in moving
                and shard not in without
                and cluster.types[machine.type].gpus <= 0
            ):
                idle.append((shard, machine))
        return idle

    @staticmethod
    def _is_idle(machine: Machine) -> bool:
        leaving = machine.cordoned or machine.deletion_requested or machine.draining
        return bool(
            machine.status == MACHINE_UP
            and machine.idle_since
            and machine.empty()
            and not (leaving or machine.quarantined)
        )

    def _move_machines(
        self, shard: int, needs: list[UnmetNeed], idle: list[tuple[int, Machine]], now: float
    ) -> None:
        """Move machines that fit a shard's needs; what moves is taken out of ``idle``."""
        cluster = self._scheduler.cluster
        moving = sum(
            target == shard for moves in self._moving.values() for target, _ in moves.values()
        )
        for need in needs:
            missing = need.tasks
            for entry in list(idle):
                if missing <= 0 or moving >= MOVES_AT_ONCE:
                    break
                source, machine = entry
                kind = cluster.types[machine.type]
                fits = tasks_that_fit(kind.cpus, kind.gpus, kind.memory_gb, need)
                allowed = kind.name in need.kinds and need.spot >= machine.spot
                if fits and allowed and cluster.zones.names[machine.zone] in need.zones:
                    missing -= fits
                    moving += 1
                    idle.remove(entry)
                    if source:
                        self._moving[source][machine.name] = (shard, now)
                    else:
                        self._hand_off(machine, shard)

    def return_machines(self, machines: list[Machine]) -> None:
        """Ask the shards that have these idle machines to delete them."""
        for machine in machines:
            kind = self._scheduler.cluster.type_names.names[machine.type]
            shard = self._shard_of.get(machine.name)
            if shard is None:
                shard = self._map.shard_of_machine(machine.name, kind)
            self._leaving[shard].add(machine.name)
            # Counted as gone; the next summary says whether it is.
            machine.cordoned = True

    def _waits(self, shard: int, waits: bool) -> None:
        if waits:
            self._waiting_since.setdefault(shard, self._scheduler.now)
        else:
            self._waiting_since.pop(shard, None)

    def _fresh(self) -> list[ShardSummary]:
        now = self._scheduler.now
        return [summary for at, summary in self._summaries.values() if now - at < STALE_S]

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """What is needed over all, and at least so much that every shard gets its own:
        machines go round in turn, so a shard that needs more than the others gets
        it only if that is rented for each of them."""
        by_share = {0: [*own]}
        for summary in self._fresh():
            if len(summary.capacity_needed) == 2:
                by_share[summary.shard] = summary.capacity_needed[gpus]
        total, fixed = (
            [sum(sums[which][size] for sums in by_share.values()) for size in range(3)]
            for which in range(2)
        )
        plain, now = self._map.plain, self._scheduler.now
        for shard, sums in by_share.items():
            lacking = now - self._waiting_since.get(shard, now) > SHORTAGE_S
            if gpus or shard not in plain or not lacking:
                continue
            for into, amounts in zip((total, fixed), sums, strict=True):
                for size, amount in enumerate(amounts):
                    into[size] = max(into[size], amount * len(plain))
        return total, fixed

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Work of other shards that none of their machines can ever run, with or without GPUs."""
        cluster = self._scheduler.cluster
        found = []
        for summary in self._fresh():
            rentals_per_machine = len(self._map.plain) if summary.shard in self._map.plain else 1
            for need in summary.unplaceable:
                if (need.gpus > 0) != gpus:
                    continue
                found.append(
                    CapacityNeed(
                        need.gpus,
                        need.cpus,
                        need.memory_gb,
                        need.tasks,
                        need.spot,
                        [kind.name in need.kinds for kind in cluster.types],
                        [zone for name in need.zones if (zone := cluster.zones.get(name)) >= 0],
                        rentals_per_machine,
                    )
                )
        return found

    def _hand_off(self, machine: Machine, shard: int) -> None:
        """One of the first shard's own, which it counts as that shard's from now on."""
        given = self._transfer.hand_off(machine.name, shard)
        if given is not None:
            self._shadow_machine(given.name, given.type, given.zone, given.spot, shard)

    def summary_ages(self) -> dict[int, float]:
        """By share: how many seconds ago its holder was heard."""
        now = self._scheduler.now
        return {shard: round(now - at, 1) for shard, (at, _) in sorted(self._summaries.items())}
