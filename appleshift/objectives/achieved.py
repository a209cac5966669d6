"""What part of its jobs each class and each team had served, by the service's own counts.

Operators give a day up if one class of jobs, or one team, is served less than half,
however well the others fare. Placement cannot see that from the jobs that wait: the
least work first keeps the number of late jobs down, and a team whose arrays are larger
than those of all others waits for as long as the others have work. So what became of
the jobs of the last minutes is counted here, told in the log when a part is low, and
teams that are far behind go first among jobs of the same priority.

For its class, a job counts for each aim on its own; for its team it was served if it
met the loosest aim of each kind.

Jobs are looked at from time to time, not followed: what starts and ends between two
looks is dated by the second. Counts are of one term; a new leader begins anew.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from appleshift.objectives.objectives import ObjectiveDeadline, Objectives
from appleshift.objectives.sliding_ratio import SlidingRatio
from appleshift.state.cluster_state import CANCELLED, FINISHED, ClusterState, Job

log = logging.getLogger(__name__)

LOOK_S = 1.0
SAY_S = 30.0
LOW = 0.75
"""A part below this is said."""
BEHIND = 0.6
AHEAD = 0.7
"""A team is behind below the first, until it is above the second, and only while
another team fares better by the difference and more: where all have too little,
nobody is put first."""
FEW = 6
"""Of so few jobs a part says nothing."""
START_S = 240.0
"""Within this a job is to start if nobody said how soon: the operators' own bound."""


@dataclass(slots=True)
class _TrackedJob:
    """A job that is not over, with the aims that are not decided yet."""

    job: Job
    open: list[ObjectiveDeadline]
    missed: bool = False
    judged: bool = False
    started: bool = False


class AchievedObjectives:
    """Of one term of a share; the core's routine asks and writes it."""

    def __init__(
        self, cluster: ClusterState, objectives: Objectives, now: float, wall: float
    ) -> None:
        self._cluster = cluster
        self._objectives = objectives
        self._next_check = now
        self._next_log = now + SAY_S
        self._tracked: dict[int, _TrackedJob] = {}
        self._ratios = SlidingRatio(now)
        self._began = wall

    # -- looking -----------------------------------------------------------------

    def step(self, now: float, wall: float) -> None:
        if now < self._next_check:
            return
        self._next_check = now + LOOK_S
        self._ratios.rotate(now)
        jobs = self._cluster.jobs
        for index, job in jobs.items():
            seen = self._tracked.get(index)
            if seen is None:
                if not job.accepted or job.key != job.spec.id:
                    # A portion is judged with its whole, where that is.
                    continue
                seen = self._tracked[index] = self._track(job)
            self._check_deadlines(seen, now, wall)
        for index in [index for index in self._tracked if index not in jobs]:
            self._job_ended(self._tracked.pop(index), wall)
        self._compare_teams()
        if now >= self._next_log:
            self._next_log = now + SAY_S
            self._log_low_ratios()

    def _track(self, job: Job) -> _TrackedJob:
        seen = _TrackedJob(job, self._objectives.deadlines(job, START_S))
        if job.submitted < self._began and job.last_attempt > 0:
            # It started in an earlier term, and nobody here knows when.
            seen.started = True
            seen.open = [due for due in seen.open if not due.concerns_start]
        return seen

    def _check_deadlines(self, seen: _TrackedJob, now: float, wall: float) -> None:
        job = seen.job
        if not seen.started and job.last_attempt > 0:
            since = [run.running_since for run in job.runs.values() if run.running_since]
            if since or job.done_count:
                seen.started = True
                self._job_reached(seen, wall - now + min(since, default=now), started=True)
        if job.status == FINISHED:
            self._job_reached(seen, wall, started=False)
        for due in [due for due in seen.open if due.due_at < wall]:
            self._decide(seen, due, False)
        if not seen.open:
            self._judge(seen)

    def _job_ended(self, seen: _TrackedJob, wall: float) -> None:
        if seen.job.status == CANCELLED:
            # Its user wants it no more: what was open is not judged.
            if not seen.job.service or not seen.started:
                return
            seen.open.clear()
        self._job_reached(seen, wall, started=True)
        self._job_reached(seen, wall, started=False)
        self._judge(seen)

    def _job_reached(self, seen: _TrackedJob, at: float, started: bool) -> None:
        """It started, or ended, at a time: all aims about that are decided."""
        for due in [due for due in seen.open if due.concerns_start == started]:
            self._decide(seen, due, at <= due.due_at)

    def _decide(self, seen: _TrackedJob, due: ObjectiveDeadline, well: bool) -> None:
        seen.open.remove(due)
        seen.missed = seen.missed or (due.loosest and not well)
        self._ratios.record(("class", seen.job.spec.job_class, due.label), well)

    def _judge(self, seen: _TrackedJob) -> None:
        if not seen.judged:
            seen.judged = True
            self._ratios.record(("team", seen.job.spec.team), not seen.missed)

    # -- what follows -----------------------------------------------------------------

    def ratios(self) -> dict[tuple[str, ...], tuple[float, int]]:
        """By ("class", name, aim) and ("team", name): the part served, and of how many."""
        return {key: (part, total) for key, part, total in self._ratios.all() if total >= FEW}

    def _compare_teams(self) -> None:
        parts = {key[1]: part for key, (part, _) in self.ratios().items() if key[0] == "team"}
        best = max(parts.values(), default=0.0)
        behind = self._objectives.teams_behind
        for number, team in enumerate(self._cluster.teams):
            name = team.limits.name
            part = parts.get(name, 1.0)
            if number in behind and (part > AHEAD or part > best - (AHEAD - BEHIND) / 2):
                behind.discard(number)
                log.info("team %s has %.2f of its jobs served: it goes first no more", name, part)
            elif number not in behind and part < min(BEHIND, best - (AHEAD - BEHIND)):
                behind.add(number)
                log.warning("team %s has %.2f of its jobs served: it goes first", name, part)

    def _log_low_ratios(self) -> None:
        low = [
            f"{' '.join(key)} {part:.2f} of {total}"
            for key, (part, total) in self.ratios().items()
            if part < LOW
        ]
        if low:
            log.warning("served below %.2f in the last minutes: %s", LOW, ", ".join(low))
