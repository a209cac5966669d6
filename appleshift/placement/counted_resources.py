"""What the core needs of counted resources, where any are defined.

``appleshift.counted_resources`` implements these protocols; nothing here loads it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import CountedResourceTracker, Job, TaskRun
from appleshift.storage.records import Record


class CountedResourcePass(Protocol):
    """Seats in one placement pass."""

    def runs_to_stop(self) -> list[TaskRun]:
        """Whom a lowered total stops; their grace is set."""
        ...

    def would_borrow(self, job: Job) -> bool:
        """Would its next task take its team beyond a guarantee?"""
        ...

    def max_tasks(self, job: Job, most: int) -> int:
        """How many of a job's tasks may hold what they need now, ``most`` at most."""
        ...

    def tasks_lacking(self, job: Job, tasks: int, urgent: bool) -> list[TaskRun]:
        """So many tasks wait for seats; ``urgent``: whom to stop for them."""
        ...

    def no_machine_for(self, job: Job) -> None:
        """It has its seats for the asking, and no machine."""
        ...

    def close(self) -> None:
        """The pass is over."""
        ...


class CountedResources(CountedResourceTracker, Protocol):
    """Part of the core: everything counted, for one term."""

    def begin_recovery(self) -> None:
        """From now on whatever is assigned counts: what is recovered, first of all."""
        ...

    def end_recovery(self) -> None:
        """All that may be on machines has been counted."""
        ...

    def rejection(self, spec: Submission) -> tuple[int, str] | None:
        """Why a submission cannot be taken: status and reason."""
        ...

    def begin_pass(self, now: float) -> CountedResourcePass: ...

    def capped_tasks(self, jobs: Iterable[Job]) -> dict[int, int]:
        """By job: how many of its tasks can hold their seats at once, if all goes well."""
        ...

    def step(self, now: float, wall: float) -> bool:
        """Do what is due; true if a placement pass may find more than before."""
        ...

    def definition_records(self) -> list[Record]:
        """Records that rebuild the definitions, for a snapshot."""
        ...

    def unsaved_audit_entries(self) -> list[list[Any]]:
        """What the trail holds since the last snapshot."""
        ...

    @property
    def audit_pages(self) -> int:
        """How many pages of the trail are kept."""
        ...

    def reservation_requests(self, now: float) -> list[Any]:
        """What licence servers are to be asked now."""
        ...

    def license_server_answered(self, name: str, serial: int, standing: Any, now: float) -> bool:
        """What one answered, None for nothing; true if more may be granted."""
        ...

    def view(self, now: float) -> dict[str, Any]: ...

    def history(self, after: int) -> dict[str, Any]: ...
