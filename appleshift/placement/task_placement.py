"""Places arrays and services: as many of their tasks as find room."""

from __future__ import annotations

from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.replica_placement import ReplicaPlacer, free_tasks_that_fit
from appleshift.placement.task_round import place_round
from appleshift.state.entities import Job, Machine


class TaskPlacer:
    """Places tasks that may start one by one, in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Place in ``placement_pass``."""
        self._pass = placement_pass
        self._replicas = ReplicaPlacer(placement_pass)

    def place(self, job: Job, max_tasks: int | None = None) -> int:
        """Place what fits of a job, up to ``max_tasks`` tasks; returns how many found no room.

        Tasks that wait for their team's limit or for counted resources are not among
        these: no machine could help them.
        """
        if not self._within_team_limits(job):
            return 0
        allowed = self._pass.limit_by_counted_resources(job)
        if max_tasks is not None:
            allowed = min(allowed, max_tasks)
        if not allowed:
            return 0
        eligible = self._pass.machines
        machines = [] if eligible.cannot_fit(job) else eligible.with_room(job)
        beside_gpus = self._pass.spare_gpu_machine_capacity.machines_for(job)
        if not machines and not beside_gpus:
            self._pass.record_no_machine(job)
            return allowed
        tasks = sorted(job.pending)[:allowed]
        waiting = 0
        if job.service:
            placed, waiting = self._replicas.place(job, machines, tasks)
        else:
            placed = self._place_array(job, machines, beside_gpus, tasks)
        missing = len(tasks) - waiting - placed
        if not missing or not self._within_team_limits(job):
            return 0
        if not placed:
            self._pass.record_no_machine(job)
        return missing

    def _place_array(
        self, job: Job, machines: list[Machine], beside_gpus: list[Machine], tasks: list[int]
    ) -> int:
        """Fill machines, and then what GPU work leaves of others."""
        placed = place_round(self._pass, job, machines, tasks, free_tasks_that_fit)
        if placed < len(tasks) and beside_gpus:
            placed += place_round(
                self._pass,
                job,
                beside_gpus,
                tasks[placed:],
                self._pass.spare_gpu_machine_capacity.tasks_that_fit,
            )
        return placed

    def _within_team_limits(self, job: Job) -> bool:
        team = self._pass.cluster.teams[job.team]
        return team.within_limits(job.spec.cpus, job.spec.gpus)
