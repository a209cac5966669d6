"""Who leads a shard, as far as this node can tell from the holder key and its peers."""

from __future__ import annotations

from typing import NamedTuple

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.leader_term import LeaderRecord

PEER_STATUS_VALID_S = 2.0
"""A peer's status counts for so many seconds: a few polling intervals, and longer than the
holder key of a crashed leader outlives it."""


class PeerClaim(NamedTuple):
    """What a peer last said about its own leadership. Read with every heartbeat."""

    received_at: float
    entitled: bool
    """It may answer for the shard: by its lease, or by a quorum of votes."""
    fencing_token: int


NO_CLAIM = PeerClaim(float("-inf"), False, 0)


class LeaderTracker:
    """Written by the election's and the peer monitor's routines, read by all of them."""

    def __init__(self, dependencies: ElectionDependencies) -> None:
        """Start without a known leader."""
        self._name = dependencies.node_name
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self.leader_from_store: str | None = None
        """The leader by the holder key; None if there is none, or the key can't be read."""
        self.last_leader_from_store: str | None = None
        """The last node that the holder key named."""
        self._leader_since = self._now()
        self._leader_token = 0
        self._peer_claims: dict[str, PeerClaim] = {}

    def record_leader_key(self, holder: LeaderRecord) -> None:
        """Take over what the holder key says."""
        self._leader_token = holder.fencing_token
        self.last_leader_from_store = holder.node_name
        if holder.node_name != self.leader_from_store:
            self.leader_from_store, self._leader_since = holder.node_name, self._now()

    def record_own_election(self, fencing_token: int) -> None:
        """Record that this node leads now."""
        self.leader_from_store, self._leader_token = self._name, fencing_token

    def clear_leader(self) -> None:
        """Forget what the holder key said. Only the claims of peers count until it is read."""
        self.leader_from_store = None

    def record_claim(self, peer: str, claim: PeerClaim) -> None:
        """Record what a peer said about its leadership."""
        self._peer_claims[peer] = claim

    def forget_peer(self, peer: str) -> None:
        """Drop a peer's claim: the process that made it has ended."""
        self._peer_claims.pop(peer, None)

    def current_leader(self) -> str | None:
        """Return who leads, by what peers say of themselves, else by the holder key.

        A node that the key-value store alone refuses cannot read the key, and its
        watch stays silent; its peers still tell it where to send users.
        """
        now = self._now()
        claims = [
            (token, name)
            for name, (received_at, entitled, token) in list(self._peer_claims.items())
            if entitled and now - received_at < PEER_STATUS_VALID_S
        ]
        leader = self.leader_from_store
        if leader is not None:
            # The key may name a new leader before that has sent a status. The claim of a
            # leader that has just crashed must not hide its successor.
            claims.append((self._leader_token, leader))
        return max(claims)[1] if claims else None

    def can_serve_users(self) -> bool:
        """Return whether this node can answer users, itself or by asking the leader.

        While nobody leads it can as well as any other. If somebody does and
        cannot be reached from here, users are better off at another node.
        """
        now = self._now()
        leader = self.current_leader()
        if leader is None or self._lease.may_answer(now) or leader == self._name:
            return True
        claim = self._peer_claims.get(leader)
        received_at = self._leader_since if claim is None else claim.received_at
        return now - max(received_at, self._leader_since) < PEER_STATUS_VALID_S

    def can_relay(self) -> bool:
        """Return whether this node does not lead and reaches the node that does."""
        leader = self.current_leader()
        if leader is None or leader == self._name or self._lease.is_leader:
            return False
        now = self._now()
        if leader == self.leader_from_store and now - self._leader_since < PEER_STATUS_VALID_S:
            # Just elected, by the key: it is asked before it has sent a status.
            return True
        claim = self._peer_claims.get(leader, NO_CLAIM)
        return claim.entitled and now - claim.received_at < PEER_STATUS_VALID_S
