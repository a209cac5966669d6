"""What the users expect of each class of jobs, in the terms of placement."""

from __future__ import annotations

from collections.abc import Sequence

from appleshift.bookkeeping.tables import Job
from appleshift.protocol.settings import Objective

PATIENCE_SHARE = 0.25
"""Of the wait that the users accept, this much may pass before others are stopped."""
MOST_PATIENCE_S = 2.0


class Aims:
    """Looked up by class, since that is how objectives are given."""

    def __init__(self, objectives: Sequence[Objective] = ()) -> None:
        self._waits: dict[str, float] = {}
        self._times: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.job_class is None:
                continue
            if objective.kind == "wait":
                known = self._waits.get(objective.job_class, float("inf"))
                self._waits[objective.job_class] = min(known, objective.within_s)
            elif objective.kind == "deadline":
                self._times.setdefault(objective.job_class, []).append(objective.times)

    def patience_s(self, job: Job) -> float:
        """How long new work waits for room that comes by itself.

        Where many short tasks run, room for an urgent one falls free within
        moments; stopping a task for it at once wastes what that one has done.
        A replica that was lost is missed now, and waits for nothing.
        """
        if job.service and job.attempt > 0:
            return 0.0
        within = self._waits.get(job.spec.job_class)
        return 0.0 if within is None else min(MOST_PATIENCE_S, PATIENCE_SHARE * within)

    def missed(self, job: Job, end: float) -> int:
        """How many of its due times a job misses that ends then.

        Some classes are to be done by their deadline and, if not, at least by
        some multiple of it; past the last, more delay costs nothing.
        """
        due = job.spec.deadline_s
        if due is None:
            return 0
        times = self._times.get(job.spec.job_class) or [1.0]
        return sum(1 for factor in times if job.submitted + due * factor < end)
