"""What all shards of a node share: its settings, its connections and its outgoing calls."""

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
from appleshift.storage.records import LogReplayer
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Event, Runtime

if TYPE_CHECKING:
    from appleshift.counted_resources.license_calls import LicenseServerCalls


class ShardCoordination(Protocol):
    """The shard map, and calls between the holders of shards; see ``appleshift.sharding``."""

    def sharding_for(self, term: LeaderTerm, replayer: LogReplayer) -> ShardingView | None:
        """Return what a shard's new scheduler has to do with the others; None with one shard.

        Raises StoreError, ClientError or ProtocolError if it is to be asked again, and
        CompareFailedError if the term is over.
        """
        ...

    def call_shard(self, action: CallShard, term: Any) -> None:
        """Send a message to the holder of another shard; its reply comes back as an event."""
        ...


@dataclass
class NodeContext:
    """Set up by the node; one for all its shards."""

    settings: Settings
    operator: OperatorSettings
    runtime: Runtime
    store: KeyValueStore
    peer_clients: dict[str, HttpCaller]
    connect: Callable[[tuple[str, int]], HttpCaller]
    post: Callable[[events.Event], None]
    """Hands an event to the schedulers' routine."""
    process_id: str
    """Tells this process from earlier and later ones of the same node."""
    worker_calls: WorkerCalls
    cloud_calls: CloudCalls
    stop: Event
    shard_map_follower: ShardCoordination | None = None
    """Set once there is a shard map, or the operators want more than one shard."""
    candidacy_delay_s: Callable[[], float] = float
    """For how many seconds this node leaves a free key to peers that reach more."""
    license_server_calls: LicenseServerCalls | None = None
    """Made when the first licence server is to be asked."""
