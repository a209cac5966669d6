"""Guaranteed quotas of teams, and who runs beyond them."""

from __future__ import annotations

from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.resources import EPSILON


def within_guarantee(cluster: ClusterState, job: Job) -> bool:
    """Whether the next task of a job, or its whole gang, stays within its team's guarantee.

    GPU work is counted by its GPUs alone. A team without a CPU guarantee borrows all CPUs.
    """
    team = cluster.teams[job.team]
    spec = job.spec
    tasks = 1 if not job.gang else spec.tasks
    gpus_ok = team.gpus + spec.gpus * tasks <= team.limits.gpus + EPSILON
    cpus_ok = spec.gpus > 0 or team.cpus + spec.cpus * tasks <= team.limits.cpus + EPSILON
    return gpus_ok and cpus_ok and (spec.gpus > 0 or team.limits.cpus > 0)


def borrowing_teams(cluster: ClusterState, job: Job) -> set[int]:
    """Teams, by index, that run beyond their guarantee what this job's team is owed.

    Empty if the job itself would go beyond its team's guarantee.
    """
    if not within_guarantee(cluster, job):
        return set()
    borrowers = set()
    for number, team in enumerate(cluster.teams):
        if number == job.team:
            continue
        if job.spec.gpus > 0:
            borrows = team.gpus > team.limits.gpus + EPSILON
        else:
            borrows = team.limits.cpus > 0 and team.cpus > team.limits.cpus + EPSILON
        if borrows:
            borrowers.add(number)
    return borrowers


def guarantees_apply(cluster: ClusterState, job: Job) -> bool:
    """Whether a guarantee might make room for this job or for a later one like it."""
    if job.spec.gpus > 0:
        return len(cluster.teams) > 1
    return any(team.limits.cpus > 0 for team in cluster.teams)
