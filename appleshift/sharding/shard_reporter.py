"""What the holder of a shard tells the leader, and does for it.

Only the first shard's holder, the leader, rents. The others tell it each second what
they need and what their machines are, and it answers which idle ones the plan does
without and which others need more. Old or lost summaries cost money or time, never a
rule: a machine is given back or handed off by the holder that knows it to be empty.
"""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import CapacityNeed
from appleshift.protocol.sharding import (
    REPORTED_DRAINING,
    REPORTED_GONE,
    REPORTED_MOVED,
    REPORTED_UP,
    FleetPlan,
    MachineSummary,
    ShardSummary,
    UnmetNeed,
)
from appleshift.provisioning.pool import CapacityPool
from appleshift.provisioning.shortages import capacity_need_for
from appleshift.sharding.interfaces import MAX_MACHINES_PER_CALL, ShardScheduler
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import UP as MACHINE_UP

log = logging.getLogger(__name__)

NEEDS = 40


def unmet_need(cluster: ClusterState, need: CapacityNeed) -> UnmetNeed:
    """As it is told to another node, by names."""
    kinds = [kind.name for kind, ok in zip(cluster.types, need.eligible_types, strict=True) if ok]
    zones = [cluster.zones.names[zone] for zone in need.zones]
    return UnmetNeed(need.cpus, need.gpus, need.memory_gb, need.tasks, need.spot, kinds, zones)


def unmet_needs(scheduler: ShardScheduler) -> list[UnmetNeed]:
    """What waits for room, the most urgent first."""
    cluster = scheduler.cluster
    some = scheduler.fleet.shortages[:NEEDS]
    return [unmet_need(cluster, capacity_need_for(cluster, shortage)) for shortage in some]


class ShardReporter:
    """Of one term of a shard other than the first."""

    def __init__(self, scheduler: ShardScheduler, number: int, transfer: MachineTransfer) -> None:
        """For one term of shard ``number``, which is not the first."""
        self._scheduler = scheduler
        self._shard = number
        self._transfer = transfer
        # What the leader knows of each machine, and what is on its way to it.
        self._leader_token = 0
        self._seq = 0
        self._acknowledged: dict[str, tuple[int, bool]] = {}
        self._in_flight: dict[str, tuple[int, bool]] = {}
        self._evicted: set[tuple[str, str]] = set()
        self._evicted_in_flight: set[tuple[str, str]] = set()

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Note that a spot machine of this type and zone was reclaimed."""
        names = self._scheduler.cluster
        self._evicted.add((names.type_names.names[kind], names.zones.names[zone]))

    def summary(self, now: float) -> ShardSummary:
        """What the leader is to be told now."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        self._seq += 1
        changed: list[MachineSummary] = []
        for machine in cluster.machines.values():
            if machine.status != MACHINE_UP:
                continue
            state = REPORTED_UP if machine.schedulable() else REPORTED_DRAINING
            idle = not machine.runs and not machine.unknown_runs
            if self._acknowledged.get(machine.name) != (state, idle):
                kind, zone = (
                    cluster.type_names.names[machine.type],
                    cluster.zones.names[machine.zone],
                )
                changed.append(MachineSummary(machine.name, kind, zone, machine.spot, state, idle))
            if len(changed) >= MAX_MACHINES_PER_CALL:
                break
        gone = [name for name in self._acknowledged if cluster.machine(name) is None]
        for name in gone[:MAX_MACHINES_PER_CALL]:
            state = REPORTED_MOVED if name in cluster.handed_off else REPORTED_GONE
            changed.append(MachineSummary(name, "", "", False, state, False))
        self._in_flight = {each.name: (each.state, each.idle) for each in changed}
        self._evicted_in_flight = set(self._evicted)
        pools = (
            [CapacityPool(scheduler.fleet, gpus) for gpus in (False, True)] if cluster.types else []
        )
        return ShardSummary(
            self._shard,
            scheduler.fencing_token,
            self._seq,
            changed,
            [[*pool.needed_capacity(now)] for pool in pools],
            [unmet_need(cluster, need) for pool in pools for need in pool.unplaceable_needs()][
                :NEEDS
            ],
            unmet_needs(scheduler),
            sorted(self._evicted),
            len(cluster.jobs),
            sum(shortage.tasks for shortage in scheduler.fleet.shortages),
        )

    def plan_received(self, plan: FleetPlan) -> None:
        """Apply the leader's answer: machine types, hand-offs, machines to return."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        for name, said in self._in_flight.items():
            if said[0] in (REPORTED_GONE, REPORTED_MOVED):
                self._acknowledged.pop(name, None)
            else:
                self._acknowledged[name] = said
        self._evicted -= self._evicted_in_flight
        if plan.fencing_token != self._leader_token:
            # Another leader, which was told nothing before this summary.
            self._leader_token = plan.fencing_token
            self._acknowledged = dict(self._in_flight)
        self._in_flight, self._evicted_in_flight = {}, set()
        if plan.types:
            scheduler.fleet.set_machine_types(plan.types)
        scheduler.fleet.on_demand_spare[False] = plan.on_demand_spare
        for name, shard in plan.transfers:
            self._transfer.hand_off(name, shard)
        leaving = [machine for name in plan.return_machines if (machine := cluster.machine(name))]
        leaving = [
            each
            for each in leaving
            if not (each.runs or each.unknown_runs or each.deletion_requested)
        ]
        for machine in leaving:
            log.info("returning idle machine machine=%s", machine.name)
        if leaving:
            scheduler.delete_machines(leaving)

    def no_reply(self) -> None:
        """Perhaps the leader heard, perhaps not: all of it is said again."""
        self._in_flight.clear()
        self._evicted_in_flight.clear()
