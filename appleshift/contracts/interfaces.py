"""What the parts of the core may use of it and of each other.

The core owns its parts and hands itself to them. They depend on these small
protocols rather than on its class, so that imports go one way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.contracts.actions import Action
from appleshift.objectives.objectives import Objectives
from appleshift.placement.counted_resources import CountedResources
from appleshift.placement.first_fit import Shortage
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat
from appleshift.state.cluster_state import ClusterState, Machine, TaskRun
from appleshift.storage.records import Record
from appleshift.storage.write_ahead_log import WriteAheadLog


class LeaseHolder(Protocol):
    """What this node may do right now, by its own clock."""

    def may_write(self, now: float) -> bool:
        """The leadership lease certainly holds."""
        ...

    def may_answer(self, now: float) -> bool:
        """No other node can lead: by the lease, or by every sibling's pledge."""
        ...


class CommandResultListener(Protocol):
    """What is known of which machines hear; see ``fleet/hearing.py``."""

    def command_result(self, machine: Machine, reached: bool) -> None: ...


class SchedulerView(Protocol):
    """The core of one term, as its parts see it."""

    settings: Settings
    operator: OperatorSettings
    lease: LeaseHolder
    cluster: ClusterState
    write_ahead_log: WriteAheadLog
    actions: deque[Action]
    objectives: Objectives
    counted_resources: CountedResources | None
    sharding: ShardingView | None
    clock: Callable[[], float]
    now: float
    fencing_token: int
    worker_lease_s: float
    placement_needed: bool
    unsaved_final_states: list[tuple[str, int]]

    def append_records(
        self, records: list[Record], on_durable: Callable[[], None] | None = None
    ) -> None:
        """Append records; ``on_durable`` runs once all of them are durable."""
        ...

    @property
    def liveness(self) -> CommandResultListener: ...

    def reconcile(self, machine: Machine, heartbeat: Heartbeat) -> None: ...

    def fencing_token_for(self, machine: Machine) -> int: ...

    def stop_run(self, run: TaskRun, grace: float, reason: str) -> None: ...

    def stop_gang(self, job: Any, grace: float, reason: str) -> None: ...

    def delete_machines(self, machines: list[Machine]) -> None: ...


class ShardingView(Protocol):
    """What a share has to do with the others, if there are several.

    ``appleshift.sharding`` implements it; nothing here loads it.
    """

    shard: int
    shard_count: int
    """How many there are."""

    def attach(self, scheduler: Any) -> None:
        """From now on this is the core of the share."""
        ...

    def owns_machine(self, machine: str, kind: str) -> bool:
        """Does a machine of that name and type belong to this share?"""
        ...

    def is_home(self, job_id: str) -> bool:
        """Does a new job of that id belong here?"""
        ...

    def is_current_map(self, job_id: str, map_version: int) -> bool:
        """Does who asks by that version of the map ask in the right places?"""
        ...

    def deciding_shard(self, spec: Submission) -> int:
        """The share that decides for a job submitted here."""
        ...

    def partition_array(self, job: Any) -> list[Record]:
        """Send part of a large array away; what has to be written down for it."""
        ...

    def cancel_partitioned(self, job: Any, reply_to: Any) -> None:
        """Cancel a job of which other shares run a part, then answer."""
        ...

    def request_received(self, message: Any, reply_to: Any) -> None:
        """The holder of another share asks or tells something."""
        ...

    def reply_received(self, share: int, answer: Any) -> None:
        """What it answered to what this one asked; None: nothing."""
        ...

    def step(self, now: float) -> None: ...

    def machine_evicted(self, kind: int, zone: int) -> None:
        """A machine of this market was taken back."""
        ...

    def return_machines(self, machines: list[Machine]) -> None:
        """The plan does without these idle machines of other shares."""
        ...

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """What this share and the others need in all, and without spot machines."""
        ...

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Work of other shares that no machine of theirs can ever take."""
        ...

    def view(self) -> dict[str, Any]:
        """For operators."""
        ...


@dataclass(frozen=True, slots=True)
class CapacityNeed:
    """Work that lacks room where there is none for it to come."""

    gpus: float
    cpus: float
    memory_gb: float
    tasks: int
    spot: bool
    eligible_types: list[bool]
    """By type: may it run there?"""
    zones: list[int]
    spread_by: int = 1
    """So many machines must be rented for one to reach the share that needs it."""


class ZoneHealth(Protocol):
    """Which zones are to be trusted."""

    def is_trusted(self, zone: int) -> bool: ...


class FleetView(Protocol):
    """The fleet, as what looks at it and rents for it sees it."""

    scheduler: SchedulerView
    cluster: ClusterState
    operator: OperatorSettings
    shortages: list[Shortage]
    pending_rentals: dict[str, tuple[int, int, bool, int]]
    arrivals: deque[tuple[float, float, float, bool, float]]
    spot_groups: set[tuple[int, int]]
    evicted_markets: dict[tuple[int, int], float]
    recent_required: dict[bool, deque[tuple[float, float]]]
    on_demand_spare: dict[bool, float]
    next_summary: float

    @property
    def zone_health(self) -> ZoneHealth: ...

    def is_crowded(self) -> bool: ...

    def accepts_rentals(self, kind: int, zone: int, spot: bool) -> bool: ...

    def is_exhausted(self, kind: int, zone: int, spot: bool) -> bool: ...

    def may_rent(self, kind: int, zone: int, spot: bool) -> bool: ...

    def rent(self, kind: int, zone: int, spot: bool, count: int) -> None: ...

    def delete(self, machine: Machine, reason: str) -> None: ...

    def evict_group(self, machine: Machine) -> None: ...

    def capacity_units(self, machine: Machine) -> float: ...
