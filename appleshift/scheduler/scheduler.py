"""The scheduler of one leader term: handles events and timers, and emits actions.

A scheduler is built from the contents of the key-value store when an election is won, and
discarded when leadership ends. It is used by a single thread and needs no locks. Responses
to users and commands to workers depend on durable records only.

``Scheduler`` owns the state of the term. Each of its parts has its own module and uses
the state through the public methods of ``Scheduler``.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from appleshift.contracts.actions import Action, Reply
from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.leader_election.fencing_tokens import last_token_of_term
from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO
from appleshift.machines.fleet import Fleet
from appleshift.machines.liveness import MachineLiveness
from appleshift.node_limits.node_limits import state_budget_bytes
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.objectives.objectives import Objectives
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.scheduler.dependencies import SchedulerDependencies
from appleshift.scheduler.heartbeat_requests import HeartbeatRequests
from appleshift.scheduler.job_requests import JobRequests
from appleshift.scheduler.machine_deletions import MachineDeletions
from appleshift.scheduler.memory_budget import MemoryBudget
from appleshift.scheduler.pending_replies import PendingReplies
from appleshift.scheduler.periodic_checks import PeriodicChecks
from appleshift.scheduler.placement_runner import PlacementRunner
from appleshift.scheduler.reconciliation import HeartbeatReconciler
from appleshift.scheduler.state_restoration import restore_state
from appleshift.scheduler.task_termination import TaskTermination
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.storage.log_replayer import LogReplayer
from appleshift.storage.records import Record

LEASE_MARGIN_S = 0.25
"""Added to the duration of workers' leases, in seconds, on top of clock drift."""
PLACEMENT_TIME_SHARE = 0.5
"""Maximum share of the time for placement passes.

The rest is left to heartbeats, on which leases depend, and to users' requests.
"""
TICK_TIME_SHARE = 0.3
"""Maximum share of the time for periodic checks."""
TICK_INTERVAL_S = 0.25
"""Minimum interval between periodic checks, in seconds."""
PLACEMENT_INTERVAL_S = 0.02
"""Minimum interval between placement passes in an empty cluster, in seconds."""
PLACEMENT_INTERVAL_PER_MACHINE_S = 1e-4
"""Added to the placement interval per machine, in seconds.

A pass examines every machine, so larger clusters run fewer passes. One pass handles all
capacity that was freed since the last one.
"""
UNAVAILABLE_RETRY_AFTER_S = 1
"""Retry-After of responses with status 503, in seconds."""


