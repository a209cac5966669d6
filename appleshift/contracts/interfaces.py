"""Protocols through which the scheduler's parts use the scheduler and each other.

The scheduler owns its parts and passes itself to them. The parts depend on these protocols
rather than on the scheduler's class, so that there are no circular imports.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.contracts.actions import Action
from appleshift.objectives.objectives import Objectives
from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.placement.result import Shortage
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.protocol.sharding import ShardReply, ShardRequest
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.storage.records import Record
from appleshift.storage.write_ahead_log import WriteAheadLog


class LeaderLeaseView(Protocol):
    """What the leader lease permits this node to do; ``now`` is in monotonic seconds."""

    def may_write(self, now: float) -> bool:
        """Return whether this node leads and its leader lease is certainly valid."""
        ...

    def may_answer(self, now: float) -> bool:
        """Return whether the leader lease or a quorum of lease votes rules out another leader."""
        ...


class CommandResultListener(Protocol):
    """Receives the results of calls to workers; ``MachineLiveness`` implements it."""

    def record_command_result(self, machine: Machine, reached: bool) -> None:
        """Record whether a machine's worker answered a direct command or a probe."""
        ...


class SchedulerView(Protocol):
    """The interface of one term's scheduler for its parts."""

    settings: Settings
    operator: OperatorSettings
    lease: LeaderLeaseView
    cluster: ClusterState
    write_ahead_log: WriteAheadLog
    actions: deque[Action]
    """Actions that the shard replica has not executed yet."""
    objectives: Objectives
    counted_resources: CountedResources | None
    """None: no counted resources are defined."""
    sharding: ShardingView | None
    """None: there is a single shard."""
    clock: Callable[[], float]
    """Monotonic time in seconds; only used to measure how long work takes."""
    now: float
    """Monotonic time of the current step in seconds, by which decisions are made."""
    fencing_token: int
    worker_lease_s: float
    """Duration of a worker's lease in seconds, with allowance for clock drift and a margin."""
    placement_needed: bool
    """Whether a placement pass may place more than the last one did."""
    unsaved_final_states: list[tuple[str, int]]
    """(job id, final state) of ended jobs that no snapshot contains yet."""

    def append_records(
        self, records: list[Record], on_durable: Callable[[], None] | None = None
    ) -> None:
        """Append records to the write-ahead log; call ``on_durable`` once all are durable."""
        ...

    @property
    def liveness(self) -> CommandResultListener:
        """The listener for the results of calls to workers."""
        ...

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one of the same agent epoch was already applied."""
        ...

    def first_fencing_token_for(self, machine: Machine) -> int:
        """Return the lowest token of this term for a machine's worker."""
        ...

    def fencing_token_for(self, machine: Machine) -> int:
        """Return the token for a machine's worker, at least the one that another shard gave it."""
        ...

    def raise_fencing_token(self, machine: Machine) -> None:
        """Make a machine's worker reject all messages that were sent to it so far."""
        ...

    def stop_run(self, run: TaskRun, grace_s: float, reason: str) -> None:
        """Order a task to stop within ``grace_s`` seconds.

        A repeated order only takes effect if its grace period is shorter.
        """
        ...

    def stop_gang(self, job: Job, grace_s: float, reason: str) -> None:
        """Order all tasks of a gang to stop at the same time, within ``grace_s`` seconds."""
        ...

    def delete_machines(self, machines: list[Machine]) -> None:
        """Delete rented machines; deletions of the same step are sent in one call."""
        ...


class ShardingView(Protocol):
    """A shard's interface to the other shards, if there are several.

    ``appleshift.sharding`` implements it and is not imported here.
    """

    shard: int
    shard_count: int

    def attach(self, scheduler: Any) -> None:
        """Set the shard's scheduler, a ``ShardScheduler``."""
        ...

    def owns_machine(self, machine: str, kind: str) -> bool:
        """Return whether a machine of this name and type belongs to this shard."""
        ...

    def is_home_shard(self, job_id: str) -> bool:
        """Return whether this shard accepts a new job with this id."""
        ...

    def is_routing_current(self, job_id: str, map_version: int) -> bool:
        """Return whether a request that was routed by this map version is at the right shard."""
        ...

    def deciding_shard(self, spec: Submission) -> int:
        """Return the shard that decides for a job submitted to this shard."""
        ...

    def partition_array(self, job: Job) -> list[Record]:
        """Assign tasks of a large array to other shards; return the records to append."""
        ...

    def cancel_partitioned(self, job: Job, reply_to: Any) -> None:
        """Cancel a job with tasks in other shards, then answer the request."""
        ...

    def request_received(self, message: ShardRequest, reply_to: Any) -> None:
        """Process a call from the leader of another shard."""
        ...

    def reply_received(self, shard: int, reply: ShardReply | None) -> None:
        """Process another shard's response to a call; None: there was no response."""
        ...

    def step(self, now: float) -> None:
        """Send the calls to other shards that are due at ``now``, in monotonic seconds."""
        ...

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Record that the cloud reclaimed a spot machine of this type and zone."""
        ...

    def return_machines(self, machines: list[Machine]) -> None:
        """Have other shards delete their idle machines, which the capacity plan does not need."""
        ...

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """Return the capacity that all shards need, as CPUs, GPUs and gigabytes.

        The first list is the total, the second the part without spot machines; ``own`` are
        those of this shard. ``gpus`` selects the pool of machines with GPUs, otherwise it is
        the pool without.
        """
        ...

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Return tasks of other shards that none of their machines can ever run."""
        ...

    def view(self) -> dict[str, Any]:
        """Return figures of the shard for operators."""
        ...


