"""Accepts only jobs that the next leader can hold as well, which has to read all of them.

The budget is what a node's memory leaves for state. Jobs of each priority may fill only a part
of it, more urgent jobs more, and jobs that take much memory only half, so that neither many
jobs of low priority nor a few huge ones shut out small and urgent ones.
"""

from __future__ import annotations

import logging

from appleshift.node_limits.node_limits import BYTES_PER_MB
from appleshift.protocol.users import ARRAY, PRIORITY_RANKS, Submission
from appleshift.scheduler.scheduler_interfaces import ReplyingScheduler
from appleshift.state import memory_estimate
from appleshift.state.memory_estimate import StateMemory

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 1.0
"""Interval at which the memory of everything but jobs is estimated again, in seconds."""
LOG_INTERVAL_S = 30.0
SHARE_PER_RANK = 0.05
"""Part of the budget that jobs of one priority leave to those of the next higher one."""
LARGE_JOB_BYTES = 16 * 1024
"""A job that takes more than this counts as large."""
LARGE_JOBS_SHARE = 0.5
"""Part of the budget up to which large jobs are accepted."""
BYTES_PER_KB = 1e3


class MemoryBudget:
    """The memory that the state of one shard may take, and what it takes."""

    def __init__(self, scheduler: ReplyingScheduler, budget_bytes: float) -> None:
        """Divide ``budget_bytes``, which a node has for all shards, among the shards."""
        self._scheduler = scheduler
        self._shards = 1 if scheduler.sharding is None else scheduler.sharding.shard_count
        self.budget_bytes = budget_bytes / self._shards
        self.use = StateMemory()
        """The estimate; replaced as a whole, so that other threads may read it."""
        self._next_refresh_at = self._next_log_at = self._next_refusal_log_at = scheduler.now
        self._refused = 0

    def admits(self, spec: Submission) -> bool:
        """Return whether a new job fits into the part of the budget that it may fill."""
        needed = self._needed_bytes(spec)
        share = 1.0 - SHARE_PER_RANK * PRIORITY_RANKS[spec.priority]
        if memory_estimate.job_bytes(spec) > LARGE_JOB_BYTES:
            share = min(share, LARGE_JOBS_SHARE)
        self._refresh_if_due()
        others = self.use.total - self.use.jobs
        in_use = self._scheduler.cluster.jobs_bytes + others
        return in_use + needed <= share * self.budget_bytes

    def _needed_bytes(self, spec: Submission) -> int:
        # Other shards may get parts of an array, and one node may lead all shards.
        copies = self._shards if spec.shape == ARRAY else 1
        return copies * memory_estimate.job_bytes(spec)

    def record_refusal(self, spec: Submission) -> None:
        """Count a refused submission, and log the first one and the counts after it."""
        self._refused += 1
        now = self._scheduler.now
        if now < self._next_refusal_log_at:
            return
        self._next_refusal_log_at = now + LOG_INTERVAL_S
        log.warning(
            "submissions refused for memory refused=%d last_job=%s job_kb=%.1f in_use_mb=%.1f"
            " budget_mb=%.1f jobs=%d",
            self._refused,
            spec.id,
            self._needed_bytes(spec) / BYTES_PER_KB,
            self.use.total / BYTES_PER_MB,
            self.budget_bytes / BYTES_PER_MB,
            len(self._scheduler.cluster.jobs),
        )
        self._refused = 0

    def step(self) -> None:
        """Estimate the memory again if that is due, and log it twice a minute."""
        self._refresh_if_due()
        now = self._scheduler.now
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        use = self.use
        log.info(
            "state memory budget_mb=%.1f jobs_mb=%.1f runs_mb=%.1f machines_mb=%.1f"
            " final_states_mb=%.1f",
            self.budget_bytes / BYTES_PER_MB,
            use.jobs / BYTES_PER_MB,
            use.runs / BYTES_PER_MB,
            use.machines / BYTES_PER_MB,
            use.final_states / BYTES_PER_MB,
        )

    def _refresh_if_due(self) -> None:
        now = self._scheduler.now
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_INTERVAL_S
            self.use = self._scheduler.cluster.memory()

    def view(self) -> dict[str, float]:
        """Return the budget and its use by kind in MB, for the API's response."""
        use = self.use
        figures = {
            "budget_mb": self.budget_bytes,
            "jobs_mb": use.jobs,
            "runs_mb": use.runs,
            "machines_mb": use.machines,
            "final_states_mb": use.final_states,
        }
        return {name: round(value / BYTES_PER_MB, 1) for name, value in figures.items()}
