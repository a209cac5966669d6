"""The leader lease of one shard and the lease vote that this node has granted to a peer.

This module keeps only times, all under one lock, so that no thread can grant a vote while
another thread makes this node a candidate. All times are readings of this node's monotonic
clock. Durations that another node measures as well are shortened by the clock drift ratio.

Why votes suffice without the key-value store: while its lease is valid, the leader is the only
one. A leader is entitled while its lease or a quorum of votes is valid. If every peer grants
it a vote while it is still entitled, no peer becomes a candidate before its vote expires. No
node can therefore be elected before the earliest vote expires, whatever the key-value store
does. All peers must vote: a single missing vote voids the quorum. A restarted peer no longer
has its vote in memory. It waits for the longest duration of a vote, unless all its peers
report that they do not lead.

If the leader's lease expired before it had all votes, a peer may have been elected in the
meantime. A node elected with a newer fencing token refuses to vote for an older one for as
long as its process runs. So if every peer grants a vote, each from the same process that
answered the leader while it was still entitled, no node was elected in between and the
leader continues. Without this rule, a store that refused the leader for 1.5 s and then
refused every node left no node entitled for the whole outage, and all tasks on all machines
ended when the workers' leases expired.

A vote is granted to a process, not to a node. A process binds its port before it does
anything else, so once a later process of a node has answered, the earlier one has ended.
The vote granted to the earlier process is then void, and a request from it that the network
delayed is refused.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

CLOCK_DRIFT_RATIO = 1.002
"""Largest ratio between the rates of two nodes' clocks."""
SAFETY_MARGIN_S = 0.05
"""Subtracted from each bound: time passes between a check and the action that it allows."""
ENDED_PROCESSES_KEPT = 64
"""Number of ended processes whose requests are refused; requests of older ones no longer arrive."""


@dataclass(slots=True)
class _GrantedVote:
    leader: str
    process_id: str
    fencing_token: int
    seq: int
    until: float


