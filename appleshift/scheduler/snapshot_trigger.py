"""Decides when a snapshot replaces the write-ahead log."""

from __future__ import annotations

import logging
from typing import Any

from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.storage import records

log = logging.getLogger(__name__)

MIN_TERM_AGE_FOR_SNAPSHOT_S = 5.0
"""Minimum age of a term for a snapshot, in seconds.

At the start of a term, users and workers take precedence. The size of the log that a new
leader recovers counts towards its next snapshot; otherwise the log would grow without
bound if the leader changes often.
"""
MAX_LOG_LAG_FOR_SNAPSHOT_S = 0.1
"""Above this lag of the write-ahead log, in seconds, no snapshot starts.

The log is then left to the records that responses to users depend on.
"""


class SnapshotTrigger:
    """Starts a snapshot when the log exceeds the size that the operator set."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Monitor the write-ahead log of ``scheduler``."""
        self._scheduler = scheduler

    def start_if_due(self) -> None:
        """Start a snapshot if the log is large, does not lag, and the term is old enough."""
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
        live_records = records.live_records(
            scheduler.cluster, scheduler.fleet.spot_group_names(), definitions
        )
        log.info("snapshot started records=%d ended_jobs=%d", len(live_records), len(final_states))
        if counted is None:
            scheduler.write_ahead_log.start_snapshot(live_records, final_states)
        else:
            scheduler.write_ahead_log.start_snapshot(
                live_records,
                final_states,
                counted.unsaved_audit_entries,
                counted.audit_pages,
            )
