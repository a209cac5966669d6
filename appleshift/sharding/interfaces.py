"""What the parts of sharding use of their shard's scheduler, and limits that they share."""

from __future__ import annotations

from typing import Any, Protocol

from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.scheduler.interfaces import ReplyingScheduler
from appleshift.state.entities import Job

SUMMARY_INTERVAL_S = 1.0
"""Seconds between two summaries of a shard to the leader."""
MAX_MACHINES_PER_CALL = 600
"""Machines named in one call: more would not fit a request body of 64 KiB."""


class ShardScheduler(ReplyingScheduler, Protocol):
    """The scheduler of one term of a shard, as the parts of sharding use it."""

    fleet: Fleet
    fast_path: FastPath

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[Any]) -> None:
        """Mark tasks done, in this shard (``runs``) or in another."""
        ...

    def stop_job(self, job: Job) -> None:
        """Stop all task runs of a job in this shard."""
        ...

    def add_pending_reply(self, reply_to: Any) -> None:
        """Keep a request open until ``reply_if_pending`` or until the log stalls."""
        ...

    def reply_if_pending(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request that is still held; one that was answered meanwhile is left alone."""
        ...