class LeaderLease:
    """The leader lease and the lease votes of one shard, as one node records them."""

    def __init__(self, peers: list[str], vote_duration_s: float, now: float) -> None:
        """Grant no candidacy until lease votes granted before ``now`` have expired.

        ``vote_duration_s`` is the longest duration of a lease vote.
        """
        self._lock = threading.Lock()
        self._peers = peers
        self._vote_duration_s = vote_duration_s
        # A vote granted by an earlier process of this node may be valid until this time.
        self._startup_hold_until = (
            now + vote_duration_s * CLOCK_DRIFT_RATIO + SAFETY_MARGIN_S if peers else now
        )
        self._peers_not_leading: set[str] = set()
        self._granted_vote: _GrantedVote | None = None
        self._ended_processes: deque[str] = deque(maxlen=ENDED_PROCESSES_KEPT)
        self._is_candidate = False
        self._candidacy_unresolved = False
        self._lease_until = 0.0
        self._votes_until: dict[str, float] = {}
        # By peer: id of the process that last answered while this node was entitled.
        self._peer_processes: dict[str, str] = {}
        self._quorum_until = 0.0
        self.is_leader = False
        self.fencing_token = 0
        """Fencing token of the current term of this node, or of its last one."""
        self.highest_seen_token = 0
        """Highest fencing token of the terms that this node won or voted for."""

    # -- permissions of this node ------------------------------------------------

    def may_write(self, now: float) -> bool:
        """Return whether this node leads and its lease in the store is certainly valid."""
        return self.is_leader and now < self._lease_until

    def may_answer(self, now: float) -> bool:
        """Return whether this node's lease or a quorum of votes rules out any other leader."""
        return self.is_leader and (now < self._lease_until or now < self._quorum_until)

    def valid_for_s(self, now: float) -> float:
        """Return for how many more seconds this node may answer; 0 if it may not answer."""
        if not self.is_leader:
            return 0.0
        return max(0.0, self._lease_until - now, self._quorum_until - now)

    # -- candidacy and term -----------------------------------------------------

    def record_peer_not_leading(self, peer: str) -> None:
        """Record that a peer reported, after this process started, that it does not lead."""
        with self._lock:
            self._peers_not_leading.add(peer)

    def startup_hold_expired(self, now: float) -> bool:
        """Return whether no vote granted by an earlier process of this node can still be valid."""
        return now >= self._startup_hold_until or self._peers_not_leading.issuperset(self._peers)

    def begin_candidacy(self, now: float) -> bool:
        """Become a candidate unless this node leads or a vote of it may still be valid.

        The vote may also have been granted by an earlier process of this node. Returns whether
        this node is now a candidate.
        """
        with self._lock:
            vote_valid = self._granted_vote is not None and now < self._granted_vote.until
            if self.is_leader or vote_valid or not self.startup_hold_expired(now):
                return False
            self._is_candidate = True
            return True

    def end_candidacy(self, resolved: bool) -> None:
        """End the candidacy; ``resolved``: no pending transaction can still elect this node."""
        with self._lock:
            self._is_candidate = False
            self._candidacy_unresolved = not resolved

    def is_candidacy_unresolved(self) -> bool:
        """Return whether a transaction without a response may still elect this node."""
        return self._candidacy_unresolved

    def begin_term(self, fencing_token: int, lease_requested_at: float, ttl_s: float) -> None:
        """Begin a term; its lease is valid for ``ttl_s`` seconds from ``lease_requested_at``."""
        with self._lock:
            self._is_candidate = self._candidacy_unresolved = False
            self.is_leader = True
            self.fencing_token = self.highest_seen_token = fencing_token
            self._votes_until.clear()
            self._peer_processes.clear()
            self._quorum_until = 0.0
            self._lease_until = lease_requested_at + ttl_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S

    def record_renewal(self, sent_at: float, ttl_s: float) -> None:
        """Extend the lease to ``ttl_s`` seconds after its renewal request was sent."""
        with self._lock:
            self._lease_until = max(
                self._lease_until, sent_at + ttl_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S
            )

    def end_term(self) -> None:
        """End this node's term: it neither leads nor counts votes any more."""
        with self._lock:
            self.is_leader = False
            self._lease_until = self._quorum_until = 0.0
            self._votes_until.clear()

    # -- votes of the peers, while this node leads ------------------------------

    def record_peer_process(self, peer: str, process_id: str, now: float) -> None:
        """Record the id of the process that answered for a peer, if this node is entitled."""
        with self._lock:
            if process_id and self.may_answer(now):
                self._peer_processes[peer] = process_id

    def record_vote(self, peer: str, sent_at: float, now: float, process_id: str = "") -> None:
        """Count a vote that a peer's process granted to a request sent at ``sent_at``.

        The peer measures the vote's duration from its receipt of the request, so counting from
        ``sent_at`` never exceeds it. The vote counts only if this node is entitled now, or if
        process ``process_id`` of the peer already answered while this node was entitled.
        """
        with self._lock:
            same_process = bool(process_id) and self._peer_processes.get(peer) == process_id
            if not self.is_leader or not (same_process or self.may_answer(now)):
                # After this node's lease and votes had expired, an earlier process of the peer
                # may have been elected. The peer's current process does not know that.
                return
            self._votes_until[peer] = (
                sent_at + self._vote_duration_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S
            )
            if self._votes_until.keys() >= set(self._peers):
                self._quorum_until = min(self._votes_until.values())

    def release_votes(self) -> None:
        """Discard the votes of all peers, before the peers are released from them."""
        with self._lock:
            self._votes_until.clear()
            self._quorum_until = 0.0

    # -- the vote that this node grants ------------------------------------------

    def record_process_ended(self, process_id: str) -> None:
        """Void the vote granted to a process that ended, and refuse its delayed requests."""
        if not process_id:
            # Nodes of an older version send no process id.
            return
        with self._lock:
            self._ended_processes.append(process_id)
            if self._granted_vote is not None and self._granted_vote.process_id == process_id:
                self._granted_vote.until = 0.0

    def grant_vote(
        self,
        leader: str,
        fencing_token: int,
        seq: int,
        duration_s: float,
        now: float,
        process_id: str = "",
    ) -> bool:
        """Grant a leader a vote: no candidacy for ``duration_s``; return False if refused.

        A duration of 0 releases the vote. ``seq`` increases with each request of a term.
        """
        with self._lock:
            if (
                self.is_leader
                or self._is_candidate
                or self._candidacy_unresolved
                or fencing_token < self.highest_seen_token
                or process_id in self._ended_processes
            ):
                return False
            granted = self._granted_vote
            if granted is not None:
                if (fencing_token, seq) <= (granted.fencing_token, granted.seq):
                    # A delayed request must not override a newer one.
                    return False
                if granted.leader != leader and now < granted.until:
                    return False
            # The vote expires later here than at the leader, but never later than the end of
            # the startup hold if this node restarts.
            until = (
                now + min(duration_s, self._vote_duration_s) * CLOCK_DRIFT_RATIO
                if duration_s > 0
                else 0.0
            )
            self.highest_seen_token = fencing_token
            self._granted_vote = _GrantedVote(leader, process_id, fencing_token, seq, until)
            return True
