"""The leader's core for one term: events and time in, effects out.

One routine owns it. It is built when an election is won, from what the state
service holds, and thrown away when leadership ends. Whatever a user, worker or
machine is told rests on a record that is durable by then.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from appleshift.contracts.actions import Action, DeleteMachines, Reply
from appleshift.contracts.interfaces import LeaseHolder, ShardingView
from appleshift.dispatch.worker_commands import RESEND_INTERVAL_S, WorkerCommands
from appleshift.heartbeat_ingest.fast_path import FastPath
from appleshift.machines.fleet import Fleet
from appleshift.machines.liveness import MachineLiveness
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.objectives.objectives import Objectives
from appleshift.placement.counted_resources import CountedResources
from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.placement.fit import stop_grace_s
from appleshift.protocol import cloud, users, workers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.protocol.users import Submission
from appleshift.protocol.wire import encode
from appleshift.protocol.workers import Heartbeat, TaskStatus
from appleshift.scheduler.job_requests import JobRequests
from appleshift.state.cluster_state import (
    ASSIGNED,
    CANCELLED,
    EXITED,
    FINISHED,
    OPEN,
    RUN_STATES,
    RUNNING,
    UP,
    WAITING,
    ClusterState,
    Job,
    Machine,
    TaskRun,
)
from appleshift.storage import records
from appleshift.storage.records import LogReplayer, Record
from appleshift.storage.write_ahead_log import WriteAheadLog

log = logging.getLogger(__name__)

CLOCK_DRIFT = 1.002
"""Steady clocks differ by a fraction of this; all bounds on leases count it."""
LEASE_MARGIN_S = 0.25
PLACEMENT_TIME_SHARE = 0.5
TICK_TIME_SHARE = 0.3
"""Shares of the time that passes and the look at the fleet may take. Reports,
on which leases depend, and users' requests are handled between them."""
PLACEMENT_INTERVAL_S = 0.02
PLACEMENT_INTERVAL_PER_MACHINE_S = 1e-4
"""A pass looks at every machine: what makes room in between shares the next one."""
MAX_LOG_LAG_FOR_PLACEMENT_S = 1.0
SNAPSHOT_AFTER_S = 5.0
"""What a leader found of the log counts as its own, or a log over which leaders change would
grow for ever; but users and workers come first when it begins."""
MAX_LOG_LAG_FOR_SNAPSHOT_S = 0.1
"""Placement, then snapshots, leave the log to what users wait for."""


