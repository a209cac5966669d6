"""The leader's summary of the needs and machines of all shards, for scaling the fleet.

Also decides which idle machines move from one shard to another.
"""

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
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.sharding.shard_map import ShardMap
from appleshift.sharding.shard_reporter import unmet_needs
from appleshift.sharding.shard_scheduler_interface import SUMMARY_INTERVAL_S, ShardScheduler
from appleshift.state.entities import Machine
from appleshift.state.states import UP as MACHINE_UP

SHORTAGE_S = 12.0
"""Seconds after which waiting work shows that its shard has too few machines, even if the
fleet has enough."""
MAX_CONCURRENT_MOVES = 8
"""Most machines that are moving to one shard at the same time."""
MOVE_TIMEOUT_S = 4.0
"""Seconds after which a transfer that has not happened is abandoned."""
SUMMARY_VALID_S = 30.0
"""Seconds without a summary after which no machines are rented for a shard's needs."""


class FleetSummary:
    """The latest summaries of all other shards, for one term of the first shard."""

    def __init__(
        self, scheduler: ShardScheduler, shard_map: ShardMap, transfer: MachineTransfer
    ) -> None:
        """``scheduler`` and ``transfer`` are those of the first shard."""
        self._scheduler = scheduler
        self._map = shard_map
        self._transfer = transfer
        # Latest summary of each shard, and when it was received.
        self._summaries: dict[int, tuple[float, ShardSummary]] = {}
        # Idle machines that a shard is asked to return, by shard.
        self._to_return: dict[int, set[str]] = defaultdict(set)
        # The shard that last reported a machine, by machine name.
        self._shard_of: dict[str, int] = {}
        # Machines that a shard is asked to hand off, by shard: name -> (target shard, since).
        self._moving: dict[int, dict[str, tuple[int, float]]] = defaultdict(dict)
        self._next_moves_at = 0.0
        # Since when a shard has had waiting work without interruption.
        self._waiting_since: dict[int, float] = {}

    def summary_received(self, summary: ShardSummary) -> FleetPlan:
        """Apply a shard's summary unless a newer one was applied; returns the shard's plan."""
        scheduler = self._scheduler
        fleet, cluster = scheduler.fleet, scheduler.cluster
        last = self._summaries.get(summary.shard)
        newer = last is None or (summary.fencing_token, summary.seq) > (
            last[1].fencing_token,
            last[1].seq,
        )
        if newer:
            # A delayed summary must not replace a newer one.
            self._summaries[summary.shard] = (scheduler.now, summary)
            for each in summary.machines:
                self._apply_machine_summary(summary.shard, each)
            for kind, zone in summary.evicted:
                market = (cluster.type_names.get(kind), cluster.zones.get(zone))
                if min(market) >= 0:
                    fleet.evict_market(market)
            self._set_waiting(summary.shard, summary.waiting > 0)
            if summary.waiting:
                fleet.next_review = min(fleet.next_review, scheduler.now + SUMMARY_INTERVAL_S)
        plain = max(1, len(self._map.cpu_machine_shards))
        moving = self._moving[summary.shard]
        for name, (_, since) in list(moving.items()):
            if scheduler.now - since > MOVE_TIMEOUT_S:
                del moving[name]
        return FleetPlan(
            scheduler.fencing_token,
            cluster.types,
            sorted(self._to_return[summary.shard])[: cloud.MAX_MACHINES_PER_DELETION],
            fleet.on_demand_spare.get(False, 0.0) / plain,
            [(name, shard) for name, (shard, _) in moving.items()],
        )

    def _apply_machine_summary(self, shard: int, reported: MachineSummary) -> None:
        cluster, leaving = self._scheduler.cluster, self._to_return[shard]
        machine = cluster.machine(reported.name)
        if reported.state == REPORTED_MOVED:
            # From now on the shard that accepted the machine reports it.
            leaving.discard(reported.name)
            if machine is not None and machine.in_other_shard:
                machine.idle_since = 0.0
                machine.cordoned = False
            self._moving[shard].pop(reported.name, None)
            return
        if machine is not None and not machine.in_other_shard:
            # The machine was transferred back to this shard meanwhile.
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
        """Find or add the first shard's entry for a machine that another shard uses; None if its
        type is unknown."""
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
        """Move idle machines from shards without a shortage to shards with one.

        Moves as many idle machines as the waiting tasks of a shard fill.
        """
        if now < self._next_moves_at:
            return
        self._next_moves_at = now + SUMMARY_INTERVAL_S
        shortages = self._lasting_shortages(now)
        if not shortages:
            return
        idle = self._idle_machines(without=shortages)
        for shard, needs in shortages.items():
            self._move_machines(shard, needs, idle, now)

    def _lasting_shortages(self, now: float) -> dict[int, list[UnmetNeed]]:
        """Unmet needs by shard, for shards in which work has waited for ``SHORTAGE_S / 4``.

        Such a shard gets idle machines of other shards first; ``needed_capacity`` makes up for
        a shortage with rented machines only after ``SHORTAGE_S``.
        """
        first_shard_needs = (
            unmet_needs(self._scheduler) if 0 in self._map.cpu_machine_shards else []
        )
        self._set_waiting(0, bool(first_shard_needs))
        needs = {summary.shard: summary.shortages for summary in self._valid_summaries()}
        return {
            shard: found
            for shard, found in {**needs, 0: first_shard_needs}.items()
            if found and now - self._waiting_since.get(shard, now) > SHORTAGE_S / 4
        }

    def _idle_machines(self, without: Container[int]) -> list[tuple[int, Machine]]:
        """Idle machines without GPUs that may move, as (shard, machine)."""
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
        """Move machines that fit a shard's needs; removes them from ``idle``."""
        cluster = self._scheduler.cluster
        moving = sum(
            target == shard for moves in self._moving.values() for target, _ in moves.values()
        )
        for need in needs:
            missing = need.tasks
            for entry in list(idle):
                if missing <= 0 or moving >= MAX_CONCURRENT_MOVES:
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
        """Ask the shards that own these idle machines to delete them."""
        for machine in machines:
            kind = self._scheduler.cluster.type_names.names[machine.type]
            shard = self._shard_of.get(machine.name)
            if shard is None:
                shard = self._map.shard_of_machine(machine.name, kind)
            self._to_return[shard].add(machine.name)
            # Counted as returned until the next summary reports the machine's state.
            machine.cordoned = True

    def _set_waiting(self, shard: int, waiting: bool) -> None:
        if waiting:
            self._waiting_since.setdefault(shard, self._scheduler.now)
        else:
            self._waiting_since.pop(shard, None)

    def _valid_summaries(self) -> list[ShardSummary]:
        """The latest summaries that are less than ``SUMMARY_VALID_S`` seconds old."""
        now = self._scheduler.now
        return [summary for at, summary in self._summaries.values() if now - at < SUMMARY_VALID_S]

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """Capacity that all shards need, as (total, without spot machines).

        Machines go to the shards in rotation. A shard with a lasting shortage gets what it
        needs only if as much is rented for every shard, so the result is at least its need
        times the number of shards.
        """
        by_shard = {0: [*own]}
        for summary in self._valid_summaries():
            if len(summary.capacity_needed) == 2:
                by_shard[summary.shard] = summary.capacity_needed[gpus]
        total, without_spot = (
            [sum(sums[index][size] for sums in by_shard.values()) for size in range(3)]
            for index in range(2)
        )
        plain, now = self._map.cpu_machine_shards, self._scheduler.now
        for shard, sums in by_shard.items():
            has_shortage = now - self._waiting_since.get(shard, now) > SHORTAGE_S
            if gpus or shard not in plain or not has_shortage:
                continue
            for needed, amounts in zip((total, without_spot), sums, strict=True):
                for size, amount in enumerate(amounts):
                    needed[size] = max(needed[size], amount * len(plain))
        return total, without_spot

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Work of other shards that none of their own machines can ever run, with or without
        GPUs."""
        cluster = self._scheduler.cluster
        found = []
        for summary in self._valid_summaries():
            rentals_per_machine = (
                len(self._map.cpu_machine_shards)
                if summary.shard in self._map.cpu_machine_shards
                else 1
            )
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
        """Hand off a machine of the first shard and count it as the other shard's from now on."""
        handed_off = self._transfer.hand_off(machine.name, shard)
        if handed_off is not None:
            self._shadow_machine(
                handed_off.name, handed_off.type, handed_off.zone, handed_off.spot, shard
            )

    def summary_ages(self) -> dict[int, float]:
        """Seconds since each shard's latest summary, by shard."""
        now = self._scheduler.now
        return {shard: round(now - at, 1) for shard, (at, _) in sorted(self._summaries.items())}
