"""Messages between users and controller nodes.

``rename`` maps attributes to wire names.
"""

from __future__ import annotations

import math
import re
from typing import Annotated, Any, Literal

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as

JobShape = Literal["array", "ensemble", "daemon"]
Priority = Literal["critical", "high", "standard", "low"]

ARRAY: JobShape = "array"
GANG: JobShape = "ensemble"
SERVICE: JobShape = "daemon"

PRIORITY_RANKS: dict[str, int] = {"critical": 0, "high": 1, "standard": 2, "low": 3}
"""Rank of each priority; jobs with a smaller rank are placed first."""

PENDING = "pending"
RUNNING = "running"
DONE = "done"
CANCELLED = "aborted"

MAX_TASKS = 100_000
"""Largest number of tasks of one job."""
_JOB_ID_PATTERN = re.compile(r"job-[0-9]{6,20}", re.ASCII)

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
    """A job as submitted by its user.

    ``cpus``, ``gpus`` and ``memory_gb`` (gigabytes) are per task; ``image_gb`` is the size of
    the image in gigabytes. Fields whose names end in ``_s`` are in seconds.
    """

    id: Name
    job_class: Name
    team: Name
    shape: JobShape
    priority: Priority
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
    """Interval of a task's checkpoints; 0: the task writes no checkpoints."""
    checkpoint_duration_s: Amount
    """Time that a task needs to write a checkpoint."""
    types: Annotated[list[Name], msgspec.Meta(max_length=1000)] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None
    counted_resources: Any = None
    """Counted resources: name -> units per task. Parsed only if counted resources are defined
    (see ``parse_requested_counts``); otherwise ignored like an unknown field, even if
    malformed."""


_submission_decoder = msgspec.msgpack.Decoder(Submission)


def is_valid_job_id(job_id: str) -> bool:
    """Return whether a job id has the accepted form."""
    return _JOB_ID_PATTERN.fullmatch(job_id) is not None


def decode_submission(body: bytes) -> Submission:
    """Decode a submission; ProtocolError 400 if it is malformed."""
    job = decode_as(_submission_decoder, body)
    if not is_valid_job_id(job.id):
        raise ProtocolError(400, "not a job id")
    amounts = (job.cpus, job.gpus, job.memory_gb, job.image_gb, job.estimate_s)
    times = (job.checkpoint_interval_s, job.checkpoint_duration_s, job.deadline_s or 0.0)
    # Every comparison with NaN is false, so the range checks alone would accept NaN.
    if not all(math.isfinite(value) for value in amounts + times):
        raise ProtocolError(400, "an amount is not a finite number")
    return job


def status_body(job_id: str, status: str, done: int = 0, running: int = 0) -> dict[str, Any]:
    """Return the body of a job status, with the numbers of tasks done and running."""
    return {"name_id": job_id, "status": status, "done": done, "running": running}


def acknowledgement_body(job_id: str, status: str) -> dict[str, Any]:
    """Return the body that acknowledges a submission or a cancellation."""
    return {"name_id": job_id, "status": status}


def error_body(reason: str) -> dict[str, Any]:
    """Return the body of an error response."""
    return {"error": reason}
