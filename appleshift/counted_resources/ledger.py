"""Counts how many units of each counted resource every job and team holds.

A unit is held from the task's assignment until the task is proven to be gone. The same
proof frees the task's room on its machine, since both follow ``ClusterState.assign`` and
``ClusterState.free``. A unit from a license server stays in use a little longer, until
the server has confirmed its return (``counted_resources/license_reservation.py``).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from appleshift.counted_resources.license_reservation import LicenseReservation
from appleshift.protocol.counted_resources import CountedResourceDefinition, parse_requested_counts
from appleshift.protocol.users import ARRAY, Submission
from appleshift.protocol.wire import ProtocolError
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, TaskRun
from appleshift.state.name_index import NameIndex


def holder_name(task: str, attempt: int) -> str:
    """Return the name under which a task's attempt holds units at a license server."""
    return f"{task}#{attempt}"


class CountedResource:
    """One counted resource and the units held of it, in all and by team.

    ``held_by_team``, ``team_limits`` and ``team_guarantees`` have an entry for each team of
    the cluster; 0 means no limit or no guarantee.
    """

    __slots__ = (
        "definition",
        "held",
        "held_by_team",
        "name",
        "reservation",
        "team_guarantees",
        "team_limits",
    )

    def __init__(
        self,
        name: str,
        definition: CountedResourceDefinition | None,
        cluster: ClusterState,
        reservation: LicenseReservation | None,
    ) -> None:
        """``reservation``: the reservation at the license server, None without a server."""
        self.name = name
        # None if the resource is only named by a job that was accepted before the
        # definition was removed.
        self.definition = definition
        self.reservation = reservation
        self.held = 0
        self.held_by_team = [0] * len(cluster.teams)
        self.team_limits = [0] * len(cluster.teams)
        self.team_guarantees = [0] * len(cluster.teams)
        for team in definition.teams if definition is not None else ():
            number = cluster.team_names.get(team.name)
            if number >= 0:
                self.team_limits[number], self.team_guarantees[number] = team.most, team.guarantee

    @property
    def total(self) -> int:
        """The defined total of units; 0 if the resource is no longer defined."""
        return 0 if self.definition is None else self.definition.total

    def capacity(self, now: float) -> int:
        """Return the number of units that may be held at time ``now``."""
        if self.reservation is None:
            return self.total
        return min(self.total, self.reservation.capacity(now, self.total))

    def planning_capacity(self) -> int:
        """Return the number of units that capacity planning can count on.

        With a license server, units that other accounts do not use are included.
        """
        if self.reservation is None or self.reservation.last_reply is None:
            return self.total
        reply = self.reservation.last_reply
        return min(self.total, max(reply.reserved, reply.total - reply.others))

    def free(self, now: float) -> int:
        """Return the number of units that may be granted at time ``now``.

        It is negative while more units are held than a lowered total or a license server
        that does not answer permits.
        """
        pending = 0 if self.reservation is None else self.reservation.pending_returns()
        return self.capacity(now) - self.held - pending

    def remaining_for_team(self, team: int) -> int:
        """Return how many more units the team's limit permits; the total without a limit."""
        limit = self.team_limits[team]
        return max(0, limit - self.held_by_team[team]) if limit else self.total

    def units_over_guarantee(self, team: int, more: int = 0) -> int:
        """Return how many units a team would hold beyond its guarantee with ``more`` units.

        The result is negative if the team stays below its guarantee.
        """
        return self.held_by_team[team] + more - self.team_guarantees[team]


@dataclass(slots=True)
class Commitment:
    """Units of stopped tasks that are reserved for the job that they were stopped for.

    ``units`` is by resource index, without what the job was granted since. The commitment
    ends at monotonic time ``expires_at``.
    """

    expires_at: float
    units: dict[int, int]


