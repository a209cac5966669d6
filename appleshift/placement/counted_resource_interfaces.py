"""Interfaces through which placement and the scheduler use counted resources.

The package ``appleshift.counted_resources`` implements these protocols. This module does
not import it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import CountedResourceTracker
from appleshift.state.entities import Job, TaskRun
from appleshift.storage.records import Record


class CountedResourcePass(Protocol):
    """The counted resources during one placement pass."""

    def runs_to_stop(self) -> list[TaskRun]:
        """Return the tasks to stop because a resource's total was lowered.

        Each task has its ``stop_grace_s`` set.
        """
        ...

    def would_borrow(self, job: Job) -> bool:
        """Return whether the job's next start would exceed a guarantee of its team."""
        ...

    def max_tasks(self, job: Job, most: int) -> int:
        """Return how many tasks of the job can get their counted resources now, up to ``most``."""
        ...

    def tasks_lacking(self, job: Job, tasks: int, urgent: bool) -> list[TaskRun]:
        """Record that ``tasks`` tasks of the job lack counted resources.

        Returns the tasks to stop for them; none unless ``urgent`` is set.
        """
        ...

    def no_machine_for(self, job: Job) -> None:
        """Record that counted resources are free for the job but no machine has room for it."""
        ...

    def close(self) -> None:
        """End the placement pass."""
        ...


class CountedResources(CountedResourceTracker, Protocol):
    """The counted resources of one leader term."""

    def begin_recovery(self) -> None:
        """Start counting assigned tasks, first those that recovery restores from the log."""
        ...

    def end_recovery(self) -> None:
        """Record that every task that may be on a machine has been counted."""
        ...

    def rejection(self, spec: Submission) -> tuple[int, str] | None:
        """Return the HTTP status and reason for rejecting a job; None if it is accepted."""
        ...

    def begin_pass(self, now: float) -> CountedResourcePass:
        """Start a placement pass at monotonic time ``now`` in seconds."""
        ...

    def capped_tasks(self, jobs: Iterable[Job]) -> dict[int, int]:
        """Return how many tasks of each job can hold their counted resources at once.

        The result is by job index and has only the open jobs that need counted resources.
        """
        ...

    def step(self, now: float, wall: float) -> bool:
        """Run periodic work that is due at ``now`` (monotonic) and ``wall`` time, in seconds.

        Returns true if a placement pass may be able to place more tasks than before.
        """
        ...

    def definition_records(self) -> list[Record]:
        """Return the records of a snapshot that restore the resource definitions."""
        ...

    def unsaved_audit_entries(self) -> list[list[Any]]:
        """Return the entries of the audit log that are newer than the last snapshot."""
        ...

    @property
    def audit_pages(self) -> int:
        """Number of pages of the audit log that are kept."""
        ...

    def reservation_requests(self, now: float) -> list[Any]:
        """Return the requests to licence servers that are due at monotonic time ``now``."""
        ...

    def license_server_answered(self, name: str, serial: int, standing: Any, now: float) -> bool:
        """Handle the reply of the licence server ``name`` to request ``serial``.

        ``standing`` is None if the server did not reply. Returns true if more may be
        granted than before.
        """
        ...

    def view(self, now: float) -> dict[str, Any]:
        """Return the state of all counted resources, for operators."""
        ...

    def history(self, after: int) -> dict[str, Any]:
        """Return the audit log entries with a number above ``after``, for operators."""
        ...
