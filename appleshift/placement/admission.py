"""Which submissions are accepted at all."""

from __future__ import annotations

from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.resources import type_fits


def rejection(
    cluster: ClusterState, spec: Submission, counted_resources: CountedResources | None
) -> tuple[int, str] | None:
    """Why a submission cannot be accepted: HTTP status and reason; None: it can.

    It can never run (422), is malformed (400), or cannot be judged yet (503).
    """
    if not cluster.types:
        return 503, "machine types are not known yet"
    team = cluster.team_names.get(spec.team)
    if team < 0:
        return 422, "unknown team"
    allowed = [kind for kind in cluster.types if spec.types is None or kind.name in spec.types]
    if spec.zone is not None:
        allowed = [kind for kind in allowed if spec.zone in kind.zones]
    if not any(type_fits(kind, spec) for kind in allowed):
        return 422, "a task fits no allowed machine type"
    tasks = 1 if spec.shape == users.ARRAY else spec.tasks
    if not cluster.teams[team].can_ever_fit(spec.cpus * tasks, spec.gpus * tasks):
        return 422, "more than the team's limit"
    return None if counted_resources is None else counted_resources.rejection(spec)