class Ledger:
    """Counts units of all counted resources; a resource's index is its index in ``resources``."""

    def __init__(self, cluster: ClusterState) -> None:
        """Count the units of tasks that are assigned in this cluster state."""
        self.cluster = cluster
        self.names = NameIndex()
        self.resources: list[CountedResource] = []
        # The following are by job index.
        # Jobs with tasks that hold units.
        self.jobs_with_units: dict[int, Job] = {}
        # Times since which jobs have lacked units.
        self.waiting_since: dict[int, float] = {}
        # Times since which jobs could have their units but find no machine.
        self.ready_since: dict[int, float] = {}
        self.commitments: dict[int, Commitment] = {}

    def define(
        self, definition: CountedResourceDefinition, reservation: LicenseReservation | None
    ) -> None:
        """Add a resource; called once for each resource in a term, before jobs are restored."""
        number = self.names.add(definition.name)
        assert number == len(self.resources), "a resource must be defined once, before jobs"
        self.resources.append(
            CountedResource(definition.name, definition, self.cluster, reservation)
        )

    # -- CountedResourceTracker ----------------------------------------------

    def needs_of(self, spec: Submission) -> tuple[tuple[int, int], ...]:
        """Return (resource index, count) for each resource that each task of a job needs.

        Resources without a definition are added as undefined ones.
        """
        try:
            requested = parse_requested_counts(spec.counted_resources)
        except ProtocolError:
            # The job was accepted while no resources were counted, without this check.
            return ()
        needs = []
        for name, count in sorted(requested.items()):
            number = self.names.add(name)
            if number == len(self.resources):
                self.resources.append(CountedResource(name, None, self.cluster, None))
            needs.append((number, count))
        return tuple(needs)

    def max_concurrent_tasks(self, spec: Submission) -> int:
        """Return how many of a job's tasks can ever hold their units at the same time."""
        tasks = spec.tasks
        for number, count in self.needs_of(spec):
            tasks = min(tasks, self.resources[number].planning_capacity() // count)
        return tasks

    def assigned(self, run: TaskRun) -> None:
        """Count the units of a task run that was assigned."""
        job = run.job
        self.jobs_with_units[job.index] = job
        commitment = self.commitments.get(job.index)
        for number, count in job.counted_needs:
            resource = self.resources[number]
            resource.held += count
            if commitment is not None:
                commitment.units[number] = max(0, commitment.units.get(number, 0) - count)
            resource.held_by_team[job.team] += count
            if resource.reservation is not None:
                resource.reservation.checked_out(holder_name(run.name, run.attempt), count)

    def freed(self, run: TaskRun) -> None:
        """Free the units of a task run that is proven to be gone."""
        job = run.job
        if not job.runs:
            self.jobs_with_units.pop(job.index, None)
        for number, count in job.counted_needs:
            resource = self.resources[number]
            resource.held -= count
            resource.held_by_team[job.team] -= count
            if resource.reservation is not None:
                # An assignment of this term that is not durable was never sent to the
                # worker, so the task cannot have checked out units.
                started = run.assignment_durable or not run.ordered_this_term
                resource.reservation.checked_in(holder_name(run.name, run.attempt), count, started)

    # -- queries ---------------------------------------------------------------------

    def rejection(self, spec: Submission) -> tuple[int, str] | None:
        """Return the HTTP status and reason if a submission's request can never be met.

        Returns None if it can be.
        """
        try:
            requested = parse_requested_counts(spec.counted_resources)
        except ProtocolError as error:
            return error.status, error.reason
        team = self.cluster.team_names.get(spec.team)
        tasks = 1 if spec.shape == ARRAY else spec.tasks
        for name, count in requested.items():
            number = self.names.get(name)
            resource = self.resources[number] if number >= 0 else None
            if resource is None or resource.definition is None:
                return 422, f"seats: no resource {name!r}"
            units_at_once = count * tasks
            if units_at_once > resource.total:
                return (
                    422,
                    f"seats: {units_at_once} of {name!r} at once, there are {resource.total}",
                )
            if 0 < resource.team_limits[team] < units_at_once:
                return 422, f"seats: {units_at_once} of {name!r} is more than the team's limit"
        return None

    def holders(self, number: int) -> list[tuple[Job, int]]:
        """Return the jobs that hold units of a resource, each with its number of units."""
        found = []
        for job in self.jobs_with_units.values():
            count = dict(job.counted_needs).get(number, 0) * len(job.runs)
            if count:
                found.append((job, count))
        return found

    def plan_allocation(self, jobs: list[Job]) -> tuple[dict[int, int], Counter[int]]:
        """Plan which of the jobs can run at once, for capacity planning.

        Running tasks come first, then pending tasks in order of priority and submission.
        Returns the number of tasks by job index and of units by resource index.
        """
        unplanned = [resource.planning_capacity() for resource in self.resources]
        team_unplanned = [
            [limit or resource.total for limit in resource.team_limits]
            for resource in self.resources
        ]
        tasks_by_job: dict[int, int] = {}
        planned: Counter[int] = Counter()
        order = sorted(jobs, key=lambda job: (not job.runs, job.rank, job.submitted))
        for holds_now in (True, False):
            for job in order:
                if not job.counted_needs:
                    continue
                task_count = len(job.runs) if holds_now else len(job.pending)
                for number, count in job.counted_needs:
                    room = min(unplanned[number], team_unplanned[number][job.team])
                    task_count = task_count if holds_now else min(task_count, max(0, room) // count)
                if job.gang and not holds_now and task_count < len(job.pending):
                    continue
                for number, count in job.counted_needs:
                    unplanned[number] -= task_count * count
                    team_unplanned[number][job.team] -= task_count * count
                    planned[number] += task_count * count
                tasks_by_job[job.index] = tasks_by_job.get(job.index, 0) + task_count
        return tasks_by_job, planned

    def resource_view(self, number: int, now: float) -> dict[str, Any]:
        """Return the state of one resource for operators."""
        resource = self.resources[number]
        waiting = sum(
            len(job.pending) * dict(job.counted_needs).get(number, 0)
            for index in self.waiting_since
            if (job := self.cluster.jobs.get(index)) is not None
        )
        names = self.cluster.team_names.names
        holders = [(job.spec.id, names[job.team], count) for job, count in self.holders(number)]
        holders.sort(key=lambda row: (-row[2], row[0]))
        view: dict[str, Any] = {
            "name": resource.name,
            "defined": resource.definition is not None,
            "total": resource.total,
            "capacity": max(0, resource.capacity(now)),
            "held": resource.held,
            "free": max(0, resource.free(now)),
            "waiting": waiting,
            "teams": [
                {
                    "name": name,
                    "held": resource.held_by_team[team],
                    "most": resource.team_limits[team],
                    "guarantee": resource.team_guarantees[team],
                }
                for team, name in enumerate(names)
                if resource.held_by_team[team]
                or resource.team_limits[team]
                or resource.team_guarantees[team]
            ],
            "jobs": [list(row) for row in holders],
        }
        if resource.reservation is not None:
            view["server"] = resource.reservation.view(now)
        return view
