"""Messages between workers and controller nodes. ``rename`` maps to wire names."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from appleshift.protocol.wire import decode_as

FETCHING = "fetching"
WAITING = "waiting"
RUNNING = "running"
SAVING = "saving"
EXITED = "exited"

HEARTBEAT_TIMEOUT_S = 4.0
"""Seconds for which a worker waits for the response to a heartbeat; then it tries the next node."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskStatus(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "exit_reason": "cause"},
):
    """The state of a task attempt at its worker."""

    task: str
    attempt: Count
    state: str
    exit_reason: str | None = None
    saved: bool | None = None
    """Of a task that was stopped by command: whether its progress was saved."""


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
    """The state of a worker. Of two, that with the larger (``agent_epoch``, ``seq``) is newer."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: Count
    """Starts at 1 and is raised whenever the worker's lease expires."""
    seq: Count
    fencing_token: Count
    """The highest fencing token that the worker has received."""
    tasks: list[TaskStatus]
    reclaim_in_s: float | None = None
    """Seconds until the cloud takes a spot instance back, once it has announced that."""


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
    """A heartbeat decoded in part: its tasks stay encoded."""

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
    """Decode a heartbeat without its tasks; ProtocolError if malformed."""
    return decode_as(_header_decoder, body)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a whole heartbeat; ProtocolError if malformed."""
    return decode_as(_heartbeat_decoder, body)


def start_command(task: str, attempt: int) -> dict[str, Any]:
    """Command to start a task attempt."""
    return {"verb": "run", "piece": task, "try": attempt}


def stop_command(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    """Command to stop a task attempt, which has ``grace_s`` seconds to write a checkpoint."""
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def clear_command(task: str, attempt: int) -> dict[str, Any]:
    """Command to forget a task attempt that has ended."""
    return {"verb": "clear", "piece": task, "try": attempt}


def heartbeat_response(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Body of the response to a heartbeat."""
    return {"baton": fencing_token, "orders": commands}


def direct_command_body(
    fencing_token: int, agent_epoch: int, commands: list[dict[str, Any]]
) -> dict[str, Any]:
    """Body of a request that sends commands to a worker between its heartbeats."""
    return {"baton": fencing_token, "shift": agent_epoch, "orders": commands}


def redirect_body(leader: str | None) -> dict[str, Any]:
    """Body that redirects a worker to the leader, which is left out if it is not known."""
    return {} if leader is None else {"foreman": leader}
