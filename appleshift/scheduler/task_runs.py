"""The end of task attempts: stop commands, proof of exit, completion, end of jobs.

A task counts as completed, and its room as free for good, only once the record that
says so is durable.
"""

from __future__ import annotations

import logging
from functools import partial

from appleshift.scheduler.interfaces import TermScheduler
from appleshift.state.entities import Job, TaskRun
from appleshift.state.states import ASSIGNED, EXITED, FINISHED, OPEN
from appleshift.storage import records

log = logging.getLogger(__name__)


class TaskRuns:
    """Stops, frees and completes task attempts of one term."""

    def __init__(self, scheduler: TermScheduler) -> None:
        """Work on the cluster state of ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster

    # -- stops ----------------------------------------------------------------------

    def stop(self, run: TaskRun, grace: float, reason: str) -> None:
        """Order a task to stop within ``grace`` seconds.

        An order replaces an earlier one only with a shorter grace.
        """
        if run.state == EXITED or (run.stop_grace_s is not None and run.stop_grace_s <= grace):
            return
        scheduler = self._scheduler
        if run.state == ASSIGNED and run.ordered_this_term and not run.start_sent:
            # The start was never sent to the worker: nothing can be there.
            run.state = EXITED
            run.machine.runs.pop((run.name, run.attempt), None)
            scheduler.free_runs([run], exited=False)
            return
        run.stop_grace_s = grace
        log.debug("task stop ordered task=%s reason=%s", run.name, reason)
        run.stop_ordered_at = scheduler.now
        scheduler.commands.schedule_send(run.machine)

    def stop_all(self, job: Job, grace: float, reason: str) -> None:
        """Order all tasks of a job to stop within ``grace`` seconds."""
        for run in list(job.runs.values()):
            self._scheduler.stop_run(run, grace, reason)

    # -- proof of exit ----------------------------------------------------------------

    def free(self, runs: list[TaskRun], exited: bool) -> None:
        """Record that attempts are off their machines, which are free for others then.

        ``exited``: their worker reported the exit, and is told to forget the attempt
        once that is durable.
        """
        by_job: dict[int, list[TaskRun]] = {}
        for run in runs:
            if run.job.runs.get(run.task) is run:
                self._cluster.free(run)
                by_job.setdefault(run.job.index, []).append(run)
            elif exited:
                run.exit_durable = True
        for freed in by_job.values():
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
            # The rest of a gang cannot go on alone; its next attempt starts all of it.
            scheduler.stop_gang(job, 0.0, "gang")

    def _freed_durable(self, job: Job, runs: list[TaskRun]) -> None:
        for run in runs:
            run.exit_durable = True
        self._scheduler.retire_if_ended(job)

    # -- completion -------------------------------------------------------------------

    def finish(self, runs: list[TaskRun]) -> None:
        """Complete the tasks of these attempts, job by job."""
        by_job: dict[int, list[TaskRun]] = {}
        for run in runs:
            by_job.setdefault(run.job.index, []).append(run)
        for finished in by_job.values():
            self._scheduler.complete_tasks(
                finished[0].job, [run.task for run in finished], finished
            )

    def complete_tasks(self, job: Job, tasks: list[int], runs: list[TaskRun]) -> None:
        """Complete tasks of a job, by attempts here (``runs``) or in another shard."""
        scheduler, cluster = self._scheduler, self._cluster
        done = [task for task in tasks if cluster.finish_task(job, task)]
        if job.gang and done:
            # A gang completes as a whole.
            done += [task for task in range(job.spec.tasks) if cluster.finish_task(job, task)]
        for run in runs:
            cluster.free(run)
        all_done = job.done_count == job.spec.tasks and not job.service
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
            # A gang's other tasks complete by themselves.
            for run in [] if job.gang else list(job.runs.values()):
                self._scheduler.stop_run(run, 0.0, "over")
        self._scheduler.retire_if_ended(job)

    def retire_if_ended(self, job: Job) -> None:
        """Reduce a job to its final state once that is durable and nothing of it can run."""
        if job.index not in self._cluster.jobs or job.runs:
            return
        if not (job.done_durable or job.cancel_durable):
            return
        self._scheduler.write_ahead_log.append(records.end_record(job))
        self._scheduler.unsaved_final_states.append((job.key, job.status))
        self._cluster.remove_job(job)
