"""Places gangs: either all tasks of a gang at once or none."""

from __future__ import annotations

from appleshift.objectives.objectives import RESERVE_ALWAYS_AFTER_S
from appleshift.placement.fit import spread_allowance_per_zone
from appleshift.placement.gang_reservation import GangReservations
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.replica_placement import free_tasks_that_fit
from appleshift.state.entities import Job, Machine


class GangPlacer:
    """Places gangs in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Place in ``placement_pass``."""
        self._pass = placement_pass
        self._reservations = GangReservations(placement_pass)
        self._teams_reserving_limit: set[int] = set()
        """Indexes of teams that keep the remainder of their limit for a large gang."""

    def place(self, job: Job) -> int:
        """Place all pending tasks of a gang or none; returns how many tasks found no room.

        Returns 0 if the gang waits for its old attempt, its team's limit or counted
        resources: no machine would help it.
        """
        tasks = len(job.pending)
        if not self._may_start(job) or not self._pass.limit_by_counted_resources(job):
            return 0
        if self._pass.machines.cannot_fit(job):
            self._pass.record_no_machine(job)
            return tasks
        machines = self._pass.machines.with_room(job)
        for group in self._by_zone(job, machines) if job.spec.together else [machines]:
            plan = self._plan(job, group, tasks)
            if plan is not None:
                self._start(job, plan)
                return 0
        self._reservations.reserve(job, machines, tasks)
        self._pass.record_no_machine(job)
        return tasks

    def _may_start(self, job: Job) -> bool:
        """Return whether the old attempt has ended and the gang fits into its team's limit."""
        spec = job.spec
        tasks = len(job.pending)
        if job.runs or tasks < spec.tasks - job.done_count:
            # Tasks of the old attempt may still be on their machines.
            return False
        if job.team in self._teams_reserving_limit:
            return False
        team = self._pass.cluster.teams[job.team]
        if team.within_limits(spec.cpus * tasks, spec.gpus * tasks):
            return True
        if self._pass.urgency.age_s(job) >= RESERVE_ALWAYS_AFTER_S:
            # The rest of the limit is kept for this gang instead of going to smaller, newer ones.
            self._teams_reserving_limit.add(job.team)
        return False

    def _start(self, job: Job, plan: list[tuple[Machine, int]]) -> None:
        """Assign the tasks of a gang to machines as planned."""
        attempt = job.last_attempt + 1
        for machine, count in plan:
            self._pass.assign(job, machine, attempt, count)

    def _by_zone(self, job: Job, machines: list[Machine]) -> list[list[Machine]]:
        """Group machines by zone, the zone with the least room first.

        Small gangs thus leave the zones with more room to large gangs.
        """
        zones: dict[int, list[Machine]] = {}
        for machine in machines:
            zones.setdefault(machine.zone, []).append(machine)
        return sorted(
            zones.values(),
            key=lambda group: sum(free_tasks_that_fit(machine, job) for machine in group),
        )

    def _plan(
        self, job: Job, machines: list[Machine], tasks: int
    ) -> list[tuple[Machine, int]] | None:
        """Return the number of tasks for each machine; None if not all of them fit."""
        zone_allowance = spread_allowance_per_zone(self._pass.cluster, job)
        plan: list[tuple[Machine, int]] = []
        for machine in machines:
            if not tasks:
                break
            count = min(tasks, free_tasks_that_fit(machine, job))
            if zone_allowance is not None:
                count = min(count, zone_allowance[machine.zone])
                zone_allowance[machine.zone] -= count
            if count > 0:
                plan.append((machine, count))
                tasks -= count
        return None if tasks else plan
