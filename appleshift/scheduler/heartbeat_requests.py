"""Answers heartbeats: renews the leases of workers and sends them commands."""

from __future__ import annotations

from typing import Any

from appleshift.leader_election.fencing_tokens import last_token_of_term
from appleshift.protocol import users, workers
from appleshift.protocol.wire import encode
from appleshift.protocol.workers import Heartbeat
from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.entities import Machine


class HeartbeatRequests:
    """The part of the scheduler that handles heartbeats of workers."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Handle heartbeats for ``scheduler``."""
        self._scheduler = scheduler

    def handle(self, heartbeat: Heartbeat, reply_to: Any, tasks: bytes | None) -> None:
        """Apply a heartbeat, renew the machine's lease and respond with its commands.

        ``tasks`` is the encoded task list of the heartbeat, or None if it is not
        available. The fast path compares it byte by byte with that of the next
        heartbeat, and answers an unchanged one without the scheduler.
        """
        scheduler = self._scheduler
        machine = self._accept(heartbeat, reply_to)
        if machine is None:
            return
        scheduler.liveness.apply_fast_path_entry(machine)
        if not scheduler.liveness.record_heartbeat(machine, heartbeat):
            # A duplicate, or the original arriving after its duplicate. The lease renewal
            # was recorded with the first copy, so this response carries stop commands only.
            stop_commands = scheduler.commands.stop_commands(machine)
            token = scheduler.fencing_token_for(machine)
            scheduler.reply(reply_to, 200, workers.heartbeat_response(token, stop_commands))
            return
        scheduler.reconcile(machine, heartbeat)
        # The worker counts its lease from the time at which it sent this heartbeat.
        # That is earlier than now, so the lease ends no later than this bound.
        machine.lease_until = scheduler.now + scheduler.worker_lease_s
        commands = scheduler.commands.for_heartbeat(machine)
        # Read after the commands, which may need a higher token.
        token = scheduler.fencing_token_for(machine)
        response = workers.heartbeat_response(token, commands)
        scheduler.reply(reply_to, 200, response)
        is_newest = heartbeat.seq == machine.seq and heartbeat.fencing_token == token
        if tasks is not None and is_newest and not commands and machine.needs_no_commands():
            expected = (machine.agent_epoch, token, tasks, encode(response))
            machine.fast_path_entry = scheduler.fast_path.set_expected(
                machine.name, expected, scheduler.now, heartbeat.seq
            )

    def _accept(self, heartbeat: Heartbeat, reply_to: Any) -> Machine | None:
        """Return the machine that sent a heartbeat, or refuse the heartbeat and return None."""
        scheduler = self._scheduler
        if not scheduler.lease.may_answer(scheduler.now):
            scheduler.reply(reply_to, 503, users.error_body("not leading"))
            return None
        handed_off = scheduler.cluster.handed_off.get(heartbeat.machine)
        if handed_off is not None:
            scheduler.reply(reply_to, 421, {"share": handed_off.shard})
            return None
        machine = scheduler.cluster.machine(heartbeat.machine)
        if heartbeat.fencing_token > (
            last_token_of_term(scheduler.fencing_token)
            if machine is None
            else scheduler.fencing_token_for(machine)
        ):
            # A newer leader was elected, even if the lease still holds by this node's clock.
            scheduler.reply(reply_to, 421, workers.redirect_body(None))
            return None
        if machine is None:
            machine = self._adopt(heartbeat)
        if machine is None or machine.in_other_shard or heartbeat.agent_epoch < machine.agent_epoch:
            scheduler.reply(reply_to, 503, users.error_body("machine not known here"))
            return None
        return machine

    def _adopt(self, heartbeat: Heartbeat) -> Machine | None:
        """Add an unknown machine, whose worker may have seen tokens of this term."""
        scheduler = self._scheduler
        machine = scheduler.fleet.adopt(heartbeat)
        if machine is not None and heartbeat.fencing_token >= scheduler.fencing_token:
            machine.fencing_token_raises = heartbeat.fencing_token - scheduler.fencing_token
            machine.start_token = heartbeat.fencing_token
        return machine
