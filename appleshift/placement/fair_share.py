"""Fair share: the order in which a placement pass serves jobs, with a share for every array.

Placing jobs with the least work first minimizes the number of late jobs, but starves a
large array for as long as small ones arrive. There are three exceptions to that order:

- An array without a started task gets one task placed after ``FIRST_TASK_AFTER_S``.
- Overdue arrays share a small part of the CPUs, the oldest array first.
- Best-effort jobs, for which no objective is defined, come last within their priority.
  Those with long tasks use only CPUs that other jobs did not need recently, because their
  tasks are not stopped to give CPUs back. A small part of the CPUs is always theirs.

``docs/design-served.md`` compares the alternatives and their costs.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from appleshift.objectives.objectives import Objectives
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.states import OPEN

FIRST_TASK_AFTER_S = 60.0
"""An array of this age without a started task gets one task placed ahead of order."""
AHEAD_OF_URGENT_AFTER_S = 150.0
"""From this age on an array precedes higher priorities too, except critical jobs:
operators require the largest jobs to start affordable_tasks 240 s."""
OVERDUE_AFTER_S = 120.0
"""An array of this age or older is overdue."""
OVERDUE_CPU_SHARE = 0.08
"""Fraction of the CPUs of machines without GPUs that is set aside for overdue arrays."""
BEST_EFFORT_CPU_SHARE = 0.08
"""Fraction of the CPUs of machines without GPUs that is set aside for best-effort jobs."""
LONG_TASK_S = 30.0
"""Best-effort jobs whose tasks run no longer than this free their CPUs soon and are not
limited to idle CPUs."""
HIGHEST_EARLY_RANK = 1
"""Highest priority rank of an early turn: the one just below critical jobs."""
MIN_CPUS = 0.01
"""Lower bound of a task's CPUs in divisions, which avoids a division by zero."""


@dataclass(frozen=True, slots=True)
class PlacementTurn:
    """One attempt to place tasks of a job; a job may have several turns in a pass."""

    job: Job
    max_tasks: int | None = None
    """Place at most this many tasks and report no shortage for the others; None: all tasks."""
    rank: int | None = None
    """Priority rank of this turn; None: the job's own rank."""


@dataclass(frozen=True, slots=True)
class _EarlyTurn:
    """Placement of some tasks of an array ahead of its turn by urgency."""

    job: Job
    max_tasks: int
    rank: int


def placement_turns(
    order: Sequence[Job],
    cluster: ClusterState,
    pools: Mapping[tuple[int, int, bool], Sequence[Machine]],
    objectives: Objectives,
    now: float,
    wall: float,
) -> Iterator[PlacementTurn]:
    """Yield the turns of one placement pass over ``order``, the jobs by urgency.

    The generator is lazy, so a later turn sees the tasks that earlier turns placed.
    ``now`` is monotonic time and ``wall`` wall time, both in seconds.
    """
    cpus = sum(
        len(machines) * cluster.types[type_index].cpus
        for (type_index, _, _), machines in pools.items()
        if cluster.types[type_index].gpus <= 0
    )
    best_effort = [job for job in order if objectives.is_best_effort(job)]
    demand = objectives.recent_demand
    if demand.sample_due(now):
        demand.record(now, min(cpus, _cpus_needed(cluster.jobs.values(), objectives)))
    early = sorted(
        _early_turns(order, best_effort, cpus, wall),
        key=lambda turn: (turn.rank, turn.job.submitted),
    )
    idle_cpus = cpus - demand.expected_cpus() - _cpus_in_use(best_effort)
    position = 0
    for job in order:
        while position < len(early) and early[position].rank <= job.rank:
            turn = early[position]
            yield PlacementTurn(turn.job, turn.max_tasks, turn.rank)
            position += 1
        if not _is_limited_to_idle(job, cluster, objectives):
            yield PlacementTurn(job)
            continue
        max_tasks = min(len(job.pending), int(max(0.0, idle_cpus) / max(MIN_CPUS, job.spec.cpus)))
        idle_cpus -= max_tasks * job.spec.cpus
        yield PlacementTurn(job, max_tasks)


def _is_limited_to_idle(job: Job, cluster: ClusterState, objectives: Objectives) -> bool:
    """Return whether a job may use only CPUs that other jobs do not need.

    This holds for best-effort arrays with long tasks.
    """
    return not (
        job.gang
        or job.service
        or not objectives.is_best_effort(job)
        or cluster.expected_run_s(job) <= LONG_TASK_S
    )


def _early_turns(
    order: Sequence[Job], best_effort: Sequence[Job], cpus: float, wall: float
) -> Iterator[_EarlyTurn]:
    """Yield the turns of arrays that get some tasks placed ahead of their order.

    Overdue arrays come oldest first. Best-effort arrays come in order of urgency, least
    work first: otherwise all of them would make progress and none would finish.
    """
    best_effort_jobs = {job.index for job in best_effort}
    arrays = [
        job for job in order if not (job.gang or job.service or job.index in best_effort_jobs)
    ]
    arrays.sort(key=lambda job: job.submitted)
    overdue = (job for job in arrays if _is_overdue(job, wall))
    cpus_left = {
        True: BEST_EFFORT_CPU_SHARE * cpus - _cpus_in_use(best_effort),
        False: OVERDUE_CPU_SHARE * cpus - _cpus_in_use(overdue),
    }
    arrays += [job for job in best_effort if not job.gang]
    for job in arrays:
        is_best_effort = job.index in best_effort_jobs
        started = bool(job.runs) or job.done_count > 0
        max_tasks = 0 if started or wall - job.submitted < FIRST_TASK_AFTER_S else 1
        if is_best_effort or _is_overdue(job, wall):
            affordable_tasks = int(cpus_left[is_best_effort] / max(MIN_CPUS, job.spec.cpus))
            max_tasks = max(max_tasks, min(len(job.pending), affordable_tasks))
            cpus_left[is_best_effort] -= max_tasks * job.spec.cpus
        if max_tasks > 0:
            yield _EarlyTurn(job, max_tasks, _early_rank(job, wall))


def _early_rank(job: Job, wall: float) -> int:
    """Return the priority rank of an array's early turn."""
    if wall - job.submitted < AHEAD_OF_URGENT_AFTER_S:
        return job.rank
    return min(job.rank, HIGHEST_EARLY_RANK)


def _is_overdue(job: Job, wall: float) -> bool:
    return wall - job.submitted >= OVERDUE_AFTER_S


def _cpus_in_use(jobs: Iterable[Job]) -> float:
    return sum(len(job.runs) * job.spec.cpus for job in jobs)


def _cpus_needed(jobs: Iterable[Job], objectives: Objectives) -> float:
    """Return the CPUs that all started and pending tasks need.

    Counts open jobs without GPUs that are not best-effort.
    """
    return sum(
        (len(job.runs) + len(job.pending)) * job.spec.cpus
        for job in jobs
        if job.status == OPEN and job.spec.gpus <= 0 and not objectives.is_best_effort(job)
    )
