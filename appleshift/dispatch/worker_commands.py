"""What workers are told: in answers to their reports, and directly.

All commands can be repeated; what is ordered again and again is therefore
worked out from the tables each time rather than kept in a queue.
"""

from __future__ import annotations

from typing import Any

from appleshift.contracts.actions import Push
from appleshift.contracts.interfaces import Term
from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat
from appleshift.state.cluster_state import ASSIGNED, EXITED, Machine

REORDER_S = 1.0
"""A command without visible effect is pushed again after this long."""
MAX_COMMANDS = 400
"""A worker's answer is limited to 64 KiB; the rest follows with the next one."""


class Orders:
    """Part of the core: the machines that have something to be told."""

    def __init__(self, core: Term) -> None:
        self._core = core
        self._due: set[int] = set()

    def __len__(self) -> int:
        return len(self._due)

    def due(self, machine: Machine) -> None:
        """Do not wait for this machine's next report."""
        self._due.add(machine.index)
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.known = None

    def answer(self, machine: Machine) -> list[dict[str, Any]]:
        """Commands for the answer to a report: all of them, for the report
        shows what has not arrived yet."""
        self._due.discard(machine.index)
        return self._commands(machine, again=True)[0]

    @staticmethod
    def ends(machine: Machine) -> list[dict[str, Any]]:
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
        cancel_s = self._core.settings.deployment.workers.cancel_s
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
                    and self._core.now - run.stop_ordered_at > cancel_s * 0.5
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

    def pushed(
        self,
        name: str,
        session: int,
        starts: tuple[tuple[str, int], ...],
        outcome: str,
        report: Heartbeat | None,
    ) -> None:
        """What became of a direct command: ``done``, ``refused`` or ``unknown``."""
        machine = self._core.cluster.machine(name)
        if machine is None:
            return
        machine.commands_in_flight = False
        for key in starts:
            run = machine.runs.get(key)
            if run is not None and run.agent_epoch == session:
                run.unconfirmed_starts -= outcome != "unknown"
        if (
            report is not None
            and report.machine == name
            and report.agent_epoch >= machine.agent_epoch
        ):
            self._core.observe(machine, report)
        # As good as an unanswered probe, or an answered one.
        self._core.hearing.command_result(machine, outcome != "unknown")
        if outcome != "done":
            machine.avoid_until = max(machine.avoid_until, self._core.now + REORDER_S)

    def send(self) -> None:
        """Tell workers at once what their next report would tell them later."""
        if not self._due or not self._core.authority.may_answer(self._core.now):
            return
        for index in list(self._due):
            machine = self._core.cluster.machines.get(index)
            if (
                machine is None
                or machine.deletion_requested
                or not machine.addr
                or not machine.agent_epoch
            ):
                self._due.discard(index)
                continue
            if machine.commands_in_flight:
                continue
            self._due.discard(index)
            commands, starts = self._commands(machine, again=False)
            if not commands:
                continue
            for key in starts:
                machine.runs[key].unconfirmed_starts += 1
            machine.commands_in_flight = True
            self._core.effects.append(
                Push(
                    machine.name,
                    machine.addr,
                    machine.agent_epoch,
                    commands,
                    starts,
                    self._core.token_for(machine),
                )
            )
