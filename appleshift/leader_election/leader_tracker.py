"""Determines a shard's leader from the leader key and the statuses of peers."""

from __future__ import annotations

from typing import NamedTuple

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.leader_term import LeaderRecord

PEER_STATUS_VALID_S = 2.0
"""Seconds for which a peer's status is valid: a few polling intervals, and longer than the
leader key remains after a leader has crashed."""


class PeerClaim(NamedTuple):
    """A peer's latest claim to leadership; a tuple, as it is read for every heartbeat."""

    received_at: float
    entitled: bool
    """Whether the peer may answer for the shard, by its lease or a quorum of votes."""
    fencing_token: int


NO_CLAIM = PeerClaim(float("-inf"), False, 0)


class LeaderTracker:
    """Tracks a shard's leader; written by the election and peer monitor, read by all threads."""

    def __init__(self, dependencies: ElectionDependencies) -> None:
        """Start without a known leader."""
        self._name = dependencies.node_name
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self.leader_from_store: str | None = None
        """The leader by the leader key; None if there is none, or the key can't be read."""
        self.last_leader_from_store: str | None = None
        """The last node that the leader key named."""
        self._leader_since = self._now()
        self._leader_token = 0
        self._peer_claims: dict[str, PeerClaim] = {}

    def record_leader_key(self, record: LeaderRecord) -> None:
        """Record the leader and the fencing token that the leader key names."""
        self._leader_token = record.fencing_token
        self.last_leader_from_store = record.node_name
        if record.node_name != self.leader_from_store:
            self.leader_from_store, self._leader_since = record.node_name, self._now()

    def record_own_election(self, fencing_token: int) -> None:
        """Record that this node was elected."""
        self.leader_from_store, self._leader_token = self._name, fencing_token

    def clear_leader(self) -> None:
        """Forget the leader key's value; until it is read again only claims of peers count."""
        self.leader_from_store = None

    def record_claim(self, peer: str, claim: PeerClaim) -> None:
        """Record a peer's claim, which may be that it does not lead."""
        self._peer_claims[peer] = claim

    def forget_peer(self, peer: str) -> None:
        """Drop a peer's claim: the process that made it has ended."""
        self._peer_claims.pop(peer, None)

    def current_leader(self) -> str | None:
        """Return the leader with the newest fencing token, by claims of peers and leader key.

        If the key-value store refuses this node alone, it can neither read nor watch the
        key; the claims of its peers still name the leader for users' requests.
        """
        now = self._now()
        claims = [
            (token, name)
            for name, (received_at, entitled, token) in list(self._peer_claims.items())
            if entitled and now - received_at < PEER_STATUS_VALID_S
        ]
        leader = self.leader_from_store
        if leader is not None:
            # The key may name a new leader before that leader has sent a status. The claim of
            # a leader that has just crashed must not hide its successor.
            claims.append((self._leader_token, leader))
        return max(claims)[1] if claims else None

    def can_serve_users(self) -> bool:
        """Return whether this node can answer users, itself or by forwarding to the leader.

        True while there is no leader, since no other node serves users better. False if
        another node leads and this node cannot reach it: users should try another node.
        """
        now = self._now()
        leader = self.current_leader()
        if leader is None or self._lease.may_answer(now) or leader == self._name:
            return True
        claim = self._peer_claims.get(leader)
        received_at = self._leader_since if claim is None else claim.received_at
        return now - max(received_at, self._leader_since) < PEER_STATUS_VALID_S

    def can_relay(self) -> bool:
        """Return whether another node leads and this node can reach it."""
        leader = self.current_leader()
        if leader is None or leader == self._name or self._lease.is_leader:
            return False
        now = self._now()
        if leader == self.leader_from_store and now - self._leader_since < PEER_STATUS_VALID_S:
            # Just elected according to the key: assume it reachable until it sends a status.
            return True
        claim = self._peer_claims.get(leader, NO_CLAIM)
        return claim.entitled and now - claim.received_at < PEER_STATUS_VALID_S
