"""Jobs, tasks, machines and teams as the leader knows them.

Inside, everything is a small integer: jobs, machines, teams, zones, types and
images have an index each, and tasks are positions in their job's arrays.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.users import GANG, RANKS, SERVICE, Submission
from appleshift.state.name_index import NameIndex

ASSIGNED, FETCHING, WAITING, RUNNING, SAVING, EXITED = range(6)
"""States of a run. ORDERED: assigned, not yet seen on its machine."""

RUN_STATES = {
    "fetching": FETCHING,
    "waiting": WAITING,
    "running": RUNNING,
    "saving": SAVING,
    "exited": EXITED,
}

BOOTING, UP, DELETED = range(3)

OPEN, FINISHED, CANCELLED = range(3)
FORWARDED = 8
"""Among final states: another share decides for the job, this one plus its number."""

EPSILON = 1e-6
CLASS_RATIO_WEIGHT = 0.02
"""Weight of one finished task in its class's correction of estimates."""
PRIOR_WEIGHT = 3.0
"""How many finished tasks of a job weigh as much as what its owner and class say."""


def partition_key(job_id: str) -> str:
    """No user can choose such an id."""
    return f"{job_id}+"


class TaskRun:
    """One attempt of a task on one session of a machine.

    It stands from the assignment until there is proof that the worker holds
    nothing of it any more; ``job.runs[task]`` refers to it only as long as the
    task may be on the machine.
    """

    __slots__ = (
        "agent_epoch",
        "assignment_durable",
        "attempt",
        "exit_durable",
        "job",
        "machine",
        "name",
        "ordered_this_term",
        "rank",
        "running_since",
        "start_sent",
        "state",
        "stop_grace_s",
        "stop_ordered_at",
        "task",
        "unconfirmed_starts",
    )

    def __init__(
        self, job: Job, task: int, attempt: int, machine: Machine, agent_epoch: int
    ) -> None:
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.agent_epoch = agent_epoch
        self.name = f"{job.spec.id}/{task}"
        self.state = ASSIGNED
        # By how urgent work it was placed: that of its job, or more urgent if it was the
        # job's turn before others. As urgent work does not stop it.
        self.rank = job.rank
        self.assignment_durable = False
        self.exit_durable = False
        self.start_sent = False
        # Set while a direct start got no answer: it may still arrive, so the
        # worker must keep remembering the attempt and is not told to clear it.
        self.unconfirmed_starts = 0
        # Ordered in this term. Starts of earlier terms are fenced off once the
        # worker has seen this term's token.
        self.ordered_this_term = True
        self.stop_grace_s: float | None = None
        self.stop_ordered_at = 0.0
        self.running_since = 0.0


class Job:
    """An accepted job that is not over yet, or whose tasks may still be somewhere."""

    __slots__ = (
        "accepted",
        "avoided_machines",
        "backoff_s",
        "cancel_durable",
        "cancel_requested",
        "completed_run_s",
        "completed_runs",
        "counted_needs",
        "done",
        "done_count",
        "done_durable",
        "eligible_types",
        "failed_machines",
        "gathering_zone",
        "image",
        "index",
        "key",
        "last_attempt",
        "not_before",
        "partitions",
        "pending",
        "rank",
        "remote_running",
        "remote_tasks",
        "runs",
        "spec",
        "status",
        "submitted",
        "team",
        "waiting_for_image_since",
        "zone",
    )

    def __init__(
        self, index: int, spec: Submission, submitted: float, partition: bool = False
    ) -> None:
        self.index = index
        self.spec = spec
        # By what it is found. A portion of another share's job is no job that users
        # may ask for here: when the map changed, one that was done once passed for
        # the whole of its job.
        self.key = partition_key(spec.id) if partition else spec.id
        self.submitted = submitted
        self.rank = RANKS[spec.priority]
        self.done = bytearray(spec.tasks)
        self.done_count = 0
        self.runs: dict[int, TaskRun] = {}
        self.pending: set[int] = set(range(spec.tasks))
        self.last_attempt = 0
        self.status = OPEN
        self.accepted = False
        self.done_durable = False
        self.cancel_durable = False
        self.failed_machines: set[int] = set()
        self.avoided_machines: dict[int, float] = {}
        self.backoff_s = 0.0
        self.not_before = 0.0
        # The zone in which it gathers machines; -1: none yet.
        self.gathering_zone = -1
        # Since when its replicas wait for room where their image is.
        self.waiting_for_image_since = 0.0
        # Run times of its finished tasks, to compare machines by.
        self.completed_run_s = 0.0
        self.completed_runs = 0
        self.team = -1
        self.image = -1
        self.zone = -1
        self.eligible_types: list[bool] | None = None
        # What each task holds of counted resources: (resource, count).
        self.counted_needs: tuple[tuple[int, int], ...] = ()
        # Tasks that other shares run: where they went, as (share, start, count),
        # which of them are not done, and how many run by what was told last.
        self.partitions: tuple[tuple[int, int, int], ...] = ()
        self.remote_tasks: set[int] = set()
        self.remote_running = 0
        # Its user wants it cancelled; the other shares have not all ended it.
        self.cancel_requested = False

    @property
    def gang(self) -> bool:
        return self.spec.shape == GANG

    @property
    def service(self) -> bool:
        return self.spec.shape == SERVICE

    def running(self) -> int:
        here = sum(1 for run in self.runs.values() if run.state in (RUNNING, SAVING))
        return here + self.remote_running

    def remaining(self) -> int:
        """Tasks that are still to be done in this share."""
        return self.spec.tasks - self.done_count - len(self.remote_tasks)

    def assign_partitions(self, portions: list[list[int]]) -> None:
        """From now on other shares run these tasks: (share, start, count) each."""
        self.partitions = tuple((share, start, count) for share, start, count in portions)
        for _, start, count in self.partitions:
            for task in range(start, start + count):
                if not self.done[task]:
                    self.pending.discard(task)
                    self.remote_tasks.add(task)


