"""One round over machines that places tasks of an array or a service."""

from __future__ import annotations

from collections.abc import Callable

from appleshift.placement.fit import spread_allowance_per_zone
from appleshift.placement.placement_pass import PlacementPass
from appleshift.protocol.users import Submission
from appleshift.state.entities import Job, Machine
from appleshift.state.teams import Team


def place_round(
    placement_pass: PlacementPass,
    job: Job,
    machines: list[Machine],
    tasks: list[int],
    fit: Callable[[Machine, Job], int],
) -> int:
    """Go over the machines once and place the first tasks; returns how many found room.

    ``fit`` says how many tasks of the job fit on a machine. A machine gets one replica
    at most in a round: replicas go to different machines where there is a choice.
    """
    cluster = placement_pass.cluster
    spec = job.spec
    team = cluster.teams[job.team]
    per_zone = spread_allowance_per_zone(cluster, job)
    zone = _zone_in_use(job) if spec.together else -1
    attempt = job.last_attempt + 1
    if per_zone is not None:
        machines = _emptiest_zone_first(machines, per_zone)
    placed = 0
    for machine in machines:
        if placed == len(tasks):
            break
        if spec.together and zone >= 0 and machine.zone != zone:
            continue
        max_tasks = min(fit(machine, job), len(tasks) - placed)
        if job.service:
            max_tasks = min(max_tasks, 1)
        if per_zone is not None:
            max_tasks = min(max_tasks, per_zone[machine.zone])
        count = _count_within_limits(team, spec, max_tasks)
        if not count:
            continue
        zone = machine.zone
        if per_zone is not None:
            per_zone[zone] -= count
        placement_pass.assign(job, machine, attempt, tasks[placed : placed + count])
        placed += count
    return placed


def _zone_in_use(job: Job) -> int:
    """The zone in which the job's tasks run; -1 if none does."""
    return next((run.machine.zone for run in job.runs.values()), -1)


def _emptiest_zone_first(machines: list[Machine], per_zone: dict[int, int]) -> list[Machine]:
    """Even out a spread job over its zones, so that the loss of one costs least."""
    return sorted(machines, key=lambda machine: -per_zone[machine.zone])


def _count_within_limits(team: Team, spec: Submission, max_tasks: int) -> int:
    """How many tasks, up to ``max_tasks``, the team may still run within its limits."""
    count = 0
    while count < max_tasks and team.within_limits(
        spec.cpus * (count + 1), spec.gpus * (count + 1)
    ):
        count += 1
    return count
