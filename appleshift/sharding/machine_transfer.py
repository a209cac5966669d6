"""Machines from share to share.

What is rented goes round the shares in turn. A machine that is idle may be handed on to
a share that lacks room: its holder writes down that it gave it away, once no task can
be on it and no order can still arrive, and never knows it again; the other share writes
it down before it says so. In between nobody uses it. Its worker has seen the former
holder's token, so the new one gives it orders with that or its own, whichever is higher
(``Core.token_for``). Each hand-over has a number: late ones change nothing.
"""

from __future__ import annotations

import logging

from appleshift.protocol.sharding import TransferredMachine
from appleshift.sharding.interfaces import MAX_MACHINES_PER_CALL, ShardScheduler
from appleshift.state.cluster_state import HandedOffMachine
from appleshift.storage import records

log = logging.getLogger(__name__)


class MachineTransfer:
    """Of one term of a share: machines given away, and taken."""

    def __init__(self, scheduler: ShardScheduler, number: int) -> None:
        self._scheduler = scheduler
        self._shard = number
        # Given away, and not confirmed in this term; not what is not durably given
        # away yet: a successor here would have it still, and so would the other share.
        self._unconfirmed: dict[str, HandedOffMachine] = dict(scheduler.cluster.handed_off)
        self.transferred_count = 0

    def hand_off(self, name: str, share: int) -> HandedOffMachine | None:
        """Give a machine away, if nothing can be on it nor come to it any more."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        machine = cluster.machine(name)
        if (
            machine is None
            or machine.in_other_shard
            or share == self._shard
            or not machine.agent_epoch
        ):
            return None
        if (
            machine.runs
            or machine.unknown_runs
            or machine.commands_in_flight
            or not machine.schedulable()
        ):
            return None
        if scheduler.draining or not scheduler.lease.may_write(scheduler.now):
            return None
        kind, zone = cluster.type_names.names[machine.type], cluster.zones.names[machine.zone]
        given = HandedOffMachine(
            name,
            machine.addr,
            kind,
            zone,
            machine.spot,
            share,
            machine.transfer_count + 1,
            scheduler.fencing_token_for(machine),
        )
        # Out of use from here on: whatever becomes of the record, it is no longer ours
        # to start anything on.
        cluster.forget_machine(machine)
        scheduler.fast_path.entries.pop(name, None)
        cluster.handed_off[name] = given

        def durable() -> None:
            self._unconfirmed[name] = given

        scheduler.append_records([records.handed_off_record(given)], durable)
        self.transferred_count += 1
        log.info("machine %s goes to share %d", name, share)
        return given

    def accept(self, told: TransferredMachine) -> bool:
        """Take a machine that was handed on; true once it is (or was) this share's."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        known, given = cluster.machine(told.name), cluster.handed_off.get(told.name)
        if told.name in cluster.deleted_machines or (
            given is not None and given.transfer_count >= told.moves
        ):
            return True
        if known is not None and not known.in_other_shard:
            return True
        if known is not None:
            cluster.forget_machine(known)
        machine = cluster.add_machine(told.name, told.kind, told.zone, told.spot)
        if machine is None:
            # Of a type that is not known here yet.
            return False
        cluster.handed_off.pop(told.name, None)
        self._unconfirmed.pop(told.name, None)
        machine.addr, machine.transfer_count, machine.min_fencing_token = (
            told.addr,
            told.moves,
            told.token,
        )
        machine.rented_at = machine.idle_since = scheduler.now
        scheduler.append_records([records.machine_record(cluster, machine)])
        log.info("machine %s comes from another share", told.name)
        return True

    def unconfirmed(self) -> dict[int, list[TransferredMachine]]:
        """By share: machines that it is to take."""
        found: dict[int, list[TransferredMachine]] = {}
        for each in self._unconfirmed.values():
            given = found.setdefault(each.shard, [])
            if len(given) < MAX_MACHINES_PER_CALL:
                given.append(
                    TransferredMachine(
                        each.name,
                        each.addr,
                        each.type,
                        each.zone,
                        each.spot,
                        each.transfer_count,
                        each.fencing_token,
                    )
                )
        return found

    def confirmed(self, share: int, name: str) -> None:
        """That share has it, durably."""
        if (each := self._unconfirmed.get(name)) and each.shard == share:
            del self._unconfirmed[name]
