"""Reports a shard's needs and machines to the leader of the first shard and applies its plan.

Only the leader of the first shard rents machines. The leader of every other shard sends it a
summary each second: the capacity that the shard needs and the machines that changed. The reply
names the idle machines that the plan does not need and those that other shards need more.
Outdated or lost summaries cost money or time but break no invariant: a machine is returned or
handed off by its own shard, which can check that it is empty.
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

MAX_NEEDS = 40
"""Most unmet needs, and most unplaceable ones, in one summary."""


def unmet_need(cluster: ClusterState, need: CapacityNeed) -> UnmetNeed:
    """Convert a need to its form in messages, with names of machine types and zones."""
    kinds = [kind.name for kind, ok in zip(cluster.types, need.eligible_types, strict=True) if ok]
    zones = [cluster.zones.names[zone] for zone in need.zones]
    return UnmetNeed(need.cpus, need.gpus, need.memory_gb, need.tasks, need.spot, kinds, zones)


def unmet_needs(scheduler: ShardScheduler) -> list[UnmetNeed]:
    """The shortages of a shard, the most urgent first, at most ``MAX_NEEDS``."""
    cluster = scheduler.cluster
    shortages = scheduler.fleet.shortages[:MAX_NEEDS]
    return [unmet_need(cluster, capacity_need_for(cluster, shortage)) for shortage in shortages]


class ShardReporter:
    """Creates the summaries of a shard other than the first, for one term."""

    def __init__(self, scheduler: ShardScheduler, shard: int, transfer: MachineTransfer) -> None:
        """For one term of ``shard``, which is not the first."""
        self._scheduler = scheduler
        self._shard = shard
        self._transfer = transfer
        # Fencing token of the leader that sent the latest plan.
        self._leader_token = 0
        self._seq = 0
        # State and idleness of each machine, by name: as the leader has acknowledged them, and
        # as sent in the summary whose reply is outstanding.
        self._acknowledged: dict[str, tuple[int, bool]] = {}
        self._in_flight: dict[str, tuple[int, bool]] = {}
        # Spot markets with a reclaimed machine, as (type, zone): not yet acknowledged, and those
        # of them in the summary whose reply is outstanding.
        self._evicted: set[tuple[str, str]] = set()
        self._evicted_in_flight: set[tuple[str, str]] = set()

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Add to the next summary that a spot machine of this type and zone was reclaimed."""
        cluster = self._scheduler.cluster
        self._evicted.add((cluster.type_names.names[kind], cluster.zones.names[zone]))

    def summary(self, now: float) -> ShardSummary:
        """Create the next summary: the shard's needs, and the machines whose reported state is
        outdated."""
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
                :MAX_NEEDS
            ],
            unmet_needs(scheduler),
            sorted(self._evicted),
            len(cluster.jobs),
            sum(shortage.tasks for shortage in scheduler.fleet.shortages),
        )

    def plan_received(self, plan: FleetPlan) -> None:
        """Apply the leader's reply to a summary: machine types, transfers, machines to return."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        for name, reported in self._in_flight.items():
            if reported[0] in (REPORTED_GONE, REPORTED_MOVED):
                self._acknowledged.pop(name, None)
            else:
                self._acknowledged[name] = reported
        self._evicted -= self._evicted_in_flight
        if plan.fencing_token != self._leader_token:
            # A new leader has received no summary before this one.
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
        """Handle a summary without a reply: the leader may not have received it, so the next
        one repeats its contents."""
        self._in_flight.clear()
        self._evicted_in_flight.clear()
