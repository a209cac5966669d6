"""Chooses tasks to stop (preempt) so that more urgent jobs find room."""

from __future__ import annotations

from collections.abc import Iterable

from appleshift.placement.eligible_machines import EligibleMachines
from appleshift.placement.fit import PlacementFailures, lost_work_s, spread_allowance_per_zone
from appleshift.placement.freeable_capacity import FreeableCapacities, FreeableCapacity
from appleshift.placement.gang_preemption import GangPreemption, may_preempt
from appleshift.placement.quota import borrowing_teams, guarantees_apply
from appleshift.placement.urgency import UrgencyOrder
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.resources import EPSILON
from appleshift.state.states import ASSIGNED, EXITED


class Preemption:
    """Chooses the tasks that one placement pass preempts."""

    def __init__(
        self, cluster: ClusterState, machines: EligibleMachines, urgency: UrgencyOrder, now: float
    ) -> None:
        """``now`` is monotonic time in seconds."""
        self._cluster = cluster
        self._machines = machines
        self._urgency = urgency
        self._now = now
        self._capacities = FreeableCapacities()
        self._gangs = GangPreemption(machines, self._capacities, now)
        self._least_urgent_rank_for_gpus: int | None = None
        self._failures = PlacementFailures()

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract ``tasks`` placed tasks of a job from the freeable capacity of a machine."""
        self._capacities.record_placement(job, machine, tasks)

    def victims(self, job: Job, missing: int) -> list[TaskRun]:
        """Choose just enough tasks to stop to make room for ``missing`` tasks of a job.

        The chosen tasks are less urgent, or their teams exceed their guarantees.
        """
        borrowers = borrowing_teams(self._cluster, job)
        # If a guarantee may make room for this job or a later one, capacity that stopping
        # tasks will free must be promised to this job even if it stops no task itself.
        if (
            not guarantees_apply(self._cluster, job)
            and self._least_urgent_rank(job.spec.gpus > 0) <= job.rank
        ):
            return []
        # Jobs with the same key may stop the same tasks.
        key = (job.rank, job.gang, frozenset(borrowers), *self._machines.placement_key(job))
        if self._cannot_succeed(job, key, missing):
            return []
        if job.gang:
            victims = self._gangs.victims(job, missing, borrowers)
            if victims is None and not job.avoided_machines:
                self._failures.add(key, job.spec, missing)
            return victims or []
        useful = self._useful_machines(job, borrowers)
        machines = self._machines.in_first_fit_order(job, useful)
        made, chosen = self._make_room_on_each(job, machines, missing, missing, borrowers)
        if made < missing and not job.spec.spread and not job.avoided_machines:
            self._failures.add(key, job.spec)
        return chosen

    def make_room_on(
        self, job: Job, machines: list[Machine], missing: int
    ) -> tuple[int, list[TaskRun]]:
        """Make room for up to ``missing`` replicas of a job, one per machine.

        Returns for how many replicas room is made, and the tasks that stop for it.
        """
        if self._cluster.max_rank_on_machines() <= job.rank:
            return 0, []
        useful = (
            machine
            for machine in self._machines.in_first_fit_order(job, machines)
            if self._may_free_capacity(self._capacities.of(machine), job)
        )
        return self._make_room_on_each(job, useful, missing, 1, set())

    def _least_urgent_rank(self, with_gpus: bool) -> int:
        """Return an upper bound on the rank of the tasks that can be stopped.

        With ``with_gpus``: of those whose stop could help a job with GPUs.
        """
        if not with_gpus:
            return self._cluster.max_rank_on_machines()
        if self._least_urgent_rank_for_gpus is None:
            self._least_urgent_rank_for_gpus = max(
                (
                    run.rank
                    for machine in self._machines.gpu_machines()
                    for run in machine.runs.values()
                    if (run.job.spec.gpus > 0 or machine.free_gpus > EPSILON)
                    and run.stop_grace_s is None
                    and run.state not in (ASSIGNED, EXITED)
                ),
                default=-1,
            )
        return self._least_urgent_rank_for_gpus

    def _cannot_succeed(self, job: Job, key: tuple[object, ...], missing: int) -> bool:
        """Return whether preemption already failed for an equally urgent job that needs no more."""
        return self._failures.covers(key, job.spec, missing if job.gang else 1)

    @staticmethod
    def _may_free_capacity(capacity: FreeableCapacity, job: Job) -> bool:
        """Return whether capacity of a machine is becoming free or can be freed for the job.

        That is so if one of its tasks is being stopped, or if a task that can be stopped is
        less urgent than the job.
        """
        return capacity.stopping or capacity.least_urgent_rank > job.rank

    def _useful_machines(self, job: Job, borrowers: set[int]) -> list[Machine]:
        """Return the machines that the job may use and on which room may be made for it."""
        useful: list[Machine] = []
        for machine in self._machines.allowed(job):
            capacity = self._capacities.of(machine)
            if self._may_free_capacity(capacity, job) or (borrowers and capacity.runs):
                useful.append(machine)
        return useful

    def _make_room_on_each(
        self,
        job: Job,
        machines: Iterable[Machine],
        missing: int,
        max_per_machine: int,
        borrowers: set[int],
    ) -> tuple[int, list[TaskRun]]:
        """Make room machine by machine until ``missing`` tasks of the job fit.

        Returns how many of them fit, and the tasks that stop for it.
        """
        zone_allowance = spread_allowance_per_zone(self._cluster, job)
        made = 0
        chosen: list[TaskRun] = []
        for machine in machines:
            max_tasks = min(max_per_machine, missing - made)
            if zone_allowance is not None:
                max_tasks = min(max_tasks, zone_allowance[machine.zone])
            if max_tasks <= 0:
                continue
            fitting, stopped = self._make_room(job, machine, max_tasks, borrowers)
            chosen += stopped
            made += fitting
            if zone_allowance is not None:
                zone_allowance[machine.zone] -= fitting
            if made >= missing:
                break
        return made, chosen

    def _make_room(
        self, job: Job, machine: Machine, max_tasks: int, borrowers: set[int]
    ) -> tuple[int, list[TaskRun]]:
        """Make room for up to ``max_tasks`` tasks of the job on one machine.

        Returns how many of them fit, and the tasks that stop for it.
        """
        capacity = self._capacities.of(machine)
        stoppable = [run for run in capacity.runs if may_preempt(job, run, borrowers)]
        # The least urgent tasks first, then those that lose the least run time, then those
        # of jobs that miss the most objectives anyway.
        now, missed_objectives = self._now, self._urgency.missed_objectives
        stoppable.sort(
            key=lambda run: (-run.rank, lost_work_s(run, now), -missed_objectives(run.job))
        )
        made = 0
        stopped: list[TaskRun] = []
        while made < max_tasks:
            if capacity.promise(job):
                made += 1
                continue
            victims = _victims_for_one_task(job, capacity, stoppable)
            if victims is None:
                break
            for run in victims:
                stoppable.remove(run)
                capacity.stop(run)
            stopped += victims
        return made, stopped


def _victims_for_one_task(
    job: Job, capacity: FreeableCapacity, runs: list[TaskRun]
) -> list[TaskRun] | None:
    """Return the first of ``runs`` whose stop makes room for one task of the job.

    None if stopping all of them does not suffice.
    """
    after = FreeableCapacity(capacity.cpus, capacity.gpus, capacity.memory_gb, capacity.task_slots)
    for count, run in enumerate(runs, start=1):
        after.add(run.job)
        if after.fits(job):
            return runs[:count]
    return None
