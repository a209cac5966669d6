"""Jobs, task runs and machines.

The three classes refer to each other, so they share a module: import cycles are not
allowed, not even for type annotations. They use slots because each heartbeat and each
placement pass reads their attributes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import GANG, PRIORITY_RANKS, SERVICE, Submission
from appleshift.protocol.workers import MAX_TASKS_PER_HEARTBEAT
from appleshift.state.resources import UsedResources
from appleshift.state.states import (
    ASSIGNED,
    BOOTING,
    EXITED,
    FETCHING,
    OPEN,
    RUNNING,
    SAVING,
    UP,
    WAITING,
)
from appleshift.state.task_set import TaskSet


def partition_key(job_id: str) -> str:
    """Return the key of a job's partition in the shard that runs it.

    It differs from the job id of every submission.
    """
    return f"{job_id}+"


class TaskRun:
    """One attempt of a task in one agent epoch of a machine.

    A task run exists from its assignment until the worker has certainly discarded the
    attempt. ``job.runs[task]`` refers to the task run only while the task may be on the
    machine. Times are in seconds of the leader's clock.
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
        "start_token",
        "state",
        "stop_grace_s",
        "stop_ordered_at",
        "task",
    )

    def __init__(
        self, job: Job, task: int, attempt: int, machine: Machine, agent_epoch: int
    ) -> None:
        """Create a task run; ``ClusterState.assign`` also reserves its resources."""
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.agent_epoch = agent_epoch
        self.name = f"{job.spec.id}/{task}"
        self.state = ASSIGNED
        # The priority rank with which the task was placed: the rank of its job, or a lower
        # rank (higher priority) if the job was placed before others. Jobs of the same rank
        # do not preempt the task.
        self.rank = job.rank
        self.assignment_durable = False
        self.exit_durable = False
        self.start_sent = False
        # The token of the newest message of this term that carried the start command.
        self.start_token = 0
        # Whether the start was ordered in the current term. The worker rejects late start
        # commands of earlier terms once it has received this term's fencing token.
        self.ordered_this_term = True
        self.stop_grace_s: float | None = None
        self.stop_ordered_at = 0.0
        self.running_since = 0.0


