"""The scheduler of one leader term: events and time in, actions out.

It is built when an election is won, from what the key-value store holds, and thrown
away when leadership ends. A single routine owns it, so that nothing here is locked.
Whatever a user, worker or machine is told rests on records that are durable by then.

``Scheduler`` owns the state and is the only way to it; each of its parts has a module
of its own and calls back through the public methods.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from appleshift.contracts.actions import Action, Reply
from appleshift.dispatch.worker_commands import WorkerCommands
from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.leader_election.leader_lease import CLOCK_DRIFT
from appleshift.machines.fleet import Fleet
from appleshift.machines.liveness import MachineLiveness
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.objectives.objectives import Objectives
from appleshift.protocol import users
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.scheduler.dependencies import SchedulerDependencies
from appleshift.scheduler.heartbeat_requests import HeartbeatRequests
from appleshift.scheduler.job_requests import JobRequests
from appleshift.scheduler.machine_deletions import MachineDeletions
from appleshift.scheduler.pending_replies import PendingReplies
from appleshift.scheduler.periodic_checks import PeriodicChecks
from appleshift.scheduler.placement_pass import PlacementPass
from appleshift.scheduler.reconciliation import HeartbeatReconciler
from appleshift.scheduler.task_runs import TaskRuns
from appleshift.scheduler.term_recovery import restore_term
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.storage.records import LogReplayer, Record

LEASE_MARGIN_S = 0.25
"""Workers' leases are taken to last this much longer than they do, beside clock drift."""
PLACEMENT_TIME_SHARE = 0.5
TICK_TIME_SHARE = 0.3
"""Fractions of the time that placement passes and periodic checks may take. Heartbeats,
on which leases depend, and users' requests are handled between them."""
TICK_INTERVAL_S = 0.25
PLACEMENT_INTERVAL_S = 0.02
PLACEMENT_INTERVAL_PER_MACHINE_S = 1e-4
"""A pass examines every machine, so that larger clusters place less often; what frees
room in between is taken into account by one and the same pass."""
UNAVAILABLE_RETRY_AFTER_S = 1


