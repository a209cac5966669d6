"""Computes how many tasks fit into free capacity and the cost of stopping a task."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from appleshift.protocol.users import Submission
from appleshift.protocol.workers import MAX_TASKS_PER_HEARTBEAT
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, TaskRun
from appleshift.state.resources import EPSILON


class TaskGroupSize(Protocol):
    """The number of equal tasks in a group and the resources that one task needs."""

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


def tasks_that_fit(
    cpus: float,
    gpus: float,
    memory_gb: float,
    spec: TaskGroupSize,
    task_slots: int = MAX_TASKS_PER_HEARTBEAT,
) -> int:
    """Return how many tasks of a group fit into the free CPUs, GPUs and memory of a machine.

    ``task_slots`` is the number of tasks that its heartbeats can list besides those on it.
    """
    count = min(spec.tasks, max(0, task_slots))
    for free, need in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb)):
        if need > EPSILON:
            count = min(count, int((free + EPSILON) / need))
    return count


def spread_allowance_per_zone(cluster: ClusterState, job: Job) -> dict[int, int] | None:
    """Return how many more tasks of a spread job each zone may run.

    None if the job is not spread. A zone may run half of the tasks, rounded up.
    """
    spec = job.spec
    if not spec.spread:
        return None
    max_per_zone = (spec.tasks + 1) // 2
    in_use = Counter(run.machine.zone for run in job.runs.values())
    return {zone: max_per_zone - in_use[zone] for zone in range(len(cluster.zones))}


def stop_grace_s(run: TaskRun) -> float:
    """Return the time in seconds that a stopping task needs to save a checkpoint."""
    spec = run.job.spec
    return spec.checkpoint_duration_s if spec.checkpoint_interval_s > 0 else 0.0


def lost_work_s(run: TaskRun, now: float) -> float:
    """Return the run time in seconds that stopping a task wastes.

    This is the time to save a checkpoint or, without checkpoints, the whole run time.
    """
    spec = run.job.spec
    if spec.checkpoint_interval_s > 0:
        return spec.checkpoint_duration_s
    return max(0.0, now - run.running_since) if run.running_since else 0.0


class PlacementFailures:
    """Resource needs that found no room in this pass, by the machines they may use.

    Free capacity only shrinks during a pass, so a job that needs at least as much on the
    same machines would fail too and is not tried. The number of tasks is recorded as well,
    because a gang needs room for all its tasks at once.
    """

    def __init__(self) -> None:
        """Start a pass without failures."""
        self._needs: dict[tuple[object, ...], list[tuple[Submission, int]]] = {}

    def add(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> None:
        """Record that ``tasks`` tasks at once found no room on the machines of ``key``."""
        self._needs.setdefault(key, []).append((spec, tasks))

    def covers(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> bool:
        """Return whether the same or smaller needs have failed on the machines of ``key``."""
        return any(
            failed_tasks <= tasks
            and failed.cpus <= spec.cpus
            and failed.gpus <= spec.gpus
            and failed.memory_gb <= spec.memory_gb
            for failed, failed_tasks in self._needs.get(key, ())
        )


def may_share_gpu_machine(job: Job) -> bool:
    """Return whether a job may use the CPUs that GPU jobs leave free on GPU machines.

    Only CPU jobs that end and have no placement constraint (spread, together, machine
    types) may: a replica would prevent the return of an expensive machine forever.
    """
    spec = job.spec
    constrained = spec.spread or spec.together or spec.types is not None
    return not (spec.gpus > 0 or job.gang or job.service or constrained)
