"""Sums and comparison of CPUs, GPUs and memory."""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission

EPSILON = 1e-6
"""Tolerance for sums of CPUs, GPUs or gigabytes, which have rounding errors."""


@dataclass(slots=True)
class UsedResources:
    """Resources of a machine that some of its tasks use."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: Submission, tasks: int) -> None:
        """Add the resources of ``tasks`` tasks; a negative number subtracts them."""
        self.cpus += spec.cpus * tasks
        self.gpus += spec.gpus * tasks
        self.memory_gb += spec.memory_gb * tasks


def type_fits(machine_type: MachineType, spec: Submission) -> bool:
    """Return whether a task fits on an empty machine of a type."""
    return (
        machine_type.cpus + EPSILON >= spec.cpus
        and machine_type.gpus + EPSILON >= spec.gpus
        and machine_type.memory_gb + EPSILON >= spec.memory_gb
    )