class Machine:
    """A rented machine, from the answer to the rental until it is surely gone."""

    __slots__ = (
        "addr",
        "agent_epoch",
        "avoid_until",
        "commands_in_flight",
        "commands_lost_since",
        "cordoned",
        "cpus",
        "deletion_requested",
        "draining",
        "fast_path_entry",
        "free_cpus",
        "free_gpus",
        "free_memory",
        "heartbeats_lost",
        "heartbeats_since_unreachable",
        "idle_since",
        "images",
        "in_other_shard",
        "index",
        "job_errors",
        "last_heard",
        "last_heartbeat",
        "last_heartbeat_at",
        "lease_until",
        "listed_addr",
        "listed_at",
        "min_fencing_token",
        "name",
        "probe_in_flight",
        "quarantined",
        "reclaim_at",
        "rented_at",
        "retry_deletion_at",
        "runs",
        "seq",
        "slow_count",
        "slowness",
        "spot",
        "status",
        "transfer_count",
        "type",
        "unanswered_probes",
        "unknown_runs",
        "zone",
    )

    def __init__(
        self, index: int, name: str, kind: int, spec: MachineType, zone: int, spot: bool
    ) -> None:
        self.index = index
        self.name = name
        self.addr = ""
        self.type = kind
        self.zone = zone
        self.spot = spot
        self.status = BOOTING
        # Another share's: rented and counted here, used and known there.
        self.in_other_shard = False
        # How often it was handed on from one share to another, and the token that
        # its worker may have seen there: with a lower one nobody gives it orders.
        self.transfer_count = 0
        self.min_fencing_token = 0
        self.agent_epoch = 0
        self.seq = -1
        self.cpus = spec.cpus
        self.free_cpus = spec.cpus
        self.free_gpus = spec.gpus
        self.free_memory = spec.memory_gb
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.unknown_runs: dict[tuple[str, int], bool] = {}
        self.images: OrderedDict[int, float] = OrderedDict()
        self.last_heard = 0.0
        # Session and number of its newest report, and when it came; answers to direct
        # commands count in ``seq`` and ``last_heard`` as well.
        self.last_heartbeat = (0, -1)
        self.last_heartbeat_at = -math.inf
        # Since when nothing shows that it hears what it is told (0: it does), and how many
        # reports came meanwhile.
        self.commands_lost_since = 0.0
        self.heartbeats_since_unreachable = 0
        # It may answer, but no report of it comes.
        self.heartbeats_lost = False
        self.lease_until = 0.0
        self.listed_at: float | None = None
        self.listed_addr = ""
        self.rented_at = 0.0
        self.idle_since = 0.0
        self.reclaim_at: float | None = None
        self.draining = False
        self.cordoned = False
        self.deletion_requested = False
        self.retry_deletion_at = 0.0
        self.commands_in_flight = False
        self.unanswered_probes = 0
        self.probe_in_flight = False
        # Where reports that say nothing new leave their time; the core's.
        self.fast_path_entry: Any = None
        self.job_errors: dict[int, float] = {}
        self.avoid_until = 0.0
        self.quarantined = False
        self.slowness = 1.0
        self.slow_count = 0

    def schedulable(self) -> bool:
        leaving = self.draining or self.cordoned or self.deletion_requested
        unsure = self.quarantined or self.heartbeats_lost or self.commands_lost_since
        return self.status == UP and not (leaving or unsure or self.in_other_shard)

    def needs_no_commands(self) -> bool:
        """Nothing is to be told, whatever is on it stays until it says so itself."""
        return not self.unknown_runs and all(
            run.stop_grace_s is None and run.state in (FETCHING, WAITING, RUNNING)
            for run in self.runs.values()
        )

    def empty(self) -> bool:
        """No task can be on it; exited ones may still be in its reports."""
        return all(run.state == EXITED for run in self.runs.values())

    def reserve(self, spec: Submission) -> None:
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory -= spec.memory_gb

    def release(self, spec: Submission) -> None:
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory += spec.memory_gb

    def cache_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Follow the worker's cache: it keeps the most recently used images."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)


