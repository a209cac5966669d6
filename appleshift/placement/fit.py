"""How many tasks fit into free capacity, and what stopping a task costs."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, TaskRun
from appleshift.state.resources import EPSILON


class TaskGroupSize(Protocol):
    """A number of equal tasks, and what each of them needs."""

    @property
    def tasks(self) -> int:
        """Number of tasks."""
        ...

    @property
    def cpus(self) -> float:
        """CPUs of one task."""
        ...

    @property
    def gpus(self) -> float:
        """GPUs of one task."""
        ...

    @property
    def memory_gb(self) -> float:
        """Memory of one task in GB."""
        ...


def tasks_that_fit(cpus: float, gpus: float, memory_gb: float, spec: TaskGroupSize) -> int:
    """How many of a group's tasks fit into some free capacity."""
    count = spec.tasks
    for free, need in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb)):
        if need > EPSILON:
            count = min(count, int((free + EPSILON) / need))
    return count


def spread_allowance_per_zone(cluster: ClusterState, job: Job) -> dict[int, int] | None:
    """How many more tasks of a spread job each zone may take; None: no limit."""
    spec = job.spec
    if not spec.spread:
        return None
    max_per_zone = (spec.tasks + 1) // 2
    in_use = Counter(run.machine.zone for run in job.runs.values())
    return {zone: max_per_zone - in_use[zone] for zone in range(len(cluster.zones))}


def stop_grace_s(run: TaskRun) -> float:
    """Time in seconds that a task needs to save a checkpoint when it is stopped."""
    spec = run.job.spec
    return spec.checkpoint_duration_s if spec.checkpoint_interval_s > 0 else 0.0


def lost_work_s(run: TaskRun, now: float) -> float:
    """Run time in seconds that a stop wastes: work that cannot be saved, and the saving."""
    spec = run.job.spec
    if spec.checkpoint_interval_s > 0:
        return spec.checkpoint_duration_s
    return max(0.0, now - run.running_since) if run.running_since else 0.0


class PlacementFailures:
    """Needs that found no room in this pass, by the places that they may use.

    Room only shrinks during a pass, so whatever needs at least as much in the same
    places must fail as well and is not tried. A gang needs room for all its tasks
    at once, so their number counts too.
    """

    def __init__(self) -> None:
        """Start a pass in which nothing has failed."""
        self._needs: dict[tuple[object, ...], list[tuple[Submission, int]]] = {}

    def add(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> None:
        """Record that ``tasks`` tasks at once found no room in the places of ``key``."""
        self._needs.setdefault(key, []).append((spec, tasks))

    def covers(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> bool:
        """Whether something that needs no more has already failed in the same places."""
        return any(
            failed_tasks <= tasks
            and failed.cpus <= spec.cpus
            and failed.gpus <= spec.gpus
            and failed.memory_gb <= spec.memory_gb
            for failed, failed_tasks in self._needs.get(key, ())
        )


def may_share_gpu_machine(job: Job) -> bool:
    """Whether a job may use the CPUs that GPU work leaves on GPU machines.

    Only CPU work that ends and is bound to no place may: a replica would keep an
    expensive machine from being returned for good.
    """
    spec = job.spec
    bound = spec.spread or spec.together or spec.types is not None
    return not (spec.gpus > 0 or job.gang or job.service or bound)
