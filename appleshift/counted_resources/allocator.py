"""Allocates units of counted resources in one placement pass.

Units are granted only together with room on a machine, and to all tasks of a gang
at once, so no job holds some of its units while it waits for the others.

To keep many small jobs from starving a large one, units that become free are
*earmarked* for jobs that have lacked units for long. The earmarked jobs of all
resources form one list, oldest first. The first of them waits only for running
tasks, so earmarked jobs cannot deadlock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from appleshift.counted_resources.ledger import Commitment, Ledger
from appleshift.placement.fit import lost_work_s, stop_grace_s
from appleshift.protocol.counted_resources import STOP
from appleshift.state.entities import Job, TaskRun
from appleshift.state.states import ASSIGNED, EXITED, OPEN

MAX_EARMARKS = 8
"""Most jobs with earmarked units at a time; other waiting jobs get earmarks after them."""
STARVE_FACTOR_PER_RANK = 3.0
"""A job yields to a less urgent earmarked job only once that has waited ``starve_s`` times
1 plus this factor for each rank between them."""
EARMARK_TIMEOUT_S = 60.0
"""Seconds after which a job whose units are available but which finds no machine loses its
earmark; longer than a new machine takes to boot."""
COMMITMENT_MARGIN_S = 10.0
"""Seconds beyond the stop grace for which the units of stopped tasks stay committed to the
job that they were stopped for."""


@dataclass(slots=True)
class Earmark:
    """A waiting job and the units that are earmarked for it."""

    job: Job
    lacking_since: float
    """Monotonic time since which the job has lacked units; of a commitment, that of the pass."""
    units: dict[int, int]
    """By resource index."""
    is_committed: bool
    """Whether task runs were stopped to free the units for the job (``ledger.Commitment``)."""
    initial_run_count: int
    """Number of the job's task runs when the pass began."""
    limited_by_team: bool
    """The job waits because of its own team's limit. Only jobs of that team yield to it:
    units that jobs of other teams left free for it would stay idle."""

    def is_started(self) -> bool:
        """Whether a task of the job was started in this pass; always False for a commitment."""
        return not self.is_committed and len(self.job.runs) > self.initial_run_count


