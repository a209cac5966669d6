"""Units in one placement pass: who gets them, for whom they are kept, who stops.

Units are granted only with a place on a machine, and to a gang all at once, so
nothing ever holds a part of what it needs while it waits for the rest. What
keeps many small jobs from starving a large one is that units which fall free
are *kept* for work that has lacked them for long. Whoever is kept for stands in
one order over all resources, oldest first: the first waits for nobody but for
work that runs, so no two can wait for each other.
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
"""So many jobs have units kept at once; the others stand in line behind them."""
STARVE_FACTOR_PER_RANK = 3.0
"""More urgent work yields to what starves only after this many times longer for
each rank between them."""
EARMARK_TIMEOUT_S = 60.0
"""A job that has its units and finds no machine gives way after so long, which
is longer than machines take to come."""
COMMITMENT_MARGIN_S = 10.0
"""Units of work that was stopped are the stopper's for so long, beyond its grace."""


@dataclass(slots=True)
class Earmark:
    """A job for which units are kept."""

    job: Job
    waiting_since: float
    units: dict[int, int]
    is_committed: bool
    initial_run_count: int
    limited_by_team: bool
    """Its own team's limit is in its way: only that team leaves anything for it,
    for what others left would lie idle."""

    def is_started(self) -> bool:
        """It got its start in this pass."""
        return not self.is_committed and len(self.job.runs) > self.initial_run_count


