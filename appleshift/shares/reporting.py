"""What the holder of a share tells the leader, and does for it.

Only the first share's holder, the leader, rents. The others tell it each second what
they need and what their machines are, and it answers which idle ones the plan does
without and which others need more. Old or lost digests cost money or time, never a
rule: a machine is given back or handed on by the holder that knows it to be empty.
"""

from __future__ import annotations

import logging

from appleshift.bookkeeping.tables import UP as MACHINE_UP
from appleshift.bookkeeping.tables import Tables
from appleshift.coordination.fleet.provisioning import Pool, need_of
from appleshift.coordination.parts import Need
from appleshift.protocol.shares import (
    GONE,
    LEAVING,
    MOVED,
    UP,
    Digest,
    MachineNow,
    NeedNow,
    Plan,
)
from appleshift.shares.handing import Handing
from appleshift.shares.terms import MACHINES_A_CALL, ShareCore

log = logging.getLogger(__name__)

NEEDS = 40


def told_need(tables: Tables, need: Need) -> NeedNow:
    """As it is told to another node, by names."""
    kinds = [kind.name for kind, ok in zip(tables.types, need.kinds, strict=True) if ok]
    zones = [tables.zones.names[zone] for zone in need.zones]
    return NeedNow(need.cpus, need.gpus, need.memory_gb, need.tasks, need.spot, kinds, zones)


def lacking(core: ShareCore) -> list[NeedNow]:
    """What waits for room, the most urgent first."""
    tables = core.tables
    some = core.fleet.shortages[:NEEDS]
    return [told_need(tables, need_of(tables, shortage)) for shortage in some]


class Reporting:
    """Of one term of a share other than the first."""

    def __init__(self, core: ShareCore, number: int, handing: Handing) -> None:
        self._core = core
        self._number = number
        self._handing = handing
        # What the leader knows of each machine, and what is on its way to it.
        self._leader_token = 0
        self._seq = 0
        self._said: dict[str, tuple[int, bool]] = {}
        self._flying: dict[str, tuple[int, bool]] = {}
        self._evicted: set[tuple[str, str]] = set()
        self._flying_evicted: set[tuple[str, str]] = set()

    def evicted(self, kind: int, zone: int) -> None:
        names = self._core.tables
        self._evicted.add((names.type_names.names[kind], names.zones.names[zone]))

    def digest(self, now: float) -> Digest:
        """What the leader is to be told now."""
        core, tables = self._core, self._core.tables
        self._seq += 1
        changed: list[MachineNow] = []
        for machine in tables.machines.values():
            if machine.status != MACHINE_UP:
                continue
            state = UP if machine.usable() else LEAVING
            idle = not machine.runs and not machine.strays
            if self._said.get(machine.name) != (state, idle):
                kind, zone = tables.type_names.names[machine.type], tables.zones.names[machine.zone]
                changed.append(MachineNow(machine.name, kind, zone, machine.spot, state, idle))
            if len(changed) >= MACHINES_A_CALL:
                break
        gone = [name for name in self._said if tables.machine(name) is None]
        for name in gone[:MACHINES_A_CALL]:
            state = MOVED if name in tables.given else GONE
            changed.append(MachineNow(name, "", "", False, state, False))
        self._flying = {each.name: (each.state, each.idle) for each in changed}
        self._flying_evicted = set(self._evicted)
        pools = [Pool(core.fleet, gpus) for gpus in (False, True)] if tables.types else []
        return Digest(
            self._number,
            core.token,
            self._seq,
            changed,
            [[*pool.sums(now)] for pool in pools],
            [told_need(tables, need) for pool in pools for need in pool.needs()][:NEEDS],
            lacking(core),
            sorted(self._evicted),
            len(tables.jobs),
            sum(shortage.tasks for shortage in core.fleet.shortages),
        )

    def planned(self, plan: Plan) -> None:
        core, tables = self._core, self._core.tables
        for name, said in self._flying.items():
            if said[0] in (GONE, MOVED):
                self._said.pop(name, None)
            else:
                self._said[name] = said
        self._evicted -= self._flying_evicted
        if plan.token != self._leader_token:
            # Another leader, which was told nothing before this digest.
            self._leader_token = plan.token
            self._said = dict(self._flying)
        self._flying, self._flying_evicted = {}, set()
        if plan.types:
            core.fleet.types(plan.types)
        core.fleet.steady_spare[False] = plan.spare
        for name, share in plan.hand_on:
            self._handing.give(name, share)
        leaving = [machine for name in plan.give_back if (machine := tables.machine(name))]
        leaving = [each for each in leaving if not (each.runs or each.strays or each.asked_gone)]
        for machine in leaving:
            log.info("returning idle machine %s", machine.name)
        if leaving:
            core.delete(leaving)

    def unheard(self) -> None:
        """Perhaps the leader heard, perhaps not: all of it is said again."""
        self._flying.clear()
        self._flying_evicted.clear()
