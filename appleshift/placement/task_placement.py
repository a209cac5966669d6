"""Places arrays and services, whose tasks may start independently of each other."""

from __future__ import annotations

from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.replica_placement import ReplicaPlacer, free_tasks_that_fit
from appleshift.placement.task_round import place_round
from appleshift.state.entities import Job, Machine


class TaskPlacer:
    """Places tasks of arrays and services in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Place in ``placement_pass``."""
        self._pass = placement_pass
        self._replicas = ReplicaPlacer(placement_pass)

    def place(self, job: Job, max_tasks: int | None = None) -> int:
        """Place up to ``max_tasks`` tasks of a job; returns how many found no room.

        Tasks that wait for their team's limit or for counted resources are not counted:
        no machine could help them.
        """
        if not self._within_team_limits(job):
            return 0
        task_limit = self._pass.limit_by_counted_resources(job)
        if max_tasks is not None:
            task_limit = min(task_limit, max_tasks)
        if not task_limit:
            return 0
        eligible_machines = self._pass.machines
        machines = [] if eligible_machines.cannot_fit(job) else eligible_machines.with_room(job)
        spare_gpu_machines = self._pass.spare_gpu_machine_capacity.machines_for(job)
        if not machines and not spare_gpu_machines:
            self._pass.record_no_machine(job)
            return task_limit
        waiting = 0
        if job.service:
            placed, waiting = self._replicas.place(job, machines, task_limit)
        else:
            placed = self._place_array(job, machines, spare_gpu_machines, task_limit)
        missing = task_limit - waiting - placed
        if not missing or not self._within_team_limits(job):
            return 0
        if not placed:
            self._pass.record_no_machine(job)
        return missing

    def _place_array(
        self, job: Job, machines: list[Machine], spare_gpu_machines: list[Machine], task_limit: int
    ) -> int:
        """Place up to ``task_limit`` tasks on ``machines``, then in spare capacity of GPU machines.

        Returns how many tasks were placed.
        """
        placed = place_round(self._pass, job, machines, task_limit, free_tasks_that_fit)
        if placed < task_limit and spare_gpu_machines:
            placed += place_round(
                self._pass,
                job,
                spare_gpu_machines,
                task_limit - placed,
                self._pass.spare_gpu_machine_capacity.tasks_that_fit,
            )
        return placed

    def _within_team_limits(self, job: Job) -> bool:
        """Return whether one more task of the job stays within its team's limits."""
        team = self._pass.cluster.teams[job.team]
        return team.within_limits(job.spec.cpus, job.spec.gpus)
