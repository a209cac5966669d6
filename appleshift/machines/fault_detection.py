"""Quarantines faulty and slow machines, distinguishing them from faulty jobs and long tasks."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import SchedulerView
from appleshift.state.entities import Job, Machine

log = logging.getLogger(__name__)

ERROR_WINDOW_S = 120.0
"""How long a failed task counts against its machine, in seconds."""
MAX_JOB_BACKOFF_S = 20.0
"""Longest delay of a faulty job, in seconds."""
JOB_AVOIDS_MACHINE_S = 20.0
"""How long a job avoids a machine on which its task failed, in seconds."""
MACHINE_PAUSE_S = 3.0
"""How long a machine gets no new task after a failure, in seconds."""
MIN_JOB_RUNS = 3
"""Completed tasks of a job before the durations of its tasks are compared."""
MIN_COMPARED_RUNS = 6
"""Compared tasks of a machine before it may count as slow."""
SLOWNESS_WEIGHT = 0.2
"""Weight of the newest duration ratio in a machine's moving average."""
MAX_SLOWNESS = 10.0
"""Limit of a single duration ratio."""
SLOWNESS_LIMIT = 2.0
"""A machine whose tasks take more than this many times the job's average is quarantined."""


class FaultDetector:
    """Detects faulty and slow machines by the results and durations of their tasks."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Detect faults of the machines of ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Record a failed task; back off its job or quarantine its machine if faulty.

        A job is faulty if its tasks failed on several machines and none succeeded. A machine is
        faulty if tasks of at least ``sick_jobs`` jobs failed on it recently.
        """
        now = self._scheduler.now
        job.failed_machines.add(machine.index)
        job.avoided_machines[machine.index] = now + JOB_AVOIDS_MACHINE_S
        machine.avoid_until = now + MACHINE_PAUSE_S
        if len(job.failed_machines) >= 2 and not job.done_count:
            # The job failed on several machines and succeeded on none: the job is faulty.
            self._back_off_job(job)
            return
        machine.last_failure_by_job[job.index] = now
        recent_failures = [
            at for at in machine.last_failure_by_job.values() if at > now - ERROR_WINDOW_S
        ]
        if len(recent_failures) >= self._scheduler.operator.sick_jobs and not machine.quarantined:
            log.info(
                "machine quarantined machine=%s reason=failures failed_jobs=%d",
                machine.name,
                len(recent_failures),
            )
            self._quarantine(machine)

    def _back_off_job(self, job: Job) -> None:
        """Delay a faulty job and stop counting its failures against machines."""
        job.backoff_s = min(MAX_JOB_BACKOFF_S, max(1.0, job.backoff_s * 2))
        job.backoff_until = self._scheduler.now + job.backoff_s
        for machine in self._cluster.machines.values():
            machine.last_failure_by_job.pop(job.index, None)

    def task_completed(self, machine: Machine, job: Job, seconds: float) -> None:
        """Compare a task's duration with its job's average; quarantine the machine if slow.

        ``seconds`` is the duration. Durations on quarantined machines are added to the job's
        average, but the duration that leads to a quarantine is not.
        """
        if job.completed_runs >= MIN_JOB_RUNS and not machine.quarantined:
            total_s = max(job.completed_run_s, 1e-3)
            ratio = min(MAX_SLOWNESS, seconds * job.completed_runs / total_s)
            machine.slowness += (ratio - machine.slowness) * SLOWNESS_WEIGHT
            machine.slowness_samples += 1
            if machine.slowness_samples >= MIN_COMPARED_RUNS and machine.slowness > SLOWNESS_LIMIT:
                log.info(
                    "machine quarantined machine=%s reason=slow slowness=%.1f",
                    machine.name,
                    machine.slowness,
                )
                self._quarantine(machine)
                return
        job.completed_run_s += seconds
        job.completed_runs += 1

    def _quarantine(self, machine: Machine) -> None:
        machine.quarantined = True
        self._scheduler.placement_needed = True
