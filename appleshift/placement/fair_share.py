"""Whose turn it is beside the order of urgency: every job begins, guests get what is idle.

The least work first keeps the number of late jobs down and would let a large array wait
for as long as there are small ones. Three small rights stand beside that order:

- An array of which nothing has begun after a while gets a place for one task.
- Arrays that wait for long get a small part of the machines together, the oldest first.
- Work of which nobody says when it is to be done (a *guest*) comes last among its
  priority, and if it is long it takes only what others did not need lately: it cannot be
  stopped for them. A small part of the machines is its own all the same.

``docs/design-served.md`` has the ways weighed and what each of them cost.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from appleshift.objectives.recent_demand import RecentDemand
from appleshift.state.cluster_state import OPEN, ClusterState, Job, Machine

FIRST_TASK_AFTER_S = 60.0
"""An array of which nothing began by then gets a place for a task."""
AHEAD_OF_URGENT_AFTER_S = 150.0
"""From then on before more urgent work, too, critical work excepted: the operators want
the largest jobs begun within 240 s."""
OVERDUE_AFTER_S = 120.0
OVERDUE_CPU_SHARE = 0.08
BEST_EFFORT_CPU_SHARE = 0.08
"""Of the CPUs of machines without cards: what arrays that wait for long have for
themselves, and what guests have."""
LONG_TASK_S = 30.0
"""Guests' tasks that run for less leave soon enough."""


class BestEffortPolicy(Protocol):
    """Who is one, and what the others needed."""

    @property
    def recent_demand(self) -> RecentDemand: ...

    def is_best_effort(self, job: Job) -> bool: ...


@dataclass(frozen=True, slots=True)
class PlacementTurn:
    job: Job
    max_tasks: int | None = None
    """Place so many tasks at most and say nothing of the rest; None: all."""
    rank: int | None = None
    """The rank by which it is the job's turn, if that is not the job's own."""


def placement_turns(
    order: Sequence[Job],
    cluster: ClusterState,
    pools: Mapping[tuple[int, int, bool], Sequence[Machine]],
    objectives: BestEffortPolicy,
    now: float,
    wall: float,
) -> Iterable[PlacementTurn]:
    """The turns of one pass over jobs that are in the order of urgency."""
    cpus = sum(
        len(machines) * cluster.types[kind].cpus
        for (kind, _, _), machines in pools.items()
        if cluster.types[kind].gpus <= 0
    )
    guests = [job for job in order if objectives.is_best_effort(job)]
    if objectives.recent_demand.sample_due(now):
        objectives.recent_demand.record(
            now, min(cpus, _cpus_needed(cluster.jobs.values(), objectives))
        )
    early = [
        (
            job.rank if wall - job.submitted < AHEAD_OF_URGENT_AFTER_S else min(job.rank, 1),
            job,
            most,
        )
        for job, most in _early_turns(order, guests, cpus, wall)
    ]
    early.sort(key=lambda entry: (entry[0], entry[1].submitted))
    allowed = cpus - objectives.recent_demand.expected_cpus() - _cpus_in_use(guests)
    position = 0
    for job in order:
        while position < len(early) and early[position][0] <= job.rank:
            rank, early_job, most = early[position]
            yield PlacementTurn(early_job, most, rank)
            position += 1
        if (
            job.gang
            or job.service
            or not objectives.is_best_effort(job)
            or cluster.expected_run_s(job) <= LONG_TASK_S
        ):
            yield PlacementTurn(job)
            continue
        most = min(len(job.pending), int(max(0.0, allowed) / max(0.01, job.spec.cpus)))
        if most:
            allowed -= most * job.spec.cpus
            yield PlacementTurn(job, most)


def _early_turns(
    order: Sequence[Job], guests: Sequence[Job], cpus: float, wall: float
) -> Iterable[tuple[Job, int]]:
    """Arrays that get some places before their turn, and how many. Of guests those that
    are soonest over come first, or all of them would be half done."""
    are_guests = {job.index for job in guests}
    ending = [job for job in order if not (job.gang or job.service or job.index in are_guests)]
    ending.sort(key=lambda job: job.submitted)
    rooms = {
        True: BEST_EFFORT_CPU_SHARE * cpus - _cpus_in_use(guests),
        False: OVERDUE_CPU_SHARE * cpus
        - _cpus_in_use(job for job in ending if _is_overdue(job, wall, are_guests)),
    }
    ending += [job for job in guests if not job.gang]
    for job in ending:
        guest = job.index in are_guests
        begun = bool(job.runs) or job.done_count > 0
        most = 0 if begun or wall - job.submitted < FIRST_TASK_AFTER_S else 1
        if guest or _is_overdue(job, wall, are_guests):
            most = max(most, min(len(job.pending), int(rooms[guest] / max(0.01, job.spec.cpus))))
            rooms[guest] -= most * job.spec.cpus
        if most > 0:
            yield job, most


def _is_overdue(job: Job, wall: float, guests: set[int]) -> bool:
    return wall - job.submitted >= OVERDUE_AFTER_S and job.index not in guests


def _cpus_in_use(jobs: Iterable[Job]) -> float:
    return sum(len(job.runs) * job.spec.cpus for job in jobs)


def _cpus_needed(jobs: Iterable[Job], objectives: BestEffortPolicy) -> float:
    return sum(
        (len(job.runs) + len(job.pending)) * job.spec.cpus
        for job in jobs
        if job.status == OPEN and job.spec.gpus <= 0 and not objectives.is_best_effort(job)
    )
