"""The scheduler as its parts see it.

The parts depend on these protocols rather than on the ``Scheduler`` class, so that
imports go one way. A part calls the scheduler's public methods, also for what another
part does: whatever is decided passes through one place.
"""

from __future__ import annotations

from typing import Any, Protocol

from appleshift.contracts.interfaces import SchedulerView, ShardingView
from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.machines.liveness import MachineLiveness
from appleshift.protocol.users import Submission
from appleshift.state.entities import Job, Machine, TaskRun


class ReplyingScheduler(SchedulerView, Protocol):
    """The scheduler as the part that answers users' requests sees it."""

    sharding: ShardingView | None
    writes_stalled: bool
    """The key-value store takes no writes right now."""
    draining: bool
    """The shard is about to be handed over: nothing new is accepted or started."""

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None:
        """Answer a request now; ``retry_after`` is in seconds, 0 for none."""
        ...

    def reply_when_durable(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request once all records appended so far are durable."""
        ...

    def reply_unavailable(self, reply_to: Any) -> None:
        """Answer 503: the request may be repeated."""
        ...

    def job_arrived(self, spec: Submission) -> None:
        """Count a submission among the arrivals that the fleet plans for."""
        ...

    def job_cancelled(self, job: Job) -> None:
        """Stop all tasks of a job whose cancellation is durable."""
        ...


class FullSchedulerView(ReplyingScheduler, Protocol):
    """The scheduler of one term as its own parts see it."""

    commands: WorkerCommands
    fast_path: FastPath
    fleet: Fleet
    started_at: float
    """Monotonic time at which the term began, in seconds."""
    wall_time: float
    """Wall-clock time of the current step, in seconds since the epoch."""
    last_placement_at: float
    """Monotonic time of the last placement pass, in seconds."""

    @property
    def liveness(self) -> MachineLiveness:
        """What is known of which machines can be reached."""
        ...

    def stop_job(self, job: Job) -> None:
        """Order all tasks of a job to stop."""
        ...

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state once none of its tasks can run."""
        ...

    def free_runs(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that task attempts are certainly off their machines."""
        ...

    def finish_runs(self, runs: list[TaskRun]) -> None:
        """Record that task attempts completed."""
        ...

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[TaskRun]) -> None:
        """Complete tasks of a job, by attempts here (``runs``) or in another shard."""
        ...

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine whose worker has killed them."""
        ...
