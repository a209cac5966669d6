"""Decisions of a placement pass."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from appleshift.state.entities import Job, Machine, TaskRun


@dataclass(slots=True)
class Placement:
    """Assignment of tasks of one job to one machine."""

    job: Job
    machine: Machine
    attempt: int
    tasks: list[int]


@dataclass(slots=True)
class Shortage:
    """Number of tasks of one job that found no machine in this pass."""

    job: Job
    tasks: int


@dataclass(slots=True)
class PlacementResult:
    """All decisions of one placement pass, in the order in which they were made."""

    placements: list[Placement] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    preempted: list[TaskRun] = field(default_factory=list)
    """Tasks to stop; each has its ``stop_grace_s`` set."""
    next_pass_at: float = math.inf
    """Monotonic time at which tasks that this pass left out, and that are in no shortage, may be
    placed although nothing else has happened."""
    replicas_waiting_for_preemption: int = 0
    """Number of replicas that wait for preempted tasks to free a machine with their image."""
