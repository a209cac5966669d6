"""What the parts of the scheduler may use of it and of each other.

The scheduler owns its parts and passes itself to them. They depend on these small
protocols rather than on its class, so that imports go one way.
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
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine, TaskRun
from appleshift.storage.records import Record
from appleshift.storage.write_ahead_log import WriteAheadLog


class LeaderLeaseView(Protocol):
    """What this node may do as a leader right now, by its own clock."""

    def may_write(self, now: float) -> bool:
        """Tell whether the leadership lease certainly holds."""
        ...

    def may_answer(self, now: float) -> bool:
        """Tell whether no other node can lead: by the lease, or by every peer's vote."""
        ...


class CommandResultListener(Protocol):
    """What is known of which machines can be reached; see ``machines/liveness.py``."""

    def record_command_result(self, machine: Machine, reached: bool) -> None:
        """Note whether a worker answered a direct command or a probe."""
        ...


class SchedulerView(Protocol):
    """The scheduler of one term as its parts see it."""

    settings: Settings
    operator: OperatorSettings
    lease: LeaderLeaseView
    cluster: ClusterState
    write_ahead_log: WriteAheadLog
    actions: deque[Action]
    """Decided in this step and not yet taken by the shard replica."""
    objectives: Objectives
    counted_resources: CountedResources | None
    sharding: ShardingView | None
    clock: Callable[[], float]
    """Monotonic time in seconds; only to measure how long work takes."""
    now: float
    """Monotonic time of the current step, in seconds; decisions go by it."""
    fencing_token: int
    worker_lease_s: float
    """A worker's lease as the scheduler counts it: with clock drift and a margin."""
    placement_needed: bool
    unsaved_final_states: list[tuple[str, int]]
    """Ids and final states of jobs that no snapshot holds yet."""

    def append_records(
        self, records: list[Record], on_durable: Callable[[], None] | None = None
    ) -> None:
        """Append records; ``on_durable`` runs once all of them are durable."""
        ...

    @property
    def liveness(self) -> CommandResultListener:
        """What is known of which machines can be reached."""
        ...

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat, unless a newer one of the same agent epoch was applied."""
        ...

    def fencing_token_for(self, machine: Machine) -> int:
        """Return the token for a machine's worker: never less than another shard gave it."""
        ...

    def stop_run(self, run: TaskRun, grace: float, reason: str) -> None:
        """Order a task to stop within ``grace`` seconds; a shorter grace replaces a longer."""
        ...

    def stop_gang(self, job: Job, grace: float, reason: str) -> None:
        """Order all tasks of a gang to stop in the same moment."""
        ...

    def delete_machines(self, machines: list[Machine]) -> None:
        """Delete rented machines; those of one step share a call."""
        ...


class ShardingView(Protocol):
    """A shard's dealings with the others, if there are several.

    ``appleshift.sharding`` implements it; nothing here loads it.
    """

    shard: int
    shard_count: int

    def attach(self, scheduler: Any) -> None:
        """Work for this scheduler of the shard, a ``ShardScheduler``, from now on."""
        ...

    def owns_machine(self, machine: str, kind: str) -> bool:
        """Tell whether a machine of that name and type belongs to this shard."""
        ...

    def is_home_shard(self, job_id: str) -> bool:
        """Tell whether a new job of that id belongs here."""
        ...

    def is_routing_current(self, job_id: str, map_version: int) -> bool:
        """Tell whether that version of the shard map routes the job's requests rightly."""
        ...

    def deciding_shard(self, spec: Submission) -> int:
        """Return the shard that decides for a job submitted here."""
        ...

    def partition_array(self, job: Job) -> list[Record]:
        """Send part of a large array to other shards; return the records of that."""
        ...

    def cancel_partitioned(self, job: Job, reply_to: Any) -> None:
        """Cancel a job of which other shards run a part, then answer."""
        ...

    def request_received(self, message: Any, reply_to: Any) -> None:
        """Process a call from the leader of another shard."""
        ...

    def reply_received(self, share: int, answer: Any) -> None:
        """Process another shard's answer to a call; None: there was none."""
        ...

    def step(self, now: float) -> None:
        """Do what is due at ``now``, in monotonic seconds."""
        ...

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Note that the cloud took back a spot machine of this type and zone."""
        ...

    def return_machines(self, machines: list[Machine]) -> None:
        """Return idle machines that belong to other shards: the plan does without them."""
        ...

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """Return what this shard and the others need: in all, and without spot machines."""
        ...

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Return work of other shards that none of their machines can ever take."""
        ...

    def view(self) -> dict[str, Any]:
        """Return the shard's state for operators."""
        ...


