"""Keeps machines that fall free for gangs that fit nowhere yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from appleshift.placement.fit import tasks_that_fit
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.replica_placement import free_tasks_that_fit
from appleshift.state.entities import Job, Machine


class GangReservations:
    """The reservations of one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Reserve machines of ``placement_pass``."""
        self._pass = placement_pass
        self._reserving: set[tuple[object, ...]] = set()
        """Placement keys of the gangs that reserve machines."""

    def reserve(self, job: Job, machines: list[Machine], tasks: int) -> None:
        """Keep what is free for the first gang that does not fit.

        Smaller gangs would take every machine that falls free, and a large one would
        never find enough at once. Only one gang for each placement key reserves, in one
        zone, no more than it needs, and only where it could fit.
        """
        key = self._pass.machines.placement_key(job)
        if key in self._reserving or job.spec.spread or not self._pass.urgency.should_reserve(job):
            return
        size = self._tasks_per_zone(job)
        zones = [zone for zone, max_tasks in size.items() if max_tasks >= tasks]
        if job.spec.together and not zones:
            return
        self._reserving.add(key)
        job.gathering_zone = _choose_zone(job, machines, tasks, zones, size)
        for machine in machines:
            if tasks <= 0:
                break
            if not job.spec.together or machine.zone == job.gathering_zone:
                self._pass.machines.reserved.add(machine.index)
                tasks -= free_tasks_that_fit(machine, job)

    def _tasks_per_zone(self, job: Job) -> Counter[int]:
        """How many tasks of a job fit in each zone while nothing else runs there."""
        size: Counter[int] = Counter()
        for machine in self._pass.machines.allowed(job):
            kind = self._pass.cluster.types[machine.type]
            size[machine.zone] += tasks_that_fit(kind.cpus, kind.gpus, kind.memory_gb, job.spec)
        return size


def _choose_zone(
    job: Job, machines: list[Machine], tasks: int, zones: Sequence[int], size: Counter[int]
) -> int:
    """The zone in which the gang will fit soonest; -1 if it fits in no single one.

    Machines fall free the sooner the more there are. What a gang has reserved is lost
    if it turns to another zone: it does so only for half the wait that is left.
    """
    free: Counter[int] = Counter()
    for machine in machines:
        free[machine.zone] += free_tasks_that_fit(machine, job)
    wait = {zone: max(0, tasks - free[zone]) / size[zone] for zone in zones}
    soonest = min(zones, key=lambda zone: (wait[zone], -size[zone]), default=-1)
    if job.gathering_zone in zones and wait[soonest] > wait[job.gathering_zone] / 2:
        return job.gathering_zone
    return soonest
