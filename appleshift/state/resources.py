"""Comparison of CPUs, GPUs and memory."""

from __future__ import annotations

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission

EPSILON = 1e-6
"""Tolerance for sums of CPUs, GPUs or gigabytes, which have rounding errors."""


def type_fits(machine_type: MachineType, spec: Submission) -> bool:
    """Return whether a task fits on an empty machine of a type."""
    return (
        machine_type.cpus + EPSILON >= spec.cpus
        and machine_type.gpus + EPSILON >= spec.gpus
        and machine_type.memory_gb + EPSILON >= spec.memory_gb
    )
