"""Service-level objectives of each job class, as placement uses them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from appleshift.objectives.recent_demand import RecentDemand
from appleshift.protocol.settings import Objective
from appleshift.state.entities import Job

PREEMPTION_DELAY_SHARE = 0.25
"""The part of the accepted wait that may pass before other tasks are stopped."""
MAX_PREEMPTION_DELAY_S = 2.0
STOP_START_S = 1.5
"""Stopping one task and starting another in its place may take this long."""
RESERVE_SHARE = 0.5
"""The part of the accepted wait after which a gang begins to reserve machines."""
RESERVE_AFTER_S = 60.0
"""When a gang begins to reserve machines if its class has no accepted wait."""
RESERVE_ALWAYS_AFTER_S = 140.0
"""From then on a gang reserves machines whatever its class accepts: a large one is to start
within 240 s, and the machines that it needs fall free one by one."""


class ObjectiveDeadline(NamedTuple):
    """One objective of one job, with the time at which it is missed."""

    concerns_start: bool
    """It is about the start of the job's work, else about its end."""
    label: str
    due_at: float
    """Wall time in seconds."""
    loosest: bool
    """No objective of the same kind allows this job more time."""


class Objectives:
    """The objectives of a deployment, by job class."""

    def __init__(self, objectives: Sequence[Objective] = ()) -> None:
        """Index the objectives of the settings by their class; others are not used here."""
        self.teams_behind: set[int] = set()
        """Teams, by index, too few of whose jobs met their objectives lately: among jobs of
        one priority theirs go first. ``AchievedObjectives`` keeps it up to date."""
        self.recent_demand = RecentDemand()
        """What work other than best-effort work needed lately."""
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
        """Whether work that ends has no objective, in a deployment that has some."""
        name = job.spec.job_class
        limits = self._wait_limits, self._finish_limits, self._deadline_factors
        if job.service or job.spec.deadline_s is not None or not any(limits):
            return False
        return not any(name in by_class for by_class in limits)

    def max_wait_s(self, job_class: str) -> float | None:
        """How soon tasks of a class are to start, in seconds; None: no objective says."""
        return min(self._wait_limits.get(job_class, ()), default=None)

    def preemption_delay_s(self, job: Job) -> float:
        """How long new work waits for room that comes by itself, in seconds.

        Where many short tasks run, room for an urgent one falls free within
        moments; stopping a task for it at once wastes the work of that task.
        A replica that was lost is missed at once, and waits for nothing.
        """
        if job.service and job.last_attempt > 0:
            return 0.0
        within = self.max_wait_s(job.spec.job_class)
        if within is None:
            return 0.0
        return max(
            0.0, min(MAX_PREEMPTION_DELAY_S, PREEMPTION_DELAY_SHARE * within, within - STOP_START_S)
        )

    def should_reserve(self, job: Job, age: float) -> bool:
        """Whether a gang of an age in seconds that fits nowhere keeps machines that fall free.

        Each machine kept makes smaller gangs wait, so a gang reserves only once
        it would otherwise start late. One that is late anyway lets those go
        first that are not, until it has waited for too long.
        """
        if age >= RESERVE_ALWAYS_AFTER_S:
            return True
        within = self.max_wait_s(job.spec.job_class)
        if within is None:
            return age >= RESERVE_AFTER_S
        return RESERVE_SHARE * within <= age < within

    def deadlines(self, job: Job, start_s: float) -> list[ObjectiveDeadline]:
        """All objectives of a job: of its start, of its end, and of its own deadline.

        ``start_s`` is how soon it is to start, in seconds, if its class has no objective.
        """
        name, submitted, deadline = job.spec.job_class, job.submitted, job.spec.deadline_s
        waits = self._wait_limits.get(name) or [start_s]
        deadlines = [
            ObjectiveDeadline(
                True, f"started {within:g} s", submitted + within, within == max(waits)
            )
            for within in waits
        ]
        ends = [] if job.service else self._finish_limits.get(name, [])
        deadlines += [
            ObjectiveDeadline(False, f"done {within:g} s", submitted + within, within == max(ends))
            for within in ends
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
        """How many of its objectives a job has missed by ``now``, or will if it ends at ``end``.

        Both are wall times in seconds. Some classes are to be done by their deadline
        and, if not, at least by some multiple of it; past the last, more delay costs
        nothing.
        """
        name, deadline = job.spec.job_class, job.spec.deadline_s
        missed = sum(
            1 for within in self._finish_limits.get(name, ()) if end - job.submitted > within
        )
        if job.last_attempt == 0:
            missed += sum(
                1 for within in self._wait_limits.get(name, ()) if now - job.submitted > within
            )
        if deadline is not None:
            factors = self._deadline_factors.get(name) or [1.0]
            missed += sum(1 for factor in factors if job.submitted + deadline * factor < end)
        return missed
