"""Which nodes relay heartbeats to the leader, and for which fraction of the machines."""

from __future__ import annotations

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.leader_tracker import PEER_STATUS_VALID_S, LeaderTracker
from appleshift.protocol import peers

RELAYED_FRACTION_VALID_S = 10.0
"""For so many seconds a relayed fraction outlives the leader that set it."""


class RelayTracker:
    """Relays as their own statuses say; only the leader of the first shard uses any."""

    def __init__(self, dependencies: ElectionDependencies, leaders: LeaderTracker) -> None:
        """Start without relays. ``leaders`` tells which node they relay to."""
        self._name = dependencies.node_name
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self._leaders = leaders
        self.relayed_fraction = 0.0
        """While this node leads: the fraction of the machines that it sends to relays."""
        self._relay_seen_at: dict[str, float] = {}
        self._last_fraction_at = float("-inf")
        self._last_fraction = 0.0

    def record_status(self, peer: str, status: peers.PeerStatus, now: float) -> None:
        """Record whether a peer relays and, if it leads, which fraction it sends to relays."""
        if status.entitled:
            self._last_fraction_at, self._last_fraction = now, status.relayed_fraction
        if status.is_relay:
            self._relay_seen_at[peer] = now
        else:
            self._relay_seen_at.pop(peer, None)

    def forget_peer(self, peer: str) -> None:
        """Drop a peer from the relays: the process that said so has ended."""
        self._relay_seen_at.pop(peer, None)

    def relays(self) -> list[str]:
        """Return the nodes known to relay heartbeats to the leader, without the leader."""
        now = self._now()
        leader = self._leaders.current_leader()
        names = [
            name
            for name, seen_at in list(self._relay_seen_at.items())
            if now - seen_at < PEER_STATUS_VALID_S and name != leader
        ]
        if self._leaders.can_relay():
            names.append(self._name)
        return sorted(names)

    def current_relayed_fraction(self) -> float:
        """Return the fraction of the machines that the leader sends to relays."""
        # Asked with every heartbeat: the cheaper question comes first.
        if self._lease.is_leader or self._leaders.current_leader() == self._name:
            return self.relayed_fraction
        return self.recent_relayed_fraction()

    def recent_relayed_fraction(self) -> float:
        """Return the fraction that a leader sent to relays within the last seconds.

        A failover does not make the fleet smaller: if all machines turned to the new
        leader at once, most of them would find no free connection.
        """
        age_s = self._now() - self._last_fraction_at
        return self._last_fraction if age_s < RELAYED_FRACTION_VALID_S else 0.0
