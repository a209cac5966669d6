"""Machines that a job may use, and those of them with room for it."""

from __future__ import annotations

from collections.abc import Iterator

from appleshift.placement.fit import PlacementFailures
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import EPSILON


class EligibleMachines:
    """The usable machines of one placement pass."""

    def __init__(self, cluster: ClusterState, now: float, min_last_heartbeat: float) -> None:
        """Collect schedulable machines with a heartbeat at ``min_last_heartbeat`` or later."""
        self._cluster = cluster
        self._now = now
        self.pools: dict[tuple[int, int, bool], list[Machine]] = {}
        """Machines by (type, zone, spot); a job may use either all of a pool or none."""
        self.reserved: set[int] = set()
        """Indexes of machines whose room is kept for a gang, for this pass."""
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
        """All usable machines with GPUs."""
        for (kind, _, _), machines in self.pools.items():
            if self._cluster.types[kind].gpus > 0:
                yield from machines

    def placement_key(self, job: Job) -> tuple[object, ...]:
        """Jobs with the same key may use the same machines."""
        spec = job.spec
        gpu_machines = spec.gpus > 0 or spec.types is not None
        return (tuple(self._cluster.eligible_types(job)), job.zone, spec.spot, gpu_machines)

    def allowed(self, job: Job, gpu_machines: bool = False) -> Iterator[Machine]:
        """Machines that the job may use, whether they have room or not.

        GPUs are expensive, and CPU work would block them: it gets GPU machines only
        if it asks for the type, or with ``gpu_machines``, which yields only those.
        """
        spec = job.spec
        type_ok = self._cluster.eligible_types(job)
        for (kind, zone, spot), machines in self.pools.items():
            if not type_ok[kind] or (spot and not spec.spot):
                continue
            if job.zone >= 0 and zone != job.zone:
                continue
            if (
                spec.gpus <= 0
                and spec.types is None
                and gpu_machines != (self._cluster.types[kind].gpus > 0)
            ):
                continue
            for machine in machines:
                if (
                    not job.avoided_machines
                    or job.avoided_machines.get(machine.index, 0.0) <= self._now
                ):
                    yield machine

    def in_first_fit_order(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Machines with the image first, then spot before on-demand, then by index.

        Of machines without the image, those that fetch fastest come first: a
        replica that has to move is missed until it has its image again.
        """
        types = self._cluster.types

        def key(machine: Machine) -> tuple[bool, bool, bool, float, int]:
            kind = types[machine.type]
            missing = job.image not in machine.images
            speed = -kind.fetch_gb_per_s if missing else 0.0
            return (missing, kind.gpus > 0, not machine.spot, speed, machine.index)

        return sorted(machines, key=key)

    def with_room(self, job: Job) -> list[Machine]:
        """Machines with room for a task of the job, in the order of first fit.

        Remembers a job that finds none, unless it avoids machines for a while.
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
        """Whether work that needs no more has already found no room in this pass."""
        return self.placement_failures.covers(self.placement_key(job), job.spec)
