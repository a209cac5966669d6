"""The audit log: every grant and return of units of counted resources, in log order.

Entries are derived from durable records only, by the same code while a leader writes
the write-ahead log and when its successor replays it. The entry numbers are therefore
the same for both, and a reader of the stored pages and the newest entries detects
missing and duplicate entries by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from appleshift.protocol.users import Submission
from appleshift.state.task_set import TaskSet, to_ranges
from appleshift.storage import records
from appleshift.storage.records import Record

GRANT, RETURN, DEFINE = "grant", "return", "define"
MAX_TASKS_PER_ENTRY = 100

_FIELDS = Submission.__struct_fields__
_COUNTED_RESOURCES_INDEX, _ID_INDEX = _FIELDS.index("counted_resources"), _FIELDS.index("id")

Entry = list[Any]
"""Number, time in seconds since the epoch, kind, then the details of this kind. GRANT and
RETURN: job ID, task ranges, attempt, machine, units for each task by resource name.
DEFINE: resource name and definition, None if the resource is no longer counted."""


class _Holder:
    """A job that requests counted resources, with attempt and machine of its assigned tasks."""

    __slots__ = ("job_id", "task_locations", "units_per_task")

    def __init__(self, job_id: str, units_per_task: dict[str, int]) -> None:
        self.job_id = job_id
        self.units_per_task = units_per_task
        self.task_locations: dict[int, tuple[int, str]] = {}


class AuditLog:
    """Implements ``storage.records.RecordConsumer``."""

    def __init__(self, written: int = 0) -> None:
        """Continue after the ``written`` entries that are in pages in the key-value store."""
        self.next_number = written
        self.tail: list[Entry] = []
        """Entries that are not yet in a stored page."""
        self.counted_names: set[str] = set()
        self._jobs: dict[int, _Holder] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record of the log or of a snapshot."""
        kind = record[0]
        if kind == records.JOB:
            self._apply_job(record)
            return
        if kind == records.COUNTED_RESOURCE:
            self._apply_definition(record)
            return
        if kind not in (records.ASSIGN, records.FREE, records.DONE, records.END):
            return
        holder = self._jobs.get(record[1])
        if holder is None:
            return
        if kind == records.END:
            self._jobs.pop(record[1])
        elif kind == records.ASSIGN:
            _, _, attempt, machine, _, ranges, *timestamp = record
            for task in TaskSet.from_ranges(ranges):
                holder.task_locations[task] = (attempt, machine)
            if timestamp:
                self._add_entry(
                    timestamp[0],
                    GRANT,
                    [holder.job_id, ranges, attempt, machine, holder.units_per_task],
                )
        else:
            self._add_returns(holder, TaskSet.from_ranges(record[2]), record[3:])

    def _apply_job(self, record: Record) -> None:
        """Store a job that requests counted resources, for entries about its later assignments."""
        values = record[3]
        # The record of a job without counted resources may lack the field.
        requested = (
            values[_COUNTED_RESOURCES_INDEX] if len(values) > _COUNTED_RESOURCES_INDEX else None
        )
        if isinstance(requested, dict) and requested:
            self._jobs[record[1]] = _Holder(values[_ID_INDEX], requested)

    def _apply_definition(self, record: Record) -> None:
        _, wall, name, definition = record
        if definition is None:
            self.counted_names.discard(name)
        else:
            self.counted_names.add(name)
        if wall > 0.0:
            self._add_entry(wall, DEFINE, [name, definition])

    def _add_returns(self, holder: _Holder, tasks: Iterable[int], timestamp: list[float]) -> None:
        tasks_by_location: dict[tuple[int, str], list[int]] = {}
        for task in tasks:
            location = holder.task_locations.pop(task, None)
            if location is not None:
                tasks_by_location.setdefault(location, []).append(task)
        for (attempt, machine), returned in tasks_by_location.items():
            if timestamp:
                self._add_entry(
                    timestamp[0],
                    RETURN,
                    [holder.job_id, to_ranges(returned), attempt, machine, holder.units_per_task],
                )

    def _add_entry(self, wall: float, kind: str, details: list[Any]) -> None:
        self.tail.append([self.next_number, wall, kind, *details])
        self.next_number += 1

    def returned_attempts(self) -> list[tuple[str, int]]:
        """Return the task names and attempts of the RETURN entries in ``tail``."""
        return [
            (f"{entry[3]}/{task}", entry[5])
            for entry in self.tail
            if entry[2] == RETURN
            for task in TaskSet.from_ranges(entry[4])
        ]

    def drop_saved_entries(self, upto: int) -> None:
        """Drop the entries with numbers below ``upto``, which are in stored pages now."""
        self.tail = [entry for entry in self.tail if entry[0] >= upto]