class Scheduler:
    """Jobs, machines and every decision of one term."""

    def __init__(self, dependencies: SchedulerDependencies) -> None:
        """Begin a term: restore the recovered state and the assignments in it."""
        self.settings = dependencies.settings
        self.operator = dependencies.operator
        self.lease = dependencies.lease
        self.fencing_token = dependencies.fencing_token
        self.cluster: ClusterState = dependencies.replayer.cluster
        self.write_ahead_log = dependencies.write_ahead_log
        self.counted_resources = dependencies.counted_resources
        self.sharding = dependencies.sharding
        # About to be handed over: nothing new is accepted or started.
        self.draining = False
        # The key-value store takes no writes right now.
        self.is_stalled = False
        self.actions: deque[Action] = deque()
        # Only measures how long work takes; decisions go by ``now``.
        self.clock = dependencies.clock
        self.now = now = self.clock()
        self.started = now
        self.wall_time = dependencies.wall_time
        self.placement_needed = True
        self.placed_at = 0.0
        self.next_tick = now
        self._placement_budget = TimeBudget(self.clock, PLACEMENT_TIME_SHARE)
        self._tick_budget = TimeBudget(self.clock, TICK_TIME_SHARE)
        self.unsaved_final_states = list(dependencies.replayer.unsaved_final_states)
        workers = self.settings.deployment.workers
        self.worker_lease_s = workers.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
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
        self.job_requests = JobRequests(self)
        self.machine_deletions = MachineDeletions(self)
        self._task_runs = TaskRuns(self)
        self._reconciler = HeartbeatReconciler(self)
        self._heartbeat_requests = HeartbeatRequests(self)
        self._placement_pass = PlacementPass(self)
        self._periodic_checks = PeriodicChecks(self)

    def _restore(self, replayer: LogReplayer, wall_time: float) -> None:
        restore_term(self, replayer, wall_time)

    # -- replies ----------------------------------------------------------------------

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None:
        """Answer a request now; None as ``reply_to``: nobody waits.

        ``retry_after`` is in seconds, 0 for none.
        """
        if reply_to is not None:
            self.pending_replies.discard(reply_to)
            self.actions.append(Reply(reply_to, status, body, retry_after))

    def hold_reply(self, reply_to: Any) -> None:
        """Keep a request that is answered later, or refused if commits stall meanwhile."""
        self.pending_replies.add(reply_to)

    def answer_held(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer a request that was held, unless it has been refused meanwhile."""
        if reply_to in self.pending_replies:
            self.reply(reply_to, status, body)

    def reply_durable(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer once all records appended so far are durable, unless commits stall."""
        self.hold_reply(reply_to)
        self.write_ahead_log.append(None, lambda: self.answer_held(reply_to, status, body))

    def reply_unavailable(self, reply_to: Any) -> None:
        """Answer 503: the request may be repeated."""
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
        """Run what waited for the transaction that was committed at ``revision``."""
        self.is_stalled = False
        self.write_ahead_log.transaction_committed(revision)

    def commit_stalled(self) -> None:
        """Refuse all held requests: the key-value store takes no writes.

        What was appended may become durable yet; whoever asks again then learns so.
        """
        self.is_stalled = True
        self._refuse_pending_replies()

    def end_term(self) -> None:
        """Refuse all held requests: the term is over."""
        self._refuse_pending_replies()

    def _refuse_pending_replies(self) -> None:
        for reply_to in self.pending_replies.snapshot():
            self.reply_unavailable(reply_to)

    def take_actions(self) -> list[Action]:
        """Return the actions decided since the last call, oldest first."""
        taken = list(self.actions)
        self.actions.clear()
        return taken

    # -- jobs ---------------------------------------------------------------------------

    def job_arrived(self, spec: Submission) -> None:
        """Count a submission among the arrivals that the fleet plans for."""
        self.fleet.job_arrived(spec, self.now)

    def job_cancelled(self, job: Job) -> None:
        """Stop all tasks of a job whose cancellation is durable."""
        job.cancel_durable = True
        self.stop_job(job)
        self.retire_if_ended(job)

    def stop_job(self, job: Job) -> None:
        """Order all tasks of a job to stop at once."""
        self._task_runs.stop_all(job, 0.0, "cancel")

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state once that is durable and nothing of it can run."""
        self._task_runs.retire_if_ended(job)

    # -- task attempts --------------------------------------------------------------------

    def stop_run(self, run: TaskRun, grace: float, reason: str) -> None:
        """Order a task to stop within ``grace`` seconds; a shorter grace replaces a longer."""
        self._task_runs.stop(run, grace, reason)

    def stop_gang(self, job: Job, grace: float, reason: str) -> None:
        """Order all tasks of a gang to stop in the same moment, or their checkpoint fails."""
        self._task_runs.stop_all(job, grace, reason)

    def free_runs(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that attempts are certainly off their machines.

        ``exited``: their worker reported the exit.
        """
        self._task_runs.free(runs, exited)

    def finish_runs(self, runs: list[TaskRun]) -> None:
        """Record that attempts completed; their results count once that is durable."""
        self._task_runs.finish(runs)

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[TaskRun]) -> None:
        """Complete tasks of a job, by attempts here (``runs``) or in another shard."""
        self._task_runs.complete_tasks(job, tasks, runs)

    # -- workers --------------------------------------------------------------------------

    def heartbeat_received(
        self, heartbeat: Heartbeat, reply_to: Any, tasks: bytes | None = None
    ) -> None:
        """Apply a heartbeat, renew the machine's lease and answer with its commands.

        ``tasks`` is the task list as it was sent, by which an unchanged heartbeat is
        recognized without decoding; None: not known.
        """
        self._heartbeat_requests.received(heartbeat, reply_to, tasks)

    def fencing_token_for(self, machine: Machine) -> int:
        """Return the token for a machine's worker: never less than another shard gave it.

        No other leader commands the machine with that token any more: its former one
        recorded that it handed the machine off, and any later one there reads that.
        """
        return max(self.fencing_token, machine.min_fencing_token)

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one of the same agent epoch was applied."""
        self._reconciler.reconcile(machine, heartbeat)

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine: its worker has killed and forgotten them."""
        self._reconciler.agent_epoch_ended(machine)

    def probe_answered(self, name: str, heartbeat: Heartbeat | None) -> None:
        """Process the result of a probe; None: the worker did not answer."""
        self.fleet.health.probed(name, heartbeat is not None)
        machine = self.cluster.machine(name)
        if machine is None or heartbeat is None:
            return
        if machine.in_other_shard:
            # It is up, though its shard has not said so yet: the boot is not late.
            machine.rented_at = self.now
        elif heartbeat.agent_epoch >= machine.agent_epoch:
            self.reconcile(machine, heartbeat)

    # -- the cloud --------------------------------------------------------------------------

    def delete_machines(self, machines: list[Machine]) -> None:
        """Delete rented machines; those of one step share a call."""
        self.machine_deletions.request(machines)

    def deletion_answered(self, names: tuple[str, ...], ok: bool) -> None:
        """Process a deletion's result: success proves that machines and tasks are gone."""
        self.machine_deletions.answered(names, ok)

    # -- time -------------------------------------------------------------------------------

    def step(self, now: float, wall_time: float) -> None:
        """Do what is due: placement, leases, the fleet, commands, snapshots."""
        self.now, self.wall_time = now, wall_time
        if now >= self.next_tick and self._tick_budget.due():
            self.next_tick = now + TICK_INTERVAL_S
            with self._tick_budget:
                self._tick()
        if self._placement_due() and not self.draining and self.lease.may_write(now):
            with self._placement_budget:
                self._place()
        self.machine_deletions.flush()
        self.commands.send()
        if self.counted_resources is not None and self.counted_resources.step(now, wall_time):
            self.placement_needed = True
        if self.sharding is not None:
            self.sharding.step(now)

    def _placement_due(self) -> bool:
        machines = len(self.cluster.machines)
        interval = PLACEMENT_INTERVAL_S + PLACEMENT_INTERVAL_PER_MACHINE_S * machines
        return (
            self.placement_needed
            and self.now - self.placed_at >= interval
            and self._placement_budget.due()
        )

    def _tick(self) -> None:
        self._periodic_checks.run()

    def _place(self) -> None:
        self._placement_pass.run()
