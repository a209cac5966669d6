"""States of task runs, machines and jobs, and final states of jobs.

They are plain integers because placement passes and heartbeats compare them very often.
The states of jobs are stored in the write-ahead log.
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
"""States of task runs by their names in heartbeats."""

BOOTING, UP, DELETED = range(3)
"""States of a machine."""

OPEN, FINISHED, CANCELLED = range(3)
"""States of a job; all except OPEN are final."""

FORWARDED = 8
"""Final state of a job that another shard owns: this value plus the number of that shard."""
