"""What workers are told: in answers to their reports, and directly.

All commands can be repeated; what is ordered again and again is therefore
worked out from the tables each time rather than kept in a queue.
"""

from __future__ import annotations

from typing import Any

from appleshift.contracts.actions import SendCommands
from appleshift.contracts.interfaces import SchedulerView
from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat
from appleshift.state.cluster_state import ASSIGNED, EXITED, Machine

RESEND_INTERVAL_S = 1.0
"""A command without visible effect is pushed again after this long."""
MAX_COMMANDS = 400
"""A worker's answer is limited to 64 KiB; the rest follows with the next one."""


class WorkerCommands:
    """Part of the core: the machines that have something to be told."""

    def __init__(self, scheduler: SchedulerView) -> None:
        self._scheduler = scheduler
        self._due_machines: set[int] = set()

    def __len__(self) -> int:
        return len(self._due_machines)

    def schedule_send(self, machine: Machine) -> None:
        """Do not wait for this machine's next report."""
        self._due_machines.add(machine.index)
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.expected = None

    def for_heartbeat(self, machine: Machine) -> list[dict[str, Any]]:
        """Commands for the answer to a report: all of them, for the report
        shows what has not arrived yet."""
        self._due_machines.discard(machine.index)
        return self._commands(machine, again=True)[0]

    @staticmethod
    def stop_commands(machine: Machine) -> list[dict[str, Any]]:
        """Only what has to end, for an answer to a report that may be a copy: nobody may
        read it, so nothing counts as told by it."""
        ending = [
            workers.stop_command(run.name, run.attempt, run.stop_grace_s)
            for run in machine.runs.values()
            if run.stop_grace_s is not None and run.state not in (ASSIGNED, EXITED)
        ]
        strays = [
            workers.stop_command(*key, 0.0)
            for key, exited in machine.unknown_runs.items()
            if not exited
        ]
        return (ending + strays)[:MAX_COMMANDS]

    def _commands(
        self, machine: Machine, again: bool
    ) -> tuple[list[dict[str, Any]], tuple[tuple[str, int], ...]]:
        """Commands for a worker; all of them can be repeated.

        ``again`` repeats what was sent before: answers to reports do, since
        the report shows what has not arrived yet.
        """
        commands: list[dict[str, Any]] = []
        starts: list[tuple[str, int]] = []
        cancel_s = self._scheduler.settings.deployment.workers.cancel_s
        for key, run in machine.runs.items():
            if len(commands) >= MAX_COMMANDS:
                break
            if run.agent_epoch != machine.agent_epoch or not run.assignment_durable:
                continue
            if run.state == EXITED:
                if run.exit_durable and not run.unconfirmed_starts:
                    commands.append(workers.clear_command(run.name, run.attempt))
                continue
            if run.state == ASSIGNED:
                if run.stop_grace_s is not None and not run.ordered_this_term:
                    # An earlier leader's start, perhaps of a job cancelled long
                    # ago: the worker's next reports show it, or that it is void.
                    continue
                if (
                    run.stop_grace_s is not None
                    and self._scheduler.now - run.stop_ordered_at > cancel_s * 0.5
                ):
                    # Too late to start anything of a cancelled job: if the
                    # start does not show itself, the machine is given up.
                    continue
                if again or run.stop_grace_s is not None or not run.start_sent:
                    commands.append(workers.start_command(run.name, run.attempt))
                    starts.append(key)
                    run.start_sent = run.ordered_this_term = True
                if run.stop_grace_s is not None:
                    # Started and ended at once: the worker then knows the
                    # attempt, and a start still under way does nothing.
                    commands.append(workers.stop_command(run.name, run.attempt, 0.0))
                continue
            if run.stop_grace_s is not None:
                commands.append(workers.stop_command(run.name, run.attempt, run.stop_grace_s))
        for (name, attempt), exited in machine.unknown_runs.items():
            if len(commands) >= MAX_COMMANDS:
                break
            if exited:
                commands.append(workers.clear_command(name, attempt))
            else:
                commands.append(workers.stop_command(name, attempt, 0.0))
        return commands, tuple(starts)

    def commands_sent(
        self,
        name: str,
        agent_epoch: int,
        starts: tuple[tuple[str, int], ...],
        outcome: str,
        heartbeat: Heartbeat | None,
    ) -> None:
        """What became of a direct command: ``done``, ``refused`` or ``unknown``."""
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
        # As good as an unanswered probe, or an answered one.
        self._scheduler.liveness.command_result(machine, outcome != "unknown")
        if outcome != "done":
            machine.avoid_until = max(machine.avoid_until, self._scheduler.now + RESEND_INTERVAL_S)

    def send(self) -> None:
        """Tell workers at once what their next report would tell them later."""
        if not self._due_machines or not self._scheduler.lease.may_answer(self._scheduler.now):
            return
        for index in list(self._due_machines):
            machine = self._scheduler.cluster.machines.get(index)
            if (
                machine is None
                or machine.deletion_requested
                or not machine.addr
                or not machine.agent_epoch
            ):
                self._due_machines.discard(index)
                continue
            if machine.commands_in_flight:
                continue
            self._due_machines.discard(index)
            commands, starts = self._commands(machine, again=False)
            if not commands:
                continue
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
