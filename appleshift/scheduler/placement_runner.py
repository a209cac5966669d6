"""Runs placement passes, records the assignments and starts the tasks once durable."""

from __future__ import annotations

from functools import partial

from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.placement.fit import stop_grace_s
from appleshift.placement.result import Placement
from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.entities import Machine, TaskRun
from appleshift.storage import records

MAX_LOG_LAG_FOR_PLACEMENT_S = 1.0
"""Above this lag of the write-ahead log, in seconds, no placement pass runs.

The log is then left to the records that responses to users depend on.
"""
MAX_HEARTBEAT_AGE_INTERVALS = 2.5
"""Tasks are placed only on machines with a heartbeat within this many heartbeat intervals."""
MAX_HEARTBEAT_AGE_MARGIN_S = 0.5
"""Added to the maximum heartbeat age, in seconds."""


class PlacementRunner:
    """Runs placement passes over the pending tasks of one leader term."""

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Place the tasks of ``scheduler``."""
        self._scheduler = scheduler

    def run(self) -> None:
        """Run one placement pass, or postpone it if the write-ahead log lags too much."""
        scheduler = self._scheduler
        scheduler.placement_needed = False
        scheduler.last_placement_at = scheduler.now
        if scheduler.write_ahead_log.lag_s() > MAX_LOG_LAG_FOR_PLACEMENT_S:
            scheduler.placement_needed = True
            return
        result = self._make_placer().run(scheduler.operator.preempt)
        for placement in result.placements:
            self._record_assignment(placement)
        for run in result.preempted:
            self._preempt(run)
        scheduler.fleet.shortages = result.shortages
        scheduler.next_placement_at = result.next_pass_at
        # Replicas for which capacity is being freed need another pass soon.
        scheduler.placement_needed = (
            scheduler.placement_needed or result.replicas_waiting_for_preemption > 0
        )

    def _make_placer(self) -> FirstFitPlacer:
        scheduler = self._scheduler
        report_s = scheduler.settings.deployment.workers.report_s
        min_last_heartbeat = (
            scheduler.now - MAX_HEARTBEAT_AGE_INTERVALS * report_s - MAX_HEARTBEAT_AGE_MARGIN_S
        )
        counted = scheduler.counted_resources
        return FirstFitPlacer(
            scheduler.cluster,
            scheduler.now,
            scheduler.wall_time,
            min_last_heartbeat,
            scheduler.objectives,
            None if counted is None else counted.begin_pass(scheduler.now),
        )

    def _record_assignment(self, placement: Placement) -> None:
        """Record an assignment; its start commands are sent once the record is durable."""
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
        grace_s = stop_grace_s(run)
        # The placer has already set the grace, and stop_run ignores an order whose grace is not
        # shorter than the one already set.
        run.stop_grace_s = None
        if run.job.gang:
            self._scheduler.stop_gang(run.job, grace_s, "preempt")
        else:
            self._scheduler.stop_run(run, grace_s, "preempt")
