"""The count: who holds how many units of what.

A unit is held from the assignment until the task is certainly gone, by the same
proof that frees its room on a machine, since both follow ``ClusterState.assign`` and
``ClusterState.free``. What a license server hands out is held a little longer: until
the server has taken the unit back (``counted_resources/license_reservation.py``).
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
    """How a task's attempt is named to a license server and in the audit."""
    return f"{task}#{attempt}"


class CountedResource:
    """One counted resource."""

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
        """``account``: the reservation at a license server, if there is one."""
        self.name = name
        # None: a job names it that was accepted before its definition went.
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
        """Units in all; 0 once the definition is gone."""
        return 0 if self.definition is None else self.definition.total

    def capacity(self, now: float) -> int:
        """Units that may be held at this moment."""
        if self.reservation is None:
            return self.total
        return min(self.total, self.reservation.capacity(now, self.total))

    def planning_capacity(self) -> int:
        """Units that machines are worth renting for."""
        if self.reservation is None or self.reservation.last_reply is None:
            return self.total
        standing = self.reservation.last_reply
        return min(self.total, max(standing.reserved, standing.total - standing.others))

    def free(self, now: float) -> int:
        """Below 0 while a lowered total or a silent server leaves too little."""
        pending = 0 if self.reservation is None else self.reservation.pending_returns()
        return self.capacity(now) - self.held - pending

    def remaining_for_team(self, team: int) -> int:
        """What a team's own limit leaves."""
        most = self.team_limits[team]
        return max(0, most - self.held_by_team[team]) if most else self.total

    def units_over_guarantee(self, team: int, more: int = 0) -> int:
        """How far beyond its guarantee a team is, or would be."""
        return self.held_by_team[team] + more - self.team_guarantees[team]


@dataclass(slots=True)
class Commitment:
    """What was stopped for a job is its own, until some time."""

    expires_at: float
    units: dict[int, int]


class Ledger:
    """All counted resources, by dense index."""

    def __init__(self, cluster: ClusterState) -> None:
        """Counts what is assigned in this cluster state."""
        self.cluster = cluster
        self.names = NameIndex()
        self.resources: list[CountedResource] = []
        # Jobs of which some task holds a unit, and of which some waits for one:
        # since when.
        self.jobs_with_units: dict[int, Job] = {}
        self.waiting_since: dict[int, float] = {}
        # By job: since when its units were there for the asking, without a machine.
        self.ready_since: dict[int, float] = {}
        self.commitments: dict[int, Commitment] = {}

    def define(
        self, definition: CountedResourceDefinition, reservation: LicenseReservation | None
    ) -> None:
        """Add a resource; once a term, before jobs are read."""
        number = self.names.add(definition.name)
        assert number == len(self.resources), "defined once a term, before jobs are read"
        self.resources.append(
            CountedResource(definition.name, definition, self.cluster, reservation)
        )

    # -- CountedResourceTracker ----------------------------------------------

    def needs_of(self, spec: Submission) -> tuple[tuple[int, int], ...]:
        """What each task of a job holds: (resource index, count)."""
        try:
            wanted = parse_requested_counts(spec.counted_resources)
        except ProtocolError:
            # Accepted while nothing was counted, so it was never read.
            return ()
        needs = []
        for name, count in sorted(wanted.items()):
            number = self.names.add(name)
            if number == len(self.resources):
                self.resources.append(CountedResource(name, None, self.cluster, None))
            needs.append((number, count))
        return tuple(needs)

    def max_concurrent_tasks(self, spec: Submission) -> int:
        """How many of a job's tasks can ever hold what they need at once."""
        tasks = spec.tasks
        for number, count in self.needs_of(spec):
            tasks = min(tasks, self.resources[number].planning_capacity() // count)
        return tasks

    def assigned(self, run: TaskRun) -> None:
        """A task run was assigned and holds its units from now on."""
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
        """A task run is certainly gone; its units are free."""
        job = run.job
        if not job.runs:
            self.jobs_with_units.pop(job.index, None)
        for number, count in job.counted_needs:
            resource = self.resources[number]
            resource.held -= count
            resource.held_by_team[job.team] -= count
            if resource.reservation is not None:
                # A start that never left this process left no trace anywhere.
                started = run.assignment_durable or not run.ordered_this_term
                resource.reservation.checked_in(holder_name(run.name, run.attempt), count, started)

    # -- questions -------------------------------------------------------------------

    def rejection(self, spec: Submission) -> tuple[int, str] | None:
        """HTTP status and reason if a submission can never get what it asks for; else None."""
        try:
            wanted = parse_requested_counts(spec.counted_resources)
        except ProtocolError as error:
            return error.status, error.reason
        team = self.cluster.team_names.get(spec.team)
        tasks = 1 if spec.shape == ARRAY else spec.tasks
        for name, count in wanted.items():
            number = self.names.get(name)
            resource = self.resources[number] if number >= 0 else None
            if resource is None or resource.definition is None:
                return 422, f"seats: no resource {name!r}"
            once = count * tasks
            if once > resource.total:
                return 422, f"seats: {once} of {name!r} at once, there are {resource.total}"
            if 0 < resource.team_limits[team] < once:
                return 422, f"seats: {once} of {name!r} is more than the team's limit"
        return None

    def holders(self, number: int) -> list[tuple[Job, int]]:
        """Jobs that hold units of a resource, and how many."""
        found = []
        for job in self.jobs_with_units.values():
            count = dict(job.counted_needs).get(number, 0) * len(job.runs)
            if count:
                found.append((job, count))
        return found

    def plan_allocation(self, jobs: list[Job]) -> tuple[dict[int, int], Counter[int]]:
        """Units for jobs in their order of urgency, those that hold some first.

        Returns tasks by job and units by resource: what can be in use at once.
        """
        left = [resource.planning_capacity() for resource in self.resources]
        team_left = [
            [most or resource.total for most in resource.team_limits] for resource in self.resources
        ]
        tasks_of: dict[int, int] = {}
        used: Counter[int] = Counter()
        order = sorted(jobs, key=lambda job: (not job.runs, job.rank, job.submitted))
        for holds_now in (True, False):
            for job in order:
                if not job.counted_needs:
                    continue
                most = len(job.runs) if holds_now else len(job.pending)
                for number, count in job.counted_needs:
                    room = min(left[number], team_left[number][job.team])
                    most = most if holds_now else min(most, max(0, room) // count)
                if job.gang and not holds_now and most < len(job.pending):
                    continue
                for number, count in job.counted_needs:
                    left[number] -= most * count
                    team_left[number][job.team] -= most * count
                    used[number] += most * count
                tasks_of[job.index] = tasks_of.get(job.index, 0) + most
        return tasks_of, used

    def resource_view(self, number: int, now: float) -> dict[str, Any]:
        """One resource, for operators."""
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
