"""Turns of a placement pass: beside the order of urgency every array gets its share.

The least work first keeps the number of late jobs down and would let a large array wait
for as long as there are small ones. Three exceptions stand beside that order:

- An array of which nothing has started after a while gets a place for one task.
- Arrays that wait for long get a small part of the CPUs together, the oldest first.
- Best-effort work, of which nobody says when it is to be done, comes last among its
  priority, and if it is long it uses only what other work did not need lately: it cannot
  be stopped for that. A small part of the CPUs is its own all the same.

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
"""An array of which nothing has started by then gets a place for one task."""
AHEAD_OF_URGENT_AFTER_S = 150.0
"""From then on an array goes before more urgent work, too, critical work excepted: the
operators want the largest jobs started within 240 s."""
OVERDUE_AFTER_S = 120.0
"""An array that is older than this is overdue."""
OVERDUE_CPU_SHARE = 0.08
"""The part of the CPUs of machines without GPUs that overdue arrays have for themselves."""
BEST_EFFORT_CPU_SHARE = 0.08
"""The part of these CPUs that best-effort work has for itself."""
LONG_TASK_S = 30.0
"""Best-effort tasks that run for less leave soon enough and are not limited."""
HIGHEST_EARLY_RANK = 1
"""The rank below critical work."""
MIN_CPUS = 0.01
"""Tasks count as this many CPUs at least, so that the division is defined."""


@dataclass(frozen=True, slots=True)
class PlacementTurn:
    """A job's turn to be placed; a job may have several in a pass."""

    job: Job
    max_tasks: int | None = None
    """Place so many tasks at most and report no shortage of the rest; None: all."""
    rank: int | None = None
    """The rank by which it is the job's turn, if that is not the job's own."""


@dataclass(frozen=True, slots=True)
class _EarlyTurn:
    """Places for an array before its turn by urgency."""

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
    """The turns of one pass over jobs that are in the order of urgency.

    Yields lazily: what earlier turns placed counts for later ones.
    """
    cpus = sum(
        len(machines) * cluster.types[kind].cpus
        for (kind, _, _), machines in pools.items()
        if cluster.types[kind].gpus <= 0
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
        if max_tasks:
            idle_cpus -= max_tasks * job.spec.cpus
            yield PlacementTurn(job, max_tasks)


def _is_limited_to_idle(job: Job, cluster: ClusterState, objectives: Objectives) -> bool:
    """Whether an array is best-effort work with long tasks."""
    return not (
        job.gang
        or job.service
        or not objectives.is_best_effort(job)
        or cluster.expected_run_s(job) <= LONG_TASK_S
    )


def _early_turns(
    order: Sequence[Job], best_effort: Sequence[Job], cpus: float, wall: float
) -> Iterator[_EarlyTurn]:
    """Arrays that get some places before their turn.

    Best-effort arrays come in the order of urgency, those that are soonest over first,
    or all of them would be half done.
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
            within = int(cpus_left[is_best_effort] / max(MIN_CPUS, job.spec.cpus))
            max_tasks = max(max_tasks, min(len(job.pending), within))
            cpus_left[is_best_effort] -= max_tasks * job.spec.cpus
        if max_tasks > 0:
            yield _EarlyTurn(job, max_tasks, _early_rank(job, wall))


def _early_rank(job: Job, wall: float) -> int:
    if wall - job.submitted < AHEAD_OF_URGENT_AFTER_S:
        return job.rank
    return min(job.rank, HIGHEST_EARLY_RANK)


def _is_overdue(job: Job, wall: float) -> bool:
    return wall - job.submitted >= OVERDUE_AFTER_S


def _cpus_in_use(jobs: Iterable[Job]) -> float:
    return sum(len(job.runs) * job.spec.cpus for job in jobs)


def _cpus_needed(jobs: Iterable[Job], objectives: Objectives) -> float:
    """CPUs for all started and pending tasks of CPU work that is not best-effort."""
    return sum(
        (len(job.runs) + len(job.pending)) * job.spec.cpus
        for job in jobs
        if job.status == OPEN and job.spec.gpus <= 0 and not objectives.is_best_effort(job)
    )
