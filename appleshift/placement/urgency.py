"""Determines the placement order of pending jobs and which gangs may reserve machines."""

from __future__ import annotations

import math

from appleshift.objectives.objectives import RESERVE_ALWAYS_AFTER_S, Objectives
from appleshift.placement.counted_resource_interfaces import CountedResourcePass
from appleshift.placement.quota import within_guarantee
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.states import OPEN


class UrgencyOrder:
    """Orders the pending jobs of one placement pass by urgency."""

    def __init__(
        self,
        cluster: ClusterState,
        now: float,
        wall: float,
        objectives: Objectives,
        counted_resources: CountedResourcePass | None,
    ) -> None:
        """``now`` is monotonic time, ``wall`` wall time, both in seconds."""
        self._cluster = cluster
        self._now = now
        self._wall = wall
        self._objectives = objectives
        self._counted_resources = counted_resources
        # Number of tasks of waiting gangs that would miss no objective if they started now.
        self._on_time_gang_tasks = 0
        self._missed_objectives: dict[int, int] = {}
        self.next_backoff_end = math.inf
        """Monotonic time at which the first job that ``pending_jobs`` left out is due again."""

    def pending_jobs(self) -> list[Job]:
        """Return the open jobs with pending tasks, most urgent first."""
        jobs = []
        for job in self._cluster.jobs.values():
            if not (job.pending and job.status == OPEN and job.accepted):
                continue
            if job.backoff_until <= self._now:
                jobs.append(job)
            else:
                self.next_backoff_end = min(self.next_backoff_end, job.backoff_until)
        self._on_time_gang_tasks = sum(
            len(job.pending)
            for job in jobs
            if job.gang and not job.runs and not self.missed_objectives(job)
        )
        return sorted(jobs, key=self._urgency)

    def age_s(self, job: Job) -> float:
        """Return the time in seconds since the job was submitted."""
        return self._wall - job.submitted

    def missed_objectives(self, job: Job) -> int:
        """Return how many objectives a job misses if a task of it starts now; 0 for services."""
        if job.service:
            return 0
        missed = self._missed_objectives.get(job.index)
        if missed is None:
            end = self._wall + self._cluster.expected_run_s(job)
            missed = self._objectives.missed(job, self._wall, end)
            self._missed_objectives[job.index] = missed
        return missed

    def should_reserve(self, job: Job) -> bool:
        """Return whether a gang may reserve machines that become free."""
        age = self.age_s(job)
        if not self._objectives.should_reserve(job, age):
            return False
        if age >= RESERVE_ALWAYS_AFTER_S:
            return True
        # Under overload, machines reserved for one gang would make several other gangs late.
        other_tasks = self._on_time_gang_tasks
        if not self.missed_objectives(job):
            other_tasks -= len(job.pending)
        return other_tasks < len(job.pending)

    def _urgency(self, job: Job) -> tuple[int, bool, bool, bool, int, float, float]:
        """Return the sort key of a job; the job with the smallest key is placed first.

        Within a priority, jobs that stay within guarantees come first and best-effort jobs
        last. Otherwise jobs that miss the fewest objectives come first, and among those
        the jobs with the least work. Services miss no objectives and count as no work, so the
        oldest comes first. A gang that may reserve machines counts as no work as well.

        Under overload some jobs are late in any order; placing the least work first
        minimizes their number, but a team with the largest jobs would always be late.
        Therefore jobs of a team in ``teams_behind`` that can still meet all objectives
        come first.
        """
        spec = job.spec
        borrows = self._borrows(job)
        if job.service:
            team_first = job.team in self._objectives.teams_behind
            return (job.rank, borrows, False, not team_first, 0, 0.0, job.submitted)
        work = len(job.pending) * self._cluster.expected_run_s(job) * max(spec.cpus, spec.gpus)
        missed = self.missed_objectives(job)
        team_first = missed == 0 and job.team in self._objectives.teams_behind
        if job.gang and self.should_reserve(job):
            work = 0.0
            if self.age_s(job) >= RESERVE_ALWAYS_AFTER_S:
                # Otherwise this gang could wait forever, because new small gangs that can still
                # meet their objectives would always come first.
                missed, team_first = 0, True
        best_effort = self._objectives.is_best_effort(job)
        return (job.rank, borrows, best_effort, not team_first, missed, work, job.submitted)

    def _borrows(self, job: Job) -> bool:
        """Return whether the job's next task exceeds a guarantee of GPUs or counted resources."""
        borrows = job.spec.gpus > 0 and not within_guarantee(self._cluster, job)
        if job.counted_needs and self._counted_resources is not None:
            borrows = borrows or self._counted_resources.would_borrow(job)
        return borrows
