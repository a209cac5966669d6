"""Capacity of GPU machines that GPU jobs do not need, for CPU jobs that end."""

from __future__ import annotations

from appleshift.placement.eligible_machines import EligibleMachines
from appleshift.placement.fit import PlacementFailures, may_share_gpu_machine, tasks_that_fit
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import EPSILON


class SpareGpuMachineCapacity:
    """CPUs and memory of GPU machines that GPU jobs will not need, in one placement pass."""

    def __init__(self, cluster: ClusterState, machines: EligibleMachines) -> None:
        """Prepare a pass; spare capacity is computed on first use, as most passes need none."""
        self._cluster = cluster
        self._machines = machines
        self._spare: dict[int, tuple[float, float]] | None = None
        """Spare CPUs and memory (GB) by machine index, if there are any. None: not computed yet."""
        self.placement_failures = PlacementFailures()

    def machines_for(self, job: Job) -> list[Machine]:
        """Return machines whose spare capacity fits a task of the job, in first-fit order.

        These are machines with GPUs in use, and spot machines if no job with GPUs may
        use spot machines.
        """
        spec = job.spec
        if not may_share_gpu_machine(job) or self._cluster.needs_per_gpu is None:
            return []
        if self._spare is None:
            self._spare = self._compute_spare()
        key = self._machines.placement_key(job)
        if not self._spare or self.placement_failures.covers(key, spec):
            return []
        found = [
            machine
            for machine in self._machines.allowed(job, gpu_machines=True)
            if machine.index in self._spare and self.tasks_that_fit(machine, job) > 0
        ]
        if not found and not job.avoided_machines:
            self.placement_failures.add(key, spec)
        return self._machines.in_first_fit_order(job, found)

    def tasks_that_fit(self, machine: Machine, job: Job) -> int:
        """Return how many tasks of a job fit into the spare capacity of a machine.

        The machine must come from ``machines_for``.
        """
        assert self._spare is not None
        cpus, memory = self._spare[machine.index]
        return tasks_that_fit(
            min(machine.free_cpus, cpus),
            0.0,
            min(machine.free_memory, memory),
            job.spec,
            machine.free_task_slots(),
        )

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract ``tasks`` tasks of a job that this pass placed on a machine."""
        if self._spare is not None and machine.index in self._spare and job.spec.gpus <= 0:
            cpus, memory = self._spare[machine.index]
            self._spare[machine.index] = (
                cpus - job.spec.cpus * tasks,
                memory - job.spec.memory_gb * tasks,
            )

    def _compute_spare(self) -> dict[int, tuple[float, float]]:
        """Compute the spare CPUs and memory (GB) of GPU machines, by machine index."""
        free = {}
        unclaimed = self._cluster.gpu_jobs_exclude_spot()
        for (type_index, _, _), machines in self._machines.pools.items():
            gpus = self._cluster.types[type_index].gpus
            if gpus <= 0:
                continue
            spare_capacity = self._cluster.resources_unneeded_by_gpu_jobs(type_index)
            for machine in machines:
                if machine.spot and unclaimed:
                    free[machine.index] = (machine.free_cpus, machine.free_memory)
                elif machine.free_gpus + EPSILON < gpus:
                    cpus, memory = _without_cpu_work(machine, *spare_capacity)
                    if cpus > EPSILON and memory > EPSILON:
                        free[machine.index] = (cpus, memory)
        return free


def _without_cpu_work(machine: Machine, cpus: float, memory_gb: float) -> tuple[float, float]:
    """Subtract the CPUs and memory that CPU tasks of a machine already use."""
    for run in machine.runs.values():
        if run.job.spec.gpus <= 0 and run.job.runs.get(run.task) is run:
            cpus -= run.job.spec.cpus
            memory_gb -= run.job.spec.memory_gb
    return cpus, memory_gb
