"""Which tasks to stop so that a whole gang finds room."""

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
    """Whether stopping CPU work would not help GPU work, for want of a free GPU.

    CPU work on GPU machines leaves the GPUs the CPUs that they need.
    """
    return spec.gpus > 0 and run.job.spec.gpus <= 0 and run.machine.free_gpus + EPSILON < spec.gpus


def may_preempt(job: Job, run: TaskRun, borrowers: set[int]) -> bool:
    """Whether a task may be stopped for a job: it is less urgent, or its team borrows."""
    if frees_nothing_needed(job.spec, run):
        return False
    return run.rank > job.rank or run.job.team in borrowers


@dataclass(frozen=True, slots=True)
class _GangPlan:
    """Stops on some machines that make room for a whole gang there."""

    victims: list[TaskRun]
    machines: list[Machine]
    lost_work_s: float


class GangPreemption:
    """Chooses victims for gangs at the least cost; nothing stops for a part of a gang."""

    def __init__(
        self, machines: EligibleMachines, capacities: FreeableCapacities, now: float
    ) -> None:
        """``now`` is monotonic time in seconds."""
        self._machines = machines
        self._capacities = capacities
        self._now = now

    def victims(self, job: Job, tasks: int, borrowers: set[int]) -> list[TaskRun] | None:
        """Stop just enough for all tasks of a gang; None if no stops would make room."""
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
        """A plan for each zone in which stops make room, or one for all zones."""
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
        """Which tasks to stop so that the whole gang fits on these machines; None: it cannot."""
        # A gang that loses one task stops whole: count all of it, once.
        groups: dict[tuple[int, int], list[TaskRun]] = {}
        for machine in machines:
            capacity = self._capacities.of(machine)
            if capacity.gpus + EPSILON >= job.spec.gpus:
                # Most machines have no GPU free: what else they have does not matter.
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
        """The cheapest groups whose stops make room for more tasks; None: not even all do."""
        # Copies, for the plan may not be the one that is carried out.
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
        """The least urgent first, then by lost run time for each task that stops here."""
        victim = group[0].job
        stopped = victim.runs.values() if victim.gang else group
        return (-victim.rank, sum(lost_work_s(run, self._now) for run in stopped) / len(group))