class Allocator:
    """Implements ``placement.counted_resource_interfaces.CountedResourcePass``."""

    def __init__(self, ledger: Ledger, now: float, starve_s: float) -> None:
        """For one placement pass; work that lacked units for ``starve_s`` seconds has units kept
        for it."""
        self._ledger = ledger
        self._now = now
        self._starve_s = starve_s
        self._free = [resource.free(now) for resource in ledger.resources]
        self._held = [resource.held for resource in ledger.resources]
        self._lacking: set[int] = set()
        # Jobs that asked, with the tasks they had on machines by then.
        self._asked: dict[int, int] = {}
        self._earmarks = self._enqueue_waiting()
        self._coming: Counter[int] | None = None

    # -- who is kept for -------------------------------------------------------------

    def _enqueue_waiting(self) -> list[Earmark]:
        """Promises first, then what starves, the oldest first."""
        ledger, now = self._ledger, self._now
        earmarks = []
        for index, commitment in list(ledger.commitments.items()):
            job = self._waits(index)
            if job is None or commitment.expires_at < now or not any(commitment.units.values()):
                del ledger.commitments[index]
            else:
                earmarks.append(Earmark(job, now, commitment.units, True, len(job.runs), False))
        lasting = self._lasting()
        for index, since in sorted(ledger.waiting_since.items(), key=lambda entry: entry[1]):
            job = self._waits(index)
            if job is None:
                del ledger.waiting_since[index]
                ledger.ready_since.pop(index, None)
                continue
            if now - since < self._starve_s or len(earmarks) >= MAX_EARMARKS:
                continue
            if index in ledger.commitments or job.backoff_until > now or (job.gang and job.runs):
                continue
            needs = self._needs(job)
            ever = {r: ledger.resources[r].capacity(now) - lasting[r] for r in needs}
            if any(count > ever[r] for r, count in needs.items()):
                # What it lacks does not come by itself. Once a job that waited
                # for one resource, all of it held by services, left three units
                # of another idle for minutes.
                continue
            own = any(
                count > ledger.resources[r].remaining_for_team(job.team)
                for r, count in needs.items()
            )
            earmarks.append(Earmark(job, since, needs, False, len(job.runs), own))
        return earmarks

    def _lasting(self) -> Counter[int]:
        """Units of work that need never end, by resource."""
        lasting: Counter[int] = Counter()
        for job in self._ledger.jobs_with_units.values() if self._ledger.waiting_since else ():
            for number, count in job.counted_needs if job.service else ():
                lasting[number] += count * len(job.runs)
        return lasting

    def _waits(self, index: int) -> Job | None:
        job = self._ledger.cluster.jobs.get(index)
        return None if job is None or not job.pending or job.status != OPEN else job

    @staticmethod
    def _needs(job: Job) -> dict[int, int]:
        """What a start of it takes: a gang's tasks all at once, else one task."""
        tasks = len(job.pending) if job.gang else 1
        return {number: count * tasks for number, count in job.counted_needs}

    def _yields(self, job: Job, earmark: Earmark) -> bool:
        """Must this job leave what is kept for that one?"""
        ranks = max(0, earmark.job.rank - job.rank)
        waited = self._now - earmark.waiting_since
        return earmark.is_committed or waited >= self._starve_s * (
            1.0 + STARVE_FACTOR_PER_RANK * ranks
        )

    def _kept(self, job: Job, number: int) -> tuple[int, int]:
        """Units kept for others, and for others of its team within the team's limit.

        Who stands in line yields only to those before.
        """
        kept = team = 0
        for earmark in self._earmarks:
            if earmark.job is job:
                break
            if earmark.is_started() or not self._yields(job, earmark):
                continue
            count = earmark.units.get(number, 0)
            kept += 0 if earmark.limited_by_team else count
            team += count if earmark.job.team == job.team else 0
        return kept, team

    def _open(self, job: Job, number: int) -> int:
        """Units that are free and not kept for others."""
        return max(0, self._left(number) - self._kept(job, number)[0])

    # -- grants --------------------------------------------------------------------------

    def _left(self, number: int) -> int:
        """Free units, less what this pass has granted so far."""
        return self._free[number] - (self._ledger.resources[number].held - self._held[number])

    def max_tasks(self, job: Job, most: int) -> int:
        """How many of a job's tasks may hold what they need now, ``most`` at most."""
        self._asked.setdefault(job.index, len(job.runs))
        for number, count in job.counted_needs:
            kept, of_team = self._kept(job, number)
            resource = self._ledger.resources[number]
            free = min(self._left(number) - kept, resource.remaining_for_team(job.team) - of_team)
            most = min(most, max(0, free) // count)
        return 0 if job.gang and most < len(job.pending) else most

    def would_borrow(self, job: Job) -> bool:
        """Whether the job's next start would take its team beyond a guarantee."""
        tasks = len(job.pending) if job.gang else 1
        resources = self._ledger.resources
        return any(
            any(resources[number].team_guarantees)
            and resources[number].units_over_guarantee(job.team, count * tasks) > 0
            for number, count in job.counted_needs
        )

    def no_machine_for(self, job: Job) -> None:
        """The job could have its units but found no machine; after a while its earmark passes."""
        ledger = self._ledger
        since = ledger.ready_since.setdefault(job.index, self._now)
        if self._now - since > EARMARK_TIMEOUT_S:
            # It had its earmark. What is kept for it any longer lies idle.
            del ledger.ready_since[job.index]
            ledger.commitments.pop(job.index, None)
            if job.index in ledger.waiting_since:
                ledger.waiting_since[job.index] = self._now

    def close(self) -> None:
        """End of the pass: remember who lacked units and since when."""
        ledger = self._ledger
        for index, before in self._asked.items():
            job = self._waits(index)
            started = job is not None and len(job.runs) > before
            if job is None or started:
                ledger.waiting_since.pop(index, None)
                ledger.ready_since.pop(index, None)
            if job is not None and index in self._lacking:
                # Work that got some of its tasks started does not starve.
                ledger.waiting_since.setdefault(index, self._now)

    # -- whom to stop -----------------------------------------------------------------------

    def runs_to_stop(self) -> list[TaskRun]:
        """Task runs to stop for totals lowered under the rule STOP; their grace is set."""
        chosen: list[TaskRun] = []
        for number, resource in enumerate(self._ledger.resources):
            definition = resource.definition
            if definition is None or definition.when_lowered != STOP:
                continue
            over = resource.held - resource.total - self._all_coming()[number]
            for some in self._candidates(number, lambda run: True) if over > 0 else ():
                if over <= 0:
                    break
                over -= len(some) * dict(some[0].job.counted_needs)[number]
                chosen += some
                self._stop(some)
        return chosen

    def tasks_lacking(self, job: Job, tasks: int, urgent: bool) -> list[TaskRun]:
        """Note that tasks lack units; returns task runs to stop for them if ``urgent``."""
        self._lacking.add(job.index)
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
        # What it is granted in this pass is still to be placed.
        granted = made = len(job.pending) - tasks
        while made + step <= min(granted + tasks, most):
            some = self._room_for(job, made + step)
            if some is None:
                break
            self._stop(some)
            chosen += some
            made += step
        if chosen:
            needs = {number: made * count for number, count in job.counted_needs}
            grace = max(stop_grace_s(run) for run in chosen)
            self._ledger.commitments[job.index] = Commitment(
                self._now + grace + COMMITMENT_MARGIN_S, needs
            )
        return chosen

    def _room_for(self, job: Job, tasks: int) -> list[TaskRun] | None:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
        """Just enough holders to stop for so many tasks; None: it can't be."""
        chosen: list[TaskRun] = []
        freed: Counter[int] = Counter()
        for number, count in job.counted_needs:
            resource = self._ledger.resources[number]
            missing = count * tasks - self._open(job, number)
            missing -= self._spare_coming(number) + freed[number]
            if missing <= 0:
                continue
            borrows = resource.units_over_guarantee(job.team, count * tasks) > 0
            borrowers = set() if borrows else self._borrowers(job, number)

            def may(run: TaskRun, borrowers: set[int] = borrowers) -> bool:
                return run.job.rank > job.rank or run.job.team in borrowers

            owed: Counter[int] = Counter()
            for some in self._candidates(number, may):
                if missing <= 0:
                    break
                victim = some[0].job
                seats = len(some) * dict(victim.counted_needs)[number]
                if some[0] in chosen:
                    continue
                if victim.rank <= job.rank or (borrows and resource.team_guarantees[victim.team]):
                    # Only what is beyond the other team's own guarantee. Once a
                    # critical job that borrowed and one that was owed stopped
                    # each other 150 times in four minutes.
                    if resource.units_over_guarantee(victim.team) - owed[victim.team] < seats:
                        continue
                    owed[victim.team] += seats
                chosen += some
                missing -= seats
                for other, each in victim.counted_needs:
                    freed[other] += each * len(some)
            if missing > 0:
                return None
        return chosen

    def _borrowers(self, job: Job, number: int) -> set[int]:
        """Teams that hold beyond their guarantee what this job's team is owed."""
        resource = self._ledger.resources[number]
        teams = range(len(resource.held_by_team))
        return {
            team for team in teams if team != job.team and resource.units_over_guarantee(team) > 0
        }

    def _candidates(self, number: int, may: Callable[[TaskRun], bool]) -> Iterator[list[TaskRun]]:
        """Holders that may stop, a gang whole: the least urgent, then what loses least."""
        groups: list[list[TaskRun]] = []
        for job, _ in self._ledger.holders(number):
            runs = [
                run
                for run in job.runs.values()
                if run.stop_grace_s is None and run.state not in (EXITED, ASSIGNED) and may(run)
            ]
            if not job.gang:
                groups += [[run] for run in runs]
            elif runs and len(runs) == len(job.runs):
                groups.append(runs)
        now = self._now

        def cost(some: list[TaskRun]) -> tuple[int, float]:
            return (-some[0].job.rank, sum(lost_work_s(run, now) for run in some) / len(some))

        yield from sorted(groups, key=cost)

    # -- what stops already ------------------------------------------------------------------

    def _stop(self, some: list[TaskRun]) -> None:
        coming = self._all_coming()
        for run in some:
            run.stop_grace_s = stop_grace_s(run)
            for number, count in run.job.counted_needs:
                coming[number] += count

    def _all_coming(self) -> Counter[int]:
        """Units of work that is being stopped, by resource."""
        if self._coming is None:
            self._coming = Counter()
            for job in self._ledger.jobs_with_units.values():
                stopping = sum(1 for run in job.runs.values() if run.stop_grace_s is not None)
                for number, count in job.counted_needs if stopping else ():
                    self._coming[number] += count * stopping
        return self._coming

    def _spare_coming(self, number: int) -> int:
        """Units that stops will free and that nobody was committed."""
        promised = sum(
            earmark.units.get(number, 0) for earmark in self._earmarks if earmark.is_committed
        )
        owed = max(0, promised - max(0, self._left(number)))
        return max(0, self._all_coming()[number] - owed)
