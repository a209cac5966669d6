"""Chooses tasks to stop so that a whole gang fits."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from appleshift.placement.eligible_machines import EligibleMachines
from appleshift.placement.fit import lost_work_s
from appleshift.placement.freeable_capacity import FreeableCapacities
from appleshift.protocol.users import Submission
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.resources import EPSILON


def frees_nothing_needed(spec: Submission, run: TaskRun) -> bool:
    """Return whether stopping a CPU task would not help a job that needs GPUs.

    This holds if the machine has too few free GPUs: CPU tasks on a GPU machine leave
    enough CPUs for its GPUs, so stopping them does not make room for GPU work.
    """
    return spec.gpus > 0 and run.job.spec.gpus <= 0 and run.machine.free_gpus + EPSILON < spec.gpus


def may_preempt(job: Job, run: TaskRun, borrowers: set[int]) -> bool:
    """Return whether a task may be stopped for a job.

    The task must be less urgent, or its team must be one of the ``borrowers``, which use
    more than their guarantee.
    """
    if frees_nothing_needed(job.spec, run):
        return False
    return run.rank > job.rank or run.job.team in borrowers


@dataclass(frozen=True, slots=True)
class _GangPlan:
    """Tasks whose stop makes room for a whole gang on a group of machines."""

    victims: list[TaskRun]
    machines: list[Machine]
    lost_work_s: float


class GangPreemption:
    """Chooses the cheapest tasks to stop for a gang; none if they make room for only part."""

    def __init__(
        self, machines: EligibleMachines, capacities: FreeableCapacities, now: float
    ) -> None:
        """``now`` is monotonic time in seconds."""
        self._machines = machines
        self._capacities = capacities
        self._now = now

    def victims(self, job: Job, tasks: int, borrowers: set[int]) -> list[TaskRun] | None:
        """Choose the tasks to stop for ``tasks`` tasks of a gang and promise their capacity.

        Returns None if no stops would make room for the whole gang.
        """
        plans = list(self._plans(job, tasks, borrowers))
        if not plans:
            return None
        cheapest = min(plans, key=lambda plan: plan.lost_work_s)
        for run in cheapest.victims:
            self._capacities.of(run.machine).stop(run)
        for machine in cheapest.machines:
            while tasks > 0 and self._capacities.of(machine).promise(job):
                tasks -= 1
        return cheapest.victims

    def _plans(self, job: Job, tasks: int, borrowers: set[int]) -> Iterator[_GangPlan]:
        """Yield the plans that make room: one per zone, or a single one for all zones.

        Plans are per zone if the gang has to run in one zone.
        """
        zones: dict[int, list[Machine]] = {}
        for machine in self._machines.allowed(job):
            zones.setdefault(machine.zone if job.spec.together else -1, []).append(machine)
        for machines in zones.values():
            victims = self._victims_on(job, machines, tasks, borrowers)
            if victims is not None:
                lost_s = sum(lost_work_s(run, self._now) for run in victims)
                yield _GangPlan(victims, machines, lost_s)

    def _victims_on(
        self, job: Job, machines: list[Machine], tasks: int, borrowers: set[int]
    ) -> list[TaskRun] | None:
        """Return the tasks to stop so that the gang fits on these machines; None if impossible."""
        # A gang that loses one task stops as a whole, so its tasks form one group.
        groups: dict[tuple[int, int], list[TaskRun]] = {}
        for machine in machines:
            capacity = self._capacities.of(machine)
            if capacity.gpus + EPSILON >= job.spec.gpus:
                # Skips the computation for most machines: they have no free GPU.
                tasks -= capacity.tasks_that_fit(job)
            if capacity.least_urgent_rank <= job.rank and not borrowers:
                continue
            for run in capacity.runs:
                if may_preempt(job, run, borrowers):
                    group = (run.job.index, -1 if run.job.gang else run.task)
                    groups.setdefault(group, []).append(run)
        if tasks <= 0:
            return []
        if not groups:
            return None
        return self._cheapest(job, tasks, groups.values())

    def _cheapest(
        self, job: Job, tasks: int, groups: Iterable[list[TaskRun]]
    ) -> list[TaskRun] | None:
        """Return the tasks of the cheapest groups that make room for ``tasks`` more tasks.

        None if stopping all groups does not suffice.
        """
        # Work on copies: another plan may turn out cheaper.
        capacities = {
            run.machine.index: replace(self._capacities.of(run.machine), runs=[])
            for group in groups
            for run in group
        }
        victims: list[TaskRun] = []
        for group in sorted(groups, key=self._cost):
            for run in group:
                capacity = capacities[run.machine.index]
                before = capacity.tasks_that_fit(job)
                capacity.add(run.job)
                tasks -= capacity.tasks_that_fit(job) - before
            victims += group
            if tasks <= 0:
                return victims
        return None

    def _cost(self, group: list[TaskRun]) -> tuple[int, float]:
        """Return the sort key of a group: least urgent first, then least run time lost.

        The run time that the stop wastes is divided by the tasks that stop on these
        machines; for a gang it includes its tasks on other machines.
        """
        victim = group[0].job
        stopped = victim.runs.values() if victim.gang else group
        return (-victim.rank, sum(lost_work_s(run, self._now) for run in stopped) / len(group))