class Allocator:
    """Implements ``placement.counted_resource_interfaces.CountedResourcePass``."""

    def __init__(self, ledger: Ledger, now: float, starve_s: float) -> None:
        """Begin a placement pass at monotonic time ``now`` in seconds.

        Units are earmarked for jobs that have lacked units for ``starve_s`` seconds.
        """
        self._ledger = ledger
        self._now = now
        self._starve_s = starve_s
        self._free = [resource.free(now) for resource in ledger.resources]
        self._held = [resource.held for resource in ledger.resources]
        self._lacking_jobs: set[int] = set()
        # By job index: the number of runs when the job first requested units in this pass.
        self._runs_at_first_request: dict[int, int] = {}
        self._earmarks = self._create_earmarks()
        self._stopping_units: Counter[int] | None = None

    # -- earmarks --------------------------------------------------------------------

    def _create_earmarks(self) -> list[Earmark]:
        """Return commitments first, then jobs that lack units, those that waited longest first.

        Also drops expired commitments and the waiting times of jobs that no longer wait.
        """
        ledger, now = self._ledger, self._now
        earmarks = []
        for index, commitment in list(ledger.commitments.items()):
            job = self._pending_job(index)
            if job is None or commitment.expires_at < now or not any(commitment.units.values()):
                del ledger.commitments[index]
            else:
                earmarks.append(Earmark(job, now, commitment.units, True, len(job.runs), False))
        service_units = self._units_held_by_services()
        for index, since in sorted(ledger.waiting_since.items(), key=lambda entry: entry[1]):
            job = self._pending_job(index)
            if job is None:
                del ledger.waiting_since[index]
                ledger.ready_since.pop(index, None)
                continue
            if now - since < self._starve_s or len(earmarks) >= MAX_EARMARKS:
                continue
            if index in ledger.commitments or job.backoff_until > now or (job.gang and job.runs):
                continue
            needs = self._units_for_start(job)
            obtainable = {r: ledger.resources[r].capacity(now) - service_units[r] for r in needs}
            if any(count > obtainable[r] for r, count in needs.items()):
                # Services, which may run forever, hold what the job lacks. An earmark would
                # leave units of its other resources idle: a job that waited for a
                # resource held by services once blocked three units of another for
                # minutes.
                continue
            limited_by_team = any(
                count > ledger.resources[r].remaining_for_team(job.team)
                for r, count in needs.items()
            )
            earmarks.append(Earmark(job, since, needs, False, len(job.runs), limited_by_team))
        return earmarks

    def _units_held_by_services(self) -> Counter[int]:
        """Return the units held by services, which may run forever, by resource index."""
        service_units: Counter[int] = Counter()
        for job in self._ledger.jobs_with_units.values() if self._ledger.waiting_since else ():
            for number, count in job.counted_needs if job.service else ():
                service_units[number] += count * len(job.runs)
        return service_units

    def _pending_job(self, index: int) -> Job | None:
        """Return the job with this index if it is open and has pending tasks, else None."""
        job = self._ledger.cluster.jobs.get(index)
        return None if job is None or not job.pending or job.status != OPEN else job

    @staticmethod
    def _units_for_start(job: Job) -> dict[int, int]:
        """Return the units for the job's next start: all tasks of a gang, else one task."""
        tasks = len(job.pending) if job.gang else 1
        return {number: count * tasks for number, count in job.counted_needs}

    def _must_yield(self, job: Job, earmark: Earmark) -> bool:
        """Whether the job may not take the units that are earmarked for another job.

        Units committed to a job are never taken. Other units earmarked for a less urgent job
        may be taken until that job has waited longer, by ``STARVE_FACTOR_PER_RANK`` times
        ``starve_s`` for each rank between the two.
        """
        ranks_between = max(0, earmark.job.rank - job.rank)
        waited = self._now - earmark.lacking_since
        return earmark.is_committed or waited >= self._starve_s * (
            1.0 + STARVE_FACTOR_PER_RANK * ranks_between
        )

    def _earmarked_units(self, job: Job, number: int) -> tuple[int, int]:
        """Return the units earmarked for other jobs, and those for other jobs of its team.

        The first figure counts against the free units, the second against the team's
        limit. An earmarked job yields only to earmarks ahead of its own.
        """
        earmarked = team = 0
        for earmark in self._earmarks:
            if earmark.job is job:
                break
            if earmark.is_started() or not self._must_yield(job, earmark):
                continue
            count = earmark.units.get(number, 0)
            earmarked += 0 if earmark.limited_by_team else count
            team += count if earmark.job.team == job.team else 0
        return earmarked, team

    def _available_units(self, job: Job, number: int) -> int:
        """Return the units that are free and not earmarked for other jobs."""
        return max(0, self._unallocated_units(number) - self._earmarked_units(job, number)[0])

    # -- grants --------------------------------------------------------------------------

    def _unallocated_units(self, number: int) -> int:
        """Return the free units less those that this pass has granted so far."""
        return self._free[number] - (self._ledger.resources[number].held - self._held[number])

    def max_tasks(self, job: Job, most: int) -> int:
        """Return for how many of a job's tasks units are available now, at most ``most``.

        For a gang it is either all pending tasks or 0.
        """
        self._runs_at_first_request.setdefault(job.index, len(job.runs))
        for number, count in job.counted_needs:
            earmarked, team_earmarked = self._earmarked_units(job, number)
            resource = self._ledger.resources[number]
            free = min(
                self._unallocated_units(number) - earmarked,
                resource.remaining_for_team(job.team) - team_earmarked,
            )
            most = min(most, max(0, free) // count)
        return 0 if job.gang and most < len(job.pending) else most

    def would_borrow(self, job: Job) -> bool:
        """Whether the job's next start would take its team beyond its guarantee of a resource.

        Resources of which no team has a guarantee do not count.
        """
        tasks = len(job.pending) if job.gang else 1
        resources = self._ledger.resources
        return any(
            any(resources[number].team_guarantees)
            and resources[number].units_over_guarantee(job.team, count * tasks) > 0
            for number, count in job.counted_needs
        )

    def no_machine_for(self, job: Job) -> None:
        """Note that the job's units were available but no machine had room for it.

        After ``EARMARK_TIMEOUT_S`` seconds of this the job loses its earmark.
        """
        ledger = self._ledger
        since = ledger.ready_since.setdefault(job.index, self._now)
        if self._now - since > EARMARK_TIMEOUT_S:
            # Its earmarked units would stay idle: its waiting time starts anew.
            del ledger.ready_since[job.index]
            ledger.commitments.pop(job.index, None)
            if job.index in ledger.waiting_since:
                ledger.waiting_since[job.index] = self._now

    def close(self) -> None:
        """End the pass: record which jobs lack units and since when."""
        ledger = self._ledger
        for index, runs_before in self._runs_at_first_request.items():
            job = self._pending_job(index)
            started = job is not None and len(job.runs) > runs_before
            if job is None or started:
                ledger.waiting_since.pop(index, None)
                ledger.ready_since.pop(index, None)
            if job is not None and index in self._lacking_jobs:
                # A job that started a task in this pass begins to wait anew.
                ledger.waiting_since.setdefault(index, self._now)

    # -- preemption -------------------------------------------------------------------------

    def runs_to_stop(self) -> list[TaskRun]:
        """Return task runs to stop because a total was lowered under the rule STOP.

        Sets their ``stop_grace_s``.
        """
        chosen: list[TaskRun] = []
        for number, resource in enumerate(self._ledger.resources):
            definition = resource.definition
            if definition is None or definition.when_lowered != STOP:
                continue
            over = resource.held - resource.total - self._units_being_stopped()[number]
            for group in self._stop_candidates(number, lambda run: True) if over > 0 else ():
                if over <= 0:
                    break
                over -= len(group) * dict(group[0].job.counted_needs)[number]
                chosen += group
                self._mark_as_stopping(group)
        return chosen

    def tasks_lacking(self, job: Job, tasks: int, urgent: bool) -> list[TaskRun]:
        """Note that ``tasks`` tasks of the job lack units.

        If ``urgent``, returns task runs to stop for them, with their ``stop_grace_s`` set,
        and commits their units to the job.
        """
        self._lacking_jobs.add(job.index)
        self._ledger.ready_since.pop(job.index, None)
        if not urgent or job.index in self._ledger.commitments or (job.gang and job.runs):
            return []
        resources = self._ledger.resources
        most = min(
            resources[number].remaining_for_team(job.team) // count
            for number, count in job.counted_needs
        )
        step = tasks if job.gang else 1
        chosen: list[TaskRun] = []
        # Tasks that were granted units in this pass are pending until they are placed.
        granted = startable = len(job.pending) - tasks
        while startable + step <= min(granted + tasks, most):
            victims = self._select_holders_to_stop(job, startable + step)
            if victims is None:
                break
            self._mark_as_stopping(victims)
            chosen += victims
            startable += step
        if chosen:
            needs = {number: startable * count for number, count in job.counted_needs}
            grace = max(stop_grace_s(run) for run in chosen)
            self._ledger.commitments[job.index] = Commitment(
                self._now + grace + COMMITMENT_MARGIN_S, needs
            )
        return chosen

    def _select_holders_to_stop(self, job: Job, tasks: int) -> list[TaskRun] | None:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
        """Return just enough task runs to stop so that ``tasks`` tasks of the job can start.

        Returns None if stopping all permitted task runs would not free enough units.
        """
        chosen: list[TaskRun] = []
        freed: Counter[int] = Counter()
        for number, count in job.counted_needs:
            resource = self._ledger.resources[number]
            missing = count * tasks - self._available_units(job, number)
            missing -= self._uncommitted_stopping_units(number) + freed[number]
            if missing <= 0:
                continue
            borrows = resource.units_over_guarantee(job.team, count * tasks) > 0
            borrowers = set() if borrows else self._teams_over_guarantee(job, number)

            def may_stop(run: TaskRun, borrowers: set[int] = borrowers) -> bool:
                return run.job.rank > job.rank or run.job.team in borrowers

            taken_by_team: Counter[int] = Counter()
            for group in self._stop_candidates(number, may_stop):
                if missing <= 0:
                    break
                victim = group[0].job
                units = len(group) * dict(victim.counted_needs)[number]
                if group[0] in chosen:
                    continue
                if victim.rank <= job.rank or (borrows and resource.team_guarantees[victim.team]):
                    # Take only units beyond the other team's guarantee. Without this, a
                    # critical job that borrowed and a job within its guarantee stopped
                    # each other 150 times in four minutes.
                    if (
                        resource.units_over_guarantee(victim.team) - taken_by_team[victim.team]
                        < units
                    ):
                        continue
                    taken_by_team[victim.team] += units
                chosen += group
                missing -= units
                for other, each in victim.counted_needs:
                    freed[other] += each * len(group)
            if missing > 0:
                return None
        return chosen

    def _teams_over_guarantee(self, job: Job, number: int) -> set[int]:
        """Return the teams, except the job's own, that hold more units than their guarantee."""
        resource = self._ledger.resources[number]
        teams = range(len(resource.held_by_team))
        return {
            team for team in teams if team != job.team and resource.units_over_guarantee(team) > 0
        }

    def _stop_candidates(
        self, number: int, may_stop: Callable[[TaskRun], bool]
    ) -> Iterator[list[TaskRun]]:
        """Yield groups of task runs that may be stopped together, cheapest first.

        A group is one task run or a whole gang. Groups are ordered by priority, least
        urgent first, then by the mean work that each task run would lose.
        """
        groups: list[list[TaskRun]] = []
        for job, _ in self._ledger.holders(number):
            runs = [
                run
                for run in job.runs.values()
                if run.stop_grace_s is None
                and run.state not in (EXITED, ASSIGNED)
                and may_stop(run)
            ]
            if not job.gang:
                groups += [[run] for run in runs]
            elif runs and len(runs) == len(job.runs):
                groups.append(runs)
        now = self._now

        def cost(group: list[TaskRun]) -> tuple[int, float]:
            return (-group[0].job.rank, sum(lost_work_s(run, now) for run in group) / len(group))

        yield from sorted(groups, key=cost)

    # -- tasks that are being stopped --------------------------------------------------------

    def _mark_as_stopping(self, runs: list[TaskRun]) -> None:
        """Set the stop grace of the task runs and count their units as being freed."""
        stopping_units = self._units_being_stopped()
        for run in runs:
            run.stop_grace_s = stop_grace_s(run)
            for number, count in run.job.counted_needs:
                stopping_units[number] += count

    def _units_being_stopped(self) -> Counter[int]:
        """Return the units held by task runs that are being stopped, by resource index."""
        if self._stopping_units is None:
            self._stopping_units = Counter()
            for job in self._ledger.jobs_with_units.values():
                stopping = sum(1 for run in job.runs.values() if run.stop_grace_s is not None)
                for number, count in job.counted_needs if stopping else ():
                    self._stopping_units[number] += count * stopping
        return self._stopping_units

    def _uncommitted_stopping_units(self, number: int) -> int:
        """Return the units that stopping task runs will free and that no commitment covers."""
        committed = sum(
            earmark.units.get(number, 0) for earmark in self._earmarks if earmark.is_committed
        )
        committed_not_free = max(0, committed - max(0, self._unallocated_units(number)))
        return max(0, self._units_being_stopped()[number] - committed_not_free)
