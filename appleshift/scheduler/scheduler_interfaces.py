"""Interfaces of the scheduler that its parts use.

The parts depend on these protocols rather than on the ``Scheduler`` class, which avoids
import cycles. A part calls another part only through the scheduler's public methods, so
that every decision passes through one class.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from appleshift.contracts.interfaces import SchedulerView, ShardingView
from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.machines.liveness import MachineLiveness
from appleshift.protocol.users import Submission
from appleshift.state.entities import Job, Machine, TaskRun


class ReplyingScheduler(SchedulerView, Protocol):
    """The interface of the scheduler for the parts that answer users' requests."""

    sharding: ShardingView | None
    writes_stalled: bool
    """Whether the key-value store currently accepts no writes."""
    draining: bool
    """Whether the shard is about to be handed over: no job is accepted and no task started."""

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None:
        """Answer a request now; ``retry_after`` is in seconds, or 0 to omit it."""
        ...

    def reply_when_durable(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request once all records appended so far are durable."""
        ...

    def reply_unavailable(self, reply_to: Any) -> None:
        """Answer a request with 503 and a time after which to retry."""
        ...

    def job_arrived(self, spec: Submission) -> None:
        """Record a submission in the arrival history, from which capacity is planned."""
        ...

    def job_cancelled(self, job: Job) -> None:
        """Stop all tasks of a job after its cancellation became durable."""
        ...


class AdmissionBudget(Protocol):
    """Decides which new jobs the memory of a leader has room for."""

    def admits(self, spec: Submission) -> bool:
        """Return whether a new job fits into the part of the budget that it may fill."""
        ...

    def record_refusal(self, spec: Submission) -> None:
        """Count a refused submission."""
        ...

    def step(self) -> None:
        """Estimate the memory in use again if that is due."""
        ...


class AcceptingScheduler(ReplyingScheduler, Protocol):
    """The interface of the scheduler for the part that accepts jobs."""

    @property
    def memory_budget(self) -> AdmissionBudget:
        """The memory that further jobs may take."""
        ...


class FullSchedulerView(AcceptingScheduler, Protocol):
    """The interface of the scheduler for all of its own parts."""

    commands: WorkerCommands
    fast_path: FastPath
    fleet: Fleet
    started_at: float
    """Monotonic time at the start of the term, in seconds."""
    wall_time: float
    """Wall-clock time of the current step, in seconds since the Unix epoch."""
    next_placement_at: float
    """Monotonic time, in seconds, at which tasks may be placed though nothing has happened."""
    last_placement_at: float
    """Monotonic time of the last placement pass, in seconds."""

    @property
    def liveness(self) -> MachineLiveness:
        """Tracks which machines can be reached."""
        ...

    def stop_job(self, job: Job) -> None:
        """Order all tasks of a job to stop without a grace period."""
        ...

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state, if that is durable and none of its tasks can run."""
        ...

    def free_runs(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that task attempts no longer run on their machines.

        ``exited``: their worker reported the exit.
        """
        ...

    def finish_runs(self, runs: list[TaskRun]) -> None:
        """Record that task attempts completed successfully."""
        ...

    def complete_tasks(self, job: Job, tasks: Iterable[int], runs: list[TaskRun]) -> None:
        """Record that tasks of a job completed.

        ``runs`` are their attempts in this shard; empty if another shard ran them.
        """
        ...

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine: its worker has killed them and dropped their state."""
        ...
