"""Messages between workers and controller nodes."""

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
"""So long does a worker wait for the answer to a report; then it tries the next node."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskStatus(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "exit_reason": "cause"},
):
    """One task as its worker sees it."""

    task: str
    attempt: Count
    state: str
    exit_reason: str | None = None
    saved: bool | None = None


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
    """All that a worker knows; the larger (session, seq) is the newer."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    agent_epoch: Count
    seq: Count
    fencing_token: Count
    tasks: list[TaskStatus]
    reclaim_in_s: float | None = None


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
    """A report at a glance: its tasks are not looked into."""

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
    return decode_as(_header_decoder, body)


def decode_heartbeat(body: bytes) -> Heartbeat:
    return decode_as(_heartbeat_decoder, body)


def start_command(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "piece": task, "try": attempt}


def stop_command(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def clear_command(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "piece": task, "try": attempt}


def heartbeat_response(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """What a report is answered with."""
    return {"baton": fencing_token, "orders": commands}


def direct_command_body(
    fencing_token: int, agent_epoch: int, commands: list[dict[str, Any]]
) -> dict[str, Any]:
    """Body of a direct command."""
    return {"baton": fencing_token, "shift": agent_epoch, "orders": commands}


def redirect_body(leader: str | None) -> dict[str, Any]:
    """Sends a worker to the leader; an unknown leader is left out."""
    return {} if leader is None else {"foreman": leader}
