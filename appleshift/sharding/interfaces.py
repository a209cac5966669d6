"""What the parts of sharing use of their share's core, and of each other."""

from __future__ import annotations

from typing import Any, Protocol

from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.scheduler.interfaces import ReplyingScheduler
from appleshift.state.cluster_state import Job

SUMMARY_INTERVAL_S = 1.0
"""How often the leader hears of the other shares."""
MAX_MACHINES_PER_CALL = 600


class ShardScheduler(ReplyingScheduler, Protocol):
    """The core of one term of a share."""

    fleet: Fleet
    fast_path: FastPath

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[Any]) -> None: ...

    def stop_job(self, job: Job) -> None: ...

    def hold_reply(self, reply_to: Any) -> None: ...

    def answer_held(self, reply_to: Any, status: int, body: Any) -> None: ...
