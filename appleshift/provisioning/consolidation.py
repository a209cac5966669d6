"""Emptying a steady machine that is not needed, by moving its replicas.

Replicas may never end, so one on each of several half-empty machines would
keep them all for good. When steady capacity is to spare, one machine at a time
takes no new work; its replicas move, a few at a time, to machines that have
their image, and once it is empty it goes back.
"""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import remaining_per_zone
from appleshift.state.cluster_state import EPSILON, RUNNING, UP, Job, Machine, TaskRun

log = logging.getLogger(__name__)

SETTLED_S = 40.0
"""Neither a new leader nor a replica that just started is disturbed."""
MOVES_AT_ONCE = 2
MAX_UTILIZATION = 0.6
"""A machine used more than this is not worth moving."""


class Consolidation:
    """At most one machine is being emptied."""

    def __init__(self, fleet: FleetView) -> None:
        self.fleet = fleet
        self.cluster = fleet.cluster
        self.started = fleet.scheduler.now
        self.draining_machine: Machine | None = None
        self.next_look = fleet.scheduler.now

    def step(self, now: float) -> None:
        machine = self.draining_machine
        if machine is not None:
            if machine.deletion_requested or machine.status != UP:
                self.draining_machine = None
            elif self.fleet.shortages:
                log.info("machine %s is needed after all", machine.name)
                machine.cordoned = False
                self.draining_machine = None
            elif machine.empty():
                self.draining_machine = None
                self.fleet.delete(machine, "its work fits elsewhere")
            else:
                self._move(machine, now)
        elif now >= self.next_look:
            self.next_look = now + 2.0
            self._choose(now)

    def _choose(self, now: float) -> None:
        fleet = self.fleet
        if fleet.shortages or fleet.pending_rentals or now - self.started < SETTLED_S:
            return
        spare = fleet.on_demand_spare.get(False, 0.0)
        best: tuple[float, Machine] | None = None
        for machine in self.cluster.machines.values():
            kind = self.cluster.types[machine.type]
            used = 1.0 - machine.free_cpus / kind.cpus if kind.cpus else 1.0
            if machine.spot or kind.gpus > 0 or not machine.schedulable() or used > MAX_UTILIZATION:
                continue
            if fleet.capacity_units(machine) * self.fleet.operator.consolidate_spare > spare:
                continue
            if machine.empty():
                continue
            saving = kind.price * (1.0 - used)
            if best is None or saving > best[0]:
                replicas = [run for run in machine.runs.values() if run.job.service]
                if self._room_elsewhere(machine, replicas, now):
                    best = (saving, machine)
        if best is not None:
            self.draining_machine = best[1]
            self.draining_machine.cordoned = True
            fleet.on_demand_spare[False] = 0.0
            log.info("emptying machine %s", self.draining_machine.name)

    def _room_elsewhere(self, leaving: Machine, replicas: list[TaskRun], now: float) -> bool:
        """Would every replica find a machine with its image?"""
        room = {
            machine.index: [machine.free_cpus, machine.free_gpus, machine.free_memory]
            for machine in self.cluster.machines.values()
            if machine is not leaving and machine.schedulable() and machine.avoid_until <= now
            if not machine.in_other_shard
        }
        for run in replicas:
            spec = run.job.spec
            need = (spec.cpus, spec.gpus, spec.memory_gb)
            for index, free in room.items():
                machine = self.cluster.machines[index]
                fits = all(have + EPSILON >= want for have, want in zip(free, need, strict=True))
                if fits and self._allowed(run.job, run, machine):
                    for position, want in enumerate(need):
                        free[position] -= want
                    break
            else:
                return False
        return True

    def _allowed(self, job: Job, run: TaskRun, machine: Machine) -> bool:
        if job.image not in machine.images or not self.cluster.eligible_types(job)[machine.type]:
            return False
        if (machine.spot and not job.spec.spot) or job.zone not in (-1, machine.zone):
            return False
        if job.spec.together and machine.zone != run.machine.zone:
            return False
        rooms = remaining_per_zone(self.cluster, job)
        same = machine.zone == run.machine.zone
        return rooms is None or rooms[machine.zone] + same > 0

    def _move(self, machine: Machine, now: float) -> None:
        moving = sum(1 for run in machine.runs.values() if run.stop_grace_s is not None)
        for run in list(machine.runs.values()):
            if moving >= MOVES_AT_ONCE:
                return
            settled = run.state == RUNNING and now - run.running_since > SETTLED_S
            if not (run.job.service and settled and run.stop_grace_s is None):
                continue
            if self._room_elsewhere(machine, [run], now):
                self.fleet.scheduler.stop_run(run, 0.0, "move")
                moving += 1
