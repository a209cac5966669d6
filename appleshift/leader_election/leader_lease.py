"""What this node may do right now, and which vote it has granted to a peer.

Only times are kept here, all under one lock, so that no path through the routines can
both grant a vote and stand. All times are of this node's monotonic clock; bounds that
other nodes count too are shortened by the drift that clocks may have.

Why votes are enough: the leader is the only one while its lease holds. If every peer
grants it a vote, while the leader is still entitled, and so does not stand until a time
beyond that, no node can have been elected until the earliest of those times, whatever
the key-value store does. One missing vote is as good as none. A peer that restarts has
forgotten its vote and waits it out, unless all its peers tell it that none of them leads.

When the leader's time ran out before it had all votes, a node may have been elected
meanwhile, but only a peer may: a node elected with a newer fencing token refuses a vote
for an older one for as long as its process lives. So if every peer grants one, each by
the very process that the leader heard while it was still entitled, no node was elected
in between, and the leader may go on. Without that, a store that refused the leader for
a second and a half and then every node left no node entitled for the whole outage, and
all tasks on all machines ended with the workers' leases.

A vote is granted to a process, not to a node. Once a later process of that node has
answered, the one that asked has ended, since a process takes its port before it does
anything else. The vote it was granted binds no node any more, and a request of it that
was held back in the network is refused.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

CLOCK_DRIFT_RATIO = 1.002
"""Ratio by which two nodes' clocks may differ in speed."""
SAFETY_MARGIN_S = 0.05
"""Taken off each bound, for the time that passes between a check and what it allows."""
ENDED_PROCESSES_KEPT = 64
"""Requests of processes that ended before so many others are too old to arrive."""


@dataclass(slots=True)
class _GrantedVote:
    leader: str
    process_id: str
    fencing_token: int
    seq: int
    until: float


class LeaderLease:
    """The leader's lease and the lease votes of one shard, seen from one node."""

    def __init__(self, peers: list[str], vote_duration_s: float, now: float) -> None:
        """Grant no candidacy until lease votes granted before ``now`` have expired.

        ``vote_duration_s`` is the longest duration of a lease vote.
        """
        self._lock = threading.Lock()
        self._peers = peers
        self._vote_duration_s = vote_duration_s
        # A vote granted before a restart holds until then.
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
        # By peer: the process that was heard last while this node was entitled.
        self._peer_processes: dict[str, str] = {}
        self._quorum_until = 0.0
        self.is_leader = False
        self.fencing_token = 0
        """Of the term that this node leads, or led last."""
        self.highest_seen_token = 0
        """Of any term that this node won or voted for."""

    # -- what this node may do ------------------------------------------------

    def may_write(self, now: float) -> bool:
        """Return whether this node's lease in the key-value store certainly holds."""
        return self.is_leader and now < self._lease_until

    def may_answer(self, now: float) -> bool:
        """Return whether no other node can lead: by the lease, or by a quorum of votes."""
        return self.is_leader and (now < self._lease_until or now < self._quorum_until)

    def valid_for_s(self, now: float) -> float:
        """Return for how many seconds this node may certainly still answer; 0: it may not."""
        if not self.is_leader:
            return 0.0
        return max(0.0, self._lease_until - now, self._quorum_until - now)

    # -- candidacy and term -----------------------------------------------------

    def record_peer_not_leading(self, peer: str) -> None:
        """Record that a peer said, after this node's start, that it does not lead."""
        with self._lock:
            self._peers_not_leading.add(peer)

    def startup_hold_expired(self, now: float) -> bool:
        """Return whether no vote that an earlier process granted can bind this node."""
        return now >= self._startup_hold_until or self._peers_not_leading.issuperset(self._peers)

    def begin_candidacy(self, now: float) -> bool:
        """Become a candidate, unless this node leads or a vote of it binds it."""
        with self._lock:
            bound = self._granted_vote is not None and now < self._granted_vote.until
            if self.is_leader or bound or not self.startup_hold_expired(now):
                return False
            self._is_candidate = True
            return True

    def end_candidacy(self, resolved: bool) -> None:
        """``resolved``: no transaction of this node can elect it any more."""
        with self._lock:
            self._is_candidate = False
            self._candidacy_unresolved = not resolved

    def is_candidacy_unresolved(self) -> bool:
        """Return whether a transaction without an answer may yet elect this node."""
        return self._candidacy_unresolved

    def begin_term(self, fencing_token: int, lease_requested_at: float, ttl_s: float) -> None:
        """Begin a term; the lease of ``ttl_s`` runs from when it was requested."""
        with self._lock:
            self._is_candidate = self._candidacy_unresolved = False
            self.is_leader = True
            self.fencing_token = self.highest_seen_token = fencing_token
            self._votes_until.clear()
            self._peer_processes.clear()
            self._quorum_until = 0.0
            self._lease_until = lease_requested_at + ttl_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S

    def record_renewal(self, sent_at: float, ttl_s: float) -> None:
        """Extend the lease from when its renewal was sent."""
        with self._lock:
            self._lease_until = max(
                self._lease_until, sent_at + ttl_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S
            )

    def end_term(self) -> None:
        """End the term."""
        with self._lock:
            self.is_leader = False
            self._lease_until = self._quorum_until = 0.0
            self._votes_until.clear()

    # -- votes of the peers, while this node leads ------------------------------

    def record_peer_process(self, peer: str, process_id: str, now: float) -> None:
        """Record which process of a peer answered, if this node is entitled at ``now``."""
        with self._lock:
            if process_id and self.may_answer(now):
                self._peer_processes[peer] = process_id

    def record_vote(self, peer: str, sent_at: float, now: float, process_id: str = "") -> None:
        """Count a vote that a peer's process granted to a request sent at ``sent_at``.

        The peer counts the vote's time from when it got the request, which is later.
        """
        with self._lock:
            same_process = bool(process_id) and self._peer_processes.get(peer) == process_id
            if not self.is_leader or not (same_process or self.may_answer(now)):
                # This node's time had run out, and an earlier process of that peer may have
                # been elected since.
                return
            self._votes_until[peer] = (
                sent_at + self._vote_duration_s / CLOCK_DRIFT_RATIO - SAFETY_MARGIN_S
            )
            if self._votes_until.keys() >= set(self._peers):
                self._quorum_until = min(self._votes_until.values())

    def release_votes(self) -> None:
        """Stop counting on votes, so that the peers may be told that they are free."""
        with self._lock:
            self._votes_until.clear()
            self._quorum_until = 0.0

    # -- the vote that this node grants ------------------------------------------

    def record_process_ended(self, process_id: str) -> None:
        """Void the vote granted to a process, since a later one of its node has answered."""
        if not process_id:
            # Nodes of an older version do not say which process they are.
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
        """Promise a leader not to stand for ``duration_s``; return False if that is refused.

        A duration of 0 releases the vote. ``seq`` counts up within a fencing token.
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
                    # Delivered late: it must not undo a newer request.
                    return False
                if granted.leader != leader and now < granted.until:
                    return False
            # The vote outlasts the leader's count of it, and is never longer than a restart
            # of this node would wait out.
            until = (
                now + min(duration_s, self._vote_duration_s) * CLOCK_DRIFT_RATIO
                if duration_s > 0
                else 0.0
            )
            self.highest_seen_token = fencing_token
            self._granted_vote = _GrantedVote(leader, process_id, fencing_token, seq, until)
            return True