class Job:
    """A submitted job, until it has ended and none of its tasks may be on a machine.

    Times are in seconds of the leader's clock.
    """

    __slots__ = (
        "accepted",
        "avoided_machines",
        "backoff_s",
        "backoff_until",
        "cancel_durable",
        "cancel_request_durable",
        "cancel_requested",
        "completed_run_s",
        "completed_runs",
        "counted_needs",
        "done_durable",
        "done_tasks",
        "eligible_types",
        "failed_machines",
        "gathering_zone",
        "image",
        "index",
        "key",
        "last_attempt",
        "memory_bytes",
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
        """Create a job; with ``partition``, it is a part of a job that another shard owns."""
        self.index = index
        self.spec = spec
        # The key in ``ClusterState.job_by_id``. A partition of another shard's job must not
        # be found under the id of the job: when the shard map changed, a finished partition
        # was reported as the whole job.
        self.key = partition_key(spec.id) if partition else spec.id
        self.submitted = submitted
        self.rank = PRIORITY_RANKS[spec.priority]
        self.done_tasks = TaskSet()
        self.runs: dict[int, TaskRun] = {}
        self.pending = TaskSet(range(spec.tasks))
        self.last_attempt = 0
        self.status = OPEN
        self.accepted = False
        self.done_durable = False
        self.cancel_durable = False
        self.failed_machines: set[int] = set()
        self.avoided_machines: dict[int, float] = {}
        self.backoff_s = 0.0
        self.backoff_until = 0.0
        # The zone in which machines are collected for a gang; -1: none yet.
        self.gathering_zone = -1
        # Since when the replicas of a service wait for room on machines that have their image.
        self.waiting_for_image_since = 0.0
        # Sum (seconds) and number of the run times of its finished tasks. They correct the
        # estimate and reveal slow machines.
        self.completed_run_s = 0.0
        self.completed_runs = 0
        # Indices of the team, image and zone in ``ClusterState``; -1: none.
        self.team = -1
        self.image = -1
        self.zone = -1
        self.eligible_types: list[bool] | None = None
        # Counted resources that each task holds: (resource, count).
        self.counted_needs: tuple[tuple[int, int], ...] = ()
        # Ranges of tasks that other shards run: (shard, first task, count).
        self.partitions: tuple[tuple[int, int, int], ...] = ()
        # Tasks of those partitions that are not done.
        self.remote_tasks = TaskSet()
        # The most memory that it takes in a leader, with its partitions in other shards.
        self.memory_bytes = 0
        # Number of tasks that run in other shards, by the latest reports.
        self.remote_running = 0
        # Whether the user cancelled the job and some other shard has not yet ended its tasks.
        self.cancel_requested = False
        # Whether the record of that request is durable; only then other shards may be told.
        self.cancel_request_durable = False

    @property
    def gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.spec.shape == GANG

    @property
    def service(self) -> bool:
        """Whether its tasks are replicas that run until cancelled."""
        return self.spec.shape == SERVICE

    @property
    def done_count(self) -> int:
        """Number of tasks that are done."""
        return len(self.done_tasks)

    def all_tasks_done(self) -> bool:
        """Return whether no task is left to run."""
        return self.done_count == self.spec.tasks

    def running(self) -> int:
        """Return the number of running tasks in this and other shards."""
        local = sum(1 for run in self.runs.values() if run.state in (RUNNING, SAVING))
        return local + self.remote_running

    def remaining(self) -> int:
        """Return the number of tasks that this shard still has to complete."""
        return self.spec.tasks - self.done_count - len(self.remote_tasks)

    def assign_partitions(self, partitions: list[list[int]]) -> None:
        """Assign ranges of tasks to other shards: (shard, first task, count) each."""
        self.partitions = tuple((shard, start, count) for shard, start, count in partitions)
        for _, start, count in self.partitions:
            remote = TaskSet(range(start, start + count))
            remote.difference_update(self.done_tasks)
            self.pending.difference_update(remote)
            self.remote_tasks.update(remote)

    def mark_done(self, tasks: TaskSet) -> None:
        """Mark tasks as done, in this shard or another."""
        self.done_tasks.update(tasks)
        self.pending.difference_update(tasks)
        self.remote_tasks.difference_update(tasks)


class Machine:
    """A rented machine, from the response to the rental until it is certainly deleted.

    Times are in seconds of the leader's clock; 0 or None: the event has not happened yet.
    """

    __slots__ = (
        "addr",
        "agent_epoch",
        "avoid_until",
        "commands_in_flight",
        "commands_unconfirmed_since",
        "cordoned",
        "cpus",
        "deletion_requested",
        "draining",
        "fast_path_entry",
        "fencing_token_raises",
        "free_cpus",
        "free_gpus",
        "free_memory",
        "heartbeats_while_unconfirmed",
        "idle_since",
        "images",
        "in_other_shard",
        "index",
        "last_contact_at",
        "last_failure_by_job",
        "last_heartbeat_at",
        "last_heartbeat_id",
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
        "slowness",
        "slowness_samples",
        "spot",
        "start_token",
        "status",
        "transfer_count",
        "type",
        "unanswered_probes",
        "unknown_runs",
        "used_by_services",
        "without_heartbeats",
        "zone",
    )

    def __init__(
        self, index: int, name: str, type_index: int, spec: MachineType, zone: int, spot: bool
    ) -> None:
        """Create an empty machine that has not sent a heartbeat yet."""
        self.index = index
        self.name = name
        self.addr = ""
        self.type = type_index
        self.zone = zone
        self.spot = spot
        self.status = BOOTING
        # Whether the machine is used by another shard, though this shard rented it and counts
        # it against its limits.
        self.in_other_shard = False
        # How often the machine was handed off from one shard to another.
        self.transfer_count = 0
        # The fencing token that the worker may have received from the former shard. The
        # worker rejects commands with a lower token.
        self.min_fencing_token = 0
        # How often this term has raised the machine's fencing token.
        self.fencing_token_raises = 0
        # The token of the newest message of this term that carried a start command.
        self.start_token = 0
        self.agent_epoch = 0
        self.seq = -1
        self.cpus = spec.cpus
        self.free_cpus = spec.cpus
        self.free_gpus = spec.gpus
        self.free_memory = spec.memory_gb
        self.used_by_services = UsedResources()
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.unknown_runs: dict[tuple[str, int], bool] = {}
        self.images: OrderedDict[int, float] = OrderedDict()
        self.last_contact_at = 0.0
        # Agent epoch and sequence number of the newest heartbeat. ``seq`` and
        # ``last_contact_at`` also include responses to direct commands.
        self.last_heartbeat_id = (0, -1)
        # When the newest heartbeat arrived.
        self.last_heartbeat_at = -math.inf
        # Since when there is no evidence that commands reach the machine; 0: they do.
        self.commands_unconfirmed_since = 0.0
        # Number of heartbeats that arrived since ``commands_unconfirmed_since``.
        self.heartbeats_while_unconfirmed = 0
        # Whether no heartbeats arrive, although the machine may respond to commands.
        self.without_heartbeats = False
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
        # The scheduler's entry for this machine on the fast path, which records the arrival
        # times of heartbeats without changes.
        self.fast_path_entry: Any = None
        # By job index: when a task of the job last failed on this machine.
        self.last_failure_by_job: dict[int, float] = {}
        self.avoid_until = 0.0
        self.quarantined = False
        # Moving average of run times on this machine relative to the mean of the same job.
        self.slowness = 1.0
        self.slowness_samples = 0

    def schedulable(self) -> bool:
        """Return whether tasks may be placed on the machine."""
        leaving = self.draining or self.cordoned or self.deletion_requested
        doubtful = self.quarantined or self.without_heartbeats or self.commands_unconfirmed_since
        return self.status == UP and not (leaving or doubtful or self.in_other_shard)

    def free_task_slots(self) -> int:
        """Return how many more tasks the machine's heartbeats can list."""
        return MAX_TASKS_PER_HEARTBEAT - len(self.runs) - len(self.unknown_runs)

    def needs_no_commands(self) -> bool:
        """Return whether every task on the machine can run to its end without further commands."""
        return not self.unknown_runs and all(
            run.stop_grace_s is None and run.state in (FETCHING, WAITING, RUNNING)
            for run in self.runs.values()
        )

    def empty(self) -> bool:
        """Return whether no task can be on the machine; heartbeats may still list exited tasks."""
        return all(run.state == EXITED for run in self.runs.values())

    def reserve(self, spec: Submission) -> None:
        """Reserve the resources of one task of a job."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory -= spec.memory_gb
        if spec.shape == SERVICE:
            self.used_by_services.add(spec, 1)

    def release(self, spec: Submission) -> None:
        """Release the resources of one task of a job."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory += spec.memory_gb
        if spec.shape == SERVICE:
            self.used_by_services.add(spec, -1)

    def cache_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Add an image to the model of the worker's cache.

        Above ``cache_gb``, the least recently used images are evicted.
        """
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
