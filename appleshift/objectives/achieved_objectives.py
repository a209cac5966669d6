"""Which part of its jobs each class and each team had served, by the service's own counts.

Operators give a day up if one class of jobs, or one team, is served less than half,
however well the others fare. Placement cannot see that from the jobs that wait: the
least work first keeps the number of late jobs down, and a team whose arrays are larger
than those of all others waits for as long as the others have work. So the outcomes of
the last minutes are counted here, a low ratio is logged, and teams that are far behind
go first among jobs of the same priority.

For its class, a job counts for each objective on its own; for its team it was served if
it met the loosest objective of each kind.

Jobs are polled, not followed: what starts and ends between two checks is dated to the
second. Counts are of one leader term; a new leader starts with none.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from appleshift.objectives.objectives import ObjectiveDeadline, Objectives
from appleshift.objectives.sliding_ratio import SlidingRatio
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.states import CANCELLED, FINISHED

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
LOG_INTERVAL_S = 30.0
LOW_RATIO = 0.75
"""Ratios below this are logged."""
BEHIND_BELOW = 0.6
CAUGHT_UP_ABOVE = 0.7
"""A team is behind below the first, until it is above the second, and only while
another team fares better by the difference and more: where all have too little,
nobody is put first."""
MIN_JOBS = 6
"""A ratio of fewer jobs than these means nothing."""
DEFAULT_START_S = 240.0
"""Within this a job is to start if its class has no objective: the operators' own bound."""


@dataclass(slots=True)
class _TrackedJob:
    """A job that is not over, with its objectives that are not decided yet."""

    job: Job
    undecided: list[ObjectiveDeadline]
    missed: bool = False
    """Whether it missed the loosest objective of a kind."""
    judged: bool = False
    """Whether it was counted for its team."""
    started: bool = False


class AchievedObjectives:
    """The outcomes of one leader term of a shard; only the scheduler's thread may use it."""

    def __init__(
        self, cluster: ClusterState, objectives: Objectives, now: float, wall: float
    ) -> None:
        """Begin a term at monotonic time ``now`` and wall time ``wall``, in seconds."""
        self._cluster = cluster
        self._objectives = objectives
        self._next_check = now
        self._next_log = now + LOG_INTERVAL_S
        self._tracked: dict[int, _TrackedJob] = {}
        self._ratios = SlidingRatio(now)
        self._term_start = wall

    # -- outcomes of jobs --------------------------------------------------------------

    def step(self, now: float, wall: float) -> None:
        """Check all jobs, update which teams are behind, and log low ratios, where due."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_S
        self._ratios.rotate(now)
        jobs = self._cluster.jobs
        for index, job in jobs.items():
            tracked = self._tracked.get(index)
            if tracked is None:
                if not job.accepted or job.key != job.spec.id:
                    # A partition of an array is judged with its whole, in another shard.
                    continue
                tracked = self._tracked[index] = self._track(job)
            self._check_deadlines(tracked, now, wall)
        for index in [index for index in self._tracked if index not in jobs]:
            self._job_ended(self._tracked.pop(index), wall)
        self._compare_teams()
        if now >= self._next_log:
            self._next_log = now + LOG_INTERVAL_S
            self._log_low_ratios()

    def _track(self, job: Job) -> _TrackedJob:
        tracked = _TrackedJob(job, self._objectives.deadlines(job, DEFAULT_START_S))
        if job.submitted < self._term_start and job.last_attempt > 0:
            # It started in an earlier term, at a time that this leader does not know.
            tracked.started = True
            tracked.undecided = [due for due in tracked.undecided if not due.concerns_start]
        return tracked

    def _check_deadlines(self, tracked: _TrackedJob, now: float, wall: float) -> None:
        job = tracked.job
        if not tracked.started and job.last_attempt > 0:
            since = [run.running_since for run in job.runs.values() if run.running_since]
            if since or job.done_count:
                tracked.started = True
                self._job_started(tracked, wall - now + min(since, default=now))
        if job.status == FINISHED:
            self._job_finished(tracked, wall)
        for due in [due for due in tracked.undecided if due.due_at < wall]:
            self._decide(tracked, due, False)
        if not tracked.undecided:
            self._judge(tracked)

    def _job_ended(self, tracked: _TrackedJob, wall: float) -> None:
        if tracked.job.status == CANCELLED:
            # Its user wants it no more: what was undecided is not judged.
            if not tracked.job.service or not tracked.started:
                return
            tracked.undecided.clear()
        self._job_started(tracked, wall)
        self._job_finished(tracked, wall)
        self._judge(tracked)

    def _job_started(self, tracked: _TrackedJob, at: float) -> None:
        """Decide all objectives of a job's start, at a wall time."""
        for due in [due for due in tracked.undecided if due.concerns_start]:
            self._decide(tracked, due, at <= due.due_at)

    def _job_finished(self, tracked: _TrackedJob, at: float) -> None:
        """Decide all objectives of a job's end, at a wall time."""
        for due in [due for due in tracked.undecided if not due.concerns_start]:
            self._decide(tracked, due, at <= due.due_at)

    def _decide(self, tracked: _TrackedJob, due: ObjectiveDeadline, met: bool) -> None:
        tracked.undecided.remove(due)
        tracked.missed = tracked.missed or (due.loosest and not met)
        self._ratios.record(("class", tracked.job.spec.job_class, due.label), met)

    def _judge(self, tracked: _TrackedJob) -> None:
        """Count a job for its team, once."""
        if not tracked.judged:
            tracked.judged = True
            self._ratios.record(("team", tracked.job.spec.team), not tracked.missed)

    # -- what follows from them --------------------------------------------------------

    def ratios(self) -> dict[tuple[str, ...], tuple[float, int]]:
        """By ("class", name, objective) and ("team", name): the ratio served, of how many."""
        return {
            key: (ratio, total) for key, ratio, total in self._ratios.all() if total >= MIN_JOBS
        }

    def _compare_teams(self) -> None:
        """Update which teams are behind."""
        ratios = {key[1]: ratio for key, (ratio, _) in self.ratios().items() if key[0] == "team"}
        best = max(ratios.values(), default=0.0)
        margin = CAUGHT_UP_ABOVE - BEHIND_BELOW
        behind = self._objectives.teams_behind
        for number, team in enumerate(self._cluster.teams):
            name = team.limits.name
            ratio = ratios.get(name, 1.0)
            if number in behind and (ratio > CAUGHT_UP_ABOVE or ratio > best - margin / 2):
                behind.discard(number)
                log.info("team no longer first team=%s jobs_served=%.2f", name, ratio)
            elif number not in behind and ratio < min(BEHIND_BELOW, best - margin):
                behind.add(number)
                log.warning("team behind goes first team=%s jobs_served=%.2f", name, ratio)

    def _log_low_ratios(self) -> None:
        low = [
            f"{' '.join(key)} {ratio:.2f} of {total}"
            for key, (ratio, total) in self.ratios().items()
            if ratio < LOW_RATIO
        ]
        if low:
            log.warning("objectives missed below=%.2f ratios=%s", LOW_RATIO, ", ".join(low))
