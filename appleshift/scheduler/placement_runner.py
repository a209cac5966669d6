"""Runs placement passes: assignments are recorded, and sent once they are durable."""

from __future__ import annotations

from functools import partial

from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.placement.fit import stop_grace_s
from appleshift.placement.result import Placement
from appleshift.scheduler.interfaces import FullSchedulerView
from appleshift.state.entities import Machine, TaskRun
from appleshift.storage import records

MAX_LOG_LAG_FOR_PLACEMENT_S = 1.0
"""No pass while records wait longer: the log is left to what users wait for."""
MAX_HEARTBEAT_AGE_INTERVALS = 2.5
MAX_HEARTBEAT_AGE_MARGIN_S = 0.5
"""Only machines heard within so many heartbeat intervals, and this, are given tasks."""


class PlacementRunner:
    """Places pending tasks on the machines of one term."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Place the jobs of ``scheduler``."""
        self._scheduler = scheduler

    def run(self) -> None:
        """Run one pass, unless the write-ahead log lags behind."""
        scheduler = self._scheduler
        scheduler.placement_needed = False
        scheduler.last_placement_at = scheduler.now
        if scheduler.write_ahead_log.lag_s() > MAX_LOG_LAG_FOR_PLACEMENT_S:
            scheduler.placement_needed = True
            return
        result = self._placer().run(scheduler.operator.preempt)
        for placement in result.placements:
            self._record(placement)
        for run in result.preempted:
            self._preempt(run)
        scheduler.fleet.shortages = result.shortages
        # Tasks that wait for room that is being made are considered again soon.
        scheduler.placement_needed = (
            scheduler.placement_needed or result.replicas_waiting_for_preemption > 0
        )

    def _placer(self) -> FirstFitPlacer:
        scheduler = self._scheduler
        report_s = scheduler.settings.deployment.workers.report_s
        heard_after = (
            scheduler.now - MAX_HEARTBEAT_AGE_INTERVALS * report_s - MAX_HEARTBEAT_AGE_MARGIN_S
        )
        counted = scheduler.counted_resources
        return FirstFitPlacer(
            scheduler.cluster,
            scheduler.now,
            scheduler.wall_time,
            heard_after,
            scheduler.objectives,
            None if counted is None else counted.begin_pass(scheduler.now),
        )

    def _record(self, placement: Placement) -> None:
        """Record an assignment; its start commands go out once that is durable."""
        job, machine = placement.job, placement.machine
        machine.idle_since = 0.0
        runs = [job.runs[task] for task in placement.tasks]
        self._scheduler.append_records(
            records.assign_records(
                job,
                placement.attempt,
                machine,
                machine.agent_epoch,
                placement.tasks,
                self._scheduler.wall_time,
            ),
            partial(self._assignment_durable, runs, machine),
        )

    def _assignment_durable(self, runs: list[TaskRun], machine: Machine) -> None:
        for run in runs:
            run.assignment_durable = True
        self._scheduler.commands.schedule_send(machine)

    def _preempt(self, run: TaskRun) -> None:
        grace = stop_grace_s(run)
        # The placer has set the grace, which would make stop_run ignore this order.
        run.stop_grace_s = None
        if run.job.gang:
            self._scheduler.stop_gang(run.job, grace, "preempt")
        else:
            self._scheduler.stop_run(run, grace, "preempt")
