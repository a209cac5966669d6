"""Estimates the memory that the state of a shard takes in its leader.

The memory that a process has used once is rarely given back, so decisions rest on an estimate
from the state itself. What a job is charged covers the worst that can become of it, so that an
accepted job never needs more later.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from appleshift.protocol.users import Submission

JOB_BYTES = 2_400
"""A job without its names and tasks: its objects, and its records while a snapshot is written."""
NAME_BYTES = 80
"""A name without its characters."""
BYTES_PER_CHARACTER = 4
SCATTERED_TASK_BYTES = 2
"""A task in one of the task sets of a job while these hold few tasks."""
BITMAP_BYTES = 8_192
"""The most that a task set takes for ``TASKS_PER_BITMAP`` tasks."""
TASKS_PER_BITMAP = 65_536
TASK_SETS = 3
"""Task sets of a job: pending, done, and run by other shards."""
RUN_BYTES = 700
"""A task that may be on a machine."""
MACHINE_BYTES = 1_600
TEXT_FINAL_STATE_BYTES = 200
"""The final state of a job whose id is kept as text."""


@dataclass(frozen=True, slots=True)
class StateMemory:
    """Estimated bytes that the state of a shard takes, by kind."""

    jobs: int = 0
    """Open jobs, at the worst that can become of them."""
    runs: int = 0
    machines: int = 0
    final_states: int = 0

    @property
    def total(self) -> int:
        """All kinds together."""
        return self.jobs + self.runs + self.machines + self.final_states


def task_sets_bytes(tasks: int) -> int:
    """Return the most bytes that the task sets of a job with ``tasks`` tasks take."""
    bitmaps = math.ceil(tasks / TASKS_PER_BITMAP)
    return min(SCATTERED_TASK_BYTES * tasks, TASK_SETS * BITMAP_BYTES * bitmaps)


def job_bytes(spec: Submission) -> int:
    """Return the most bytes that a job takes in a leader."""
    names = [spec.id, spec.job_class, spec.team, spec.image, spec.zone or "", *(spec.types or ())]
    characters = sum(map(len, names))
    return (
        JOB_BYTES
        + NAME_BYTES * len(names)
        + BYTES_PER_CHARACTER * characters
        + task_sets_bytes(spec.tasks)
    )
