"""Jobs, task runs and machines.

The three classes refer to each other, so they share a module: import cycles are not
allowed, not even for types. Their layout is flat, with slots, since each heartbeat and
placement pass reads them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import GANG, PRIORITY_RANKS, SERVICE, Submission
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


def partition_key(job_id: str) -> str:
    """Return the key of a partition of a job; no user can choose such an id."""
    return f"{job_id}+"


class TaskRun:
    """One attempt of a task in one agent epoch of a machine.

    It exists from the assignment until there is proof that the worker holds nothing
    of it any more; ``job.runs[task]`` refers to it only as long as the task may be on
    the machine. Times are in seconds of the leader's clock.
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
        """Assign a task; ``ClusterState.assign`` also reserves its resources."""
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.agent_epoch = agent_epoch
        self.name = f"{job.spec.id}/{task}"
        self.state = ASSIGNED
        # The priority rank with which it was placed: its job's, or a higher priority if the
        # job was served before others. Work of the same priority does not preempt it.
        self.rank = job.rank
        self.assignment_durable = False
        self.exit_durable = False
        self.start_sent = False
        # Starts sent directly that got no answer. One may still arrive late, so the worker
        # must keep the finished attempt in memory and is not told to clear it.
        self.unconfirmed_starts = 0
        # Whether this leader's term ordered it. Late starts of earlier terms are rejected
        # once the worker has seen this term's fencing token.
        self.ordered_this_term = True
        self.stop_grace_s: float | None = None
        self.stop_ordered_at = 0.0
        self.running_since = 0.0


class Job:
    """A submitted job until it is over and none of its tasks may be on a machine.

    Times are in seconds of the leader's clock.
    """

    __slots__ = (
        "accepted",
        "avoided_machines",
        "backoff_s",
        "backoff_until",
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
        """Create a job; ``partition``: some tasks of a job that another shard owns."""
        self.index = index
        self.spec = spec
        # The id under which it is found. A partition of another shard's job must not be
        # found by the job's own id: when the shard map changed, a finished partition was
        # once reported as the whole job.
        self.key = partition_key(spec.id) if partition else spec.id
        self.submitted = submitted
        self.rank = PRIORITY_RANKS[spec.priority]
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
        self.backoff_until = 0.0
        # The zone in which a gang collects machines; -1: none yet.
        self.gathering_zone = -1
        # Since when its replicas wait for room on machines that hold their image.
        self.waiting_for_image_since = 0.0
        # Sum and number of the run times of its finished tasks, to compare machines by.
        self.completed_run_s = 0.0
        self.completed_runs = 0
        # Indices in ``ClusterState``; -1: none.
        self.team = -1
        self.image = -1
        self.zone = -1
        self.eligible_types: list[bool] | None = None
        # Counted resources that each task holds: (resource, count).
        self.counted_needs: tuple[tuple[int, int], ...] = ()
        # Tasks that other shards run: their ranges as (shard, first task, count), which of
        # them are not done, and how many run by the latest reports.
        self.partitions: tuple[tuple[int, int, int], ...] = ()
        self.remote_tasks: set[int] = set()
        self.remote_running = 0
        # Its user cancelled it, and not all other shards have ended their tasks of it.
        self.cancel_requested = False

    @property
    def gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.spec.shape == GANG

    @property
    def service(self) -> bool:
        """Whether its tasks are replicas that run until cancelled."""
        return self.spec.shape == SERVICE

    def running(self) -> int:
        """Return the number of tasks that run, here or in other shards."""
        local = sum(1 for run in self.runs.values() if run.state in (RUNNING, SAVING))
        return local + self.remote_running

    def remaining(self) -> int:
        """Return the number of tasks that are still to be done in this shard."""
        return self.spec.tasks - self.done_count - len(self.remote_tasks)

    def assign_partitions(self, partitions: list[list[int]]) -> None:
        """Leave tasks to other shards: (shard, first task, count) each."""
        self.partitions = tuple((shard, start, count) for shard, start, count in partitions)
        for _, start, count in self.partitions:
            for task in range(start, start + count):
                if not self.done[task]:
                    self.pending.discard(task)
                    self.remote_tasks.add(task)


class Machine:
    """A rented machine, from the answer to the rental until it is certainly gone.

    Times are in seconds of the leader's clock; 0 or None where nothing happened yet.
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
        "status",
        "transfer_count",
        "type",
        "unanswered_probes",
        "unknown_runs",
        "without_heartbeats",
        "zone",
    )

    def __init__(
        self, index: int, name: str, type_index: int, spec: MachineType, zone: int, spot: bool
    ) -> None:
        """Create an empty machine that has not reported yet."""
        self.index = index
        self.name = name
        self.addr = ""
        self.type = type_index
        self.zone = zone
        self.spot = spot
        self.status = BOOTING
        # Rented and counted against limits here, but used by another shard.
        self.in_other_shard = False
        # How often it was handed off from one shard to another, and the fencing token that
        # its worker may have seen there: it rejects commands with a lower one.
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
        self.last_contact_at = 0.0
        # Agent epoch and sequence number of its newest heartbeat, and when it came; answers
        # to direct commands count in ``seq`` and ``last_contact_at`` as well.
        self.last_heartbeat_id = (0, -1)
        self.last_heartbeat_at = -math.inf
        # Since when nothing shows that commands reach it (0: they do), and how many heartbeats
        # came meanwhile.
        self.commands_unconfirmed_since = 0.0
        self.heartbeats_while_unconfirmed = 0
        # It may answer commands, but no heartbeat of it arrives.
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
        # Where unchanged heartbeats leave their time of arrival; owned by the scheduler.
        self.fast_path_entry: Any = None
        self.last_failure_by_job: dict[int, float] = {}
        self.avoid_until = 0.0
        self.quarantined = False
        self.slowness = 1.0
        self.slowness_samples = 0

    def schedulable(self) -> bool:
        """Return whether tasks may be placed on it."""
        leaving = self.draining or self.cordoned or self.deletion_requested
        doubtful = self.quarantined or self.without_heartbeats or self.commands_unconfirmed_since
        return self.status == UP and not (leaving or doubtful or self.in_other_shard)

    def needs_no_commands(self) -> bool:
        """Return whether every task on it goes on without a command until it ends by itself."""
        return not self.unknown_runs and all(
            run.stop_grace_s is None and run.state in (FETCHING, WAITING, RUNNING)
            for run in self.runs.values()
        )

    def empty(self) -> bool:
        """Return whether no task can be on it; exited ones may still be in its heartbeats."""
        return all(run.state == EXITED for run in self.runs.values())

    def reserve(self, spec: Submission) -> None:
        """Take the resources of a task of a job."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory -= spec.memory_gb

    def release(self, spec: Submission) -> None:
        """Return the resources of a task of a job."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory += spec.memory_gb

    def cache_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Model the worker's image cache of ``cache_gb``: it evicts the least recently used."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)
