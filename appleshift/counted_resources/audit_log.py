"""The audit: every grant and return of counted units, in the order of the log.

Entries follow from durable records alone, and the same code reads them while a
leader writes and when a successor reads the log again. Their numbers are
therefore the same for both: whatever reads the pages and the tail sees at once
if something is missing or told twice.
"""

from __future__ import annotations

from typing import Any

from appleshift.protocol.users import Submission
from appleshift.state.name_index import from_ranges, to_ranges
from appleshift.storage import records
from appleshift.storage.records import Record

GRANT, RETURN, DEFINE = "grant", "return", "define"
MAX_TASKS_PER_ENTRY = 100

_FIELDS = Submission.__struct_fields__
_SEATS, _ID = _FIELDS.index("counted_resources"), _FIELDS.index("id")

Entry = list[Any]
"""Number, time (seconds since the epoch), kind, what it is about: of a grant or
return the job, ranges of tasks, attempt, machine, units for each task."""


class _Holder:
    __slots__ = ("id", "places", "seats")

    def __init__(self, job_id: str, seats: dict[str, int]) -> None:
        self.id = job_id
        self.seats = seats
        self.places: dict[int, tuple[int, str]] = {}


class AuditLog:
    """Implements ``bookkeeping.records.audit log``.

    ``written``: how many entries the pages in the key-value store hold.
    """

    def __init__(self, written: int = 0) -> None:
        """``written``: number of entries that the stored pages hold."""
        self.next_number = written
        self.tail: list[Entry] = []
        """Entries that no page holds yet."""
        self.counted_names: set[str] = set()
        self._jobs: dict[int, _Holder] = {}

    def apply(self, record: Record) -> None:
        """Take in the log's next record, or one of a snapshot."""
        kind = record[0]
        if kind == records.JOB:
            self._job(record)
            return
        if kind == records.COUNTED_RESOURCE:
            self._define(record)
            return
        if kind not in (records.ASSIGN, records.FREE, records.DONE, records.END):
            return
        holder = self._jobs.get(record[1])
        if holder is None:
            return
        if kind == records.END:
            self._jobs.pop(record[1])
        elif kind == records.ASSIGN:
            _, _, attempt, machine, _, ranges, *at = record
            for task in from_ranges(ranges):
                holder.places[task] = (attempt, machine)
            if at:
                self._add(at[0], GRANT, [holder.id, ranges, attempt, machine, holder.seats])
        else:
            self._returned(holder, from_ranges(record[2]), record[3:])

    def _job(self, record: Record) -> None:
        values = record[3]
        asked = values[_SEATS] if len(values) > _SEATS else None
        if isinstance(asked, dict) and asked:
            self._jobs[record[1]] = _Holder(values[_ID], asked)

    def _define(self, record: Record) -> None:
        _, wall, name, definition = record
        if definition is None:
            self.counted_names.discard(name)
        else:
            self.counted_names.add(name)
        if wall > 0.0:
            self._add(wall, DEFINE, [name, definition])

    def _returned(self, holder: _Holder, tasks: list[int], at: list[float]) -> None:
        by_place: dict[tuple[int, str], list[int]] = {}
        for task in tasks:
            place = holder.places.pop(task, None)
            if place is not None:
                by_place.setdefault(place, []).append(task)
        for (attempt, machine), some in by_place.items():
            if at:
                self._add(
                    at[0], RETURN, [holder.id, to_ranges(some), attempt, machine, holder.seats]
                )

    def _add(self, wall: float, kind: str, about: list[Any]) -> None:
        self.tail.append([self.next_number, wall, kind, *about])
        self.next_number += 1

    def returned_attempts(self) -> list[tuple[str, int]]:
        """Tasks and attempts that gave units back, as far as the tail goes."""
        return [
            (f"{entry[3]}/{task}", entry[5])
            for entry in self.tail
            if entry[2] == RETURN
            for task in from_ranges(entry[4])
        ]

    def drop_saved_entries(self, upto: int) -> None:
        """Pages hold all entries below this number now."""
        self.tail = [entry for entry in self.tail if entry[0] >= upto]
