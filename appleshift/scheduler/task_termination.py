"""Ends task attempts: orders stops, records exits and completions, and retires jobs.

A task counts as completed, and its capacity as permanently free, only once the record of
that is durable.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from functools import partial

from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.entities import Job, TaskRun
from appleshift.state.states import ASSIGNED, EXITED, FINISHED, OPEN
from appleshift.state.task_set import TaskSet
from appleshift.storage import records

log = logging.getLogger(__name__)


class TaskTermination:
    """Stops, frees and completes task attempts of one leader term."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Update the cluster state of ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster

    # -- stops ----------------------------------------------------------------------

    def stop(self, run: TaskRun, grace_s: float, reason: str) -> None:
        """Order a task to stop within ``grace_s`` seconds.

        A repeated order only takes effect if its grace is shorter.
        """
        if run.state == EXITED or (run.stop_grace_s is not None and run.stop_grace_s <= grace_s):
            return
        scheduler = self._scheduler
        if run.state == ASSIGNED and run.ordered_this_term and not run.start_sent:
            # The start command was never sent, so the worker cannot have the task.
            run.state = EXITED
            run.machine.runs.pop((run.name, run.attempt), None)
            scheduler.free_runs([run], exited=False)
            return
        run.stop_grace_s = grace_s
        log.debug("task stop ordered task=%s reason=%s", run.name, reason)
        run.stop_ordered_at = scheduler.now
        scheduler.commands.schedule_send(run.machine)

    def stop_all(self, job: Job, grace_s: float, reason: str) -> None:
        """Order all tasks of a job to stop within ``grace_s`` seconds."""
        for run in list(job.runs.values()):
            self._scheduler.stop_run(run, grace_s, reason)

    # -- exits ------------------------------------------------------------------------

    def free(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that task attempts no longer run, and free their capacity.

        ``exited``: their worker reported the exit. It is ordered to clear the attempt once
        the record is durable.
        """
        runs_by_job: dict[int, list[TaskRun]] = {}
        for run in runs:
            if run.job.runs.get(run.task) is run:
                self._cluster.free(run)
                runs_by_job.setdefault(run.job.index, []).append(run)
            elif exited:
                run.exit_durable = True
        for freed in runs_by_job.values():
            self._record_freed(freed[0].job, freed)
        self._scheduler.placement_needed = True

    def _record_freed(self, job: Job, runs: list[TaskRun]) -> None:
        scheduler = self._scheduler
        tasks = [run.task for run in runs]
        scheduler.append_records(
            records.free_records(job, tasks, scheduler.wall_time),
            partial(self._freed_durable, job, runs),
        )
        if job.gang and job.status == OPEN:
            # A gang cannot continue without one of its tasks; its next attempt starts all of them.
            scheduler.stop_gang(job, 0.0, "gang")

    def _freed_durable(self, job: Job, runs: list[TaskRun]) -> None:
        for run in runs:
            run.exit_durable = True
        self._scheduler.retire_if_ended(job)

    # -- completion -------------------------------------------------------------------

    def finish(self, runs: list[TaskRun]) -> None:
        """Complete the tasks of these attempts, with one call per job."""
        runs_by_job: dict[int, list[TaskRun]] = {}
        for run in runs:
            runs_by_job.setdefault(run.job.index, []).append(run)
        for finished in runs_by_job.values():
            self._scheduler.complete_tasks(
                finished[0].job, [run.task for run in finished], finished
            )

    def complete_tasks(self, job: Job, tasks: Iterable[int], runs: list[TaskRun]) -> None:
        """Record that tasks of a job completed.

        ``runs`` are their attempts in this shard; empty if another shard ran them. The
        first completed task of a gang completes all of its tasks.
        """
        scheduler, cluster = self._scheduler, self._cluster
        done = TaskSet(tasks)
        done.difference_update(job.done_tasks)
        if job.gang and done:
            done = TaskSet(range(job.spec.tasks))
            done.difference_update(job.done_tasks)
        job.mark_done(done)
        for run in runs:
            cluster.free(run)
        all_done = job.all_tasks_done() and not job.service
        if all_done and job.status == OPEN:
            job.status = FINISHED
        scheduler.append_records(
            records.done_records(job, done, scheduler.wall_time),
            partial(self._completion_durable, job, runs, all_done),
        )
        scheduler.placement_needed = True

    def _completion_durable(self, job: Job, runs: list[TaskRun], all_done: bool) -> None:
        for run in runs:
            run.exit_durable = True
        if all_done and job.status == FINISHED:
            job.done_durable = True
            # The other tasks of a gang exit by themselves.
            for run in [] if job.gang else list(job.runs.values()):
                self._scheduler.stop_run(run, 0.0, "over")
        self._scheduler.retire_if_ended(job)

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state, if that is durable and none of its tasks can run."""
        if job.index not in self._cluster.jobs or job.runs:
            return
        if not (job.done_durable or job.cancel_durable):
            return
        self._scheduler.write_ahead_log.append(records.end_record(job))
        self._scheduler.unsaved_final_states.append((job.key, job.status))
        self._cluster.remove_job(job)
