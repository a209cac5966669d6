"""What the holder of a share tells the leader, and does for it.

Only the first share's holder, the leader, rents. The others tell it each second what
they need and what their machines are, and it answers which idle ones the plan does
without and which others need more. Old or lost digests cost money or time, never a
rule: a machine is given back or handed on by the holder that knows it to be empty.
"""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import CapacityNeed
from appleshift.protocol.sharding import (
    GONE,
    LEAVING,
    MOVED,
    UP,
    Digest,
    MachineNow,
    NeedNow,
    Plan,
)
from appleshift.provisioning.pool import CapacityPool, need_of_shortage
from appleshift.sharding.interfaces import MACHINES_A_CALL, ShardScheduler
from appleshift.sharding.machine_transfer import Handing
from appleshift.state.cluster_state import UP as MACHINE_UP
from appleshift.state.cluster_state import ClusterState

log = logging.getLogger(__name__)

NEEDS = 40


def told_need(cluster: ClusterState, need: CapacityNeed) -> NeedNow:
    """As it is told to another node, by names."""
    kinds = [kind.name for kind, ok in zip(cluster.types, need.eligible_types, strict=True) if ok]
    zones = [cluster.zones.names[zone] for zone in need.zones]
    return NeedNow(need.cpus, need.gpus, need.memory_gb, need.tasks, need.spot, kinds, zones)


def lacking(core: ShardScheduler) -> list[NeedNow]:
    """What waits for room, the most urgent first."""
    cluster = core.cluster
    some = core.fleet.shortages[:NEEDS]
    return [told_need(cluster, need_of_shortage(cluster, shortage)) for shortage in some]


class Reporting:
    """Of one term of a share other than the first."""

    def __init__(self, core: ShardScheduler, number: int, handing: Handing) -> None:
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
        names = self._core.cluster
        self._evicted.add((names.type_names.names[kind], names.zones.names[zone]))

    def digest(self, now: float) -> Digest:
        """What the leader is to be told now."""
        core, cluster = self._core, self._core.cluster
        self._seq += 1
        changed: list[MachineNow] = []
        for machine in cluster.machines.values():
            if machine.status != MACHINE_UP:
                continue
            state = UP if machine.schedulable() else LEAVING
            idle = not machine.runs and not machine.unknown_runs
            if self._said.get(machine.name) != (state, idle):
                kind, zone = (
                    cluster.type_names.names[machine.type],
                    cluster.zones.names[machine.zone],
                )
                changed.append(MachineNow(machine.name, kind, zone, machine.spot, state, idle))
            if len(changed) >= MACHINES_A_CALL:
                break
        for name in [name for name in self._said if cluster.machine(name) is None]:
            state = MOVED if name in cluster.handed_off else GONE
            changed.append(MachineNow(name, "", "", False, state, False))
        self._flying = {each.name: (each.state, each.idle) for each in changed}
        self._flying_evicted = set(self._evicted)
        pools = [CapacityPool(core.fleet, gpus) for gpus in (False, True)] if cluster.types else []
        return Digest(
            self._number,
            core.fencing_token,
            self._seq,
            changed,
            [[*pool.needed_capacity(now)] for pool in pools],
            [told_need(cluster, need) for pool in pools for need in pool.unplaceable_needs()][
                :NEEDS
            ],
            lacking(core),
            sorted(self._evicted),
            len(cluster.jobs),
            sum(shortage.tasks for shortage in core.fleet.shortages),
        )

    def planned(self, plan: Plan) -> None:
        core, cluster = self._core, self._core.cluster
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
            core.fleet.set_machine_types(plan.types)
        core.fleet.on_demand_spare[False] = plan.spare
        for name, share in plan.hand_on:
            self._handing.give(name, share)
        leaving = [machine for name in plan.give_back if (machine := cluster.machine(name))]
        leaving = [
            each
            for each in leaving
            if not (each.runs or each.unknown_runs or each.deletion_requested)
        ]
        for machine in leaving:
            log.info("returning idle machine %s", machine.name)
        if leaving:
            core.delete_machines(leaving)

    def unheard(self) -> None:
        """Perhaps the leader heard, perhaps not: all of it is said again."""
        self._flying.clear()
        self._flying_evicted.clear()
