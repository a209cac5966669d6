"""Guaranteed quotas of teams, and the teams that exceed them."""

from __future__ import annotations

from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.resources import EPSILON


def within_guarantee(cluster: ClusterState, job: Job) -> bool:
    """Return whether a job's next task, or its whole gang, stays within its team's guarantee.

    Only the GPUs count for jobs with GPUs. A team without a CPU guarantee borrows all CPUs.
    """
    team = cluster.teams[job.team]
    spec = job.spec
    tasks = 1 if not job.gang else spec.tasks
    gpus_ok = team.gpus + spec.gpus * tasks <= team.limits.gpus + EPSILON
    cpus_ok = spec.gpus > 0 or team.cpus + spec.cpus * tasks <= team.limits.cpus + EPSILON
    return gpus_ok and cpus_ok and (spec.gpus > 0 or team.limits.cpus > 0)


def borrowing_teams(cluster: ClusterState, job: Job) -> set[int]:
    """Return the indexes of other teams that exceed their guarantee of what the job needs.

    The set is empty if the job itself would exceed its team's guarantee. GPUs are compared
    for jobs with GPUs, otherwise CPUs.
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
    """Return whether a guarantee may entitle this job or a similar later one to preempt."""
    if job.spec.gpus > 0:
        return len(cluster.teams) > 1
    return any(team.limits.cpus > 0 for team in cluster.teams)
