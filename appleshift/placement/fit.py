"""How much of a job fits where, and what it takes to stop a task."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import EPSILON, ClusterState, Job, TaskRun


class TaskGroupSize(Protocol):
    """So many tasks, and what each of them takes."""

    @property
    def tasks(self) -> int: ...
    @property
    def cpus(self) -> float: ...
    @property
    def gpus(self) -> float: ...
    @property
    def memory_gb(self) -> float: ...


def tasks_that_fit(cpus: float, gpus: float, memory_gb: float, spec: TaskGroupSize) -> int:
    """How many of a job's tasks fit into some room."""
    most = spec.tasks
    for free, need in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb)):
        if need > EPSILON:
            most = min(most, int((free + EPSILON) / need))
    return most


def remaining_per_zone(cluster: ClusterState, job: Job) -> dict[int, int] | None:
    """How many more tasks each zone may take; None: no limit."""
    spec = job.spec
    if not spec.spread:
        return None
    most = (spec.tasks + 1) // 2
    taken = Counter(run.machine.zone for run in job.runs.values())
    return {zone: most - taken[zone] for zone in range(len(cluster.zones))}


def stop_grace_s(run: TaskRun) -> float:
    """Time that a task needs to save when it is stopped."""
    spec = run.job.spec
    return spec.save_s if spec.checkpoint_s > 0 else 0.0


def lost_work_s(run: TaskRun, now: float) -> float:
    """Run time that a stop wastes: what could not be saved, and the stopping."""
    spec = run.job.spec
    if spec.checkpoint_s > 0:
        return spec.save_s
    return max(0.0, now - run.running_since) if run.running_since else 0.0


class FailedNeeds:
    """Needs that found no room in this pass, by where the work may go.

    Room only shrinks while a pass goes on, so whatever needs at least as much
    in the same places cannot succeed either and need not be tried. Of a gang,
    which needs room for all its tasks at once, their number counts as well.
    """

    def __init__(self) -> None:
        self._needs: dict[tuple[object, ...], list[tuple[Submission, int]]] = {}

    def add(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> None:
        self._needs.setdefault(key, []).append((spec, tasks))

    def covers(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> bool:
        return any(
            most <= tasks
            and failed.cpus <= spec.cpus
            and failed.gpus <= spec.gpus
            and failed.memory_gb <= spec.memory_gb
            for failed, most in self._needs.get(key, ())
        )


def may_run_beside_gpus(job: Job) -> bool:
    """Work without cards that ends and is bound to nothing: it may use what machines with
    cards have left, for a replica would keep a dear machine for good."""
    spec = job.spec
    bound = spec.spread or spec.together or spec.types is not None
    return not (spec.gpus > 0 or job.gang or job.service or bound)
