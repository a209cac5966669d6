"""Reserves machines that become free for gangs that do not fit yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from appleshift.placement.eventual_capacity import eventual_tasks_by_zone
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.replica_placement import free_tasks_that_fit
from appleshift.state.entities import Job, Machine


class GangReservations:
    """The reservations of machines for gangs in one placement pass."""

    def __init__(self, placement_pass: PlacementPass) -> None:
        """Reserve machines of ``placement_pass``."""
        self._pass = placement_pass
        self._reserving: set[tuple[object, ...]] = set()
        """Placement keys for which a gang has reserved machines."""

    def reserve(self, job: Job, machines: list[Machine], tasks: int) -> None:
        """Reserve free machines for the first gang that does not fit.

        Without reservations smaller gangs would take each machine that becomes free, and a
        large gang would never find enough at once. Only one gang per placement key
        reserves machines, and no more than it needs. A gang that has to run in one zone
        reserves in one zone that is large enough for it. A gang for which all machines
        together are too few reserves none: it would keep them from other jobs for nothing.
        """
        key = self._pass.machines.placement_key(job)
        if key in self._reserving or job.spec.spread or not self._pass.urgency.should_reserve(job):
            return
        zone_capacity = self._tasks_per_zone(job)
        zones = [zone for zone, max_tasks in zone_capacity.items() if max_tasks >= tasks]
        large_enough = zones if job.spec.together else zone_capacity.total() >= tasks
        if not large_enough:
            return
        self._reserving.add(key)
        job.gathering_zone = _choose_zone(job, machines, tasks, zones, zone_capacity)
        for machine in machines:
            if tasks <= 0:
                break
            if not job.spec.together or machine.zone == job.gathering_zone:
                self._pass.machines.reserved.add(machine.index)
                tasks -= free_tasks_that_fit(machine, job)

    def _tasks_per_zone(self, job: Job) -> Counter[int]:
        """Return how many tasks of a job fit in each zone if no machine has tasks but replicas."""
        placement_pass = self._pass
        machines = placement_pass.machines.allowed(job)
        return eventual_tasks_by_zone(placement_pass.cluster, job, machines)


def _choose_zone(
    job: Job, machines: list[Machine], tasks: int, zones: Sequence[int], zone_capacity: Counter[int]
) -> int:
    """Return the zone in which the gang is expected to fit first; -1 without candidates.

    The estimated wait is the number of tasks without room divided by the capacity of the
    zone, because machines become free more often in a larger zone. A gang that changes
    zones loses its reservations, so it does so only if that at least halves the wait.
    """
    free: Counter[int] = Counter()
    for machine in machines:
        free[machine.zone] += free_tasks_that_fit(machine, job)
    wait = {zone: max(0, tasks - free[zone]) / zone_capacity[zone] for zone in zones}
    soonest = min(zones, key=lambda zone: (wait[zone], -zone_capacity[zone]), default=-1)
    if job.gathering_zone in zones and wait[soonest] > wait[job.gathering_zone] / 2:
        return job.gathering_zone
    return soonest
