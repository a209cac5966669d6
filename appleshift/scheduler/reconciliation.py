"""Reconciles the cluster state with what workers report in heartbeats.

A worker's list of tasks is the truth about its machine. An assigned task that is not
in it has ended, unless its start command may still be under way.
"""

from __future__ import annotations

import logging

from appleshift.protocol import workers
from appleshift.protocol.workers import Heartbeat, TaskStatus
from appleshift.scheduler.interfaces import TermScheduler
from appleshift.state.entities import Machine, TaskRun
from appleshift.state.states import ASSIGNED, CANCELLED, EXITED, RUN_STATES, RUNNING, WAITING

log = logging.getLogger(__name__)

UNKNOWN_TASK_BACKOFF_S = 1.0
"""A job avoids a machine for this long whose worker did not know its task."""
START_REFUSED_BACKOFF_S = 3.0
"""A job avoids a machine for this long whose worker had no room for its task."""


class HeartbeatReconciler:
    """Applies heartbeats to the task attempts of one term."""

    def __init__(self, scheduler: TermScheduler) -> None:
        """Work on the cluster state of ``scheduler``."""
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
        fenced = heartbeat.fencing_token >= scheduler.fencing_token_for(machine)
        finished: list[TaskRun] = []
        exited: list[TaskRun] = []
        reported: set[tuple[str, int]] = set()
        for status in heartbeat.tasks:
            key = (status.task, status.attempt)
            reported.add(key)
            run = machine.runs.get(key)
            if run is None:
                self._unknown_run_reported(machine, status)
            else:
                self._update_run(machine, run, status, finished, exited)
        self._drop_unreported(machine, reported, fenced, exited)
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
        # The lease of the new epoch runs from the epoch's begin, which is earlier than
        # now. The end of the previous epoch's lease must not be taken for this one's.
        machine.lease_until = max(machine.lease_until, scheduler.now + scheduler.worker_lease_s)

    def _unknown_run_reported(self, machine: Machine, status: TaskStatus) -> None:
        """Note an attempt that was not assigned here: it is to be stopped, or cleared."""
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
        """Apply a task's reported state; an exit goes to ``finished`` or ``exited``."""
        previous = run.state
        state = RUN_STATES.get(status.state)
        if state is None or previous in (EXITED, state):
            return
        run.state = state
        if previous == ASSIGNED and run.stop_grace_s is not None:
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

    def _run_succeeded(self, machine: Machine, run: TaskRun) -> None:
        scheduler = self._scheduler
        machine.last_failure_by_job.clear()
        if run.running_since:
            run_time = scheduler.now - run.running_since
            scheduler.cluster.record_run_time(run.job, run_time)
            scheduler.fleet.health.task_ran(machine, run.job, run_time)

    def _run_failed(self, machine: Machine, run: TaskRun, reason: str) -> None:
        """Learn from an exit; one that was ordered says nothing about machine or job."""
        if reason == "error":
            self._scheduler.fleet.health.task_failed(machine, run.job)
        elif reason in ("no_room", "in_use", "unknown"):
            log.info(
                "task start refused machine=%s task=%s reason=%s", machine.name, run.name, reason
            )
            backoff_s = UNKNOWN_TASK_BACKOFF_S if reason == "unknown" else START_REFUSED_BACKOFF_S
            run.job.avoided_machines[machine.index] = self._scheduler.now + backoff_s

    @staticmethod
    def _drop_unreported(
        machine: Machine, reported: set[tuple[str, int]], fenced: bool, exited: list[TaskRun]
    ) -> None:
        """Drop attempts that the worker does not list; live ones go to ``exited``.

        ``fenced``: the worker has seen this term's fencing token, so that no start
        command of an earlier leader can take effect any more.
        """
        for key, run in list(machine.runs.items()):
            if key in reported:
                continue
            if run.state == ASSIGNED and run.ordered_this_term:
                # The start may still be under way; it is repeated until it is reported.
                continue
            if run.state == ASSIGNED and not fenced:
                # An earlier leader's start may still arrive.
                continue
            if run.state == EXITED and run.unconfirmed_starts:
                # A direct start got no answer and may still arrive: the attempt stays known.
                continue
            del machine.runs[key]
            if run.state != EXITED:
                run.state = EXITED
                exited.append(run)
        for key in [key for key in machine.unknown_runs if key not in reported]:
            del machine.unknown_runs[key]

    def agent_epoch_ended(self, machine: Machine) -> None:
        """Free all tasks of a machine: its worker has killed and forgotten them."""
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
