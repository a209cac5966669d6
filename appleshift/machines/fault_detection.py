"""Tells faulty and slow machines from faulty jobs and long tasks, and quarantines them."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import SchedulerView
from appleshift.state.entities import Job, Machine

log = logging.getLogger(__name__)

ERROR_WINDOW_S = 120.0
"""Failed tasks count against a machine for so long, in seconds."""
MAX_JOB_BACKOFF_S = 20.0
JOB_AVOIDS_MACHINE_S = 20.0
"""How long a job avoids a machine on which its task failed, in seconds."""
MACHINE_PAUSE_S = 3.0
"""How long a machine gets no new task after a failure, in seconds."""
MIN_PEER_RUNS = 3
"""Completed tasks of the same job that a duration is compared with."""
MIN_SLOW_RUNS = 6
"""Tasks of a machine that are measured before it may count as slow."""
SLOWNESS_WEIGHT = 0.2
"""Weight of the newest ratio in a machine's moving average."""
MAX_SLOWNESS = 10.0
SLOWNESS_LIMIT = 2.0
"""A machine whose tasks take more than this many times as long is quarantined."""


class FaultDetector:
    """Judges machines by the tasks that ran on them."""

    def __init__(self, scheduler: SchedulerView) -> None:
        """Judge the machines of ``scheduler``."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Tell a faulty machine from a faulty job by which other tasks failed where."""
        now = self._scheduler.now
        job.failed_machines.add(machine.index)
        job.avoided_machines[machine.index] = now + JOB_AVOIDS_MACHINE_S
        machine.avoid_until = now + MACHINE_PAUSE_S
        if len(job.failed_machines) >= 2 and not job.done_count:
            # It failed on several machines and succeeded on none: the job is to blame.
            self._back_off_job(job)
            return
        machine.last_failure_by_job[job.index] = now
        recent = [at for at in machine.last_failure_by_job.values() if at > now - ERROR_WINDOW_S]
        if len(recent) >= self._scheduler.operator.sick_jobs and not machine.quarantined:
            log.info(
                "machine quarantined machine=%s reason=failures failed_jobs=%d",
                machine.name,
                len(recent),
            )
            self._quarantine(machine)

    def _back_off_job(self, job: Job) -> None:
        """Delay a faulty job, and no longer count its failures against machines."""
        job.backoff_s = min(MAX_JOB_BACKOFF_S, max(1.0, job.backoff_s * 2))
        job.backoff_until = self._scheduler.now + job.backoff_s
        for machine in self._cluster.machines.values():
            machine.last_failure_by_job.pop(job.index, None)

    def task_ran(self, machine: Machine, job: Job, seconds: float) -> None:
        """Tell a slow machine from long tasks by the same job's tasks on other machines."""
        if job.completed_runs >= MIN_PEER_RUNS and not machine.quarantined:
            total_s = max(job.completed_run_s, 1e-3)
            ratio = min(MAX_SLOWNESS, seconds * job.completed_runs / total_s)
            machine.slowness += (ratio - machine.slowness) * SLOWNESS_WEIGHT
            machine.slowness_samples += 1
            if machine.slowness_samples >= MIN_SLOW_RUNS and machine.slowness > SLOWNESS_LIMIT:
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
