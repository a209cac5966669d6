"""Tracks from heartbeats and probes whether a machine is up and whether commands reach it.

Copies of a heartbeat may arrive at any node late, from seconds to well over a lease, even when
the machine was deleted long ago. A machine may also send heartbeats while no response or
command reaches it; when its lease expires, such a machine seems empty and healthy. Therefore:

- The contents of a heartbeat count only if it is newer than everything received before
  (``Scheduler.reconcile``).
- A lease is renewed only by a heartbeat that is newer than every other *heartbeat*.
- Commands reach a machine if it sends a heartbeat within the time that a worker waits for the
  response to the previous heartbeat, which shows that it received that response, or if it
  answers a direct command or a probe.

A worker has one heartbeat in flight at a time and drops a response after 4 s, so it reads only
the response to its newest heartbeat. The worker's lease starts when it sends that heartbeat,
which is no later than the arrival of its first copy. ``docs/design-hearing.md`` describes every
use of a heartbeat.
"""

from __future__ import annotations

import math

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import SchedulerView
from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, Heartbeat
from appleshift.state.entities import Machine
from appleshift.state.states import UP


class MachineLiveness:
    """Tracks heartbeats of machines and results of commands.

    Used by the scheduler's thread only.
    """

    def __init__(self, scheduler: SchedulerView) -> None:
        """Start a term, without the heartbeats that earlier leaders received."""
        self._scheduler = scheduler
        self._started = scheduler.now
        self._heartbeats_lost_after_s = scheduler.settings.deployment.workers.lease_s / 2

    def record_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return false if it, or a newer one, was received before.

        Probes the machine if it is not known whether commands reach it.
        """
        # The agent epoch is compared first, since sequence numbers restart in each epoch and the
        # answer to a probe may show a new epoch before its first heartbeat arrives. Heartbeats
        # of a new epoch were once treated as copies and renewed no lease.
        position = (heartbeat.agent_epoch, heartbeat.seq)
        if position <= machine.last_heartbeat_id:
            return False
        now = self._scheduler.now
        if machine.last_heartbeat_at > -math.inf:
            commands_arrive = now - machine.last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        else:
            # Commands of an earlier leader reached the machines that were up. A new machine
            # must first show that commands reach it.
            commands_arrive = machine.status == UP
        self._update_reachability(machine, now, commands_arrive)
        machine.last_heartbeat_id = position
        machine.without_heartbeats = False
        if not commands_arrive and heartbeat.addr and not machine.probe_in_flight:
            machine.probe_in_flight = True
            self._scheduler.actions.append(ProbeMachine(machine.name, heartbeat.addr))
        return True

    @staticmethod
    def _update_reachability(machine: Machine, at: float, commands_arrive: bool) -> None:
        """Record the time of a heartbeat, and whether commands reach its machine."""
        machine.last_heartbeat_at = at
        if commands_arrive:
            machine.commands_unconfirmed_since = machine.heartbeats_while_unconfirmed = (
                machine.unanswered_probes
            ) = 0
            return
        machine.heartbeats_while_unconfirmed += 1
        if machine.heartbeats_while_unconfirmed == 1:
            # Probes left unanswered before this heartbeat do not show that the machine is
            # unreachable now.
            machine.commands_unconfirmed_since, machine.unanswered_probes = at, 0

    def apply_fast_path_entry(self, machine: Machine) -> None:
        """Apply the heartbeats that the fast path recorded for a machine.

        The fast path answers heartbeats that report no change.
        """
        entry = machine.fast_path_entry
        if entry is not None:
            at, agent_epoch, seq, commands_arrive = entry.last_answered
            # Extend the lease even if something newer arrived meanwhile: the answer to a direct
            # command may be newer, but it renews no lease. When only newer entries were
            # applied, leases renewed on the fast path were treated as expired, and eight
            # tasks ran twice on one day.
            machine.lease_until = max(machine.lease_until, at + self._scheduler.worker_lease_s)
            if at > machine.last_heartbeat_at:
                self._update_reachability(machine, at, commands_arrive)
                machine.last_contact_at = max(machine.last_contact_at, at)
            if agent_epoch == machine.agent_epoch:
                machine.seq = max(machine.seq, seq)
            machine.last_heartbeat_id = max(machine.last_heartbeat_id, (agent_epoch, seq))
        # A machine whose heartbeats are lost may still answer probes, but its lease expires.
        machine.without_heartbeats = (
            self._scheduler.now - max(machine.last_heartbeat_at, self._started)
            > self._heartbeats_lost_after_s
        )

    def record_command_result(self, machine: Machine, reached: bool) -> None:
        """Record whether a machine answered a direct command or a probe."""
        if reached:
            machine.commands_unconfirmed_since = machine.heartbeats_while_unconfirmed = (
                machine.unanswered_probes
            ) = 0
        else:
            machine.unanswered_probes += 1
            machine.commands_unconfirmed_since = (
                machine.commands_unconfirmed_since or self._scheduler.now
            )
