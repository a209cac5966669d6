"""Admission control: decides whether a submitted job is accepted."""

from __future__ import annotations

from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.resources import type_fits


def rejection(
    cluster: ClusterState, spec: Submission, counted_resources: CountedResources | None
) -> tuple[int, str] | None:
    """Return the HTTP status and reason for rejecting a job; None if the job is accepted.

    The status is 400 for a malformed job, 422 for a job that can never run, and 503 if
    the machine types, which the checks need, are not known yet.
    """
    if not cluster.types:
        return 503, "machine types are not known yet"
    team = cluster.team_names.get(spec.team)
    if team < 0:
        return 422, "unknown team"
    allowed_types = [
        machine_type
        for machine_type in cluster.types
        if spec.types is None or machine_type.name in spec.types
    ]
    if spec.zone is not None:
        allowed_types = [
            machine_type for machine_type in allowed_types if spec.zone in machine_type.zones
        ]
    if not any(type_fits(machine_type, spec) for machine_type in allowed_types):
        return 422, "a task fits no allowed machine type"
    tasks = 1 if spec.shape == users.ARRAY else spec.tasks
    if not cluster.teams[team].can_ever_fit(spec.cpus * tasks, spec.gpus * tasks):
        return 422, "more than the team's limit"
    return None if counted_resources is None else counted_resources.rejection(spec)
