"""Reconciles the cluster state with the task lists in workers' heartbeats.

A worker's task list is authoritative for its machine. An assigned task that is missing
from the list has ended, unless its start command may still arrive.
"""

from __future__ import annotations

import logging

from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat, TaskStatus
from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.entities import Machine, TaskRun
from appleshift.state.states import ASSIGNED, CANCELLED, EXITED, RUN_STATES, RUNNING, WAITING

log = logging.getLogger(__name__)

UNKNOWN_TASK_BACKOFF_S = 1.0
"""Seconds for which a job avoids a machine that reported a task of it as unknown."""
START_REFUSED_BACKOFF_S = 3.0
"""Seconds for which a job avoids a machine that had no room for a task of it."""


class HeartbeatReconciler:
    """Applies heartbeats to the task attempts of one leader term."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Update the cluster state of ``scheduler``."""
        self._scheduler = scheduler

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one of the same agent epoch was applied."""
        scheduler = self._scheduler
        if heartbeat.agent_epoch > machine.agent_epoch:
            self._begin_agent_epoch(machine, heartbeat.agent_epoch)
        if heartbeat.seq <= machine.seq:
            return
        machine.seq = heartbeat.seq
        machine.last_contact_at = scheduler.now
        scheduler.fleet.heartbeat_received(machine, heartbeat)
        token_seen = heartbeat.fencing_token >= scheduler.first_fencing_token_for(machine)
        finished: list[TaskRun] = []
        exited: list[TaskRun] = []
        reported: set[tuple[str, int]] = set()
        for status in heartbeat.tasks:
            key = (status.task, status.attempt)
            reported.add(key)
            run = machine.runs.get(key)
            if run is None:
                self._record_unknown_run(machine, status)
            else:
                self._update_run(machine, run, status, finished, exited)
        self._drop_unreported_runs(machine, reported, token_seen, exited)
        if finished:
            scheduler.finish_runs(finished)
        if exited:
            scheduler.free_runs(exited, exited=True)
        if machine.idle_since == 0.0 and machine.empty():
            machine.idle_since = scheduler.now

    def _begin_agent_epoch(self, machine: Machine, agent_epoch: int) -> None:
        if machine.agent_epoch:
            log.info("agent epoch changed machine=%s epoch=%d", machine.name, agent_epoch)
        scheduler = self._scheduler
        scheduler.agent_epoch_ended(machine)
        machine.agent_epoch = agent_epoch
        machine.seq = -1
        # The lease of the new epoch began with the epoch, which is earlier than now. The
        # expiry of the previous epoch's lease must not apply to the new epoch.
        machine.lease_until = max(machine.lease_until, scheduler.now + scheduler.worker_lease_s)

    def _record_unknown_run(self, machine: Machine, status: TaskStatus) -> None:
        """Record a task attempt that was not assigned to the machine.

        The worker is ordered to stop it or, if it has exited, to clear it.
        """
        key = (status.task, status.attempt)
        if key not in machine.unknown_runs:
            log.info(
                "unknown task attempt reported machine=%s task=%s attempt=%d",
                machine.name,
                status.task,
                status.attempt,
            )
            self._scheduler.commands.schedule_send(machine)
        machine.unknown_runs[key] = status.state == workers.EXITED

    def _update_run(
        self,
        machine: Machine,
        run: TaskRun,
        status: TaskStatus,
        finished: list[TaskRun],
        exited: list[TaskRun],
    ) -> None:
        """Apply the reported state of a task attempt.

        An attempt that succeeded is added to ``finished``, any other that exited to
        ``exited``.
        """
        previous_state = run.state
        state = RUN_STATES.get(status.state)
        if state is None or state == previous_state:
            return
        if previous_state == EXITED:
            self._attempt_restarted(machine, status)
            return
        run.state = state
        if previous_state == ASSIGNED and run.stop_grace_s is not None:
            self._scheduler.commands.schedule_send(machine)
        if state in (RUNNING, WAITING) and run.running_since == 0.0:
            run.running_since = self._scheduler.now
            cache_gb = self._scheduler.cluster.types[machine.type].cache_gb
            machine.cache_image(run.job.image, run.job.spec.image_gb, cache_gb)
        if state != EXITED:
            return
        reason = status.exit_reason or "error"
        if reason == "done" and run.job.status != CANCELLED:
            self._run_succeeded(machine, run)
            finished.append(run)
        else:
            self._run_failed(machine, run, reason)
            exited.append(run)

    def _attempt_restarted(self, machine: Machine, status: TaskStatus) -> None:
        """Have an attempt stopped that has ended and that its worker reports as running again."""
        log.warning(
            "ended task attempt runs again machine=%s task=%s attempt=%d",
            machine.name,
            status.task,
            status.attempt,
        )
        del machine.runs[status.task, status.attempt]
        self._record_unknown_run(machine, status)

    def _run_succeeded(self, machine: Machine, run: TaskRun) -> None:
        scheduler = self._scheduler
        machine.last_failure_by_job.clear()
        if run.running_since:
            run_time_s = scheduler.now - run.running_since
            scheduler.cluster.record_run_time(run.job, run_time_s)
            scheduler.fleet.health.task_completed(machine, run.job, run_time_s)

    def _run_failed(self, machine: Machine, run: TaskRun, reason: str) -> None:
        """Record the failure of a task attempt.

        An exit that was ordered does not count against the machine or the job.
        """
        if reason == "error":
            self._scheduler.fleet.health.task_failed(machine, run.job)
        elif reason in ("no_room", "in_use", "unknown"):
            log.info(
                "task start refused machine=%s task=%s reason=%s", machine.name, run.name, reason
            )
            backoff_s = UNKNOWN_TASK_BACKOFF_S if reason == "unknown" else START_REFUSED_BACKOFF_S
            run.job.avoided_machines[machine.index] = self._scheduler.now + backoff_s

    @staticmethod
    def _drop_unreported_runs(
        machine: Machine, reported: set[tuple[str, int]], token_seen: bool, exited: list[TaskRun]
    ) -> None:
        """Drop task attempts that the worker did not report.

        Those that had not exited before are added to ``exited``. ``token_seen``: the worker
        has seen a fencing token of this term, so it rejects start commands of earlier
        leaders.
        """
        for key, run in list(machine.runs.items()):
            if key in reported:
                continue
            if run.state == ASSIGNED and run.ordered_this_term:
                # The start command may still arrive; it is sent again until the task is reported.
                continue
            if run.state == ASSIGNED and not token_seen:
                # A start command of an earlier leader may still take effect.
                continue
            del machine.runs[key]
            if run.state != EXITED:
                run.state = EXITED
                exited.append(run)
        for key in [key for key in machine.unknown_runs if key not in reported]:
            del machine.unknown_runs[key]

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine: its worker has killed them and dropped their state."""
        if machine.fast_path_entry is not None:
            machine.fast_path_entry.expected = None
        runs = list(machine.runs.values())
        machine.runs.clear()
        machine.unknown_runs.clear()
        freed = [run for run in runs if run.state != EXITED]
        for run in freed:
            run.state = EXITED
        if freed:
            log.info("tasks lost machine=%s tasks=%d", machine.name, len(freed))
            self._scheduler.free_runs(freed, exited=False)
        machine.idle_since = self._scheduler.now
