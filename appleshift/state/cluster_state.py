"""The in-memory state of a shard on its leader.

Jobs, machines, teams, zones, machine types and images are identified by small integer
indices, and tasks by their position in the arrays of their job.
"""

from __future__ import annotations

from typing import Protocol

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.users import PRIORITY_RANKS, Submission
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.state.final_states import FinalStates
from appleshift.state.handed_off_machines import HandedOffMachine
from appleshift.state.memory_estimate import MACHINE_BYTES, RUN_BYTES, StateMemory, job_bytes
from appleshift.state.name_index import NameIndex
from appleshift.state.resources import type_fits
from appleshift.state.states import DELETED
from appleshift.state.teams import Team

RUN_TIME_RATIO_WEIGHT = 0.02
"""Weight of one finished task in the moving average of run time ratios of its job class."""
ESTIMATE_WEIGHT_TASKS = 3.0
"""Weight of the corrected estimate, as a number of finished tasks of the job."""
MAX_RUN_TIME_RATIO = 10.0
"""Upper limit of the ratio of a single task's run time to its estimate."""


class CountedResourceTracker(Protocol):
    """Tracks the use of resources counted across the whole cluster, such as licences."""

    def needs_per_task(self, spec: Submission) -> tuple[tuple[int, int], ...]:
        """Return the counted resources that each task of a job holds: (resource, count)."""
        ...

    def max_concurrent_tasks(self, spec: Submission) -> int:
        """Return how many tasks of a job can ever hold their counted resources at the same time."""
        ...

    def on_assigned(self, run: TaskRun) -> None:
        """Reserve the counted resources of a task that may be on a machine from now on."""

    def on_freed(self, run: TaskRun) -> None:
        """Release the counted resources of a task that is certainly on no machine any more."""


