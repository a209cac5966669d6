"""Places service replicas, which may wait briefly for a machine that has their image."""

from __future__ import annotations

from appleshift.placement.fit import tasks_that_fit
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.task_round import place_round
from appleshift.state.entities import Job, Machine

FETCH_TIME_MARGIN = 4 / 3
"""Safety factor on the image fetch time: machines deviate from the fetch rate of their
type by up to a third."""
MAX_ROOM_WAIT_S = 1.5
"""How long a replica may wait for room on a machine that has its image cached."""
ROOM_WAIT_INTERVAL_S = 10.0
"""Minimum time from the start of one such wait to the next one of the same job."""


def free_tasks_that_fit(machine: Machine, job: Job) -> int:
    """Return how many tasks of a job fit into the free capacity of a machine."""
    return tasks_that_fit(
        machine.free_cpus,
        machine.free_gpus,
        machine.free_memory,
        job.spec,
        machine.free_task_slots(),
    )


class ReplicaPlacer:
    """Places replicas of services in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Place in ``placement_pass``."""
        self._pass = placement_pass

    def place(self, job: Job, machines: list[Machine], task_limit: int) -> tuple[int, int]:
        """Place up to ``task_limit`` replicas.

        Returns how many were placed, and how many wait for room that is being made.
        """
        placed = waiting = 0
        if self._pass.preempt:
            fast_machines = [machine for machine in machines if self._starts_in_time(job, machine)]
            placed = self._place_on(job, fast_machines, task_limit)
            if placed < task_limit:
                waiting = self._wait_for_room(job, task_limit - placed)
        placed += self._place_on(job, machines, task_limit - placed - waiting)
        return placed, waiting

    def _place_on(self, job: Job, machines: list[Machine], task_limit: int) -> int:
        """Place replicas in rounds of one per machine; returns how many were placed."""
        placed = 0
        while placed < task_limit:
            placed_in_round = place_round(
                self._pass, job, machines, task_limit - placed, free_tasks_that_fit
            )
            if not placed_in_round:
                break
            placed += placed_in_round
        return placed

    def _starts_in_time(self, job: Job, machine: Machine) -> bool:
        """Return whether a replica would start on the machine within its class's wait limit.

        True without a limit.
        """
        max_wait_s = self._pass.objectives.max_wait_s(job.spec.job_class)
        if max_wait_s is None or job.image in machine.images:
            return True
        speed = self._pass.cluster.types[machine.type].fetch_gb_per_s
        return speed > 0 and job.spec.image_gb * FETCH_TIME_MARGIN <= max_wait_s * speed

    def _wait_for_room(self, job: Job, missing: int) -> int:
        """Preempt less urgent tasks on machines that have the job's image.

        Stopping a task and starting the replica is faster than fetching the image on
        another machine, which takes many seconds during which the replica is unavailable.
        Returns for how many replicas room is being made. They are not placed elsewhere in
        this pass; the job waits up to ``MAX_ROOM_WAIT_S`` in total.
        """
        now = self._pass.now
        since = job.waiting_for_image_since
        if since == 0.0 or now - since > ROOM_WAIT_INTERVAL_S:
            since = job.waiting_for_image_since = now
        if now - since > MAX_ROOM_WAIT_S:
            return 0
        machines = [
            machine for machine in self._pass.machines.allowed(job) if job.image in machine.images
        ]
        made, victims = self._pass.preemption.make_room_on(job, machines, missing)
        self._pass.result.preempted += victims
        self._pass.result.replicas_waiting_for_preemption += made
        return made
