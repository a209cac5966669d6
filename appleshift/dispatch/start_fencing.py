"""Fences start commands, so that no copy of a start runs an attempt that was cleared.

A direct command may reach the worker again after it was executed and answered, at any time
while its token and agent epoch match. A start of an attempt that the worker lists does
nothing, but a worker that has cleared an attempt runs it again. Therefore an attempt is
cleared only under a higher token than any message that carried its start: the worker then
rejects every copy.

The token of a machine is raised in the response to a heartbeat. The worker has one heartbeat
in flight, so it has read or given up the responses before, and no response that renews its
lease is rejected. A direct command that the response overtakes is rejected; the response
repeats its starts.
"""

from __future__ import annotations

from appleshift.state.entities import Machine, TaskRun
from appleshift.state.states import EXITED


def record_start(machine: Machine, run: TaskRun, token: int) -> None:
    """Record that a message with this token carries the start of a task attempt."""
    run.start_token = machine.start_token = token


def may_clear(run: TaskRun, token: int) -> bool:
    """Return whether a message with this token may clear a task attempt that exited."""
    return run.start_token < token


def may_clear_unknown(machine: Machine, token: int) -> bool:
    """Return whether a message with this token may clear attempts unknown to the leader."""
    return machine.start_token < token


def needs_higher_token(machine: Machine, token: int) -> bool:
    """Return whether attempts on a machine can be cleared only under a higher token."""
    if may_clear_unknown(machine, token):
        return False
    return bool(machine.unknown_runs) or any(
        run.state == EXITED and not may_clear(run, token) for run in machine.runs.values()
    )