class ClusterState:
    """All jobs, machines and teams of a shard, by index."""

    def __init__(self, zones: list[str], teams: list[TeamLimits]) -> None:
        """Create a state without jobs and machines; the settings define the teams."""
        self.zones = NameIndex()
        for zone in zones:
            self.zones.add(zone)
        self.team_names = NameIndex()
        self.teams: list[Team] = []
        for limits in teams:
            self.team_names.add(limits.name)
            self.teams.append(Team(limits))
        self.images = NameIndex()
        self.type_names = NameIndex()
        self.types: list[MachineType] = []
        self.jobs: dict[int, Job] = {}
        self.job_by_id: dict[str, Job] = {}
        self.final_states = FinalStates()
        # The most memory that the jobs of this shard take, partitions in other shards included.
        self.jobs_bytes = 0
        self.next_job_index = 0
        self.machine_names = NameIndex()
        self.machines: dict[int, Machine] = {}
        self.deleted_machines: set[str] = set()
        # Machines handed off to other shards, by name. This shard adopts such a machine only
        # if it is handed back.
        self.handed_off: dict[str, HandedOffMachine] = {}
        # By priority rank: the number of tasks that may be on machines.
        self._runs_by_rank = [0] * len(PRIORITY_RANKS)
        # By job class: the moving average of the ratio of run time to estimate of its tasks.
        self.run_time_ratios: dict[str, float] = {}
        # The most CPUs and the most memory (GB) per GPU that any job with GPUs has requested;
        # None: there was no job with GPUs.
        self.needs_per_gpu: tuple[float, float] | None = None
        # Whether any job with GPUs has allowed spot machines.
        self._gpu_jobs_on_spot = False
        self.counted_resources: CountedResourceTracker | None = None

    def update_machine_types(self, types: list[MachineType]) -> bool:
        """Add machine types and replace those already present; return whether any type is new."""
        any_new = False
        for machine_type in types:
            index = self.type_names.add(machine_type.name)
            for zone in machine_type.zones:
                self.zones.add(zone)
            if index == len(self.types):
                self.types.append(machine_type)
                any_new = True
            else:
                self.types[index] = machine_type
        if any_new:
            for job in self.jobs.values():
                job.eligible_types = None
        return any_new

    def add_job(
        self, index: int, spec: Submission, submitted: float, partition: bool = False
    ) -> Job:
        """Add a job, or a partition of another shard's job, under a previously unused index."""
        job = Job(index, spec, submitted, partition)
        job.team = self.team_names.get(spec.team)
        job.image = self.images.add(spec.image)
        job.zone = -1 if spec.zone is None else self.zones.add(spec.zone)
        if self.counted_resources is not None and spec.counted_resources is not None:
            job.counted_needs = self.counted_resources.needs_per_task(spec)
        if not partition:
            # The shard that accepted a divided job accounts for its partitions.
            job.memory_bytes = job_bytes(spec)
            self.jobs_bytes += job.memory_bytes
        self.jobs[index] = job
        self.job_by_id[job.key] = job
        if spec.gpus > 0:
            self._update_needs_per_gpu(spec)
        self.next_job_index = max(self.next_job_index, index + 1)
        return job

    def _update_needs_per_gpu(self, spec: Submission) -> None:
        self._gpu_jobs_on_spot = self._gpu_jobs_on_spot or spec.spot
        cpus, memory = self.needs_per_gpu or (0.0, 0.0)
        self.needs_per_gpu = (
            max(cpus, spec.cpus / spec.gpus),
            max(memory, spec.memory_gb / spec.gpus),
        )

    def eligible_types(self, job: Job) -> list[bool]:
        """Return, by machine type index, whether tasks of a job may run on that type."""
        if job.eligible_types is None:
            allowed = job.spec.types
            job.eligible_types = [
                (allowed is None or machine_type.name in allowed)
                and type_fits(machine_type, job.spec)
                for machine_type in self.types
            ]
        return job.eligible_types

    def machine(self, name: str) -> Machine | None:
        """Return the machine with a name; None if the shard has no such machine (any more)."""
        return self.machines.get(self.machine_names.get(name))

    def add_machine(self, name: str, type_name: str, zone: str, spot: bool) -> Machine | None:
        """Return the machine with a name, and add it if it is new.

        None if the machine was deleted, or if its machine type has not been added yet.
        """
        existing = self.machine(name)
        if existing is not None or name in self.deleted_machines:
            return existing
        type_index = self.type_names.get(type_name)
        if type_index < 0:
            return None
        index = self.machine_names.add(name)
        machine_type = self.types[type_index]
        machine = Machine(index, name, type_index, machine_type, self.zones.add(zone), spot)
        self.machines[index] = machine
        return machine

    def assign(
        self, job: Job, task: int, attempt: int, machine: Machine, agent_epoch: int
    ) -> TaskRun:
        """Assign a task to a machine and reserve its resources there."""
        run = TaskRun(job, task, attempt, machine, agent_epoch)
        job.runs[task] = run
        job.pending.discard(task)
        job.last_attempt = max(job.last_attempt, attempt)
        machine.runs[(run.name, attempt)] = run
        machine.reserve(job.spec)
        self._runs_by_rank[job.rank] += 1
        team = self.teams[job.team]
        team.cpus += job.spec.cpus
        team.gpus += job.spec.gpus
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.on_assigned(run)
        return run

    def free(self, run: TaskRun) -> None:
        """Release the resources of a task run that is certainly no longer on its machine.

        A second call for the same task run does nothing.
        """
        job = run.job
        if job.runs.get(run.task) is not run:
            return
        del job.runs[run.task]
        if run.task not in job.done_tasks:
            job.pending.add(run.task)
        run.machine.release(job.spec)
        self._runs_by_rank[job.rank] -= 1
        team = self.teams[job.team]
        team.cpus -= job.spec.cpus
        team.gpus -= job.spec.gpus
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.on_freed(run)

    def max_rank_on_machines(self) -> int:
        """Return the largest priority rank among tasks that may be on machines; -1 if none."""
        return max((rank for rank, tasks in enumerate(self._runs_by_rank) if tasks), default=-1)

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Update the run time ratio of a job's class with the run time of a finished task."""
        if job.spec.estimate_s <= 0:
            return
        ratio = min(MAX_RUN_TIME_RATIO, seconds / job.spec.estimate_s)
        average = self.run_time_ratios.get(job.spec.job_class, 1.0)
        self.run_time_ratios[job.spec.job_class] = (
            average + (ratio - average) * RUN_TIME_RATIO_WEIGHT
        )

    def resources_unneeded_by_gpu_jobs(self, type_index: int) -> tuple[float, float]:
        """Return the CPUs and memory (GB) of a machine type that jobs with GPUs do not need.

        Both are 0 as long as there was no job with GPUs.
        """
        machine_type = self.types[type_index]
        if self.needs_per_gpu is None:
            return 0.0, 0.0
        cpus, memory = self.needs_per_gpu
        return (
            machine_type.cpus - cpus * machine_type.gpus,
            machine_type.memory_gb - memory * machine_type.gpus,
        )

    def gpu_jobs_exclude_spot(self) -> bool:
        """Return whether there were jobs with GPUs, none of which may use spot machines."""
        return self.needs_per_gpu is not None and not self._gpu_jobs_on_spot

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of a job's tasks in seconds.

        The user's estimate is corrected first by the run times of the job's class and then
        by the run times of the job's own finished tasks, which are more alike.
        """
        estimate = job.spec.estimate_s * self.run_time_ratios.get(job.spec.job_class, 1.0)
        weight = job.completed_runs / (job.completed_runs + ESTIMATE_WEIGHT_TASKS)
        mean = job.completed_run_s / job.completed_runs if job.completed_runs else 0.0
        return estimate + (mean - estimate) * weight

    def remove_job(self, job: Job) -> None:
        """Remove a job that has ended and keep its final state."""
        self.final_states[job.key] = job.status
        self.discard_job(job)

    def discard_job(self, job: Job) -> None:
        """Remove a job without a final state, as if it had never been added."""
        if self.jobs.pop(job.index, None) is not None:
            self.jobs_bytes -= job.memory_bytes
        self.job_by_id.pop(job.key, None)

    def assign_partitions(self, job: Job, partitions: list[list[int]]) -> None:
        """Assign ranges of a job's tasks to other shards: (shard, first task, count) each."""
        job.assign_partitions(partitions)
        added = job.memory_bytes * len(partitions)
        job.memory_bytes += added
        self.jobs_bytes += added

    def memory(self) -> StateMemory:
        """Return the estimated memory of the state."""
        return StateMemory(
            jobs=self.jobs_bytes,
            runs=RUN_BYTES * sum(self._runs_by_rank),
            machines=MACHINE_BYTES * len(self.machines),
            final_states=self.final_states.memory_bytes(),
        )

    def remove_deleted_machine(self, machine: Machine) -> None:
        """Remove a deleted machine; its name is never added again."""
        self.remove_machine(machine)
        self.deleted_machines.add(machine.name)

    def remove_machine(self, machine: Machine) -> None:
        """Remove a machine that may be added again under the same name."""
        machine.status = DELETED
        self.machines.pop(machine.index, None)
