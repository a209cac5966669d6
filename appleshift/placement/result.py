"""What a placement pass decided."""

from __future__ import annotations

from dataclasses import dataclass, field

from appleshift.state.entities import Job, Machine, TaskRun


@dataclass(slots=True)
class Placement:
    """Tasks of one job that go to one machine."""

    job: Job
    machine: Machine
    attempt: int
    tasks: list[int]


@dataclass(slots=True)
class Shortage:
    """Tasks of one job that found no machine in this pass."""

    job: Job
    tasks: int


@dataclass(slots=True)
class PlacementResult:
    """All decisions of one pass, in the order in which they were made."""

    placements: list[Placement] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    preempted: list[TaskRun] = field(default_factory=list)
    """Tasks to stop; each has its ``stop_grace_s`` set."""
    replicas_waiting_for_preemption: int = 0
    """Replicas for which room is being made on a machine with their image."""