@dataclass(frozen=True, slots=True)
class HandedOffMachine:
    """A machine that was handed on, as its former share keeps it in mind for good."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    shard: int
    """Where it went."""
    transfer_count: int
    fencing_token: int


@dataclass(slots=True)
class Team:
    """What a team's tasks take of machines that they may be on."""

    limits: TeamLimits
    cpus: float = 0.0
    gpus: float = 0.0

    def within_limits(self, cpus: float, gpus: float) -> bool:
        limits = self.limits
        cpus_ok = limits.cpus_max <= 0 or self.cpus + cpus <= limits.cpus_max + EPSILON
        gpus_ok = limits.gpus_max <= 0 or self.gpus + gpus <= limits.gpus_max + EPSILON
        return cpus_ok and gpus_ok

    def can_ever_fit(self, cpus: float, gpus: float) -> bool:
        limits = self.limits
        return not (
            (limits.cpus_max > 0 and cpus > limits.cpus_max + EPSILON)
            or (limits.gpus_max > 0 and gpus > limits.gpus_max + EPSILON)
        )


class CountedResourceTracker(Protocol):
    """Resources that are counted across the whole cluster, where any are defined."""

    def needs_of(self, spec: Submission) -> tuple[tuple[int, int], ...]:
        """What each task of a job holds: (resource, count)."""
        ...

    def max_concurrent_tasks(self, spec: Submission) -> int:
        """How many of a job's tasks can ever hold what they need at once."""
        ...

    def assigned(self, run: TaskRun) -> None: ...

    def freed(self, run: TaskRun) -> None: ...


