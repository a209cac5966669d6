"""Messages between workers and controller nodes.

``rename`` maps attributes to wire names.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from appleshift.protocol.wire import MAX_BODY_BYTES, decode_as

FETCHING = "fetching"
WAITING = "waiting"
RUNNING = "running"
SAVING = "saving"
EXITED = "exited"

HEARTBEAT_TIMEOUT_S = 4.0
"""Timeout of a worker's heartbeat, in seconds; the worker then tries the next node."""

Count = Annotated[int, msgspec.Meta(ge=0)]


MAX_HEARTBEAT_HEADER_BYTES = 2_048
"""The most that a heartbeat takes without its tasks: names of up to 200 characters."""
MAX_TASK_NAME_BYTES = 30
"""The longest id of a job (24), a slash and the largest task number (5)."""
MAX_ATTEMPT_DIGITS = 10
MAX_TASK_STATUS_BYTES = (
    len('{"piece":"","try":,"status":"exited","cause":"stopped","saved":false},')
    + MAX_TASK_NAME_BYTES
    + MAX_ATTEMPT_DIGITS
)
"""The most that a task takes in a heartbeat."""
MAX_TASKS_PER_HEARTBEAT = (MAX_BODY_BYTES - MAX_HEARTBEAT_HEADER_BYTES) // MAX_TASK_STATUS_BYTES
"""Tasks that a heartbeat can list. A machine with more loses its lease: no node may read its
heartbeats."""


class TaskStatus(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "exit_reason": "cause"},
):
    """The state of a task attempt, as reported by its worker."""

    task: str
    attempt: Count
    state: str
    exit_reason: str | None = None
    saved: bool | None = None
    """Whether a task that was stopped by a command wrote a checkpoint; None: not reported."""


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    rename={
        "machine": "rig",
        "type": "rig_kind",
        "zone": "yard",
        "spot": "loaners",
        "seq": "tally",
        "tasks": "pieces",
        "agent_epoch": "shift",
        "fencing_token": "baton",
        "reclaim_in_s": "recall_in_s",
    },
):
    """A worker's report of its state; the newest one has the largest (``agent_epoch``, ``seq``)."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: Count
    """Starts at 1 and is increased whenever the worker's lease expires."""
    seq: Count
    fencing_token: Count
    """The highest fencing token that the worker has received."""
    tasks: list[TaskStatus]
    reclaim_in_s: float | None = None
    """Seconds until the cloud reclaims the spot machine; None: no reclaim is announced."""


class HeartbeatHeader(
    msgspec.Struct,
    frozen=True,
    gc=False,
    rename={
        "machine": "rig",
        "type": "rig_kind",
        "seq": "tally",
        "tasks": "pieces",
        "agent_epoch": "shift",
        "fencing_token": "baton",
        "reclaim_in_s": "recall_in_s",
    },
):
    """A partly decoded heartbeat: the task list stays encoded."""

    machine: str
    type: str
    agent_epoch: Count
    seq: Count
    fencing_token: Count
    tasks: msgspec.Raw
    reclaim_in_s: float | None = None


_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)
_header_decoder = msgspec.msgpack.Decoder(HeartbeatHeader)


def decode_heartbeat_header(body: bytes) -> HeartbeatHeader:
    """Decode a heartbeat except its task list; ProtocolError if malformed."""
    return decode_as(_header_decoder, body)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat with its task list; ProtocolError if malformed."""
    return decode_as(_heartbeat_decoder, body)


def start_command(task: str, attempt: int) -> dict[str, Any]:
    """Return the command that starts a task attempt."""
    return {"verb": "run", "piece": task, "try": attempt}


def stop_command(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    """Return the command that stops a task attempt; it has ``grace_s`` seconds to checkpoint."""
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def clear_command(task: str, attempt: int) -> dict[str, Any]:
    """Return the command that removes an ended task attempt from the worker's state."""
    return {"verb": "clear", "piece": task, "try": attempt}


def heartbeat_response(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of the response to a heartbeat."""
    return {"baton": fencing_token, "orders": commands}


def direct_command_body(
    fencing_token: int, agent_epoch: int, commands: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the body of a request that sends commands to a worker between heartbeats."""
    return {"baton": fencing_token, "shift": agent_epoch, "orders": commands}


def redirect_body(leader: str | None) -> dict[str, Any]:
    """Return the body that redirects a worker to the leader; empty if the leader is unknown."""
    return {} if leader is None else {"foreman": leader}
