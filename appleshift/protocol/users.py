"""Messages between users and controller nodes. ``rename`` maps to wire names."""

from __future__ import annotations

import math
import re
from typing import Annotated, Any, Literal

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as

Shape = Literal["array", "ensemble", "daemon"]
Urgency = Literal["critical", "high", "standard", "low"]

ARRAY: Shape = "array"
GANG: Shape = "ensemble"
SERVICE: Shape = "daemon"

PRIORITY_RANKS: dict[str, int] = {"critical": 0, "high": 1, "standard": 2, "low": 3}
"""Priorities as ranks; a smaller rank is placed first."""

PENDING = "pending"
RUNNING = "running"
DONE = "done"
CANCELLED = "aborted"

MAX_TASKS = 100_000
"""Most tasks of one job."""
_ID_FORM = re.compile(r"job-[0-9]{6,20}", re.ASCII)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class Submission(
    msgspec.Struct,
    frozen=True,
    rename={
        "id": "name_id",
        "job_class": "workload",
        "team": "owner",
        "priority": "urgency",
        "tasks": "pieces",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "ram_gb",
        "image": "bundle",
        "types": "rig_kinds",
        "zone": "yard",
        "spot": "loaners",
        "estimate_s": "expected_s",
        "checkpoint_interval_s": "snapshot_every_s",
        "checkpoint_duration_s": "snapshot_cost_s",
        "deadline_s": "due_s",
        "counted_resources": "seats",
    },
):
    """A job as its user describes it.

    ``cpus``, ``gpus`` and ``memory_gb`` (gigabytes) are for each task; names that end in
    ``_s`` are seconds, ``image_gb`` is the size of the image in gigabytes.
    """

    id: Name
    job_class: Name
    team: Name
    shape: Shape
    priority: Urgency
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    together: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_interval_s: Amount
    """Seconds between two checkpoints."""
    checkpoint_duration_s: Amount
    """Seconds that writing a checkpoint takes."""
    types: Annotated[list[Name], msgspec.Meta(max_length=1000)] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None
    counted_resources: Any = None
    """Counted resources: name -> count for each task. Read only where such
    resources are defined (``protocol/counted_resources.py``); elsewhere it is ignored like
    any unknown field, however malformed."""


_submission = msgspec.msgpack.Decoder(Submission)


def is_valid_job_id(job_id: str) -> bool:
    """Whether a job's id has the form that is accepted."""
    return _ID_FORM.fullmatch(job_id) is not None


def decode_submission(body: bytes) -> Submission:
    """Decode a submission; ProtocolError 400 if it is malformed."""
    job = decode_as(_submission, body)
    if not is_valid_job_id(job.id):
        raise ProtocolError(400, "not a job id")
    amounts = (job.cpus, job.gpus, job.memory_gb, job.image_gb, job.estimate_s)
    times = (job.checkpoint_interval_s, job.checkpoint_duration_s, job.deadline_s or 0.0)
    # NaN passes every comparison, so that a range check alone lets it through.
    if not all(math.isfinite(value) for value in amounts + times):
        raise ProtocolError(400, "an amount is not a finite number")
    return job


def status_body(job_id: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """Body that shows a job, with the numbers of tasks that are done and that run."""
    return {"name_id": job_id, "status": status, "done": done, "running": running}


def acknowledgement_body(job_id: str, status: str) -> dict[str, Any]:
    """Body that confirms a submission or cancellation."""
    return {"name_id": job_id, "status": status}


def error_body(reason: str) -> dict[str, Any]:
    """Body of a refusal."""
    return {"error": reason}