class ClusterState:
    """All that the leader knows, by index."""

    def __init__(self, zones: list[str], teams: list[TeamLimits]) -> None:
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
        self.final_states: dict[str, int] = {}
        self.next_job_index = 0
        self.machine_names = NameIndex()
        self.machines: dict[int, Machine] = {}
        self.deleted_machines: set[str] = set()
        # Machines handed on to other shares: none of them is taken for ours again
        # unless it is handed back.
        self.handed_off: dict[str, HandedOffMachine] = {}
        # How many tasks of each rank may be on machines.
        self._runs_by_rank = [0] * len(RANKS)
        # By class of jobs: how long tasks ran, measured in their estimates.
        self.run_ratios: dict[str, float] = {}
        # The most CPUs and memory that work with cards took for one card.
        self.needs_per_gpu: tuple[float, float] | None = None
        # Has work with cards come that may use spot machines?
        self._gpu_jobs_on_spot = False
        self.counted_resources: CountedResourceTracker | None = None

    def set_types(self, types: list[MachineType]) -> bool:
        """Take in prices; true if anything but a price is new."""
        fresh = False
        for spec in types:
            number = self.type_names.add(spec.name)
            for zone in spec.zones:
                self.zones.add(zone)
            if number == len(self.types):
                self.types.append(spec)
                fresh = True
            else:
                self.types[number] = spec
        if fresh:
            for job in self.jobs.values():
                job.eligible_types = None
        return fresh

    def add_job(
        self, index: int, spec: Submission, submitted: float, partition: bool = False
    ) -> Job:
        job = Job(index, spec, submitted, partition)
        job.team = self.team_names.get(spec.team)
        job.image = self.images.add(spec.image)
        job.zone = -1 if spec.zone is None else self.zones.add(spec.zone)
        if self.counted_resources is not None and spec.counted_resources is not None:
            job.counted_needs = self.counted_resources.needs_of(spec)
        self.jobs[index] = job
        self.job_by_id[job.key] = job
        if spec.gpus > 0:
            self._gpu_jobs_on_spot = self._gpu_jobs_on_spot or spec.spot
            cpus, memory = self.needs_per_gpu or (0.0, 0.0)
            self.needs_per_gpu = (
                max(cpus, spec.cpus / spec.gpus),
                max(memory, spec.memory_gb / spec.gpus),
            )
        self.next_job_index = max(self.next_job_index, index + 1)
        return job

    def eligible_types(self, job: Job) -> list[bool]:
        if job.eligible_types is None:
            allowed = job.spec.types
            job.eligible_types = [
                (allowed is None or kind.name in allowed) and type_fits(kind, job.spec)
                for kind in self.types
            ]
        return job.eligible_types

    def machine(self, name: str) -> Machine | None:
        return self.machines.get(self.machine_names.get(name))

    def add_machine(self, name: str, type_name: str, zone: str, spot: bool) -> Machine | None:
        """A machine by name; None if its type is not known (yet)."""
        known = self.machine(name)
        if known is not None or name in self.deleted_machines:
            return known
        kind = self.type_names.get(type_name)
        if kind < 0:
            return None
        index = self.machine_names.add(name)
        machine = Machine(index, name, kind, self.types[kind], self.zones.add(zone), spot)
        self.machines[index] = machine
        return machine

    def assign(
        self, job: Job, task: int, attempt: int, machine: Machine, agent_epoch: int
    ) -> TaskRun:
        """Put a task on a machine: from here on it counts as being there."""
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
            self.counted_resources.assigned(run)
        return run

    def free(self, run: TaskRun) -> None:
        """The task is certainly no longer on its machine."""
        job = run.job
        if job.runs.get(run.task) is not run:
            return
        del job.runs[run.task]
        if not job.done[run.task]:
            job.pending.add(run.task)
        run.machine.release(job.spec)
        self._runs_by_rank[job.rank] -= 1
        team = self.teams[job.team]
        team.cpus -= job.spec.cpus
        team.gpus -= job.spec.gpus
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.freed(run)

    def max_rank_on_machines(self) -> int:
        """The largest rank of which a task may be on some machine; -1 without any."""
        return max((rank for rank, tasks in enumerate(self._runs_by_rank) if tasks), default=-1)

    def finish_task(self, job: Job, task: int) -> bool:
        if job.done[task]:
            return False
        job.done[task] = 1
        job.done_count += 1
        job.pending.discard(task)
        job.remote_tasks.discard(task)
        return True

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Learn how far off a class's estimates are."""
        if job.spec.estimate_s <= 0:
            return
        ratio = min(10.0, seconds / job.spec.estimate_s)
        known = self.run_ratios.get(job.spec.job_class, 1.0)
        self.run_ratios[job.spec.job_class] = known + (ratio - known) * CLASS_RATIO_WEIGHT

    def left_beside_gpus(self, kind: int) -> tuple[float, float]:
        """CPUs and memory of a type that work with cards will not need."""
        spec = self.types[kind]
        if self.needs_per_gpu is None:
            return 0.0, 0.0
        cpus, memory = self.needs_per_gpu
        return spec.cpus - cpus * spec.gpus, spec.memory_gb - memory * spec.gpus

    def spot_gpus_unclaimed(self) -> bool:
        """Work with cards is known, and none of it may use spot machines."""
        return self.needs_per_gpu is not None and not self._gpu_jobs_on_spot

    def expected_run_s(self, job: Job) -> float:
        """A task's run time: the owner's estimate, corrected by what was seen.

        First of its class, then of the job itself, whose tasks are more alike.
        """
        known = job.spec.estimate_s * self.run_ratios.get(job.spec.job_class, 1.0)
        weight = job.completed_runs / (job.completed_runs + PRIOR_WEIGHT)
        mean = job.completed_run_s / job.completed_runs if job.completed_runs else 0.0
        return known + (mean - known) * weight

    def retire(self, job: Job) -> None:
        """Shrink an ended job to its final state."""
        self.final_states[job.key] = job.status
        self.jobs.pop(job.index, None)
        self.job_by_id.pop(job.key, None)

    def drop_machine(self, machine: Machine) -> None:
        self.forget_machine(machine)
        self.deleted_machines.add(machine.name)

    def forget_machine(self, machine: Machine) -> None:
        """It is not known here any more, and may be again."""
        machine.status = DELETED
        self.machines.pop(machine.index, None)


def type_fits(kind: MachineType, spec: Submission) -> bool:
    return (
        kind.cpus + EPSILON >= spec.cpus
        and kind.gpus + EPSILON >= spec.gpus
        and kind.memory_gb + EPSILON >= spec.memory_gb
    )
