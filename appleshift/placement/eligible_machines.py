"""Finds the machines that a job may use and the ones that have room for its tasks."""

from __future__ import annotations

from collections.abc import Iterator

from appleshift.placement.fit import PlacementFailures
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import EPSILON


class EligibleMachines:
    """The machines to which one placement pass may assign tasks."""

    def __init__(self, cluster: ClusterState, now: float, min_last_heartbeat: float) -> None:
        """Collect schedulable machines with a heartbeat at ``min_last_heartbeat`` or later.

        Both times are monotonic, in seconds.
        """
        self._cluster = cluster
        self._now = now
        self.pools: dict[tuple[int, int, bool], list[Machine]] = {}
        """Machines by (type, zone, spot). A job's constraints allow a whole pool or none of it;
        only ``Job.avoided_machines`` excludes single machines."""
        self.reserved: set[int] = set()
        """Indexes of machines whose free capacity is reserved for a gang during this pass."""
        self.placement_failures = PlacementFailures()
        for machine in cluster.machines.values():
            if (
                machine.last_contact_at >= min_last_heartbeat
                and machine.avoid_until <= now
                and machine.schedulable()
            ):
                key = (machine.type, machine.zone, machine.spot)
                pool = self.pools.get(key)
                if pool is None:
                    pool = self.pools[key] = []
                pool.append(machine)

    def gpu_machines(self) -> Iterator[Machine]:
        """Yield all machines of the pass that have GPUs."""
        for (type_index, _, _), machines in self.pools.items():
            if self._cluster.types[type_index].gpus > 0:
                yield from machines

    def placement_key(self, job: Job) -> tuple[object, ...]:
        """Return a key that is equal for jobs whose constraints allow the same machines.

        The key leaves out ``Job.avoided_machines``.
        """
        spec = job.spec
        allows_gpu_machines = spec.gpus > 0 or spec.types is not None
        return (tuple(self._cluster.eligible_types(job)), job.zone, spec.spot, allows_gpu_machines)

    def allowed(self, job: Job, gpu_machines: bool = False) -> Iterator[Machine]:
        """Yield the machines that the job may use, with or without free capacity.

        CPU jobs would block expensive GPUs, so a job without GPUs gets GPU machines only
        if it requests machine types. With ``gpu_machines`` such a job, if it requests no
        types, gets GPU machines only.
        """
        spec = job.spec
        eligible_types = self._cluster.eligible_types(job)
        for (type_index, zone, spot), machines in self.pools.items():
            if not eligible_types[type_index] or (spot and not spec.spot):
                continue
            if job.zone >= 0 and zone != job.zone:
                continue
            if (
                spec.gpus <= 0
                and spec.types is None
                and gpu_machines != (self._cluster.types[type_index].gpus > 0)
            ):
                continue
            for machine in machines:
                if (
                    not job.avoided_machines
                    or job.avoided_machines.get(machine.index, 0.0) <= self._now
                ):
                    yield machine

    def in_first_fit_order(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Sort machines by preference for first fit.

        Machines that have the job's image cached come first, then machines without GPUs,
        then spot before on-demand, then by index. Among machines without the image, a
        faster fetch precedes the index: a replica that moves is unavailable until its
        image has been fetched.
        """
        types = self._cluster.types

        def key(machine: Machine) -> tuple[bool, bool, bool, float, int]:
            machine_type = types[machine.type]
            missing = job.image not in machine.images
            speed = -machine_type.fetch_gb_per_s if missing else 0.0
            return (missing, machine_type.gpus > 0, not machine.spot, speed, machine.index)

        return sorted(machines, key=key)

    def with_room(self, job: Job) -> list[Machine]:
        """Return the machines with room for a task of the job, in first-fit order.

        If there are none, records the failure for ``cannot_fit``, unless the job is
        temporarily excluded from some machines, which other jobs may use.
        """
        cpus, gpus = job.spec.cpus - EPSILON, job.spec.gpus - EPSILON
        memory = job.spec.memory_gb - EPSILON
        found = [
            machine
            for machine in self.allowed(job)
            if machine.free_cpus >= cpus
            and machine.free_gpus >= gpus
            and machine.free_memory >= memory
            and machine.index not in self.reserved
        ]
        if not found and not job.avoided_machines:
            self.placement_failures.add(self.placement_key(job), job.spec)
        return self.in_first_fit_order(job, found)

    def cannot_fit(self, job: Job) -> bool:
        """Return whether a job with the same or smaller needs found no room in this pass."""
        return self.placement_failures.covers(self.placement_key(job), job.spec)
