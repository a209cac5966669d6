"""Which tasks to stop so that more urgent work finds room."""

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
    """The victims of one placement pass."""

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
        self._least_urgent_beside_gpus: int | None = None
        self._failed = PlacementFailures()

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract tasks that this pass placed on a machine from its capacity."""
        self._capacities.record_placement(job, machine, tasks)

    def victims(self, job: Job, missing: int) -> list[TaskRun]:
        """Stop just enough less urgent work to make room for ``missing`` tasks."""
        borrowers = borrowing_teams(self._cluster, job)
        # If a guarantee may make room for this job or a later one, what this job waits
        # for must be promised to it even if it stops nothing.
        if (
            not guarantees_apply(self._cluster, job)
            and self._least_urgent_rank(job.spec.gpus > 0) <= job.rank
        ):
            return []
        # Two jobs may stop the same tasks if all of this is equal.
        key = (job.rank, job.gang, frozenset(borrowers), *self._machines.placement_key(job))
        if self._cannot_succeed(job, key, missing):
            return []
        if job.gang:
            victims = self._gangs.victims(job, missing, borrowers)
            if victims is None and not job.avoided_machines:
                self._failed.add(key, job.spec, missing)
            return victims or []
        useful = self._useful_machines(job, borrowers)
        machines = self._machines.in_first_fit_order(job, useful)
        made, chosen = self._make_room_on_each(job, machines, missing, missing, borrowers)
        if made < missing and not job.spec.spread and not job.avoided_machines:
            self._failed.add(key, job.spec)
        return chosen

    def make_room_on(
        self, job: Job, machines: list[Machine], missing: int
    ) -> tuple[int, list[TaskRun]]:
        """Make room for one replica on each of some machines, up to ``missing`` of them.

        Returns for how many there is room, and which tasks stop for it.
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
        """A rank such that no task that could be stopped is less urgent."""
        if not with_gpus:
            return self._cluster.max_rank_on_machines()
        if self._least_urgent_beside_gpus is None:
            self._least_urgent_beside_gpus = max(
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
        return self._least_urgent_beside_gpus

    def _cannot_succeed(self, job: Job, key: tuple[object, ...], missing: int) -> bool:
        """Whether no stops made room for work as urgent that needs no more."""
        return self._failed.covers(key, job.spec, missing if job.gang else 1)

    @staticmethod
    def _may_free_capacity(capacity: FreeableCapacity, job: Job) -> bool:
        return capacity.stopping or capacity.least_urgent_rank > job.rank

    def _useful_machines(self, job: Job, borrowers: set[int]) -> list[Machine]:
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
        """Make room machine by machine until it suffices for ``missing`` tasks."""
        per_zone = spread_allowance_per_zone(self._cluster, job)
        made = 0
        chosen: list[TaskRun] = []
        for machine in machines:
            max_tasks = min(max_per_machine, missing - made)
            if per_zone is not None:
                max_tasks = min(max_tasks, per_zone[machine.zone])
            if max_tasks <= 0:
                continue
            found, stopped = self._make_room(job, machine, max_tasks, borrowers)
            chosen += stopped
            made += found
            if per_zone is not None:
                per_zone[machine.zone] -= found
            if made >= missing:
                break
        return made, chosen

    def _make_room(
        self, job: Job, machine: Machine, max_tasks: int, borrowers: set[int]
    ) -> tuple[int, list[TaskRun]]:
        """Make room for up to ``max_tasks`` tasks on one machine."""
        capacity = self._capacities.of(machine)
        stoppable = [run for run in capacity.runs if may_preempt(job, run, borrowers)]
        # Of the least urgent work, what loses least; if equal, what is late anyway.
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
            victims = _enough_for_one(job, capacity, stoppable)
            if victims is None:
                break
            for run in victims:
                stoppable.remove(run)
                capacity.stop(run)
            stopped += victims
        return made, stopped


def _enough_for_one(
    job: Job, capacity: FreeableCapacity, runs: list[TaskRun]
) -> list[TaskRun] | None:
    """The first tasks whose stop makes room for one more; None: nothing stops for less."""
    after = FreeableCapacity(capacity.cpus, capacity.gpus, capacity.memory_gb)
    for count, run in enumerate(runs, start=1):
        after.add(run.job)
        if after.fits(job):
            return runs[:count]
    return None
