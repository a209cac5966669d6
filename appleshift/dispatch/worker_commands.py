"""Commands to workers: in responses to heartbeats, or sent directly.

Commands are idempotent and repeated until they take effect. They are derived from the
cluster state each time instead of being kept in a queue.
"""

from __future__ import annotations

import logging
from typing import Any

from appleshift.contracts.actions import SendCommands
from appleshift.contracts.interfaces import SchedulerView
from appleshift.dispatch.command_counts import LOG_INTERVAL_S, CommandCounts
from appleshift.dispatch.start_fencing import (
    may_clear,
    may_clear_unknown,
    needs_higher_token,
    record_start,
)
from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat
from appleshift.state.entities import Machine, TaskRun
from appleshift.state.states import ASSIGNED, EXITED

log = logging.getLogger(__name__)

RESEND_INTERVAL_S = 1.0
"""Seconds after which a command without visible effect is sent again.

A machine whose direct command failed gets no new tasks for this long.
"""
MAX_COMMANDS = 400
"""Maximum number of commands in one response, which is limited to 64 KiB.

The remaining commands are sent with the next response.
"""
CANCEL_TIME_SHARE_FOR_START = 0.5
"""Share of the cancellation deadline (``cancel_s``) in which a cancelled task's start is sent."""


class WorkerCommands:
    """The part of the scheduler that derives commands to workers.

    It tracks the machines to which commands are due directly.
    """

    def __init__(self, scheduler: SchedulerView) -> None:
        """Derive commands from the cluster state of ``scheduler``."""
        self._scheduler = scheduler
        self._due_machines: set[int] = set()
        self._counts = CommandCounts(scheduler.now + LOG_INTERVAL_S)

    def __len__(self) -> int:
        """Return the number of machines to which commands are due."""
        return len(self._due_machines)

    def schedule_send(self, machine: Machine) -> None:
        """Schedule commands to be sent to a machine directly, before its next heartbeat.

        The fast path does not answer that heartbeat, so that the scheduler can add commands.
        """
        self._due_machines.add(machine.index)
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.expected = None

    def for_heartbeat(self, machine: Machine) -> list[dict[str, Any]]:
        """Return the commands for the response to a heartbeat.

        Starts that were sent before are included if the heartbeat does not list the task.
        """
        self._due_machines.discard(machine.index)
        if needs_higher_token(machine, self._scheduler.fencing_token_for(machine)):
            self._scheduler.raise_fencing_token(machine)
            self._counts.tokens_raised += 1
        commands = self._derive_commands(machine, resend=True)
        if commands:
            log.debug(
                "commands in heartbeat response machine=%s epoch=%d seq=%d token=%d commands=%s",
                machine.name,
                *machine.last_heartbeat_id,
                self._scheduler.fencing_token_for(machine),
                commands,
            )
        return commands

    @staticmethod
    def stop_commands(machine: Machine) -> list[dict[str, Any]]:
        """Return only the stop commands, for the response to a duplicate heartbeat.

        The worker may not receive that response, so no command is marked as sent.
        """
        stops = [
            workers.stop_command(run.name, run.attempt, run.stop_grace_s)
            for run in machine.runs.values()
            if run.stop_grace_s is not None and run.state not in (ASSIGNED, EXITED)
        ]
        unknown_stops = [
            workers.stop_command(*key, 0.0)
            for key, exited in machine.unknown_runs.items()
            if not exited
        ]
        return (stops + unknown_stops)[:MAX_COMMANDS]

    def _derive_commands(self, machine: Machine, resend: bool) -> list[dict[str, Any]]:
        """Return the commands for a worker, and record which attempts they start.

        ``resend``: include starts that were sent before and are not in a heartbeat yet.
        """
        commands: list[dict[str, Any]] = []
        token = self._scheduler.fencing_token_for(machine)
        clears_unknown = may_clear_unknown(machine, token)
        for run in machine.runs.values():
            if len(commands) >= MAX_COMMANDS:
                break
            if run.agent_epoch != machine.agent_epoch or not run.assignment_durable:
                continue
            if run.state == EXITED:
                if run.exit_durable and may_clear(run, token):
                    commands.append(workers.clear_command(run.name, run.attempt))
            elif run.state == ASSIGNED:
                if self._add_start_commands(run, resend, commands):
                    record_start(machine, run, token)
            elif run.stop_grace_s is not None:
                commands.append(workers.stop_command(run.name, run.attempt, run.stop_grace_s))
        if machine.unknown_runs:
            _add_commands_for_unknown_runs(machine, clears_unknown, commands)
        return commands

    def _add_start_commands(
        self, run: TaskRun, resend: bool, commands: list[dict[str, Any]]
    ) -> bool:
        """Add the commands for an assigned task; return whether they include a start."""
        if run.stop_grace_s is None:
            if run.start_sent and not resend:
                return False
            commands.append(workers.start_command(run.name, run.attempt))
            run.start_sent = run.ordered_this_term = True
            return True
        if not run.ordered_this_term:
            # An earlier leader assigned the task, whose job may have been cancelled long ago.
            # The worker's next heartbeats show whether its start command took effect.
            return False
        cancel_s = self._scheduler.settings.deployment.workers.cancel_s
        if self._scheduler.now - run.stop_ordered_at > cancel_s * CANCEL_TIME_SHARE_FOR_START:
            # Too late to start a cancelled task. If no heartbeat shows whether an earlier
            # start command took effect, the machine is deleted.
            return False
        # Start and stop the task at once: the worker then has a state for the attempt, so
        # that a start command still in flight has no effect.
        commands.append(workers.start_command(run.name, run.attempt))
        run.start_sent = run.ordered_this_term = True
        commands.append(workers.stop_command(run.name, run.attempt, 0.0))
        return True

    def commands_sent(
        self,
        name: str,
        agent_epoch: int,
        outcome: str,
        heartbeat: Heartbeat | None,
    ) -> None:
        """Handle the outcome of direct commands: ``done``, ``refused`` or ``unknown``.

        ``heartbeat``: from the worker's response, if it has one.
        """
        self._counts.record_result(outcome)
        machine = self._scheduler.cluster.machine(name)
        if machine is None:
            return
        machine.commands_in_flight = False
        log.debug(
            "direct commands answered machine=%s outcome=%s epoch=%d worker_epoch=%s seq=%s"
            " token=%s",
            name,
            outcome,
            agent_epoch,
            heartbeat and heartbeat.agent_epoch,
            heartbeat and heartbeat.seq,
            heartbeat and heartbeat.fencing_token,
        )
        if (
            heartbeat is not None
            and heartbeat.machine == name
            and heartbeat.agent_epoch >= machine.agent_epoch
        ):
            self._scheduler.reconcile(machine, heartbeat)
        # A response counts like one to a probe, and its absence like an unanswered probe.
        self._scheduler.liveness.record_command_result(machine, outcome != "unknown")
        if outcome != "done" and not self._was_overtaken(machine, outcome, agent_epoch, heartbeat):
            machine.avoid_until = max(machine.avoid_until, self._scheduler.now + RESEND_INTERVAL_S)

    def _was_overtaken(
        self, machine: Machine, outcome: str, agent_epoch: int, heartbeat: Heartbeat | None
    ) -> bool:
        """Return whether direct commands were refused only for a later response to a heartbeat.

        That response raised the token, and repeated the starts among the commands.
        """
        return (
            outcome == "refused"
            and heartbeat is not None
            and heartbeat.agent_epoch == agent_epoch
            and heartbeat.fencing_token <= self._scheduler.fencing_token_for(machine)
        )

    def send_due(self) -> None:
        """Send due commands directly instead of in the responses to the next heartbeats."""
        self._counts.log_if_due(self._scheduler.now, self._scheduler.fencing_token)
        if not self._due_machines or not self._scheduler.lease.may_answer(self._scheduler.now):
            return
        for index in list(self._due_machines):
            machine = self._scheduler.cluster.machines.get(index)
            if machine is None or not _accepts_commands(machine):
                self._due_machines.discard(index)
            elif not machine.commands_in_flight:
                self._due_machines.discard(index)
                self._send_to(machine)

    def _send_to(self, machine: Machine) -> None:
        commands = self._derive_commands(machine, resend=False)
        if not commands:
            return
        machine.commands_in_flight = True
        self._counts.sent += 1
        token = self._scheduler.fencing_token_for(machine)
        log.debug(
            "commands sent directly machine=%s epoch=%d token=%d commands=%s",
            machine.name,
            machine.agent_epoch,
            token,
            commands,
        )
        self._scheduler.actions.append(
            SendCommands(machine.name, machine.addr, machine.agent_epoch, commands, token)
        )


def _accepts_commands(machine: Machine) -> bool:
    """Return whether a machine has an address and agent epoch and is not being deleted."""
    return bool(not machine.deletion_requested and machine.addr and machine.agent_epoch)


def _add_commands_for_unknown_runs(
    machine: Machine, clears_unknown: bool, commands: list[dict[str, Any]]
) -> None:
    """Add commands that stop unassigned task attempts, or clear them if they may be cleared."""
    for (name, attempt), exited in machine.unknown_runs.items():
        if len(commands) >= MAX_COMMANDS:
            return
        if not exited:
            commands.append(workers.stop_command(name, attempt, 0.0))
        elif clears_unknown:
            commands.append(workers.clear_command(name, attempt))
