"""Consolidation: empties an on-demand machine that is not needed by moving its replicas.

Service replicas may never end, so a single replica would keep a nearly empty machine rented
forever. When there is spare on-demand capacity, one machine at a time is cordoned. Its replicas
are moved, a few at a time, to machines that have their image. Once the machine is empty, it is
deleted.
"""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import spread_allowance_per_zone
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.resources import EPSILON
from appleshift.state.states import RUNNING, UP

log = logging.getLogger(__name__)

SETTLING_TIME_S = 40.0
"""Time in seconds before a new leader starts to empty a machine, and before a replica that has
started is moved."""
CHOICE_INTERVAL_S = 2.0
"""Time between attempts to find a machine to empty, in seconds."""
MAX_CONCURRENT_MOVES = 2
MAX_UTILIZATION = 0.6
"""Machines of which a larger fraction of the CPUs is used are not emptied."""


class Consolidation:
    """Empties on-demand machines that are not needed, at most one at a time."""

    def __init__(self, fleet: FleetView) -> None:
        """Start a term; no machine is being emptied."""
        self._fleet = fleet
        self._cluster = fleet.cluster
        self._started = fleet.scheduler.now
        self._draining_machine: Machine | None = None
        self._next_choice = fleet.scheduler.now

    def step(self, now: float) -> None:
        """Continue to empty the chosen machine, or choose one if there is none."""
        machine = self._draining_machine
        if machine is None:
            if now >= self._next_choice:
                self._next_choice = now + CHOICE_INTERVAL_S
                self._choose_machine(now)
        elif machine.deletion_requested or machine.status != UP:
            self._draining_machine = None
        elif self._fleet.shortages:
            log.info("consolidation cancelled machine=%s", machine.name)
            machine.cordoned = False
            self._draining_machine = None
        elif machine.empty():
            self._draining_machine = None
            self._fleet.delete(machine, "its work fits elsewhere")
        else:
            self._move_replicas(machine, now)

    def _choose_machine(self, now: float) -> None:
        """Cordon the machine with the most expensive unused CPUs, if its replicas fit elsewhere."""
        fleet = self._fleet
        if fleet.shortages or fleet.pending_rentals or now - self._started < SETTLING_TIME_S:
            return
        spare = fleet.on_demand_spare.get(False, 0.0)
        best: Machine | None = None
        best_saving = 0.0
        for machine in self._cluster.machines.values():
            utilization = self._utilization(machine)
            if not self._may_empty(machine, utilization, spare):
                continue
            saving = self._cluster.types[machine.type].price * (1.0 - utilization)
            if best is None or saving > best_saving:
                replicas = [run for run in machine.runs.values() if run.job.service]
                if self._fit_elsewhere(machine, replicas, now):
                    best, best_saving = machine, saving
        if best is not None:
            self._draining_machine = best
            best.cordoned = True
            fleet.on_demand_spare[False] = 0.0
            log.info("consolidation started machine=%s", best.name)

    def _utilization(self, machine: Machine) -> float:
        """Return the fraction of a machine's CPUs that is used."""
        machine_type = self._cluster.types[machine.type]
        return 1.0 - machine.free_cpus / machine_type.cpus if machine_type.cpus else 1.0

    def _may_empty(self, machine: Machine, utilization: float, spare: float) -> bool:
        """Whether a machine is an on-demand machine without GPUs, little used and not needed.

        ``spare`` is the on-demand capacity that is not needed, in units.
        """
        if machine.spot or self._cluster.types[machine.type].gpus > 0:
            return False
        if not machine.schedulable() or utilization > MAX_UTILIZATION:
            return False
        units = self._fleet.capacity_units(machine)
        if units * self._fleet.operator.consolidate_spare > spare:
            return False
        return not machine.empty()

    def _fit_elsewhere(self, source: Machine, replicas: list[TaskRun], now: float) -> bool:
        """Whether all replicas of ``source`` fit on other machines that have their images."""
        free_resources = {
            machine.index: [machine.free_cpus, machine.free_gpus, machine.free_memory]
            for machine in self._cluster.machines.values()
            if machine is not source and machine.schedulable() and machine.avoid_until <= now
            if not machine.in_other_shard
        }
        return all(self._subtract_from_first_fit(run, free_resources) for run in replicas)

    def _subtract_from_first_fit(
        self, run: TaskRun, free_resources: dict[int, list[float]]
    ) -> bool:
        """Subtract a replica's resources from the first machine that may run it.

        Returns false if no machine may run the replica.
        """
        spec = run.job.spec
        needed = (spec.cpus, spec.gpus, spec.memory_gb)
        for index, free in free_resources.items():
            fits = all(have + EPSILON >= need for have, need in zip(free, needed, strict=True))
            if fits and self._may_run_on(run.job, run, self._cluster.machines[index]):
                for position, need in enumerate(needed):
                    free[position] -= need
                return True
        return False

    def _may_run_on(self, job: Job, run: TaskRun, machine: Machine) -> bool:
        """Whether a job's constraints allow its replica ``run`` to move to a machine."""
        if job.image not in machine.images or not self._cluster.eligible_types(job)[machine.type]:
            return False
        if (machine.spot and not job.spec.spot) or job.zone not in (-1, machine.zone):
            return False
        if job.spec.together and machine.zone != run.machine.zone:
            return False
        remaining = spread_allowance_per_zone(self._cluster, job)
        same_zone = machine.zone == run.machine.zone
        return remaining is None or remaining[machine.zone] + same_zone > 0

    def _move_replicas(self, machine: Machine, now: float) -> None:
        """Stop a few replicas that fit elsewhere; placement then starts them on other machines."""
        moving = sum(1 for run in machine.runs.values() if run.stop_grace_s is not None)
        for run in list(machine.runs.values()):
            if moving >= MAX_CONCURRENT_MOVES:
                return
            settled = run.state == RUNNING and now - run.running_since > SETTLING_TIME_S
            if not (run.job.service and settled and run.stop_grace_s is None):
                continue
            if self._fit_elsewhere(machine, [run], now):
                self._fleet.scheduler.stop_run(run, 0.0, "move")
                moving += 1