class Scheduler:
    """Jobs, machines and every decision of one term."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        authority: LeaseHolder,
        token: int,
        replayer: LogReplayer,
        write_ahead_log: WriteAheadLog,
        clock: Callable[[], float],
        wall: float,
        seats: CountedResources | None = None,
        sharing: ShardingView | None = None,
    ) -> None:
        self.settings = settings
        self.operator = operator
        self.lease = authority
        self.fencing_token = token
        self.cluster: ClusterState = replayer.cluster
        self.write_ahead_log = write_ahead_log
        self.counted_resources = seats
        self.sharding = sharing
        # About to be handed over: nothing new is accepted or started.
        self.draining = False
        self.actions: deque[Action] = deque()
        # Only for how long a duty took; what is decided goes by ``now``.
        self.clock = clock
        self.now = now = clock()
        self.started = now
        self.wall = wall
        self.placement_needed = True
        self.placed_at = 0.0
        self.next_tick = now
        self._placing = TimeBudget(clock, PLACEMENT_TIME_SHARE)
        self._ticking = TimeBudget(clock, TICK_TIME_SHARE)
        self.unsaved_final_states = list(replayer.unsaved_final_states)
        self.worker_lease_s = settings.deployment.workers.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        self.commands = WorkerCommands(self)
        self.objectives = Objectives(settings.deployment.objectives)
        self._pending_deletions: list[str] = []
        self.fast_path = FastPath()
        self._waiting_replies: dict[int, Any] = {}
        self.is_stalled = False
        self.liveness = MachineLiveness(self)
        self.fleet = Fleet(self, replayer.groups)
        self.job_requests = JobRequests(self)
        if sharing is not None:
            sharing.attach(self)
        self._restore(replayer, wall)

    def _restore(self, replayer: LogReplayer, wall: float) -> None:
        """Known assignments stay where they are until there is proof."""
        cluster = self.cluster
        if self.counted_resources is not None:
            self.counted_resources.begin_recovery()
        for (index, task), (attempt, name, agent_epoch) in replayer.task_locations.items():
            job = cluster.jobs.get(index)
            machine = cluster.machine(name)
            if job is None or job.done[task]:
                continue
            if machine is None:
                # Its deletion was written down: the task went with it.
                continue
            machine.agent_epoch = max(machine.agent_epoch, agent_epoch)
            run = cluster.assign(job, task, attempt, machine, agent_epoch)
            run.assignment_durable = run.start_sent = True
            run.ordered_this_term = False
        if self.counted_resources is not None:
            self.counted_resources.end_recovery()
        for submitted, spec in sorted(replayer.arrivals, key=lambda entry: entry[0]):
            # What arrived under the leader before still says how much comes.
            self.fleet.job_arrived(spec, self.now - max(0.0, wall - submitted))
        for machine in cluster.machines.values():
            machine.status = UP
            # Whoever led before us may have answered until we were elected.
            machine.lease_until = self.now + self.worker_lease_s
            machine.idle_since = self.now
            machine.rented_at = self.now
        for job in list(cluster.jobs.values()):
            if job.status == CANCELLED:
                self.stop_job(job)
            self._maybe_end(job)

    # -- small helpers --------------------------------------------------------

    def reply(self, reply_to: Any, status: int, body: Any, retry_after: int = 0) -> None:
        if reply_to is not None:
            self._waiting_replies.pop(id(reply_to), None)
            self.actions.append(Reply(reply_to, status, body, retry_after))

    def hold_reply(self, reply_to: Any) -> None:
        """Whoever waits there is answered later, by ``settle`` or because all stalls."""
        self._waiting_replies[id(reply_to)] = reply_to

    def answer_held(self, reply_to: Any, status: int, body: Any) -> None:
        if self._waiting_replies.get(id(reply_to)) is reply_to:
            self.reply(reply_to, status, body)

    def reply_durable(self, reply_to: Any, status: int, body: Any) -> None:
        """Answer once all that is written so far is durable, unless that stalls."""
        self.hold_reply(reply_to)
        self.write_ahead_log.append(None, lambda: self.answer_held(reply_to, status, body))

    def commit_succeeded(self, revision: int) -> None:
        self.is_stalled = False
        self.write_ahead_log.committed(revision)

    def commit_stalled(self) -> None:
        """The state service does not take writes: nobody is kept waiting for it.

        What was written down may become durable yet; whoever asks again then
        learns so.
        """
        self.is_stalled = True
        for reply_to in list(self._waiting_replies.values()):
            self.reply_unavailable(reply_to)

    def end_term(self) -> None:
        """The term is over: whoever waits is told to ask again."""
        for reply_to in list(self._waiting_replies.values()):
            self.reply_unavailable(reply_to)

    def reply_unavailable(self, reply_to: Any) -> None:
        self.reply(reply_to, 503, users.error_body("not available right now"), 1)

    def append_records(self, some: list[Record], then: Callable[[], None] | None = None) -> None:
        """Append records; ``then`` runs once all of them are durable."""
        for record in some[:-1]:
            self.write_ahead_log.append(record)
        self.write_ahead_log.append(some[-1] if some else None, then)

    def take_actions(self) -> list[Action]:
        taken = list(self.actions)
        self.actions.clear()
        return taken

    # -- users ------------------------------------------------------------------

    def job_arrived(self, spec: Submission) -> None:
        self.fleet.job_arrived(spec, self.now)

    def job_cancelled(self, job: Job) -> None:
        """The cancellation is durable: everything of the job ends."""
        job.cancel_durable = True
        self.stop_job(job)
        self._maybe_end(job)

    def stop_job(self, job: Job) -> None:
        for run in list(job.runs.values()):
            self.stop_run(run, 0.0, "cancel")

    def _maybe_end(self, job: Job) -> None:
        """Shrink a job to its final state once nothing of it can run."""
        if job.index not in self.cluster.jobs or job.runs:
            return
        if not (job.done_durable or job.cancel_durable):
            return
        self.write_ahead_log.append(records.end_record(job))
        self.unsaved_final_states.append((job.key, job.status))
        self.cluster.retire(job)

    # -- tasks --------------------------------------------------------------------

    def stop_run(self, run: TaskRun, grace: float, reason: str) -> None:
        """Order a task to stop; a sharper order replaces a gentler one."""
        if run.state == EXITED or (run.stop_grace_s is not None and run.stop_grace_s <= grace):
            return
        if run.state == ASSIGNED and run.ordered_this_term and not run.start_sent:
            # Never sent to the worker: nothing can be there.
            run.state = EXITED
            run.machine.runs.pop((run.name, run.attempt), None)
            self.free_runs([run], exited=False)
            return
        run.stop_grace_s = grace
        log.debug("stopping %s: %s", run.name, reason)
        run.stop_ordered_at = self.now
        self.commands.schedule_send(run.machine)

    def stop_gang(self, job: Job, grace: float, reason: str) -> None:
        """All tasks of a gang are told in the same moment, or the save fails."""
        for run in list(job.runs.values()):
            self.stop_run(run, grace, reason)

    def free_runs(self, some: list[TaskRun], exited: bool) -> None:
        """These tasks are certainly off their machines: write it down."""
        by_job: dict[int, list[TaskRun]] = {}
        for run in some:
            if run.job.runs.get(run.task) is run:
                self.cluster.free(run)
                by_job.setdefault(run.job.index, []).append(run)
            elif exited:
                run.exit_durable = True
        for runs in by_job.values():
            job = runs[0].job

            def durable(runs: list[TaskRun] = runs, job: Job = job) -> None:
                for run in runs:
                    run.exit_durable = True
                self._maybe_end(job)

            tasks = [run.task for run in runs]
            self.append_records(records.free_records(job, tasks, self.wall), durable)
            if job.gang and job.status == OPEN:
                # The rest cannot go on alone; the next attempt starts whole.
                self.stop_gang(job, 0.0, "gang")
        self.placement_needed = True

    def finish_runs(self, some: list[TaskRun]) -> None:
        """These tasks completed: their results count from the record on."""
        by_job: dict[int, list[TaskRun]] = {}
        for run in some:
            by_job.setdefault(run.job.index, []).append(run)
        for runs in by_job.values():
            self.complete_tasks(runs[0].job, [run.task for run in runs], runs)

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[TaskRun]) -> None:
        """These tasks are done, here (``runs``) or in another share."""
        done = [task for task in tasks if self.cluster.finish_task(job, task)]
        if job.gang and done:
            # A gang completes together.
            for task in range(job.spec.tasks):
                if self.cluster.finish_task(job, task):
                    done.append(task)
        for run in runs:
            self.cluster.free(run)
        whole = job.done_count == job.spec.tasks and not job.service
        if whole and job.status == OPEN:
            job.status = FINISHED

        def durable() -> None:
            for run in runs:
                run.exit_durable = True
            if whole and job.status == FINISHED:
                job.done_durable = True
                for run in [] if job.gang else list(job.runs.values()):
                    self.stop_run(run, 0.0, "over")
            self._maybe_end(job)

        self.append_records(records.done_records(job, done, self.wall), durable)
        self.placement_needed = True

    # -- workers ------------------------------------------------------------------

    def heartbeat_received(
        self, heartbeat: Heartbeat, reply_to: Any, tasks: bytes | None = None
    ) -> None:
        """A worker reports: take it in, renew its lease, give it its orders.

        ``tasks``: its tasks as they were sent, by which the next one is known to
        say the same.
        """
        if not self.lease.may_answer(self.now):
            self.reply(reply_to, 503, users.error_body("not leading"))
            return
        given = self.cluster.handed_off.get(heartbeat.machine)
        if given is not None:
            self.reply(reply_to, 421, {"share": given.shard})
            return
        known = self.cluster.machine(heartbeat.machine)
        if heartbeat.fencing_token > (
            self.fencing_token if known is None else self.fencing_token_for(known)
        ):
            # Somebody was elected after us, whatever our clock says.
            self.reply(reply_to, 421, workers.redirect_body(None))
            return
        machine = self._machine_of(heartbeat)
        if machine is None or machine.in_other_shard or heartbeat.agent_epoch < machine.agent_epoch:
            self.reply(reply_to, 503, users.error_body("machine not known here"))
            return
        token = self.fencing_token_for(machine)
        self.liveness.apply_fast_path(machine)
        if not self.liveness.is_new_heartbeat(machine, heartbeat):
            # A copy, or the original after its copy: the lease that its answer may renew
            # was counted with the first one. Whoever renews it tells what has to end.
            self.reply(
                reply_to,
                200,
                workers.heartbeat_response(token, self.commands.stop_commands(machine)),
            )
            return
        self.reconcile(machine, heartbeat)
        # The worker counts its lease from when it sent this report, which
        # is earlier than now: this bound is on the safe side.
        machine.lease_until = self.now + self.worker_lease_s
        commands = self.commands.for_heartbeat(machine)
        answer = workers.heartbeat_response(token, commands)
        self.reply(reply_to, 200, answer)
        newest = heartbeat.seq == machine.seq and heartbeat.fencing_token == token
        if tasks is not None and newest and not commands and machine.needs_no_commands():
            same = (machine.agent_epoch, token, tasks, encode(answer))
            machine.fast_path_entry = self.fast_path.remember(
                machine.name, same, self.now, heartbeat.seq
            )

    def fencing_token_for(self, machine: Machine) -> int:
        """What its worker is told: never less than it was told in another share.

        Nobody else gives it orders with that token any more: its former holder
        wrote down that it gave it away, and any later one there reads so.
        """
        return max(self.fencing_token, machine.min_fencing_token)

    def _machine_of(self, heartbeat: Heartbeat) -> Machine | None:
        machine = self.cluster.machine(heartbeat.machine)
        if machine is None:
            machine = self.fleet.adopt(heartbeat)
        return machine

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        if heartbeat.agent_epoch > machine.agent_epoch:
            if machine.agent_epoch:
                log.info("machine %s moved to session %d", machine.name, heartbeat.agent_epoch)
            self.agent_epoch_ended(machine)
            machine.agent_epoch = heartbeat.agent_epoch
            machine.seq = -1
            # The session's own lease runs from its begin, which is earlier than
            # now. The last session's end must not be taken for this one's.
            machine.lease_until = max(machine.lease_until, self.now + self.worker_lease_s)
        if heartbeat.seq <= machine.seq:
            return
        machine.seq = heartbeat.seq
        machine.last_heard = self.now
        self.fleet.heartbeat_received(machine, heartbeat)
        fenced = heartbeat.fencing_token >= self.fencing_token_for(machine)
        seen: set[tuple[str, int]] = set()
        done: list[TaskRun] = []
        gone: list[TaskRun] = []
        for entry in heartbeat.tasks:
            key = (entry.task, entry.attempt)
            seen.add(key)
            run = machine.runs.get(key)
            if run is None:
                self._unknown_run_reported(machine, entry)
            else:
                self._update_run(machine, run, entry, done, gone)
        for key, run in list(machine.runs.items()):
            if key in seen:
                continue
            if run.state == ASSIGNED and run.ordered_this_term:
                # The start may still be under way; it is repeated until seen.
                continue
            if run.state == ASSIGNED and not fenced:
                # An earlier leader's start may still arrive.
                continue
            if run.state == EXITED and run.unconfirmed_starts:
                continue
            del machine.runs[key]
            if run.state != EXITED:
                run.state = EXITED
                gone.append(run)
        for key in [key for key in machine.unknown_runs if key not in seen]:
            del machine.unknown_runs[key]
        if done:
            self.finish_runs(done)
        if gone:
            self.free_runs(gone, exited=True)
        if machine.idle_since == 0.0 and machine.empty():
            machine.idle_since = self.now

    def _update_run(
        self,
        machine: Machine,
        run: TaskRun,
        entry: TaskStatus,
        done: list[TaskRun],
        gone: list[TaskRun],
    ) -> None:
        before = run.state
        state = RUN_STATES.get(entry.state)
        if state is None or before == EXITED:
            return
        if before == state:
            return
        run.state = state
        if before == ASSIGNED and run.stop_grace_s is not None:
            self.commands.schedule_send(machine)
        if state in (RUNNING, WAITING) and run.running_since == 0.0:
            run.running_since = self.now
            spec = run.job.spec
            cache = self.cluster.types[machine.type].cache_gb
            machine.cache_image(run.job.image, spec.image_gb, cache)
        if state != EXITED:
            return
        why = entry.exit_reason or "error"
        if why == "done" and run.job.status != CANCELLED:
            machine.job_errors.clear()
            if run.running_since:
                self.cluster.record_run_time(run.job, self.now - run.running_since)
                self.fleet.health.task_ran(machine, run.job, self.now - run.running_since)
            done.append(run)
            return
        if why == "error":
            self.fleet.health.task_failed(machine, run.job)
        elif why in ("no_room", "in_use", "unknown"):
            log.info("%s refused %s: %s", machine.name, run.name, why)
            run.job.avoided_machines[machine.index] = self.now + (1.0 if why == "unknown" else 3.0)
        gone.append(run)

    def _unknown_run_reported(self, machine: Machine, entry: TaskStatus) -> None:
        """An attempt that is none of ours: end it, or let it be forgotten."""
        key = (entry.task, entry.attempt)
        exited = entry.state == workers.EXITED
        if key not in machine.unknown_runs:
            log.info("stray %s attempt %d on %s", entry.task, entry.attempt, machine.name)
            self.commands.schedule_send(machine)
        machine.unknown_runs[key] = exited

    def agent_epoch_ended(self, machine: Machine) -> None:
        """The worker killed and forgot all tasks of its session."""
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.expected = None
        runs = list(machine.runs.values())
        machine.runs.clear()
        machine.unknown_runs.clear()
        freed = [run for run in runs if run.state != EXITED]
        for run in freed:
            run.state = EXITED
        if freed:
            log.info("machine %s lost %d tasks", machine.name, len(freed))
            self.free_runs(freed, exited=False)
        machine.idle_since = self.now

    def probe_answered(self, name: str, heartbeat: Heartbeat | None) -> None:
        """A silent worker answered a probe, or did not."""
        self.fleet.health.probed(name, heartbeat is not None)
        machine = self.cluster.machine(name)
        if machine is None or heartbeat is None:
            return
        if machine.in_other_shard:
            # Up, though its holder has not said so: no late boot.
            machine.rented_at = self.now
        elif heartbeat.agent_epoch >= machine.agent_epoch:
            self.reconcile(machine, heartbeat)

    # -- time -----------------------------------------------------------------------

    def step(self, now: float, wall: float) -> None:
        """Do what is due: placement, leases, the fleet, commands, snapshots."""
        self.now, self.wall = now, wall
        if now >= self.next_tick and self._ticking.due():
            self.next_tick = now + 0.25
            with self._ticking:
                self._tick()
        gap = PLACEMENT_INTERVAL_S + PLACEMENT_INTERVAL_PER_MACHINE_S * len(self.cluster.machines)
        wanted = self.placement_needed and now - self.placed_at >= gap and self._placing.due()
        if wanted and not self.draining and self.lease.may_write(now):
            with self._placing:
                self._place()
        if self._pending_deletions:
            self._flush_deletions()
        self.commands.send()
        if self.counted_resources is not None and self.counted_resources.step(now, wall):
            self.placement_needed = True
        if self.sharding is not None:
            self.sharding.step(now)

    def _tick(self) -> None:
        for machine in list(self.cluster.machines.values()):
            self.liveness.apply_fast_path(machine)
            # A node that slept for 23 s judged 600 leases in its first moment, for nobody.
            over = machine.runs and machine.lease_until < self.now and machine.agent_epoch
            if over and self.lease.may_answer(self.now):
                log.info("lease of machine %s ran out", machine.name)
                self.agent_epoch_ended(machine)
        cancel_s = self.settings.deployment.workers.cancel_s
        for job in self.cluster.jobs.values():
            if not job.runs or not (job.cancel_durable or job.done_durable):
                continue
            for run in list(job.runs.values()):
                if run.stop_grace_s is None:
                    self.stop_run(run, 0.0, "over")
                elif self.now - run.stop_ordered_at > cancel_s * 0.6:
                    self.fleet.delete(run.machine, "a cancelled task does not end")
                elif run.machine.last_heard > self.now - 3 * RESEND_INTERVAL_S:
                    self.commands.schedule_send(run.machine)
        if self.lease.may_answer(self.now):
            # A leader that was cut off knows nothing of its machines: once one
            # ordered 425 deletions, which arrived when the cut was over.
            self.fleet.tick(self.now)
        if self.fleet.shortages:
            # Room also comes back with time: pauses and backoffs end.
            self.placement_needed = True
        self._maybe_snapshot()

    def _maybe_snapshot(self) -> None:
        write_ahead_log = self.write_ahead_log
        if (
            write_ahead_log.snapshotting
            or write_ahead_log.log_bytes < self.operator.snapshot_kb * 1024
        ):
            return
        if self.now - self.started < SNAPSHOT_AFTER_S:
            return
        if write_ahead_log.lag_s() > MAX_LOG_LAG_FOR_SNAPSHOT_S or not self.lease.may_write(
            self.now
        ):
            return
        finals: list[list[Any]] = [list(entry) for entry in self.unsaved_final_states]
        self.unsaved_final_states = []
        seats = self.counted_resources
        counted = None if seats is None else seats.definition_records()
        live = records.live_records(self.cluster, self.fleet.spot_group_names(), counted)
        log.info("snapshot: %d records, %d ended jobs", len(live), len(finals))
        if seats is None:
            write_ahead_log.start_snapshot(live, finals)
        else:
            write_ahead_log.start_snapshot(
                live, finals, seats.unsaved_audit_entries, seats.audit_pages
            )

    def _place(self) -> None:
        """One placement pass; starts go out once they are durable."""
        self.placement_needed = False
        self.placed_at = self.now
        if self.write_ahead_log.lag_s() > MAX_LOG_LAG_FOR_PLACEMENT_S:
            self.placement_needed = True
            return
        workers_settings = self.settings.deployment.workers
        heard_after = self.now - 2.5 * workers_settings.report_s - 0.5
        seats = (
            None if self.counted_resources is None else self.counted_resources.begin_pass(self.now)
        )
        placer = FirstFitPlacer(
            self.cluster, self.now, self.wall, heard_after, self.objectives, seats
        )
        result = placer.run(self.operator.preempt)
        for placement in result.placements:
            job, machine = placement.job, placement.machine
            machine.idle_since = 0.0
            runs = [job.runs[task] for task in placement.tasks]

            def durable(runs: list[TaskRun] = runs, machine: Machine = machine) -> None:
                for run in runs:
                    run.assignment_durable = True
                self.commands.schedule_send(machine)

            self.append_records(
                records.assign_records(
                    job, placement.attempt, machine, machine.agent_epoch, placement.tasks, self.wall
                ),
                durable,
            )
        for run in result.preempted:
            grace = stop_grace_s(run)
            run.stop_grace_s = None
            if run.job.gang:
                self.stop_gang(run.job, grace, "preempt")
            else:
                self.stop_run(run, grace, "preempt")
        self.fleet.shortages = result.shortages
        # Whoever waits for room that is being made is looked at again soon.
        self.placement_needed = self.placement_needed or result.waiting_for_room > 0

    # -- the cloud's answers -----------------------------------------------------------

    def deletion_answered(self, names: tuple[str, ...], ok: bool) -> None:
        """A deletion answered 200 proves that machine and tasks are gone."""
        for name in names:
            machine = self.cluster.machine(name)
            if machine is None:
                continue
            if not ok:
                machine.retry_deletion_at = self.now + 1.0
                continue
            self.agent_epoch_ended(machine)
            self.cluster.drop_machine(machine)
            self.fast_path.entries.pop(name, None)
            self.fleet.machine_deleted(machine)
            if machine.addr:
                self.write_ahead_log.append(records.machine_deleted_record(machine))
        self.placement_needed = True

    def delete_machines(self, machines: list[Machine]) -> None:
        """Give machines back; those of one step share a call, for calls are few."""
        for machine in machines:
            machine.deletion_requested = True
            machine.retry_deletion_at = float("inf")
        self._pending_deletions += [machine.name for machine in machines]

    def _flush_deletions(self) -> None:
        while self._pending_deletions and self.lease.may_answer(self.now):
            some, self._pending_deletions = (
                self._pending_deletions[: cloud.MAX_DELETE],
                self._pending_deletions[cloud.MAX_DELETE :],
            )
            self.actions.append(DeleteMachines(tuple(some)))
