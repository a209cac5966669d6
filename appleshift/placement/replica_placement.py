"""Places replicas of services, and waits briefly for room where their image is."""

from __future__ import annotations

from appleshift.placement.fit import tasks_that_fit
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.task_round import place_round
from appleshift.state.entities import Job, Machine

FETCH_TIME_MARGIN = 4 / 3
"""Machines fetch images at the rate of their type, give or take a third."""
ROOM_WAIT_S = 1.5
"""How long a replica may wait for room that is being made where its image is."""
ROOM_WAIT_AGAIN_AFTER_S = 10.0
"""So long after a wait began, a lost replica of the same job may wait again."""


def free_tasks_that_fit(machine: Machine, job: Job) -> int:
    """How many tasks of a job fit into what is free on a machine."""
    return tasks_that_fit(machine.free_cpus, machine.free_gpus, machine.free_memory, job.spec)


class ReplicaPlacer:
    """Places replicas in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Place in ``placement_pass``."""
        self._pass = placement_pass

    def place(self, job: Job, machines: list[Machine], tasks: list[int]) -> tuple[int, int]:
        """Place replicas; returns how many found room and for how many it is being made."""
        placed = waiting = 0
        if self._pass.preempt:
            soonest = [machine for machine in machines if self._starts_in_time(job, machine)]
            placed = self._place_on(job, soonest, tasks)
            if placed < len(tasks):
                waiting = self._wait_for_room(job, len(tasks) - placed)
        placed += self._place_on(job, machines, tasks[placed : len(tasks) - waiting])
        return placed, waiting

    def _place_on(self, job: Job, machines: list[Machine], tasks: list[int]) -> int:
        """One to a machine as long as there are others; returns how many found room."""
        placed = 0
        while placed < len(tasks):
            in_round = place_round(self._pass, job, machines, tasks[placed:], free_tasks_that_fit)
            if not in_round:
                break
            placed += in_round
        return placed

    def _starts_in_time(self, job: Job, machine: Machine) -> bool:
        """Whether a replica would start there within the wait that its users accept."""
        within_s = self._pass.objectives.max_wait_s(job.spec.job_class)
        if within_s is None or job.image in machine.images:
            return True
        speed = self._pass.cluster.types[machine.type].fetch_gb_per_s
        return speed > 0 and job.spec.image_gb * FETCH_TIME_MARGIN <= within_s * speed

    def _wait_for_room(self, job: Job, missing: int) -> int:
        """Rather stop less urgent work where the image is than fetch it elsewhere.

        A stop and a start take a moment, a fetch many seconds in which the replica
        is missed. Returns for how many replicas room is being made; they wait for
        it in this pass, up to ``ROOM_WAIT_S`` in all.
        """
        now = self._pass.now
        since = job.waiting_for_image_since
        if since == 0.0 or now - since > ROOM_WAIT_AGAIN_AFTER_S:
            since = job.waiting_for_image_since = now
        if now - since > ROOM_WAIT_S:
            return 0
        machines = [
            machine for machine in self._pass.machines.allowed(job) if job.image in machine.images
        ]
        made, victims = self._pass.preemption.make_room_on(job, machines, missing)
        self._pass.result.preempted += victims
        self._pass.result.replicas_waiting_for_preemption += made
        return made
