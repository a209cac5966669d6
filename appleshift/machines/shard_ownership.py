"""Ownership of machines by shards, and whether this shard may delete a machine."""

from __future__ import annotations

from appleshift.contracts.interfaces import SchedulerView
from appleshift.state.entities import Machine
from appleshift.state.states import BOOTING


def update_shard_ownership(scheduler: SchedulerView, machine: Machine) -> None:
    """Set ``machine.in_other_shard`` from the shard map and the machines handed off."""
    sharding = scheduler.sharding
    if sharding is None:
        return
    cluster = scheduler.cluster
    type_name = cluster.type_names.names[machine.type]
    handed_off = machine.name in cluster.handed_off
    machine.in_other_shard = handed_off or not sharding.owns_machine(machine.name, type_name)


def may_delete(machine: Machine) -> bool:
    """Whether this shard may delete a machine.

    A shard may delete its own machines. It may delete a machine of another shard only while
    that machine boots: shard 0 rents machines for all shards and watches them until they are
    up.
    """
    return not machine.in_other_shard or machine.status == BOOTING
