"""Measures the ratio of jobs that met their objectives, by job class and by team.

Operators consider a day failed if less than half of the jobs of any class or team meet
their objectives, however well the others do. Placement cannot detect this from the
pending jobs: it places the least work first, which minimizes the number of late jobs but
makes a team with the largest arrays wait for as long as other teams have work. Therefore
this module counts the outcomes of the last minutes and logs low ratios. Jobs of teams that
are far behind are placed first within their priority.

In the ratios of a class, each objective of a job is counted separately. In the ratio of a
team, a job counts as served if it met the loosest objective of each kind.

Jobs are polled once per ``CHECK_INTERVAL_S``, so start and end times are accurate to a
second. The counts cover one leader term; a new leader starts without any.
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
"""A team is behind from a ratio below ``BEHIND_BELOW`` until its ratio is above
``CAUGHT_UP_ABOVE``. It must also be worse than the best team: by more than the difference of
the two to become behind, and by at least half of it to stay so. No team gets precedence
while all of them are short of capacity."""
MIN_JOBS = 6
"""Ratios of fewer jobs are not meaningful and are ignored."""
DEFAULT_START_LIMIT_S = 240.0
"""Start objective of classes without one; operators expect every job to start within it."""


@dataclass(slots=True)
class _TrackedJob:
    """A job that has not ended, with its objectives that are neither met nor missed yet."""

    job: Job
    undecided: list[ObjectiveDeadline]
    missed: bool = False
    """Whether the job missed the loosest objective of a kind."""
    counted_for_team: bool = False
    """Whether the job was counted in the ratio of its team."""
    started: bool = False


class AchievedObjectives:
    """Outcomes of the objectives of a shard's jobs in one leader term.

    Only the scheduler thread may use an instance.
    """

    def __init__(
        self, cluster: ClusterState, objectives: Objectives, now: float, wall: float
    ) -> None:
        """Start a leader term at monotonic time ``now`` and wall time ``wall``, in seconds."""
        self._cluster = cluster
        self._objectives = objectives
        self._next_check = now
        self._next_log = now + LOG_INTERVAL_S
        self._tracked: dict[int, _TrackedJob] = {}
        self._ratios = SlidingRatio(now)
        self._term_start = wall

    # -- outcomes of jobs --------------------------------------------------------------

    def step(self, now: float, wall: float) -> None:
        """If a check is due, check all jobs, update ``teams_behind`` and log low ratios.

        ``now`` is monotonic time and ``wall`` wall time, both in seconds.
        """
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL_S
        self._ratios.rotate(now)
        jobs = self._cluster.jobs
        for index, job in jobs.items():
            tracked = self._tracked.get(index)
            if tracked is None:
                if not job.accepted or job.key != job.spec.id:
                    # Partitions of an array are counted as a whole job, in another shard.
                    continue
                tracked = self._tracked[index] = self._track(job)
            self._check_deadlines(tracked, now, wall)
        for index in [index for index in self._tracked if index not in jobs]:
            self._job_ended(self._tracked.pop(index), wall)
        self._update_teams_behind()
        if now >= self._next_log:
            self._next_log = now + LOG_INTERVAL_S
            self._log_low_ratios()

    def _track(self, job: Job) -> _TrackedJob:
        """Start tracking a job, without objectives that can no longer be measured."""
        tracked = _TrackedJob(job, self._objectives.deadlines(job, DEFAULT_START_LIMIT_S))
        if job.submitted < self._term_start and job.last_attempt > 0:
            # The job started in an earlier term; this leader does not have its start time.
            tracked.started = True
            tracked.undecided = [due for due in tracked.undecided if not due.concerns_start]
        return tracked

    def _check_deadlines(self, tracked: _TrackedJob, now: float, wall: float) -> None:
        """Record the objectives that a job has met or missed since the last check."""
        job = tracked.job
        if not tracked.started and job.last_attempt > 0:
            since = [run.running_since for run in job.runs.values() if run.running_since]
            if since or job.done_count:
                tracked.started = True
                self._job_started(tracked, wall - now + min(since, default=now))
        if job.status == FINISHED:
            self._job_finished(tracked, wall)
        for due in [due for due in tracked.undecided if due.due_at < wall]:
            self._record_outcome(tracked, due, False)
        if not tracked.undecided:
            self._count_for_team(tracked)

    def _job_ended(self, tracked: _TrackedJob, wall: float) -> None:
        """Record the remaining objectives of a job that has ended."""
        if tracked.job.status == CANCELLED:
            # Open objectives of a cancelled job are not counted, nor is the job for its team,
            # unless it is a service that has started.
            if not tracked.job.service or not tracked.started:
                return
            tracked.undecided.clear()
        self._job_started(tracked, wall)
        self._job_finished(tracked, wall)
        self._count_for_team(tracked)

    def _job_started(self, tracked: _TrackedJob, at: float) -> None:
        """Record the outcome of the start objectives of a job that started at wall time ``at``."""
        for due in [due for due in tracked.undecided if due.concerns_start]:
            self._record_outcome(tracked, due, at <= due.due_at)

    def _job_finished(self, tracked: _TrackedJob, at: float) -> None:
        """Record the outcome of the end objectives of a job that ended at wall time ``at``."""
        for due in [due for due in tracked.undecided if not due.concerns_start]:
            self._record_outcome(tracked, due, at <= due.due_at)

    def _record_outcome(self, tracked: _TrackedJob, due: ObjectiveDeadline, met: bool) -> None:
        """Record whether a job met an objective."""
        tracked.undecided.remove(due)
        tracked.missed = tracked.missed or (due.loosest and not met)
        self._ratios.record(("class", tracked.job.spec.job_class, due.label), met)

    def _count_for_team(self, tracked: _TrackedJob) -> None:
        """Count a job once in the ratio of its team."""
        if not tracked.counted_for_team:
            tracked.counted_for_team = True
            self._ratios.record(("team", tracked.job.spec.team), not tracked.missed)

    # -- ratios and teams that are behind ----------------------------------------------

    def ratios(self) -> dict[tuple[str, ...], tuple[float, int]]:
        """Return the ratios of jobs that met objectives, each with its number of jobs.

        The keys are ("class", class name, objective label) and ("team", team name).
        """
        return {
            key: (ratio, total) for key, ratio, total in self._ratios.all() if total >= MIN_JOBS
        }

    def _update_teams_behind(self) -> None:
        """Update and log which teams are behind."""
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
