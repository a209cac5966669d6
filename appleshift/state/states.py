"""States of task runs, machines and jobs, and final states of jobs.

They are plain integers since placement passes and heartbeats compare them all the time.
Those of jobs are stored in the log.
"""

from __future__ import annotations

ASSIGNED, FETCHING, WAITING, RUNNING, SAVING, EXITED = range(6)
"""States of a task run. ASSIGNED: not yet reported by its machine."""

RUN_STATES = {
    "fetching": FETCHING,
    "waiting": WAITING,
    "running": RUNNING,
    "saving": SAVING,
    "exited": EXITED,
}
"""States as heartbeats name them."""

BOOTING, UP, DELETED = range(3)
"""States of a machine."""

OPEN, FINISHED, CANCELLED = range(3)
"""States of a job; all but OPEN are final."""

FORWARDED = 8
"""Among final states: another shard decides on the job. This number plus the shard's."""
