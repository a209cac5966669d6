"""Capacity of machines that is free or that stopping tasks will free.

A placement pass makes room for one job after another. Capacity that stopping tasks will
free is used before new tasks are chosen to be stopped, and is promised to one job only.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from appleshift.placement.fit import stop_grace_s, tasks_that_fit
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.resources import EPSILON
from appleshift.state.states import ASSIGNED, EXITED


@dataclass(slots=True)
class FreeableCapacity:
    """The capacity of a machine that is or will be free, and its tasks that can be stopped."""

    cpus: float
    gpus: float
    memory_gb: float
    task_slots: int
    """Tasks that the machine's heartbeats can list besides those that stay on it."""
    runs: list[TaskRun] = field(default_factory=list)
    """Tasks that can be stopped."""
    stopping: bool = False
    """Whether a task of the machine is being stopped."""
    least_urgent_rank: int = -1
    """Largest priority rank among ``runs``, -1 without any; a larger rank is less urgent."""

    def add(self, job: Job) -> None:
        """Add the resources of one task of the job."""
        self.cpus += job.spec.cpus
        self.gpus += job.spec.gpus
        self.memory_gb += job.spec.memory_gb
        self.task_slots += 1

    def subtract(self, job: Job, tasks: int) -> None:
        """Subtract the resources of ``tasks`` tasks of the job."""
        self.cpus -= job.spec.cpus * tasks
        self.gpus -= job.spec.gpus * tasks
        self.memory_gb -= job.spec.memory_gb * tasks
        self.task_slots -= tasks

    def fits(self, job: Job) -> bool:
        """Return whether a task of the job fits."""
        spec = job.spec
        return (
            self.task_slots > 0
            and self.cpus + EPSILON >= spec.cpus
            and self.gpus + EPSILON >= spec.gpus
            and self.memory_gb + EPSILON >= spec.memory_gb
        )

    def promise(self, job: Job) -> bool:
        """Promise capacity to one task of the job; returns false if the task does not fit."""
        if not self.fits(job):
            return False
        self.subtract(job, 1)
        return True

    def tasks_that_fit(self, job: Job) -> int:
        """Return how many tasks of the job fit."""
        return tasks_that_fit(self.cpus, self.gpus, self.memory_gb, job.spec, self.task_slots)

    def stop(self, run: TaskRun) -> None:
        """Choose one of ``runs`` to be stopped.

        Sets its ``stop_grace_s`` and adds its resources to the capacity.
        """
        run.stop_grace_s = stop_grace_s(run)
        self.runs.remove(run)
        self.stopping = True
        self.add(run.job)


class FreeableCapacities:
    """The freeable capacity of machines, computed on demand during a placement pass."""

    def __init__(self) -> None:
        """Start a pass; the capacity of a machine is computed on its first use."""
        self._capacities: dict[int, FreeableCapacity] = {}

    def of(self, machine: Machine) -> FreeableCapacity:
        """Return the freeable capacity of a machine; later calls return the same object."""
        capacity = self._capacities.get(machine.index)
        if capacity is None:
            capacity = self._capacities[machine.index] = _freeable_capacity(machine)
        return capacity

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract ``tasks`` tasks of a job that this pass placed on a machine."""
        capacity = self._capacities.get(machine.index)
        if capacity is not None:
            capacity.subtract(job, tasks)


def _freeable_capacity(machine: Machine) -> FreeableCapacity:
    capacity = FreeableCapacity(
        machine.free_cpus, machine.free_gpus, machine.free_memory, machine.free_task_slots()
    )
    for run in machine.runs.values():
        if run.state == EXITED:
            continue
        if run.stop_grace_s is not None:
            # Already stopping: its resources become free without another stop.
            capacity.stopping = True
            capacity.add(run.job)
        elif run.state != ASSIGNED:
            capacity.runs.append(run)
            capacity.least_urgent_rank = max(capacity.least_urgent_rank, run.rank)
    return capacity
