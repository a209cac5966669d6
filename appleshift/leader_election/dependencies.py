"""Dependencies of a shard's leader election, and conditions for a candidacy."""

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
    """The node, the clients, the settings and the shard of one leader election."""

    node_name: str
    store: KeyValueStore
    peer_clients: dict[str, HttpCaller]
    lease: LeaderLease
    operator: OperatorSettings
    runtime: Runtime
    term_id_prefix: str
    """Prefix of term ids, unique to this process and shard; an attempt number follows it."""
    process_id: str = ""
    """Distinguishes this process from earlier and later processes of the same node."""
    shard: int = 0

    @property
    def leader_key(self) -> str:
        """The key in the key-value store that names the shard's leader."""
        return leader_key(self.shard)

    def thread_name(self, purpose: str) -> str:
        """Return a thread name for ``purpose``, unique among the elections of several shards."""
        return f"{purpose}-{self.shard}" if self.shard else purpose


@dataclass(frozen=True, slots=True)
class CandidacyConditions:
    """Conditions for a candidacy, in addition to a free leader key."""

    extra_guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple
    """Returns more keys and versions that guard a term; None: no election is possible now."""
    candidacy_delay_s: Callable[[], float] = float
    """Returns the seconds for which this node leaves a free leader key to other nodes."""
