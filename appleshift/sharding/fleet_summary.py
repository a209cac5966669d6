"""The leader's view of all shares: what they need, what their machines are, who helps whom."""

from __future__ import annotations

from collections import defaultdict

from appleshift.contracts.interfaces import CapacityNeed
from appleshift.placement.fit import tasks_that_fit
from appleshift.protocol import cloud
from appleshift.protocol.sharding import (
    GONE,
    LEAVING,
    MOVED,
    FleetPlan,
    MachineSummary,
    ShardSummary,
)
from appleshift.sharding.interfaces import SUMMARY_INTERVAL_S, ShardScheduler
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.sharding.shard_map import ShardMap
from appleshift.sharding.shard_reporter import unmet_needs as lacking_in
from appleshift.state.cluster_state import UP as MACHINE_UP
from appleshift.state.cluster_state import Machine

LACKING_S = 12.0
"""Work of a share that waits for so long has too few machines there, whatever
there are in all."""
MOVES_AT_ONCE = 8
"""Machines on their way to one share."""
MOVE_S = 4.0
"""A hand-over that its holder has not made by then is called off."""
STALE_S = 30.0
"""A share that has said nothing for so long is not rented for any more."""


class FleetSummary:
    """Of one term of the first share."""

    def __init__(
        self, scheduler: ShardScheduler, known: ShardMap, handing: MachineTransfer
    ) -> None:
        self._scheduler = scheduler
        self._map = known
        self._transfer = handing
        # The shares' last digests, and idle machines that they are to give back.
        self._summaries: dict[int, tuple[float, ShardSummary]] = {}
        self._leaving: dict[int, set[str]] = defaultdict(set)
        self._shard_of: dict[str, int] = {}
        # Machines to be handed on, by the share that has them: name -> share, since.
        self._moving: dict[int, dict[str, tuple[int, float]]] = defaultdict(dict)
        self._next_moves = 0.0
        # Since when work waits in a share without a break.
        self._waiting_since: dict[int, float] = {}

    def summary_received(self, digest: ShardSummary) -> FleetPlan:
        scheduler = self._scheduler
        fleet, cluster = scheduler.fleet, scheduler.cluster
        last = self._summaries.get(digest.shard)
        newer = last is None or (digest.fencing_token, digest.seq) > (
            last[1].fencing_token,
            last[1].seq,
        )
        if newer:
            # What was delayed on its way says less than what is known by now.
            self._summaries[digest.shard] = (scheduler.now, digest)
            for each in digest.machines:
                self._machine(digest.shard, each)
            for kind, zone in digest.evicted:
                market = (cluster.type_names.get(kind), cluster.zones.get(zone))
                if min(market) >= 0:
                    fleet.evict_market(market)
            self._waits(digest.shard, digest.waiting > 0)
            if digest.waiting:
                fleet.next_review = min(fleet.next_review, scheduler.now + SUMMARY_INTERVAL_S)
        plain = max(1, len(self._map.plain))
        moving = self._moving[digest.shard]
        for name, (_, since) in list(moving.items()):
            if scheduler.now - since > MOVE_S:
                del moving[name]
        return FleetPlan(
            scheduler.fencing_token,
            cluster.types,
            sorted(self._leaving[digest.shard])[: cloud.MAX_DELETE],
            fleet.on_demand_spare.get(False, 0.0) / plain,
            [(name, share) for name, (share, _) in moving.items()],
        )

    def _machine(self, share: int, told: MachineSummary) -> None:
        cluster, leaving = self._scheduler.cluster, self._leaving[share]
        machine = cluster.machine(told.name)
        if told.state == MOVED:
            # Where it went says so itself.
            leaving.discard(told.name)
            if machine is not None and machine.in_other_shard:
                machine.idle_since = 0.0
                machine.cordoned = False
            self._moving[share].pop(told.name, None)
            return
        if machine is not None and not machine.in_other_shard:
            # It came back here meanwhile.
            return
        if told.state == GONE:
            leaving.discard(told.name)
            self._shard_of.pop(told.name, None)
            self._moving[share].pop(told.name, None)
            if machine is not None and machine.in_other_shard:
                cluster.drop_machine(machine)
            return
        machine = self._shadow_machine(told.name, told.kind, told.zone, told.spot, share)
        if machine is None:
            return
        machine.cordoned = told.state == LEAVING
        if not told.idle or machine.cordoned:
            leaving.discard(told.name)
            machine.idle_since = 0.0
        else:
            machine.idle_since = machine.idle_since or self._scheduler.now

    def _shadow_machine(
        self, name: str, kind: str, zone: str, spot: bool, share: int
    ) -> Machine | None:
        """The leader's idea of a machine that another share has."""
        cluster = self._scheduler.cluster
        machine = cluster.machine(name)
        if machine is None:
            machine = cluster.add_machine(name, kind, zone, spot)
            if machine is None:
                return None
            machine.rented_at = self._scheduler.now
        machine.in_other_shard = True
        machine.status = MACHINE_UP
        self._shard_of[name] = share
        return machine

    def step(self, now: float) -> None:
        """Idle machines of shares where nothing waits go to those that lack room.

        Only whole idle machines move, as many as what waits there fills.
        """
        if now < self._next_moves:
            return
        self._next_moves = now + SUMMARY_INTERVAL_S
        cluster = self._scheduler.cluster
        own = lacking_in(self._scheduler) if 0 in self._map.plain else []
        self._waits(0, bool(own))
        needs = {digest.shard: digest.shortages for digest in self._fresh()}
        lacking = {
            share: found
            for share, found in {**needs, 0: own}.items()
            if found and now - self._waiting_since.get(share, now) > LACKING_S / 4
        }
        if not lacking:
            return
        under_way = {name for moves in self._moving.values() for name in moves}
        idle = [
            (0 if not machine.in_other_shard else self._shard_of.get(machine.name, 0), machine)
            for machine in cluster.machines.values()
            if machine.status == MACHINE_UP
            and machine.idle_since
            and machine.empty()
            and not (
                machine.cordoned
                or machine.deletion_requested
                or machine.draining
                or machine.quarantined
            )
            and machine.name not in under_way
        ]
        idle = [
            (share, machine)
            for share, machine in idle
            if share not in lacking and cluster.types[machine.type].gpus <= 0
        ]
        for share, found in lacking.items():
            moving = sum(
                target == share for moves in self._moving.values() for target, _ in moves.values()
            )
            for need in found:
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
                            self._moving[source][machine.name] = (share, now)
                        else:
                            self._hand_off(machine, share)

    def return_machines(self, machines: list[Machine]) -> None:
        for machine in machines:
            kind = self._scheduler.cluster.type_names.names[machine.type]
            share = self._shard_of.get(machine.name)
            if share is None:
                share = self._map.shard_of_machine(machine.name, kind)
            self._leaving[share].add(machine.name)
            # Counted as gone; its holder's next word says whether it is.
            machine.cordoned = True

    def _waits(self, share: int, waits: bool) -> None:
        if waits:
            self._waiting_since.setdefault(share, self._scheduler.now)
        else:
            self._waiting_since.pop(share, None)

    def _fresh(self) -> list[ShardSummary]:
        now = self._scheduler.now
        return [digest for at, digest in self._summaries.values() if now - at < STALE_S]

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """What is needed over all, and at least so much that every share gets its own:
        machines go round in turn, so a share that needs more than the others gets
        it only if that is rented for each of them."""
        by_share = {0: [*own]}
        for digest in self._fresh():
            if len(digest.capacity_needed) == 2:
                by_share[digest.shard] = digest.capacity_needed[gpus]
        total, fixed = (
            [sum(sums[which][size] for sums in by_share.values()) for size in range(3)]
            for which in range(2)
        )
        plain, now = self._map.plain, self._scheduler.now
        for share, sums in by_share.items():
            lacking = now - self._waiting_since.get(share, now) > LACKING_S
            if gpus or share not in plain or not lacking:
                continue
            for into, amounts in zip((total, fixed), sums, strict=True):
                for size, amount in enumerate(amounts):
                    into[size] = max(into[size], amount * len(plain))
        return total, fixed

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        cluster = self._scheduler.cluster
        found = []
        for digest in self._fresh():
            spread_by = len(self._map.plain) if digest.shard in self._map.plain else 1
            for need in digest.unplaceable:
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
                        spread_by,
                    )
                )
        return found

    def _hand_off(self, machine: Machine, share: int) -> None:
        """One of the first share's own, which it counts as that share's from now on."""
        given = self._transfer.hand_off(machine.name, share)
        if given is not None:
            self._shadow_machine(given.name, given.type, given.zone, given.spot, share)

    def summary_ages(self) -> dict[int, float]:
        """By share: how many seconds ago its holder was heard."""
        now = self._scheduler.now
        return {share: round(now - at, 1) for share, (at, _) in sorted(self._summaries.items())}
