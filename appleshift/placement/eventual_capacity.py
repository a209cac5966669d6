"""Capacity that machines will have for a job once the tasks on them that end have ended.

Replicas of services may run for ever, so work must not wait for the capacity that they use.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from appleshift.placement.fit import tasks_that_fit
from appleshift.protocol.cloud import MachineType
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine


def eventual_tasks(machine: Machine, machine_type: MachineType, job: Job) -> int:
    """Return how many tasks of a job a machine can run once all tasks but replicas have ended."""
    services = machine.used_by_services
    tasks = tasks_that_fit(
        machine_type.cpus - services.cpus,
        machine_type.gpus - services.gpus,
        machine_type.memory_gb - services.memory_gb,
        job.spec,
    )
    return max(0, tasks)


def eventual_tasks_by_zone(
    cluster: ClusterState, job: Job, machines: Iterable[Machine]
) -> Counter[int]:
    """Return how many tasks of a job the machines of each zone can run at the same time."""
    tasks: Counter[int] = Counter()
    for machine in machines:
        tasks[machine.zone] += eventual_tasks(machine, cluster.types[machine.type], job)
    return tasks


def can_ever_run(cluster: ClusterState, job: Job, tasks: int, machines: Iterable[Machine]) -> bool:
    """Return whether machines can run ``tasks`` tasks of a job at the same time some day.

    They have to be in one zone if the job needs that. Looks at no more machines than it takes.
    """
    found: Counter[int] = Counter()
    for machine in machines:
        group = machine.zone if job.spec.together else -1
        found[group] += eventual_tasks(machine, cluster.types[machine.type], job)
        if found[group] >= tasks:
            return True
    return False
