"""What the users expect of each class of jobs, in the terms of placement."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from appleshift.objectives.recent_demand import RecentDemand
from appleshift.protocol.settings import Objective
from appleshift.state.cluster_state import Job

PATIENCE_SHARE = 0.25
"""Of the wait that the users accept, this much may pass before others are stopped."""
MAX_PATIENCE_S = 2.0
STOP_START_S = 1.5
"""Stopping one task and starting another in its place may take this long."""
GATHER_SHARE = 0.5
GATHER_S = 60.0
"""When a gang begins to gather if nobody said how long it may wait."""
GATHER_ALWAYS_AFTER_S = 140.0
"""From then on a gang gathers whatever its class accepts: a whole large one is to begin
within 240 s, and the machines that it needs fall free one by one."""


class ObjectiveDeadline(NamedTuple):
    """One aim of one job."""

    concerns_start: bool
    """It is about the start of the job's work, else about its end."""
    label: str
    due_at: float
    """Wall time at which it is missed."""
    loosest: bool
    """Of its kind."""


class Objectives:
    """Looked up by class, since that is how objectives are given."""

    def __init__(self, objectives: Sequence[Objective] = ()) -> None:
        # Teams, by their index, of whose work too little was served lately: among
        # jobs of one priority theirs go first (``coordination/serving``).
        self.teams_behind: set[int] = set()
        # What others than guests needed lately.
        self.recent_demand = RecentDemand()
        self._wait_limits: dict[str, list[float]] = {}
        self._finish_limits: dict[str, list[float]] = {}
        self._deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.job_class is None:
                continue
            if objective.kind == "wait":
                self._wait_limits.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "finished":
                self._finish_limits.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "deadline":
                self._deadline_factors.setdefault(objective.job_class, []).append(objective.times)

    def is_best_effort(self, job: Job) -> bool:
        """Work that ends, of which nobody says when, while it is said of others."""
        name = job.spec.job_class
        said = self._wait_limits, self._finish_limits, self._deadline_factors
        if job.service or job.spec.deadline_s is not None or not any(said):
            return False
        return not any(name in some for some in said)

    def wait_s(self, job_class: str) -> float | None:
        """How soon tasks of a class are to start; None: nobody said."""
        return min(self._wait_limits.get(job_class, ()), default=None)

    def patience_s(self, job: Job) -> float:
        """How long new work waits for room that comes by itself.

        Where many short tasks run, room for an urgent one falls free within
        moments; stopping a task for it at once wastes what that one has done.
        A replica that was lost is missed now, and waits for nothing.
        """
        if job.service and job.last_attempt > 0:
            return 0.0
        within = self.wait_s(job.spec.job_class)
        if within is None:
            return 0.0
        return max(0.0, min(MAX_PATIENCE_S, PATIENCE_SHARE * within, within - STOP_START_S))

    def should_gather(self, job: Job, age: float) -> bool:
        """Should a gang that fits nowhere keep the machines that fall free?

        Each machine kept makes smaller gangs wait, so a gang gathers only once
        it would otherwise start late. One that is late anyway lets those go
        first that are not, until it has waited for too long.
        """
        if age >= GATHER_ALWAYS_AFTER_S:
            return True
        within = self.wait_s(job.spec.job_class)
        if within is None:
            return age >= GATHER_S
        return GATHER_SHARE * within <= age < within

    def deadlines(self, job: Job, start_s: float) -> list[ObjectiveDeadline]:
        """All that is expected of a job; ``start_s``: how soon it is to start if nobody
        said so for its class."""
        name, submitted, deadline = job.spec.job_class, job.submitted, job.spec.deadline_s
        waits = self._wait_limits.get(name) or [start_s]
        found = [
            ObjectiveDeadline(
                True, f"started {within:g} s", submitted + within, within == max(waits)
            )
            for within in waits
        ]
        ends = [] if job.service else self._finish_limits.get(name, [])
        found += [
            ObjectiveDeadline(False, f"done {within:g} s", submitted + within, within == max(ends))
            for within in ends
        ]
        times = [] if deadline is None or job.service else self._deadline_factors.get(name) or [1.0]
        found += [
            ObjectiveDeadline(
                False,
                f"deadline {factor:g}x",
                submitted + (deadline or 0.0) * factor,
                factor == max(times),
            )
            for factor in times
        ]
        return found

    def missed(self, job: Job, now: float, end: float) -> int:
        """How many of its aims a job has missed, or will if its work ends then.

        Some classes are to be done by their deadline and, if not, at least by
        some multiple of it; past the last, more delay costs nothing.
        """
        name, due = job.spec.job_class, job.spec.deadline_s
        missed = sum(
            1 for within in self._finish_limits.get(name, ()) if end - job.submitted > within
        )
        if job.last_attempt == 0:
            missed += sum(
                1 for within in self._wait_limits.get(name, ()) if now - job.submitted > within
            )
        if due is not None:
            times = self._deadline_factors.get(name) or [1.0]
            missed += sum(1 for factor in times if job.submitted + due * factor < end)
        return missed
