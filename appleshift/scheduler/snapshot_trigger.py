"""Decides when the write-ahead log is replaced by a snapshot."""

from __future__ import annotations

import logging
from typing import Any

from appleshift.scheduler.interfaces import FullSchedulerView
from appleshift.storage import records

log = logging.getLogger(__name__)

MIN_TERM_AGE_FOR_SNAPSHOT_S = 5.0
"""A term takes no snapshot before this age: users and workers come first when it begins.

The log that a leader found counts towards the next snapshot, or a log over which leaders
change would grow without bound.
"""
MAX_LOG_LAG_FOR_SNAPSHOT_S = 0.1
"""No snapshot while records wait longer: the log is left to what users wait for."""


class SnapshotTrigger:
    """Starts a snapshot once the log has grown beyond the operator's limit."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Watch the write-ahead log of ``scheduler``."""
        self._scheduler = scheduler

    def start_if_due(self) -> None:
        """Start a snapshot if the log is long, writes are fast and the term is settled."""
        if self._is_due():
            self._start()

    def _is_due(self) -> bool:
        scheduler = self._scheduler
        write_ahead_log = scheduler.write_ahead_log
        return (
            not write_ahead_log.snapshotting
            and write_ahead_log.log_bytes >= scheduler.operator.snapshot_kb * 1024
            and scheduler.now - scheduler.started_at >= MIN_TERM_AGE_FOR_SNAPSHOT_S
            and write_ahead_log.lag_s() <= MAX_LOG_LAG_FOR_SNAPSHOT_S
            and scheduler.lease.may_write(scheduler.now)
        )

    def _start(self) -> None:
        scheduler = self._scheduler
        final_states: list[list[Any]] = [list(entry) for entry in scheduler.unsaved_final_states]
        scheduler.unsaved_final_states = []
        counted = scheduler.counted_resources
        definitions = None if counted is None else counted.definition_records()
        live = records.live_records(
            scheduler.cluster, scheduler.fleet.spot_group_names(), definitions
        )
        log.info("snapshot started records=%d ended_jobs=%d", len(live), len(final_states))
        if counted is None:
            scheduler.write_ahead_log.start_snapshot(live, final_states)
        else:
            scheduler.write_ahead_log.start_snapshot(
                live, final_states, counted.unsaved_audit_entries, counted.audit_pages
            )
