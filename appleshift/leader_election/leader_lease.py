"""What this node may do right now, and what it has promised to its siblings.

Pure bookkeeping of times under one lock, so that no path through the threads
can both pledge and stand. All times are of this node's steady clock; bounds on
what others count are shortened by the clocks' possible drift.

Why a pledge is enough: the leader is the only one while its lease holds. If
every sibling promises, while the leader is still entitled, not to stand until
a time beyond that, nobody can have been elected until the earliest of those
times, whatever the state service does. One missing promise is as good as none.
A sibling that restarts has forgotten its promise and waits it out, unless all
its siblings tell it that none of them leads.

When the leader's time ran out before it had all promises, somebody may have been
elected meanwhile, but only a sibling may: who was elected with a newer token refuses
a promise for an older one for as long as its process lives. So if every sibling
promises, each by the very process that the leader heard while it was still entitled,
nobody was elected in between, and the leader may go on. Without that, a state service
that refused the leader for a second and a half and then everybody left nobody entitled
for the whole outage, and all work on all machines ended with the workers' leases.

A promise is given to a process, not to a node. Once a later process of that node
has answered, the one that asked has ended: its port is taken before anything else
is done. What it was promised binds nobody any more, and a request of its that was
held back in the network is refused.
"""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

CLOCK_DRIFT = 1.002
MARGIN_S = 0.05
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
    """Lease and pledges, seen from one node."""

    def __init__(self, peers: list[str], vote_s: float, now: float) -> None:
        self._lock = threading.Lock()
        self._peers = peers
        self._vote_s = vote_s
        # A promise made before a restart holds until then.
        self._startup_hold_until = now + vote_s * CLOCK_DRIFT + MARGIN_S if peers else now
        self._peers_not_leading: set[str] = set()
        self._vote_given: _GrantedVote | None = None
        self._ended_processes: deque[str] = deque(maxlen=ENDED_PROCESSES_KEPT)
        self._is_candidate = False
        self._candidacy_unresolved = False
        self._lease_until = 0.0
        self._votes_until: dict[str, float] = {}
        # The siblings' processes, as they were heard while this node was entitled.
        self._peer_processes: dict[str, str] = {}
        self._quorum_until = 0.0
        self.is_leader = False
        self.fencing_token = 0
        self.highest_seen_token = 0

    # -- what this node may do ------------------------------------------------

    def may_write(self, now: float) -> bool:
        return self.is_leader and now < self._lease_until

    def may_answer(self, now: float) -> bool:
        return self.is_leader and (now < self._lease_until or now < self._quorum_until)

    def valid_for_s(self, now: float) -> float:
        """For how long this node may still answer, whatever happens to it; 0: it may not."""
        if not self.is_leader:
            return 0.0
        return max(0.0, self._lease_until - now, self._quorum_until - now)

    # -- standing ---------------------------------------------------------------

    def peer_does_not_lead(self, peer: str) -> None:
        """A sibling said, after our start, that it does not lead."""
        with self._lock:
            self._peers_not_leading.add(peer)

    def startup_hold_over(self, now: float) -> bool:
        return now >= self._startup_hold_until or self._peers_not_leading.issuperset(self._peers)

    def begin_candidacy(self, now: float) -> bool:
        with self._lock:
            pledged = self._vote_given is not None and now < self._vote_given.until
            if self.is_leader or pledged or not self.startup_hold_over(now):
                return False
            self._is_candidate = True
            return True

    def end_candidacy(self, resolved: bool) -> None:
        """``settled``: no transaction of ours can elect us any more."""
        with self._lock:
            self._is_candidate = False
            self._candidacy_unresolved = not resolved

    def candidacy_unresolved(self) -> bool:
        return self._candidacy_unresolved

    def won(self, token: int, lease_sent: float, ttl_s: float) -> None:
        with self._lock:
            self._is_candidate = self._candidacy_unresolved = False
            self.is_leader = True
            self.fencing_token = self.highest_seen_token = token
            self._votes_until.clear()
            self._peer_processes.clear()
            self._quorum_until = 0.0
            self._lease_until = lease_sent + ttl_s / CLOCK_DRIFT - MARGIN_S

    def renewed(self, sent: float, ttl_s: float) -> None:
        with self._lock:
            self._lease_until = max(self._lease_until, sent + ttl_s / CLOCK_DRIFT - MARGIN_S)

    def lost(self) -> None:
        with self._lock:
            self.is_leader = False
            self._lease_until = self._quorum_until = 0.0
            self._votes_until.clear()

    # -- pledges --------------------------------------------------------------------

    def peer_heard(self, peer: str, process: str, now: float) -> None:
        """That process of a sibling said something; it counts if we were entitled by then."""
        with self._lock:
            if process and self.may_answer(now):
                self._peer_processes[peer] = process

    def record_vote(self, peer: str, sent: float, now: float, process: str = "") -> None:
        """A sibling's process promised; its time runs from when it got the request."""
        with self._lock:
            same = bool(process) and self._peer_processes.get(peer) == process
            if not self.is_leader or not (same or self.may_answer(now)):
                # The chain is broken: an earlier process of it may have been elected.
                return
            self._votes_until[peer] = sent + self._vote_s / CLOCK_DRIFT - MARGIN_S
            if self._votes_until.keys() >= set(self._peers):
                self._quorum_until = min(self._votes_until.values())

    def release_votes(self) -> None:
        """The lease holds again: the siblings may be told that they are free."""
        with self._lock:
            self._votes_until.clear()
            self._quorum_until = 0.0

    def process_ended(self, process: str) -> None:
        """A later process of the same node has answered: nothing binds us to this one."""
        if not process:
            # Of an older version, which does not say.
            return
        with self._lock:
            self._ended_processes.append(process)
            if self._vote_given is not None and self._vote_given.process_id == process:
                self._vote_given.until = 0.0

    def grant_vote(
        self, leader: str, token: int, seq: int, for_s: float, now: float, process: str = ""
    ) -> bool:
        """Promise not to stand for a while; False if that cannot be promised."""
        with self._lock:
            if (
                self.is_leader
                or self._is_candidate
                or self._candidacy_unresolved
                or token < self.highest_seen_token
            ):
                return False
            if process in self._ended_processes:
                return False
            given = self._vote_given
            if given is not None and (token, seq) <= (given.fencing_token, given.seq):
                # Delivered late: it must not undo a newer request.
                return False
            if given is not None and given.leader != leader and now < given.until:
                return False
            # A promise outlasts its asker's count of it; none is made that a
            # restart would not wait out.
            until = now + min(for_s, self._vote_s) * CLOCK_DRIFT if for_s > 0 else 0.0
            self.highest_seen_token = token
            self._vote_given = _GrantedVote(leader, process, token, seq, until)
            return True
