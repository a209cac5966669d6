"""What GPU work leaves of GPU machines, for CPU work that ends soon enough."""

from __future__ import annotations

from appleshift.placement.eligible_machines import EligibleMachines
from appleshift.placement.fit import PlacementFailures, may_share_gpu_machine, tasks_that_fit
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import EPSILON


class SpareGpuMachineCapacity:
    """CPUs and memory of GPU machines that no GPU work will need, in one placement pass."""

    def __init__(self, cluster: ClusterState, machines: EligibleMachines) -> None:
        """Find leftovers only once a job asks for them: most passes need none."""
        self._cluster = cluster
        self._machines = machines
        self._free: dict[int, tuple[float, float]] | None = None
        """CPUs and memory in GB by machine index, where any are left."""
        self.placement_failures = PlacementFailures()

    def machines_for(self, job: Job) -> list[Machine]:
        """Machines with leftovers for a task of the job, in the order of first fit.

        These are machines whose GPUs are in use, and spot machines whose GPUs no job
        may use.
        """
        spec = job.spec
        if not may_share_gpu_machine(job) or self._cluster.needs_per_gpu is None:
            return []
        if self._free is None:
            self._free = self._find()
        key = self._machines.placement_key(job)
        if not self._free or self.placement_failures.covers(key, spec):
            return []
        found = [
            machine
            for machine in self._machines.allowed(job, gpu_machines=True)
            if machine.index in self._free and self.tasks_that_fit(machine, job) > 0
        ]
        if not found and not job.avoided_machines:
            self.placement_failures.add(key, spec)
        return self._machines.in_first_fit_order(job, found)

    def tasks_that_fit(self, machine: Machine, job: Job) -> int:
        """How many tasks of a job fit into what is left of a machine of ``machines_for``."""
        assert self._free is not None
        cpus, memory = self._free[machine.index]
        return tasks_that_fit(
            min(machine.free_cpus, cpus), 0.0, min(machine.free_memory, memory), job.spec
        )

    def record_placement(self, job: Job, machine: Machine, tasks: int) -> None:
        """Subtract tasks that this pass placed on a machine."""
        if self._free is not None and machine.index in self._free and job.spec.gpus <= 0:
            cpus, memory = self._free[machine.index]
            self._free[machine.index] = (
                cpus - job.spec.cpus * tasks,
                memory - job.spec.memory_gb * tasks,
            )

    def _find(self) -> dict[int, tuple[float, float]]:
        free = {}
        unclaimed = self._cluster.gpu_jobs_exclude_spot()
        for (kind, _, _), machines in self._machines.pools.items():
            gpus = self._cluster.types[kind].gpus
            if gpus <= 0:
                continue
            beside_gpus = self._cluster.resources_unneeded_by_gpu_jobs(kind)
            for machine in machines:
                if machine.spot and unclaimed:
                    free[machine.index] = (machine.free_cpus, machine.free_memory)
                elif machine.free_gpus + EPSILON < gpus:
                    cpus, memory = _without_cpu_work(machine, *beside_gpus)
                    if cpus > EPSILON and memory > EPSILON:
                        free[machine.index] = (cpus, memory)
        return free


def _without_cpu_work(machine: Machine, cpus: float, memory_gb: float) -> tuple[float, float]:
    """Subtract what the CPU work of a machine already uses of its leftovers."""
    for run in machine.runs.values():
        if run.job.spec.gpus <= 0 and run.job.runs.get(run.task) is run:
            cpus -= run.job.spec.cpus
            memory_gb -= run.job.spec.memory_gb
    return cpus, memory_gb
