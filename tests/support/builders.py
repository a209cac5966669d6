"""Builders of submissions, clusters, jobs and machines for tests."""

from __future__ import annotations

from typing import Any

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Machine
from appleshift.state.states import UP

KINDS = [
    MachineType("small", 4.0, 16.0, 0.2, 0.05, 10.0, ["a", "b"], cache_gb=20.0),
    MachineType("large", 16.0, 64.0, 0.9, 0.2, 10.0, ["a", "b"], cache_gb=20.0),
    MachineType("cards", 16.0, 64.0, 9.0, 2.5, 10.0, ["a", "b"], gpus=4.0, cache_gb=20.0),
]


def submission(**changes: Any) -> Submission:
    """Return a small array job with some fields changed."""
    values: dict[str, Any] = {
        "id": "job-000001", "job_class": "c", "team": "red", "shape": "array",
        "priority": "standard", "tasks": 1, "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0,
        "image": "img", "image_gb": 1.0, "together": False, "spread": False, "spot": True,
        "estimate_s": 10.0, "checkpoint_interval_s": 0.0, "checkpoint_duration_s": 0.0,
    }  # fmt: skip
    return Submission(**{**values, **changes})


def cluster(machines: list[tuple[str, str, bool]], **teams: TeamLimits) -> ClusterState:
    """Return a cluster state with machines (type, zone, spot) that are up, named m0, m1, ..."""
    made = ClusterState(["a", "b"], list(teams.values()) or [TeamLimits("red"), TeamLimits("blue")])
    made.update_machine_types(KINDS)
    for number, (kind, zone, spot) in enumerate(machines):
        machine = made.add_machine(f"m{number}", kind, zone, spot)
        assert machine is not None
        machine.status, machine.agent_epoch, machine.last_contact_at = UP, 1, 0.0
    return made


def job(cluster: ClusterState, **changes: Any) -> Any:
    """Add an accepted job to a cluster state."""
    number = cluster.next_job_index
    made = cluster.add_job(number, submission(**{"id": f"job-{number:06d}", **changes}), 0.0)
    made.accepted = True
    return made


def machine(cluster: ClusterState, name: str) -> Machine:
    found = cluster.machine(name)
    assert found is not None
    return found
