"""What placement and the scheduler need of counted resources, where any are defined.

``appleshift.counted_resources`` implements these protocols; nothing here loads it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import CountedResourceTracker
from appleshift.state.entities import Job, TaskRun
from appleshift.storage.records import Record


class CountedResourcePass(Protocol):
    """Counted resources in one placement pass."""

    def runs_to_stop(self) -> list[TaskRun]:
        """Tasks that a lowered total stops; each has its ``stop_grace_s`` set."""
        ...

    def would_borrow(self, job: Job) -> bool:
        """Whether the job's next task would take its team beyond a guarantee."""
        ...

    def max_tasks(self, job: Job, most: int) -> int:
        """How many of a job's tasks may hold what they need now, ``most`` at most."""
        ...

    def tasks_lacking(self, job: Job, tasks: int, urgent: bool) -> list[TaskRun]:
        """Note that ``tasks`` tasks lack counted resources.

        Returns the tasks to stop for them if it is ``urgent``.
        """
        ...

    def no_machine_for(self, job: Job) -> None:
        """Note that the job could have its counted resources and found no machine."""
        ...

    def close(self) -> None:
        """End the pass."""
        ...


class CountedResources(CountedResourceTracker, Protocol):
    """The counted resources of one leader term, as the scheduler uses them."""

    def begin_recovery(self) -> None:
        """From now on whatever is assigned counts, beginning with what is recovered."""
        ...

    def end_recovery(self) -> None:
        """Note that all tasks that may be on machines have been counted."""
        ...

    def rejection(self, spec: Submission) -> tuple[int, str] | None:
        """Why a submission cannot be accepted: HTTP status and reason."""
        ...

    def begin_pass(self, now: float) -> CountedResourcePass:
        """Begin a placement pass at monotonic time ``now`` in seconds."""
        ...

    def capped_tasks(self, jobs: Iterable[Job]) -> dict[int, int]:
        """By job index: how many of its tasks could hold their counted resources at once."""
        ...

    def step(self, now: float, wall: float) -> bool:
        """Do what is due; true if a placement pass may place more than before."""
        ...

    def definition_records(self) -> list[Record]:
        """Records that rebuild the definitions, for a snapshot."""
        ...

    def unsaved_audit_entries(self) -> list[list[Any]]:
        """Entries of the audit log that are newer than the last snapshot."""
        ...

    @property
    def audit_pages(self) -> int:
        """How many pages of the audit log are kept."""
        ...

    def reservation_requests(self, now: float) -> list[Any]:
        """Requests that are due to licence servers."""
        ...

    def license_server_answered(self, name: str, serial: int, standing: Any, now: float) -> bool:
        """Handle the reply of a licence server, None if there was none.

        Returns true if more may be granted than before.
        """
        ...

    def view(self, now: float) -> dict[str, Any]:
        """All counted resources, for operators."""
        ...

    def history(self, after: int) -> dict[str, Any]:
        """Entries of the audit log with numbers above ``after``, for operators."""
        ...
