"""What reports prove of a machine: that it lives, and whether it hears what it is told.

Copies of a report may come late, seconds to well over a lease, at any node, also when its
machine is long gone. And a machine may be heard that hears nothing: it reports, no answer and
no command reaches it, and when its lease is over it looks empty and well. So what a report
says counts only if it is newer than all that is known (``Core.observe``), a lease is prolonged
only by a report that is newer than every other *report*, and that a machine hears is shown
by what it does after it was told something:

- a report within the time a worker waits for an answer after the one before: it got one;
- an answer to a direct command or question.

A worker has one report under way at a time and drops an answer after 4 s, so nobody reads
the answer to any but its newest report. Its lease counts from when that was sent, which is
no later than when the first copy of it came. ``docs/design-hearing.md`` goes through every
use of a report.
"""

from __future__ import annotations

import math

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import SchedulerView
from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, Heartbeat
from appleshift.state.cluster_state import UP, Machine


class MachineLiveness:
    """Part of the fleet; owned by the core's routine."""

    def __init__(self, scheduler: SchedulerView) -> None:
        self._scheduler = scheduler
        self._started = scheduler.now
        self._heartbeats_lost_after_s = scheduler.settings.deployment.workers.lease_s / 2

    def is_new_heartbeat(self, machine: Machine, heartbeat: Heartbeat) -> bool:
        """A report came; true if no copy of it, nor a newer one, was there before."""
        # With its session: an answer to a question may have told of a new one before, in
        # which numbers begin anew. What was renewed there once counted as copies.
        number = (heartbeat.agent_epoch, heartbeat.seq)
        if number <= machine.last_heartbeat:
            return False
        now = self._scheduler.now
        if machine.last_heartbeat_at > -math.inf:
            hears = now - machine.last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        else:
            # Those that a leader before us knew heard it. A new one shows it first.
            hears = machine.status == UP
        self._record_heartbeat(machine, now, hears)
        machine.last_heartbeat = number
        machine.heartbeats_lost = False
        if not hears and heartbeat.addr and not machine.probe_in_flight:
            machine.probe_in_flight = True
            self._scheduler.actions.append(ProbeMachine(machine.name, heartbeat.addr))
        return True

    @staticmethod
    def _record_heartbeat(machine: Machine, at: float, hears: bool) -> None:
        machine.last_heartbeat_at = at
        if hears:
            machine.commands_lost_since = machine.heartbeats_since_unreachable = (
                machine.unanswered_probes
            ) = 0
            return
        machine.heartbeats_since_unreachable += 1
        if machine.heartbeats_since_unreachable == 1:
            # What it did not answer while nothing came from it says nothing of now.
            machine.commands_lost_since, machine.unanswered_probes = at, 0

    def apply_fast_path(self, machine: Machine) -> None:
        """Take in what reports that said nothing new have left."""
        cell = machine.fast_path_entry
        if cell is not None:
            at, agent_epoch, seq, hears = cell.last_answered
            # Whatever else was heard meanwhile: the answer to a direct command is later,
            # but renews no lease. When only later times counted, leases that had been
            # renewed here were taken for over, and eight tasks ran twice on one day.
            machine.lease_until = max(machine.lease_until, at + self._scheduler.worker_lease_s)
            if at > machine.last_heartbeat_at:
                self._record_heartbeat(machine, at, hears)
                machine.last_heard = max(machine.last_heard, at)
            if agent_epoch == machine.agent_epoch:
                machine.seq = max(machine.seq, seq)
            machine.last_heartbeat = max(machine.last_heartbeat, (agent_epoch, seq))
        # One whose reports are lost may answer, but its lease will be over.
        machine.heartbeats_lost = (
            self._scheduler.now - max(machine.last_heartbeat_at, self._started)
            > self._heartbeats_lost_after_s
        )

    def command_result(self, machine: Machine, reached: bool) -> None:
        """A direct command or question was answered, or was not."""
        if reached:
            machine.commands_lost_since = machine.heartbeats_since_unreachable = (
                machine.unanswered_probes
            ) = 0
        else:
            machine.unanswered_probes += 1
            machine.commands_lost_since = machine.commands_lost_since or self._scheduler.now
