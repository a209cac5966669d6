"""Answers workers' heartbeats: renews their leases and hands out commands."""

from __future__ import annotations

from typing import Any

from appleshift.protocol import users, workers
from appleshift.protocol.wire import encode
from appleshift.protocol.workers import Heartbeat
from appleshift.scheduler.interfaces import FullSchedulerView
from appleshift.state.entities import Machine


class HeartbeatRequests:
    """Part of the scheduler that workers talk to."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Answer in the name of ``scheduler``."""
        self._scheduler = scheduler

    def received(self, heartbeat: Heartbeat, reply_to: Any, tasks: bytes | None) -> None:
        """Apply a heartbeat, renew the machine's lease and answer with its commands.

        ``tasks`` is the task list as it was sent: nodes compare it byte by byte to
        answer an unchanged heartbeat without the scheduler. None: not known.
        """
        scheduler = self._scheduler
        machine = self._accept(heartbeat, reply_to)
        if machine is None:
            return
        token = scheduler.fencing_token_for(machine)
        scheduler.liveness.apply_fast_path_entry(machine)
        if not scheduler.liveness.record_heartbeat(machine, heartbeat):
            # A copy, or the original after its copy. The lease that the answer may renew
            # was counted with the first one; whoever reads this learns what has to stop.
            stop_commands = scheduler.commands.stop_commands(machine)
            scheduler.reply(reply_to, 200, workers.heartbeat_response(token, stop_commands))
            return
        scheduler.reconcile(machine, heartbeat)
        # The worker counts its lease from when it sent this heartbeat, which is
        # earlier than now: this bound is on the safe side.
        machine.lease_until = scheduler.now + scheduler.worker_lease_s
        commands = scheduler.commands.for_heartbeat(machine)
        response = workers.heartbeat_response(token, commands)
        scheduler.reply(reply_to, 200, response)
        newest = heartbeat.seq == machine.seq and heartbeat.fencing_token == token
        if tasks is not None and newest and not commands and machine.needs_no_commands():
            unchanged = (machine.agent_epoch, token, tasks, encode(response))
            machine.fast_path_entry = scheduler.fast_path.set_expected(
                machine.name, unchanged, scheduler.now, heartbeat.seq
            )

    def _accept(self, heartbeat: Heartbeat, reply_to: Any) -> Machine | None:
        """Return the machine that reports; None: the heartbeat was refused with an answer."""
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
            scheduler.fencing_token if machine is None else scheduler.fencing_token_for(machine)
        ):
            # A newer leader was elected, whatever this node's clock says.
            scheduler.reply(reply_to, 421, workers.redirect_body(None))
            return None
        if machine is None:
            machine = scheduler.fleet.adopt(heartbeat)
        if machine is None or machine.in_other_shard or heartbeat.agent_epoch < machine.agent_epoch:
            scheduler.reply(reply_to, 503, users.error_body("machine not known here"))
            return None
        return machine
