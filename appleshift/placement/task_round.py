"""Placement of tasks of an array or a service in one round over machines."""

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
    task_limit: int,
    fit: Callable[[Machine, Job], int],
) -> int:
    """Place up to ``task_limit`` pending tasks, visiting each machine once.

    Returns how many were placed.

    ``fit`` returns how many tasks of the job fit on a machine. A machine gets at most one
    replica of a service per round, so that replicas go to different machines if possible.
    """
    cluster = placement_pass.cluster
    spec = job.spec
    team = cluster.teams[job.team]
    zone_allowance = spread_allowance_per_zone(cluster, job)
    zone = _zone_in_use(job) if spec.together else -1
    attempt = job.last_attempt + 1
    if zone_allowance is not None:
        machines = _largest_allowance_first(machines, zone_allowance)
    placed = 0
    for machine in machines:
        if placed == task_limit:
            break
        if spec.together and zone >= 0 and machine.zone != zone:
            continue
        max_tasks = min(fit(machine, job), task_limit - placed)
        if job.service:
            max_tasks = min(max_tasks, 1)
        if zone_allowance is not None:
            max_tasks = min(max_tasks, zone_allowance[machine.zone])
        count = _count_within_limits(team, spec, max_tasks)
        if not count:
            continue
        zone = machine.zone
        if zone_allowance is not None:
            zone_allowance[zone] -= count
        placement_pass.assign(job, machine, attempt, count)
        placed += count
    return placed


def _zone_in_use(job: Job) -> int:
    """Return the zone of one of the job's tasks on machines; -1 without any."""
    return next((run.machine.zone for run in job.runs.values()), -1)


def _largest_allowance_first(
    machines: list[Machine], zone_allowance: dict[int, int]
) -> list[Machine]:
    """Sort machines by zone, first the zone in which a spread job may run the most further tasks.

    An even distribution limits the damage when a zone is lost.
    """
    return sorted(machines, key=lambda machine: -zone_allowance[machine.zone])


def _count_within_limits(team: Team, spec: Submission, max_tasks: int) -> int:
    """Return how many more tasks, up to ``max_tasks``, fit into the team's limits."""
    count = 0
    while count < max_tasks and team.within_limits(
        spec.cpus * (count + 1), spec.gpus * (count + 1)
    ):
        count += 1
    return count
