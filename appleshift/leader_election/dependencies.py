"""What a shard's election needs from its node, and when the node may be a candidate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.leader_term import leader_key
from appleshift.protocol.operator import OperatorSettings
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Runtime


@dataclass(frozen=True, slots=True)
class ElectionDependencies:
    """The node, its connections and the shard that one election is about."""

    node_name: str
    store: KeyValueStore
    peer_clients: dict[str, HttpCaller]
    lease: LeaderLease
    operator: OperatorSettings
    runtime: Runtime
    term_id_prefix: str
    """Unique to this process and shard; the terms won by it are numbered behind it."""
    process_id: str = ""
    """Tells this process from earlier and later ones of the same node."""
    shard: int = 0

    @property
    def leader_key(self) -> str:
        """The key whose owner holds the shard."""
        return leader_key(self.shard)

    def thread_name(self, purpose: str) -> str:
        """Name a routine of this election, so that those of several shards differ."""
        return f"{purpose}-{self.shard}" if self.shard else purpose


@dataclass(frozen=True, slots=True)
class CandidacyConditions:
    """When a node may be a candidate, besides the key being free."""

    extra_guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple
    """Further keys, with versions, that a term depends on; None: no election is possible now."""
    candidacy_delay_s: Callable[[], float] = float
    """For how many seconds a free key is left to other nodes."""
