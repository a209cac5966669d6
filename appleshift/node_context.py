"""Settings, clients and outgoing calls that all shards of a node share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from appleshift.contracts import events
from appleshift.contracts.actions import CallShard
from appleshift.contracts.interfaces import ShardingView
from appleshift.dispatch.cloud_calls import CloudCalls
from appleshift.dispatch.worker_calls import WorkerCalls
from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.storage.log_replayer import LogReplayer
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Event, Runtime

if TYPE_CHECKING:
    from appleshift.counted_resources.license_calls import LicenseServerCalls


class ShardCoordination(Protocol):
    """The shard map and calls between leaders of shards; see ``appleshift.sharding``."""

    def sharding_for(self, term: LeaderTerm, replayer: LogReplayer) -> ShardingView | None:
        """Return a new scheduler's view of the other shards; None if there is one shard.

        Raises StoreError, ClientError or ProtocolError if the call should be retried, and
        CompareFailedError if the term is over.
        """
        ...

    def call_shard(self, action: CallShard, term: Any) -> None:
        """Send a message to the leader of another shard; its reply is posted as an event."""
        ...


@dataclass
class NodeContext:
    """Created by the node, once for all its shards."""

    settings: Settings
    operator: OperatorSettings
    runtime: Runtime
    store: KeyValueStore
    peer_clients: dict[str, HttpCaller]
    connect: Callable[[tuple[str, int]], HttpCaller]
    post: Callable[[events.Event], None]
    """Queues an event for the schedulers' thread."""
    process_id: str
    """Distinguishes this process from earlier and later processes of the same node."""
    worker_calls: WorkerCalls
    cloud_calls: CloudCalls
    stop: Event
    shard_map_follower: ShardCoordination | None = None
    """Set once there is a shard map, or if the settings ask for more than one shard."""
    candidacy_delay_s: Callable[[], float] = float
    """Returns the seconds for which peers that reach more workers may be elected first."""
    license_server_calls: LicenseServerCalls | None = None
    """Created before the first call to a license server."""
