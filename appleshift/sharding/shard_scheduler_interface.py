"""The scheduler interface that sharding needs, and limits used by several of its modules."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.scheduler.scheduler_interfaces import ReplyingScheduler
from appleshift.state.entities import Job

SUMMARY_INTERVAL_S = 1.0
"""Seconds between two summaries that a shard sends to the leader."""
MAX_MACHINES_PER_CALL = 600
"""Most machines in one call to another shard: more would exceed a request body of 64 KiB."""


class ShardScheduler(ReplyingScheduler, Protocol):
    """The part of a shard's scheduler that sharding uses; one scheduler per term."""

    fleet: Fleet
    fast_path: FastPath

    def complete_tasks(self, job: Job, tasks: Iterable[int], runs: list[Any]) -> None:
        """Mark tasks of a job as done; ``runs`` are those that ran in this shard."""
        ...

    def stop_job(self, job: Job) -> None:
        """Stop all task runs of a job in this shard."""
        ...

    def add_pending_reply(self, reply_to: Any) -> None:
        """Keep a request open until ``reply_if_pending`` answers it or the log stalls."""
        ...

    def reply_if_pending(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request that is still open; do nothing if it was answered already."""
        ...
