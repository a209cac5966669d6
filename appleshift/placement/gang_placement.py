"""Places gangs: all their tasks at once or none."""

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
        self._teams_saving: set[int] = set()
        """Teams, by index, that save what their limit leaves for a large gang."""

    def place(self, job: Job) -> int:
        """Place a whole gang or nothing of it; returns how many tasks found no room."""
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
        """Whether the old attempt is over and the team's limit leaves room for the gang."""
        spec = job.spec
        tasks = len(job.pending)
        if job.runs or tasks < spec.tasks - job.done_count:
            # Tasks of the old attempt may still be on their machines.
            return False
        if job.team in self._teams_saving:
            return False
        team = self._pass.cluster.teams[job.team]
        if team.within_limits(spec.cpus * tasks, spec.gpus * tasks):
            return True
        if self._pass.urgency.age_s(job) >= RESERVE_ALWAYS_AFTER_S:
            # What falls free of the limit goes to it, not to smaller gangs that come.
            self._teams_saving.add(job.team)
        return False

    def _start(self, job: Job, plan: list[tuple[Machine, int]]) -> None:
        attempt = job.last_attempt + 1
        tasks = sorted(job.pending)
        position = 0
        for machine, count in plan:
            self._pass.assign(job, machine, attempt, tasks[position : position + count])
            position += count

    def _by_zone(self, job: Job, machines: list[Machine]) -> list[list[Machine]]:
        """The zone with least room first, so that large gangs find room in another."""
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
        """How many tasks go to each machine; None if not all find room."""
        per_zone = spread_allowance_per_zone(self._pass.cluster, job)
        plan: list[tuple[Machine, int]] = []
        for machine in machines:
            if not tasks:
                break
            count = min(tasks, free_tasks_that_fit(machine, job))
            if per_zone is not None:
                count = min(count, per_zone[machine.zone])
                per_zone[machine.zone] -= count
            if count > 0:
                plan.append((machine, count))
                tasks -= count
        return None if tasks else plan