@dataclass(frozen=True, slots=True)
class CapacityNeed:
    """Tasks of a shard for which its own machines can never have capacity."""

    gpus: float
    """GPUs per task."""
    cpus: float
    """CPUs per task."""
    memory_gb: float
    """Memory per task in gigabytes."""
    tasks: int
    """Number of tasks."""
    spot: bool
    """Whether spot machines may run the tasks."""
    eligible_types: list[bool]
    """By machine type: whether it may run the tasks."""
    zones: list[int]
    """Zones in which the tasks may run."""
    rentals_per_machine: int = 1
    """Number of machines to rent until one of them belongs to the shard that needs it."""


class ZoneHealth(Protocol):
    """Reachability of the zones."""

    def is_trusted(self, zone: int) -> bool:
        """Return whether a zone's machines count as capacity.

        They do unless the zone has been unreachable for long.
        """
        ...


class FleetView(Protocol):
    """The interface of the fleet for the parts that plan capacity and rent machines.

    ``type_index`` and ``zone`` are indexes into the cluster's machine types and zones. A pool
    is identified by whether its machines have GPUs. A market is a machine type in a zone,
    either spot or on-demand.
    """

    scheduler: SchedulerView
    cluster: ClusterState
    operator: OperatorSettings
    shortages: list[Shortage]
    """Tasks for which the last placement pass found no capacity."""
    pending_rentals: dict[str, tuple[int, int, bool, int]]
    """Rentals without a response yet: request id -> (type index, zone, spot, count)."""
    recent_submissions: deque[tuple[float, float, float, bool, float]]
    """Recent submissions of jobs with a wait objective, as (time, CPUs, GPUs, may use spot,
    accepted wait in seconds)."""
    spot_groups: set[tuple[int, int]]
    """Spot markets in use, as (type index, zone)."""
    evicted_markets: dict[tuple[int, int], float]
    """(type index, zone) of a spot market that lost machines -> monotonic time in seconds until
    which nothing is rented there."""
    recent_required_capacity: dict[bool, deque[tuple[float, float]]]
    """By pool: recently required capacity, as (time, capacity)."""
    on_demand_spare: dict[bool, float]
    """By pool: on-demand capacity that is not needed, in units of on-demand machines."""
    next_summary_at: float
    """Monotonic time in seconds at which the capacity plan is next logged."""

    @property
    def zone_health(self) -> ZoneHealth:
        """Reachability of the zones."""
        ...

    def is_near_machine_limit(self) -> bool:
        """Return whether fewer than half of the machines that nodes can serve may still be rented.

        The number of machines then matters more than their price.
        """
        ...

    def accepts_rentals(self, type_index: int, zone: int, spot: bool) -> bool:
        """Return whether a market is in no pause after a refusal, and its zone is reachable."""
        ...

    def is_exhausted(self, type_index: int, zone: int, spot: bool) -> bool:
        """Return whether the market had fewer machines than the last rental requested."""
        ...

    def may_rent(self, type_index: int, zone: int, spot: bool) -> bool:
        """Return whether a rental may be requested from a market now.

        The market must accept rentals and have none pending, and the machine limit must not
        be reached.
        """
        ...

    def rent(self, type_index: int, zone: int, spot: bool, count: int) -> None:
        """Rent up to ``count`` machines, limited by how many machines the nodes can serve."""
        ...

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine and log ``reason``."""
        ...

    def evict_spot_group(self, machine: Machine) -> None:
        """Evict the spot group of a machine that was reclaimed or lost; ignore on-demand ones."""
        ...

    def capacity_units(self, machine: Machine) -> float:
        """Return a machine's capacity in units of on-demand machines of its pool."""
        ...
