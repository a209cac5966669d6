"""Transfer of idle machines from one shard to another.

Rented machines go to the shards in rotation. An idle machine may be handed off to a shard
without room for its tasks. The owner records the hand-off once no task can be on the machine
and no command can still arrive there, and then stops using it. The other shard records that
it accepted the machine before it confirms. Between the two records no shard uses the machine.
The worker has seen the fencing token of the former owner, so the new owner sends commands
with the higher of that token and its own (``Scheduler.fencing_token_for``). Each transfer of
a machine has a number, so messages that arrive late change nothing.
"""

from __future__ import annotations

import logging

from appleshift.protocol.sharding import TransferredMachine
from appleshift.sharding.shard_scheduler_interface import MAX_MACHINES_PER_CALL, ShardScheduler
from appleshift.state.handed_off_machines import HandedOffMachine
from appleshift.storage import records

log = logging.getLogger(__name__)


class MachineTransfer:
    """Hands machines off to other shards and accepts theirs, for one term of a shard."""

    def __init__(self, scheduler: ShardScheduler, shard: int, shard_count: int) -> None:
        """For one term of ``shard``; offers again each hand-off recovered from the log."""
        self._scheduler = scheduler
        self._shard = shard
        self._shard_count = shard_count
        # Durable hand-offs that are not confirmed in this term. A hand-off must not be offered
        # before it is durable: after a change of leader both shards would own the machine.
        self._unconfirmed: dict[str, HandedOffMachine] = dict(scheduler.cluster.handed_off)
        self.transferred_count = 0

    def hand_off(self, name: str, shard: int) -> HandedOffMachine | None:
        """Hand off a machine to ``shard``; None if a task may be on the machine or start there, or
        if this leader may not write."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        machine = cluster.machine(name)
        if (
            machine is None
            or machine.in_other_shard
            or shard == self._shard
            or not 0 <= shard < self._shard_count
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
        handed_off = HandedOffMachine(
            name,
            machine.addr,
            kind,
            zone,
            machine.spot,
            shard,
            machine.transfer_count + 1,
            scheduler.fencing_token_for(machine),
        )
        # This term stops using the machine, even if the record never becomes durable.
        cluster.remove_machine(machine)
        scheduler.fast_path.entries.pop(name, None)
        cluster.handed_off[name] = handed_off

        def durable() -> None:
            self._unconfirmed[name] = handed_off

        scheduler.append_records([records.handed_off_record(handed_off)], durable)
        self.transferred_count += 1
        log.info("machine handed off machine=%s to_shard=%d", name, shard)
        return handed_off

    def accept(self, offer: TransferredMachine) -> bool:
        """Accept an offered machine; true if it can be confirmed, as this shard owns it or has
        owned it since the offer."""
        scheduler, cluster = self._scheduler, self._scheduler.cluster
        known, handed_off = cluster.machine(offer.name), cluster.handed_off.get(offer.name)
        if offer.name in cluster.deleted_machines or (
            handed_off is not None and handed_off.transfer_count >= offer.transfer_count
        ):
            return True
        if known is not None and not known.in_other_shard:
            return True
        if known is not None:
            cluster.remove_machine(known)
        machine = cluster.add_machine(offer.name, offer.kind, offer.zone, offer.spot)
        if machine is None:
            # This shard has not received the machine's type yet.
            return False
        cluster.handed_off.pop(offer.name, None)
        self._unconfirmed.pop(offer.name, None)
        machine.addr, machine.transfer_count, machine.min_fencing_token = (
            offer.addr,
            offer.transfer_count,
            offer.fencing_token,
        )
        machine.rented_at = machine.idle_since = scheduler.now
        scheduler.append_records([records.machine_record(cluster, machine)])
        log.info("machine accepted from another shard machine=%s", offer.name)
        return True

    def unconfirmed(self) -> dict[int, list[TransferredMachine]]:
        """Machines to offer to other shards until they confirm, by shard."""
        by_shard: dict[int, list[TransferredMachine]] = {}
        for each in self._unconfirmed.values():
            offers = by_shard.setdefault(each.shard, [])
            if len(offers) < MAX_MACHINES_PER_CALL:
                offers.append(
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
        return by_shard

    def confirmed(self, shard: int, name: str) -> None:
        """Stop offering a machine: ``shard`` has durably accepted it."""
        if (each := self._unconfirmed.get(name)) and each.shard == shard:
            del self._unconfirmed[name]
