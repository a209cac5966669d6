"""Free capacity of machines during a pass, with what their stopping tasks will free.

A pass asks for one short job after the other. What stops already under way will
free counts before new victims are chosen, and is promised to one job only.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from appleshift.placement.fit import stop_grace_s, tasks_that_fit
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.resources import EPSILON
from appleshift.state.states import ASSIGNED, EXITED


@dataclass(slots=True)
class FreeableCapacity:
    """What a machine has free or will have, and which tasks it could stop."""

    cpus: float
    gpus: float
    memory_gb: float
    runs: list[TaskRun] = field(default_factory=list)
    """Tasks that could be stopped."""
    stopping: bool = False
    """Whether a task is being stopped there."""
    least_urgent_rank: int = -1
    """The largest rank of ``runs``; a larger rank is less urgent."""

    def add(self, job: Job) -> None:
        """Add what a task of the job frees."""
        self.cpus += job.spec.cpus
        self.gpus += job.spec.gpus
        self.memory_gb += job.spec.memory_gb

    def subtract(self, job: Job, tasks: int) -> None:
        """Subtract what tasks of the job use."""
        self.cpus -= job.spec.cpus * tasks
        self.gpus -= job.spec.gpus * tasks
        self.memory_gb -= job.spec.memory_gb * tasks

    def fits(self, job: Job) -> bool:
        """Whether there is room for a task of the job."""
        spec = job.spec
        return (
            self.cpus + EPSILON >= spec.cpus
            and self.gpus + EPSILON >= spec.gpus
            and self.memory_gb + EPSILON >= spec.memory_gb
        )

    def promise(self, job: Job) -> bool:
        """Keep room for a task of the job; false if there is none."""
        if not self.fits(job):
            return False
        self.subtract(job, 1)
        return True

    def tasks_that_fit(self, job: Job) -> int:
        """How many tasks of the job fit."""
        return tasks_that_fit(self.cpus, self.gpus, self.memory_gb, job.spec)

    def stop(self, run: TaskRun) -> None:
        """Choose one of ``runs`` as a victim: its grace is set and its room is counted."""
        run.stop_grace_s = stop_grace_s(run)
        self.runs.remove(run)
        self.stopping = True
        self.add(run.job)


class FreeableCapacities:
    """The room of each machine that a pass has asked for."""

    def __init__(self) -> None:
        """Start a pass; capacity is computed when they are first asked for."""
        self._capacities: dict[int, FreeableCapacity] = {}

    def of(self, machine: Machine) -> FreeableCapacity:
        """The room of a machine, kept for the rest of the pass."""
        capacity = self._capacities.get(machine.index)
        if capacity is None:
            capacity = self._capacities[machine.index] = _freeable_capacity(machine)
        return capacity

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract tasks that this pass placed on a machine."""
        capacity = self._capacities.get(machine.index)
        if capacity is not None:
            capacity.subtract(job, tasks)


def _freeable_capacity(machine: Machine) -> FreeableCapacity:
    capacity = FreeableCapacity(machine.free_cpus, machine.free_gpus, machine.free_memory)
    for run in machine.runs.values():
        if run.state == EXITED:
            continue
        if run.stop_grace_s is not None:
            # Already being stopped: its room comes without a new victim.
            capacity.stopping = True
            capacity.add(run.job)
        elif run.state != ASSIGNED:
            capacity.runs.append(run)
            capacity.least_urgent_rank = max(capacity.least_urgent_rank, run.rank)
    return capacity
