"""Tracks the nodes that relay heartbeats to the leader, and the relayed fraction."""

from __future__ import annotations

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.leader_tracker import PEER_STATUS_VALID_S, LeaderTracker
from appleshift.protocol import peers

RELAYED_FRACTION_VALID_S = 10.0
"""Seconds for which a relayed fraction stays in use after its leader's last status."""


class RelayTracker:
    """Tracks relays by their statuses; only the leader of the first shard uses relays."""

    def __init__(self, dependencies: ElectionDependencies, leader_tracker: LeaderTracker) -> None:
        """Start without relays; ``leader_tracker`` names the leader to which they relay."""
        self._name = dependencies.node_name
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self._leader_tracker = leader_tracker
        self.relayed_fraction = 0.0
        """Fraction of the machines that this node, as leader, redirects to relays."""
        self._relay_seen_at: dict[str, float] = {}
        self._last_fraction_at = float("-inf")
        self._last_fraction = 0.0

    def record_status(self, peer: str, status: peers.PeerStatus, now: float) -> None:
        """Record whether a peer is a relay and, if it leads, the fraction that it redirects."""
        if status.entitled:
            self._last_fraction_at, self._last_fraction = now, status.relayed_fraction
        if status.is_relay:
            self._relay_seen_at[peer] = now
        else:
            self._relay_seen_at.pop(peer, None)

    def forget_peer(self, peer: str) -> None:
        """Remove a peer from the relays: the process that sent its status has ended."""
        self._relay_seen_at.pop(peer, None)

    def relays(self) -> list[str]:
        """Return the nodes known to relay heartbeats to the leader, without the leader."""
        now = self._now()
        leader = self._leader_tracker.current_leader()
        names = [
            name
            for name, seen_at in list(self._relay_seen_at.items())
            if now - seen_at < PEER_STATUS_VALID_S and name != leader
        ]
        if self._leader_tracker.can_relay():
            names.append(self._name)
        return sorted(names)

    def current_relayed_fraction(self) -> float:
        """Return the fraction of the machines that the leader redirects to relays."""
        # Called for every heartbeat: the cheaper condition is evaluated first.
        if self._lease.is_leader or self._leader_tracker.current_leader() == self._name:
            return self.relayed_fraction
        return self.recent_relayed_fraction()

    def recent_relayed_fraction(self) -> float:
        """Return the fraction that a leader recently redirected to relays; 0.0 if none did.

        A new leader continues with it. The fleet is as large as before the failover: if all
        machines connected to the new leader at once, most would find no free connection.
        """
        age_s = self._now() - self._last_fraction_at
        return self._last_fraction if age_s < RELAYED_FRACTION_VALID_S else 0.0
