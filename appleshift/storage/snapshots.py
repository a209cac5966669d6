"""Layout of a snapshot: its pages, their keys, and the log header that activates it.

A snapshot takes effect only once the header refers to it. The pages of an interrupted
snapshot are orphaned keys, which the next leader removes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from appleshift.protocol.wire import json_size
from appleshift.storage.keys import audit_key, final_key, log_key, snapshot_key
from appleshift.storage.log_header import LogHeader
from appleshift.storage.records import Record

VALUE_OVERHEAD_BYTES = 200
"""Bytes of a value reserved for everything except its records."""
SEPARATOR_BYTES = 1
"""Bytes that separate two records in a value."""


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """Records of a snapshot, not yet divided into pages."""

    live: list[Record]
    """Records that rebuild the live state."""
    final_states: list[list[Any]]
    """(job id, final state) of the jobs that ended since the last snapshot."""
    audit_entries: list[list[Any]]
    """Entries of the audit of counted resources since the last snapshot."""
    max_audit_pages: int
    """Number of audit pages to keep."""


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """Pages to write in this order, and the header to write last, which activates them."""

    pages: list[tuple[str, list[Record]]]
    """Key and records of each page."""
    header: LogHeader


def record_size(record: Record) -> int:
    """Return the number of bytes that a record occupies in a value."""
    return json_size(record) + SEPARATOR_BYTES


def paginate(records: list[Record], value_bytes: int) -> list[list[Record]]:
    """Divide records into pages, each of which fits in a value of the store."""
    pages: list[list[Record]] = []
    size = value_bytes
    for record in records:
        length = record_size(record)
        if size + length > value_bytes:
            pages.append([])
            size = VALUE_OVERHEAD_BYTES
        pages[-1].append(record)
        size += length
    return pages


def plan_snapshot(
    current: LogHeader,
    content: SnapshotContent,
    generation: int,
    first_entry: int,
    prefix: str,
    value_bytes: int,
) -> SnapshotPlan:
    """Lay out the snapshot that replaces the one in the header ``current``.

    Pages of final states and of the audit are appended to the existing ones.
    """
    live = paginate(content.live, value_bytes)
    final_states = paginate(content.final_states, value_bytes)
    first_audit, next_audit, audit_count = current.audit_pages
    audit = paginate(content.audit_entries, value_bytes)
    pages = [
        *((snapshot_key(generation, number, prefix), page) for number, page in enumerate(live)),
        *(
            (final_key(current.final_state_pages + number, prefix), page)
            for number, page in enumerate(final_states)
        ),
        *((audit_key(next_audit + number, prefix), page) for number, page in enumerate(audit)),
    ]
    header = LogHeader(
        generation,
        len(live),
        first_entry,
        current.final_state_pages + len(final_states),
        current.audit_pages,
    )
    if audit:
        next_audit += len(audit)
        first_audit = max(first_audit, next_audit - content.max_audit_pages)
        header.audit_pages = (
            first_audit,
            next_audit,
            audit_count + len(content.audit_entries),
        )
    return SnapshotPlan(pages, header)


def superseded_keys(old: LogHeader, new: LogHeader, prefix: str) -> list[str]:
    """Return the keys that are obsolete once the header ``new`` has replaced ``old``."""
    return (
        [log_key(number, prefix) for number in range(old.first_entry, new.first_entry)]
        + [snapshot_key(old.generation, page, prefix) for page in range(old.pages)]
        + [audit_key(page, prefix) for page in range(old.audit_pages[0], new.audit_pages[0])]
    )
