"""The arguments from which a scheduler is built when a node wins an election."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appleshift.contracts.interfaces import LeaderLeaseView, ShardingView
from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.storage.log_replayer import LogReplayer
from appleshift.storage.write_ahead_log import WriteAheadLog


@dataclass(frozen=True, slots=True)
class SchedulerDependencies:
    """Settings, recovered state and services of one leader term."""

    settings: Settings
    operator: OperatorSettings
    lease: LeaderLeaseView
    """The leader lease: whether this node may write and answer at a given time."""
    fencing_token: int
    """Increases with every term; workers refuse commands with a lower token."""
    replayer: LogReplayer
    """Holds the cluster state that was read from the snapshot and the write-ahead log."""
    write_ahead_log: WriteAheadLog
    clock: Callable[[], float]
    """Monotonic time in seconds."""
    wall_time: float
    """Wall-clock time at the start of the term, in seconds since the Unix epoch."""
    counted_resources: CountedResources | None = None
    """None if no counted resources are defined or another shard counts them."""
    sharding: ShardingView | None = None
    """None if the cluster has a single shard."""