@dataclass(frozen=True, slots=True)
class CapacityNeed:
    """Work of a shard that can never get room among the shard's own machines."""

    gpus: float
    cpus: float
    memory_gb: float
    """Per task, as the two above."""
    tasks: int
    spot: bool
    eligible_types: list[bool]
    """By machine type: whether the work may run there."""
    zones: list[int]
    rentals_per_machine: int = 1
    """How many machines must be rented for one of them to reach the shard that needs it."""


class ZoneHealth(Protocol):
    """Which zones can be reached."""

    def is_trusted(self, zone: int) -> bool:
        """Tell whether a zone's machines count as there: reachable, or not lost for long."""
        ...


class FleetView(Protocol):
    """The fleet as the parts that plan and rent for it see it.

    ``kind`` and ``zone`` are indexes into the cluster's machine types and zones; pools
    are told apart by whether their machines have GPUs.
    """

    scheduler: SchedulerView
    cluster: ClusterState
    operator: OperatorSettings
    shortages: list[Shortage]
    """Work that found no room in the last placement pass."""
    pending_rentals: dict[str, tuple[int, int, bool, int]]
    """By request: kind, zone, spot and count of what the cloud has not answered yet."""
    recent_submissions: deque[tuple[float, float, float, bool, float]]
    """Recent submissions: time, CPUs, GPUs, spot, and the seconds they may wait."""
    spot_groups: set[tuple[int, int]]
    """Spot markets in use, by kind and zone."""
    evicted_markets: dict[tuple[int, int], float]
    """Until when nothing is rented in a market that lost machines, monotonic seconds."""
    recent_required_capacity: dict[bool, deque[tuple[float, float]]]
    """By pool: time and required capacity, lately."""
    on_demand_spare: dict[bool, float]
    """By pool: on-demand capacity that is not needed."""
    next_summary_at: float
    """When the plan is summarized in the log next, in monotonic seconds."""

    @property
    def zone_health(self) -> ZoneHealth:
        """Which zones can be trusted."""
        ...

    def is_near_machine_limit(self) -> bool:
        """Tell whether the number of machines counts for more than their price.

        That is so once the nodes have connections left for less than half of the
        machines that they can hear.
        """
        ...

    def accepts_rentals(self, kind: int, zone: int, spot: bool) -> bool:
        """Tell whether a market has not refused lately and its machines could be heard."""
        ...

    def is_exhausted(self, kind: int, zone: int, spot: bool) -> bool:
        """Tell whether the market had less than was wanted when it was last asked."""
        ...

    def may_rent(self, kind: int, zone: int, spot: bool) -> bool:
        """Tell whether to ask now: accepted, with room for machines and no answer outstanding."""
        ...

    def rent(self, kind: int, zone: int, spot: bool, count: int) -> None:
        """Rent up to ``count`` machines, as far as the nodes can hear more."""
        ...

    def delete(self, machine: Machine, reason: str) -> None:
        """Delete a machine; ``reason`` goes into the log."""
        ...

    def evict_spot_group(self, machine: Machine) -> None:
        """Give up the spot market of a machine that the cloud takes back, if it is spot."""
        ...

    def capacity_units(self, machine: Machine) -> float:
        """Return a machine's capacity in on-demand machines of its pool."""
        ...