class Scheduler:
    """The cluster state of one leader term and the decisions about it."""

    def __init__(self, dependencies: SchedulerDependencies) -> None:
        """Start a term: restore the recovered cluster state and its task assignments."""
        self.settings = dependencies.settings
        self.operator = dependencies.operator
        self.lease = dependencies.lease
        self.fencing_token = dependencies.fencing_token
        self.cluster: ClusterState = dependencies.replayer.cluster
        self.write_ahead_log = dependencies.write_ahead_log
        self.counted_resources = dependencies.counted_resources
        self.sharding = dependencies.sharding
        # The shard is about to be handed over: no job is accepted and no task started.
        self.draining = False
        # The tokens of this term are used up for some machine.
        self.needs_new_term = False
        # The key-value store currently accepts no writes.
        self.writes_stalled = False
        self.actions: deque[Action] = deque()
        # Only measures how long work takes; decisions use ``now``.
        self.clock = dependencies.clock
        self.now = now = self.clock()
        self.started_at = now
        self.wall_time = dependencies.wall_time
        self.placement_needed = True
        self.last_placement_at = 0.0
        self.next_placement_at = math.inf
        self.next_tick_at = now
        self._placement_budget = TimeBudget(self.clock, PLACEMENT_TIME_SHARE)
        self._tick_budget = TimeBudget(self.clock, TICK_TIME_SHARE)
        self.unsaved_final_states = list(dependencies.replayer.unsaved_final_states)
        workers = self.settings.deployment.workers
        self.worker_lease_s = workers.lease_s * CLOCK_DRIFT_RATIO + LEASE_MARGIN_S
        self._build_parts(dependencies.replayer)
        if self.sharding is not None:
            self.sharding.attach(self)
        self._restore(dependencies.replayer, dependencies.wall_time)

    def _build_parts(self, replayer: LogReplayer) -> None:
        self.commands = WorkerCommands(self)
        self.objectives = Objectives(self.settings.deployment.objectives)
        self.fast_path = FastPath()
        self.pending_replies = PendingReplies()
        self.liveness = MachineLiveness(self)
        self.fleet = Fleet(self, replayer.spot_group_names)
        limits = self.settings.deployment.machine_limits
        self.memory_budget = MemoryBudget(self, state_budget_bytes(limits))
        self.job_requests = JobRequests(self)
        self.machine_deletions = MachineDeletions(self)
        self._task_termination = TaskTermination(self)
        self._reconciler = HeartbeatReconciler(self)
        self._heartbeat_requests = HeartbeatRequests(self)
        self._placement_runner = PlacementRunner(self)
        self._periodic_checks = PeriodicChecks(self)

    def _restore(self, replayer: LogReplayer, wall_time: float) -> None:
        restore_state(self, replayer, wall_time)

    # -- replies ----------------------------------------------------------------------

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None:
        """Answer a request now; does nothing if ``reply_to`` is None.

        ``retry_after`` is in seconds, or 0 to omit it.
        """
        if reply_to is not None:
            self.pending_replies.discard(reply_to)
            self.actions.append(Reply(reply_to, status, body, retry_after))

    def add_pending_reply(self, reply_to: Any) -> None:
        """Register a request that is answered later, or refused if commits stall before."""
        self.pending_replies.add(reply_to)

    def reply_if_pending(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request registered with ``add_pending_reply``, unless it was refused."""
        if reply_to in self.pending_replies:
            self.reply(reply_to, status, body)

    def reply_when_durable(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request once all records appended so far are durable.

        The request is refused if commits stall before.
        """
        self.add_pending_reply(reply_to)
        self.write_ahead_log.append(None, lambda: self.reply_if_pending(reply_to, status, body))

    def reply_unavailable(self, reply_to: Any) -> None:
        """Answer a request with 503 and a time after which to retry."""
        body = users.error_body("not available right now")
        self.reply(reply_to, 503, body, UNAVAILABLE_RETRY_AFTER_S)

    # -- records and actions ------------------------------------------------------------

    def append_records(
        self, records: list[Record], on_durable: Callable[[], None] | None = None
    ) -> None:
        """Append records; ``on_durable`` runs once all of them are durable."""
        for record in records[:-1]:
            self.write_ahead_log.append(record)
        self.write_ahead_log.append(records[-1] if records else None, on_durable)

    def commit_succeeded(self, revision: int) -> None:
        """Run the callbacks of the records that were committed at ``revision``."""
        self.writes_stalled = False
        self.write_ahead_log.transaction_committed(revision)

    def commit_stalled(self) -> None:
        """Refuse all pending requests: the key-value store accepts no writes.

        Appended records may still become durable; a repeated request then shows them.
        """
        self.writes_stalled = True
        self._refuse_pending_replies()

    def end_term(self) -> None:
        """Refuse all pending requests: the term has ended."""
        self._refuse_pending_replies()

    def _refuse_pending_replies(self) -> None:
        for reply_to in self.pending_replies.destinations():
            self.reply_unavailable(reply_to)

    def take_actions(self) -> list[Action]:
        """Return and remove the actions decided since the last call, oldest first."""
        taken = list(self.actions)
        self.actions.clear()
        return taken

    # -- jobs ---------------------------------------------------------------------------

    def job_arrived(self, spec: Submission) -> None:
        """Record a submission in the arrival history, from which capacity is planned."""
        self.fleet.job_arrived(spec, self.now)

    def job_cancelled(self, job: Job) -> None:
        """Stop all tasks of a job after its cancellation became durable."""
        job.cancel_durable = True
        self.stop_job(job)
        self.retire_if_ended(job)

    def stop_job(self, job: Job) -> None:
        """Order all tasks of a job to stop without a grace period."""
        self._task_termination.stop_all(job, 0.0, "cancel")

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state, if that is durable and none of its tasks can run."""
        self._task_termination.retire_if_ended(job)

    # -- task attempts --------------------------------------------------------------------

    def stop_run(self, run: TaskRun, grace_s: float, reason: str) -> None:
        """Order a task to stop within ``grace_s`` seconds.

        A repeated order only takes effect if its grace is shorter.
        """
        self._task_termination.stop(run, grace_s, reason)

    def stop_gang(self, job: Job, grace_s: float, reason: str) -> None:
        """Order all tasks of a gang to stop at the same time, or their checkpoint fails."""
        self._task_termination.stop_all(job, grace_s, reason)

    def free_runs(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that task attempts no longer run on their machines.

        ``exited``: their worker reported the exit.
        """
        self._task_termination.free(runs, exited)

    def finish_runs(self, runs: list[TaskRun]) -> None:
        """Record that task attempts completed; they count as completed once durable."""
        self._task_termination.finish(runs)

    def complete_tasks(self, job: Job, tasks: Iterable[int], runs: list[TaskRun]) -> None:
        """Record that tasks of a job completed.

        ``runs`` are their attempts in this shard; empty if another shard ran them.
        """
        self._task_termination.complete_tasks(job, tasks, runs)

    # -- workers --------------------------------------------------------------------------

    def heartbeat_received(
        self, heartbeat: Heartbeat, reply_to: Any, tasks: bytes | None = None
    ) -> None:
        """Apply a heartbeat, renew the machine's lease and respond with its commands.

        ``tasks`` is the encoded task list of the heartbeat, from which the fast path
        recognizes an unchanged heartbeat without decoding it; None if not available.
        """
        self._heartbeat_requests.handle(heartbeat, reply_to, tasks)

    def first_fencing_token_for(self, machine: Machine) -> int:
        """Return the lowest fencing token of this term for a machine's worker.

        It is never lower than the token of the shard that handed the machine off. No other
        leader uses that token for the machine: the former leader recorded the hand-off,
        and its successors in that shard read the record.
        """
        return max(self.fencing_token, machine.min_fencing_token)

    def fencing_token_for(self, machine: Machine) -> int:
        """Return the fencing token to use for messages to a machine's worker."""
        return self.first_fencing_token_for(machine) + machine.fencing_token_raises

    def raise_fencing_token(self, machine: Machine) -> None:
        """Make a machine's worker reject all messages that were sent to it so far.

        Only in the response to a heartbeat: the worker may reject others that are on their way.
        """
        token = self.fencing_token_for(machine)
        if token < last_token_of_term(token):
            machine.fencing_token_raises += 1
        else:
            self.needs_new_term = True

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one of the same agent epoch was applied."""
        self._reconciler.reconcile(machine, heartbeat)

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine: its worker has killed them and dropped their state."""
        self._reconciler.agent_epoch_ended(machine)

    def probe_answered(self, name: str, heartbeat: Heartbeat | None) -> None:
        """Handle the result of a probe; ``heartbeat`` is None if the worker did not answer."""
        self.fleet.health.probe_result(name, heartbeat is not None)
        machine = self.cluster.machine(name)
        if machine is None or heartbeat is None:
            return
        if machine.in_other_shard:
            # The machine has booted, but the shard that owns it has not reported that yet.
            # Restart the boot timeout, so that this shard does not delete the machine.
            machine.rented_at = self.now
        elif heartbeat.agent_epoch >= machine.agent_epoch:
            self.reconcile(machine, heartbeat)

    # -- the cloud --------------------------------------------------------------------------

    def delete_machines(self, machines: list[Machine]) -> None:
        """Delete rented machines; those of one step are deleted in one call if possible."""
        self.machine_deletions.request(machines)

    def deletion_answered(self, names: tuple[str, ...], ok: bool) -> None:
        """Handle the result of a deletion call.

        ``ok`` proves that the machines no longer exist, so no task runs on them.
        """
        self.machine_deletions.answered(names, ok)

    # -- time -------------------------------------------------------------------------------

    def step(self, now: float, wall_time: float) -> None:
        """Run periodic checks and a placement pass if due, and send due commands."""
        self.now, self.wall_time = now, wall_time
        if now >= self.next_tick_at and self._tick_budget.is_due():
            self.next_tick_at = now + TICK_INTERVAL_S
            with self._tick_budget:
                self._tick()
        if self._placement_due() and not self.draining and self.lease.may_write(now):
            with self._placement_budget:
                self._place()
        self.machine_deletions.flush()
        self.commands.send_due()
        if self.counted_resources is not None and self.counted_resources.step(now, wall_time):
            self.placement_needed = True
        if self.sharding is not None:
            self.sharding.step(now)

    def _placement_due(self) -> bool:
        machines = len(self.cluster.machines)
        interval_s = PLACEMENT_INTERVAL_S + PLACEMENT_INTERVAL_PER_MACHINE_S * machines
        return (
            self.placement_needed
            and self.now - self.last_placement_at >= interval_s
            and self._placement_budget.is_due()
        )

    def _tick(self) -> None:
        self._periodic_checks.run()

    def _place(self) -> None:
        self._placement_runner.run()
