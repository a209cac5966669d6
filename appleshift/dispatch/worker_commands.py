"""Commands to workers: in responses to their heartbeats, and sent directly.

All commands can be repeated; what is ordered again and again is therefore derived from the
cluster's state each time rather than kept in a queue.
"""

from __future__ import annotations

from typing import Any

from appleshift.contracts.actions import SendCommands
from appleshift.contracts.interfaces import SchedulerView
from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat
from appleshift.state.entities import Machine, TaskRun
from appleshift.state.states import ASSIGNED, EXITED

RESEND_INTERVAL_S = 1.0
"""A command without visible effect is sent again after so many seconds."""
MAX_COMMANDS = 400
"""Commands in one response, which is limited to 64 KiB; the rest follows with the next one."""
CANCEL_TIME_SHARE_FOR_START = 0.5
"""Share of the time to cancel a task in which its start is still sent."""


class WorkerCommands:
    """Part of the scheduler: derives commands and tracks to which machines some are due."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Start a term without due commands."""
        self._scheduler = scheduler
        self._due_machines: set[int] = set()

    def __len__(self) -> int:
        """How many machines have commands due."""
        return len(self._due_machines)

    def schedule_send(self, machine: Machine) -> None:
        """Send a machine's commands directly rather than wait for its next heartbeat."""
        self._due_machines.add(machine.index)
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.expected = None

    def for_heartbeat(self, machine: Machine) -> list[dict[str, Any]]:
        """Commands for the response to a heartbeat.

        All of them, for the heartbeat shows what has not arrived yet.
        """
        self._due_machines.discard(machine.index)
        return self._commands(machine, resend=True)[0]

    @staticmethod
    def stop_commands(machine: Machine) -> list[dict[str, Any]]:
        """Only the stops, for the response to a heartbeat that may be a copy.

        Nobody may read that response, so nothing counts as sent by it.
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

    def _commands(
        self, machine: Machine, resend: bool
    ) -> tuple[list[dict[str, Any]], tuple[tuple[str, int], ...]]:
        """Commands for a worker, and the (task, attempt) keys of the starts among them.

        ``resend`` repeats starts that were sent before: responses to heartbeats do, since
        the heartbeat shows what has not arrived yet.
        """
        commands: list[dict[str, Any]] = []
        starts: list[tuple[str, int]] = []
        for key, run in machine.runs.items():
            if len(commands) >= MAX_COMMANDS:
                break
            if run.agent_epoch != machine.agent_epoch or not run.assignment_durable:
                continue
            if run.state == EXITED:
                if run.exit_durable and not run.unconfirmed_starts:
                    commands.append(workers.clear_command(run.name, run.attempt))
            elif run.state == ASSIGNED:
                if self._add_start(run, resend, commands):
                    starts.append(key)
            elif run.stop_grace_s is not None:
                commands.append(workers.stop_command(run.name, run.attempt, run.stop_grace_s))
        if machine.unknown_runs:
            _add_unknown_runs(machine, commands)
        return commands, tuple(starts)

    def _add_start(self, run: TaskRun, resend: bool, commands: list[dict[str, Any]]) -> bool:
        """Add the commands for an assigned task; returns whether a start is among them."""
        if run.stop_grace_s is None:
            if run.start_sent and not resend:
                return False
            commands.append(workers.start_command(run.name, run.attempt))
            run.start_sent = run.ordered_this_term = True
            return True
        if not run.ordered_this_term:
            # An earlier leader's start, perhaps of a job that was cancelled long ago: the
            # worker's next heartbeats show it, or that it is void.
            return False
        cancel_s = self._scheduler.settings.deployment.workers.cancel_s
        if self._scheduler.now - run.stop_ordered_at > cancel_s * CANCEL_TIME_SHARE_FOR_START:
            # Too late to start anything of a cancelled job: if the start does not show
            # itself, the machine is given up.
            return False
        # Started and stopped at once: the worker then knows the attempt, and a start that
        # is still in flight does nothing.
        commands.append(workers.start_command(run.name, run.attempt))
        run.start_sent = run.ordered_this_term = True
        commands.append(workers.stop_command(run.name, run.attempt, 0.0))
        return True

    def commands_sent(
        self,
        name: str,
        agent_epoch: int,
        starts: tuple[tuple[str, int], ...],
        outcome: str,
        heartbeat: Heartbeat | None,
    ) -> None:
        """Handle the outcome of direct commands: ``done``, ``refused`` or ``unknown``.

        ``starts`` are those that were among them; ``heartbeat`` came with the answer.
        """
        machine = self._scheduler.cluster.machine(name)
        if machine is None:
            return
        machine.commands_in_flight = False
        for key in starts:
            run = machine.runs.get(key)
            if run is not None and run.agent_epoch == agent_epoch:
                run.unconfirmed_starts -= outcome != "unknown"
        if (
            heartbeat is not None
            and heartbeat.machine == name
            and heartbeat.agent_epoch >= machine.agent_epoch
        ):
            self._scheduler.reconcile(machine, heartbeat)
        # Counts like a probe that was answered or not.
        self._scheduler.liveness.command_result(machine, outcome != "unknown")
        if outcome != "done":
            machine.avoid_until = max(machine.avoid_until, self._scheduler.now + RESEND_INTERVAL_S)

    def send_due(self) -> None:
        """Send due commands directly that the next heartbeats' responses would hold."""
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
        commands, starts = self._commands(machine, resend=False)
        if not commands:
            return
        for key in starts:
            machine.runs[key].unconfirmed_starts += 1
        machine.commands_in_flight = True
        self._scheduler.actions.append(
            SendCommands(
                machine.name,
                machine.addr,
                machine.agent_epoch,
                commands,
                starts,
                self._scheduler.fencing_token_for(machine),
            )
        )


def _accepts_commands(machine: Machine) -> bool:
    """Whether a machine is up and known well enough to send it commands."""
    return bool(not machine.deletion_requested and machine.addr and machine.agent_epoch)


def _add_unknown_runs(machine: Machine, commands: list[dict[str, Any]]) -> None:
    """Stop tasks on a machine that were never assigned to it, and clear those that exited."""
    for (name, attempt), exited in machine.unknown_runs.items():
        if len(commands) >= MAX_COMMANDS:
            return
        if exited:
            commands.append(workers.clear_command(name, attempt))
        else:
            commands.append(workers.stop_command(name, attempt, 0.0))
