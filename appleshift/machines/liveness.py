"""What heartbeats prove of a machine: that it lives, and whether commands reach it.

Copies of a heartbeat may arrive late, from seconds to well over a lease, at any node, also
when their machine is long gone. And a machine may be heard that no response or command
reaches: when its lease expires it looks empty and well. So the contents of a heartbeat count
only if it is newer than everything received before (``Scheduler.observe``), a lease is
renewed only by a heartbeat that is newer than every other *heartbeat*, and that commands
reach a machine is shown by what it does afterwards:

- a heartbeat, after the one before, within the time that a worker waits for a response: it
  got one;
- an answer to a direct command or probe.

A worker has one heartbeat in flight at a time and drops a response after 4 s, so nobody reads
the response to any but its newest heartbeat. Its lease counts from when that was sent, which
is no later than when the first copy of it arrived. ``docs/design-hearing.md`` goes through
every use of a heartbeat.
"""

from __future__ import annotations

import math

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import SchedulerView
from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, Heartbeat
from appleshift.state.entities import Machine
from appleshift.state.states import UP


class MachineLiveness:
    """Tracks when machines were heard; used by the scheduler's thread only."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Start a term: heartbeats to earlier leaders are not known."""
        self._scheduler = scheduler
        self._started = scheduler.now
        self._heartbeats_lost_after_s = scheduler.settings.deployment.workers.lease_s / 2

    def is_new_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; false if a copy of it, or a newer one, arrived before."""
        # Compared with its agent epoch: the answer to a probe may have shown a new epoch
        # before, in which sequence numbers restart. Heartbeats of the new epoch were once
        # taken for copies, and renewed no lease.
        position = (heartbeat.agent_epoch, heartbeat.seq)
        if position <= machine.last_heartbeat_id:
            return False
        now = self._scheduler.now
        if machine.last_heartbeat_at > -math.inf:
            commands_arrive = now - machine.last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        else:
            # Commands of an earlier leader reached the machines that it knew. A new machine
            # has to show first that they do.
            commands_arrive = machine.status == UP
        self._record_heartbeat(machine, now, commands_arrive)
        machine.last_heartbeat_id = position
        machine.without_heartbeats = False
        if not commands_arrive and heartbeat.addr and not machine.probe_in_flight:
            machine.probe_in_flight = True
            self._scheduler.actions.append(ProbeMachine(machine.name, heartbeat.addr))
        return True

    @staticmethod
    def _record_heartbeat(machine: Machine, at: float, commands_arrive: bool) -> None:
        machine.last_heartbeat_at = at
        if commands_arrive:
            machine.commands_unconfirmed_since = machine.heartbeats_while_unconfirmed = (
                machine.unanswered_probes
            ) = 0
            return
        machine.heartbeats_while_unconfirmed += 1
        if machine.heartbeats_while_unconfirmed == 1:
            # Probes that it left unanswered while it was not heard say nothing of now.
            machine.commands_unconfirmed_since, machine.unanswered_probes = at, 0

    def apply_fast_path(self, machine: Machine) -> None:
        """Take over what the fast path recorded of heartbeats without any change."""
        entry = machine.fast_path_entry
        if entry is not None:
            at, agent_epoch, seq, commands_arrive = entry.last_answered
            # Whatever else arrived meanwhile: the answer to a direct command is later, but
            # renews no lease. When only later times counted, leases that had been renewed
            # on the fast path were taken for expired, and eight tasks ran twice on one day.
            machine.lease_until = max(machine.lease_until, at + self._scheduler.worker_lease_s)
            if at > machine.last_heartbeat_at:
                self._record_heartbeat(machine, at, commands_arrive)
                machine.last_contact_at = max(machine.last_contact_at, at)
            if agent_epoch == machine.agent_epoch:
                machine.seq = max(machine.seq, seq)
            machine.last_heartbeat_id = max(machine.last_heartbeat_id, (agent_epoch, seq))
        # A machine whose heartbeats are lost may answer probes, but its lease will expire.
        machine.without_heartbeats = (
            self._scheduler.now - max(machine.last_heartbeat_at, self._started)
            > self._heartbeats_lost_after_s
        )

    def command_result(self, machine: Machine, reached: bool) -> None:
        """Record whether a direct command or probe reached the machine."""
        if reached:
            machine.commands_unconfirmed_since = machine.heartbeats_while_unconfirmed = (
                machine.unanswered_probes
            ) = 0
        else:
            machine.unanswered_probes += 1
            machine.commands_unconfirmed_since = (
                machine.commands_unconfirmed_since or self._scheduler.now
            )
