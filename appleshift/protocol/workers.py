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

ANSWER_S = 4.0
"""So long does a worker wait for the answer to a report; then it tries the next node."""

Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskReport(
    msgspec.Struct,
    frozen=True,
    rename={"task": "piece", "attempt": "try", "state": "status", "why": "cause"},
):
    """One task as its worker sees it."""

    task: str
    attempt: Count
    state: str
    why: str | None = None
    saved: bool | None = None


class Report(
    msgspec.Struct,
    frozen=True,
    rename={
        "machine": "rig",
        "type": "rig_kind",
        "zone": "yard",
        "spot": "loaners",
        "session": "shift",
        "seq": "tally",
        "token": "baton",
        "notice_s": "recall_in_s",
        "tasks": "pieces",
    },
):
    """All that a worker knows; the larger (session, seq) is the newer."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: Count
    seq: Count
    token: Count
    tasks: list[TaskReport]
    notice_s: float | None = None


class Glance(
    msgspec.Struct,
    frozen=True,
    gc=False,
    rename={
        "machine": "rig",
        "type": "rig_kind",
        "session": "shift",
        "seq": "tally",
        "token": "baton",
        "notice_s": "recall_in_s",
        "tasks": "pieces",
    },
):
    """A report at a glance: its tasks are not looked into."""

    machine: str
    type: str
    session: Count
    seq: Count
    token: Count
    tasks: msgspec.Raw
    notice_s: float | None = None


_report = msgspec.msgpack.Decoder(Report)
_glance = msgspec.msgpack.Decoder(Glance)


def glance(body: bytes) -> Glance:
    return decode_as(_glance, body)


def decode_report(body: bytes) -> Report:
    return decode_as(_report, body)


def start(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "piece": task, "try": attempt}


def stop(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def clear(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "piece": task, "try": attempt}


def answer(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """What a report is answered with."""
    return {"baton": token, "orders": commands}


def direct(token: int, session: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Body of a direct command."""
    return {"baton": token, "shift": session, "orders": commands}


def redirect(leader: str | None) -> dict[str, Any]:
    """Sends a worker to the leader; an unknown leader is left out."""
    return {} if leader is None else {"foreman": leader}
