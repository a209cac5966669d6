"""Service-level objectives of job classes, as used by placement."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from appleshift.objectives.recent_demand import RecentDemand
from appleshift.protocol.settings import Objective
from appleshift.state.entities import Job

PREEMPTION_DELAY_SHARE = 0.25
"""Fraction of a job class's wait limit that passes before tasks are preempted."""
MAX_PREEMPTION_DELAY_S = 2.0
STOP_START_S = 1.5
"""Time that stopping a task and starting another in its place may take."""
RESERVE_SHARE = 0.5
"""Fraction of a job class's wait limit after which a gang reserves machines."""
RESERVE_AFTER_S = 60.0
"""Age at which a gang reserves machines if its class has no wait limit."""
RESERVE_ALWAYS_AFTER_S = 140.0
"""Age from which a gang reserves machines regardless of its class's wait limit: a large
gang must start within 240 s, and the machines that it needs become free one by one."""


class ObjectiveDeadline(NamedTuple):
    """An objective of a job, with the time after which it is missed."""

    concerns_start: bool
    """Whether the objective limits the start of the job; otherwise it limits the end."""
    label: str
    due_at: float
    """Wall time in seconds."""
    loosest: bool
    """Whether no other objective of the same kind allows the job more time."""


class Objectives:
    """The objectives of a deployment, by job class."""

    def __init__(self, objectives: Sequence[Objective] = ()) -> None:
        """Index the objectives by job class; objectives without a job class are ignored."""
        self.teams_behind: set[int] = set()
        """Indexes of teams too few of whose jobs met their objectives recently. Their jobs
        are placed first within a priority. ``AchievedObjectives`` updates the set."""
        self.recent_demand = RecentDemand()
        """CPUs that jobs other than best-effort jobs needed recently."""
        self._wait_limits: dict[str, list[float]] = {}
        self._finish_limits: dict[str, list[float]] = {}
        self._deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.job_class is None:
                continue
            match objective.kind:
                case "wait":
                    limits, limit = self._wait_limits, objective.within_s
                case "finished":
                    limits, limit = self._finish_limits, objective.within_s
                case "deadline":
                    limits, limit = self._deadline_factors, objective.times
                case _:
                    continue
            limits.setdefault(objective.job_class, []).append(limit)

    def is_best_effort(self, job: Job) -> bool:
        """Return whether a job is best-effort, that is, has no deadline and no objective.

        Services never are, nor is any job if no job class has an objective.
        """
        name = job.spec.job_class
        limits = self._wait_limits, self._finish_limits, self._deadline_factors
        if job.service or job.spec.deadline_s is not None or not any(limits):
            return False
        return not any(name in by_class for by_class in limits)

    def max_wait_s(self, job_class: str) -> float | None:
        """Return the strictest wait limit of a class for tasks to start, in seconds.

        None if the class has no wait objective.
        """
        return min(self._wait_limits.get(job_class, ()), default=None)

    def preemption_delay_s(self, job: Job) -> float:
        """Return how long a job waits for free capacity before preempting tasks, in seconds.

        On a cluster with many short tasks, capacity becomes free within moments, and an
        immediate preemption would waste the work of the stopped task. A replica that was
        lost is needed at once, so it does not wait.
        """
        if job.service and job.last_attempt > 0:
            return 0.0
        limit_s = self.max_wait_s(job.spec.job_class)
        if limit_s is None:
            return 0.0
        return max(
            0.0,
            min(MAX_PREEMPTION_DELAY_S, PREEMPTION_DELAY_SHARE * limit_s, limit_s - STOP_START_S),
        )

    def should_reserve(self, job: Job, age: float) -> bool:
        """Return whether a gang that does not fit reserves machines that become free.

        ``age`` is the time in seconds since the gang was submitted. Each reserved machine
        makes smaller gangs wait, so a gang reserves machines only when it would otherwise
        start late. Once it is late, gangs that are still in time take precedence, until it
        is older than ``RESERVE_ALWAYS_AFTER_S``.
        """
        if age >= RESERVE_ALWAYS_AFTER_S:
            return True
        limit_s = self.max_wait_s(job.spec.job_class)
        if limit_s is None:
            return age >= RESERVE_AFTER_S
        return RESERVE_SHARE * limit_s <= age < limit_s

    def deadlines(self, job: Job, default_start_limit_s: float) -> list[ObjectiveDeadline]:
        """Return all objectives of a job: for its start, its end and its own deadline.

        ``default_start_limit_s`` is the limit for its start, in seconds, if its class has no
        wait objective.
        """
        name, submitted, deadline = job.spec.job_class, job.submitted, job.spec.deadline_s
        waits = self._wait_limits.get(name) or [default_start_limit_s]
        deadlines = [
            ObjectiveDeadline(
                True, f"started {limit_s:g} s", submitted + limit_s, limit_s == max(waits)
            )
            for limit_s in waits
        ]
        ends = [] if job.service else self._finish_limits.get(name, [])
        deadlines += [
            ObjectiveDeadline(
                False, f"done {limit_s:g} s", submitted + limit_s, limit_s == max(ends)
            )
            for limit_s in ends
        ]
        factors = (
            [] if deadline is None or job.service else self._deadline_factors.get(name) or [1.0]
        )
        deadlines += [
            ObjectiveDeadline(
                False,
                f"deadline {factor:g}x",
                submitted + (deadline or 0.0) * factor,
                factor == max(factors),
            )
            for factor in factors
        ]
        return deadlines

    def missed(self, job: Job, now: float, end: float) -> int:
        """Return how many objectives a job misses if it ends at ``end``.

        A wait objective is missed if its limit has passed at ``now`` and no task of the job
        has been started. Both times are wall times in seconds. A class may have several
        deadline objectives, each a multiple of the job's deadline; once the last one is
        missed, further delay makes no difference.
        """
        name, deadline = job.spec.job_class, job.spec.deadline_s
        missed = sum(
            1 for limit_s in self._finish_limits.get(name, ()) if end - job.submitted > limit_s
        )
        if job.last_attempt == 0:
            missed += sum(
                1 for limit_s in self._wait_limits.get(name, ()) if now - job.submitted > limit_s
            )
        if deadline is not None:
            factors = self._deadline_factors.get(name) or [1.0]
            missed += sum(1 for factor in factors if job.submitted + deadline * factor < end)
        return missed
