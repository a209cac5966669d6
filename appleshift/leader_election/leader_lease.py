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

DRIFT = 1.002
MARGIN_S = 0.05
ENDED_KEPT = 64
"""Requests of processes that ended before so many others are too old to arrive."""


@dataclass(slots=True)
class _Pledge:
    leader: str
    process: str
    token: int
    seq: int
    until: float


class Leadership:
    """Lease and pledges, seen from one node."""

    def __init__(self, siblings: list[str], pledge_s: float, now: float) -> None:
        self._lock = threading.Lock()
        self._siblings = siblings
        self._pledge_s = pledge_s
        # A promise made before a restart holds until then.
        self._cleared_at = now + pledge_s * DRIFT + MARGIN_S if siblings else now
        self._cleared_by: set[str] = set()
        self._given: _Pledge | None = None
        self._ended: deque[str] = deque(maxlen=ENDED_KEPT)
        self._standing = False
        self._unsettled = False
        self._lease_until = 0.0
        self._granted: dict[str, float] = {}
        # The siblings' processes, as they were heard while this node was entitled.
        self._heard: dict[str, str] = {}
        self._pledge_until = 0.0
        self.leading = False
        self.token = 0
        self.seen_token = 0

    # -- what this node may do ------------------------------------------------

    def may_write(self, now: float) -> bool:
        return self.leading and now < self._lease_until

    def may_answer(self, now: float) -> bool:
        return self.leading and (now < self._lease_until or now < self._pledge_until)

    def entitled_for_s(self, now: float) -> float:
        """For how long this node may still answer, whatever happens to it; 0: it may not."""
        if not self.leading:
            return 0.0
        return max(0.0, self._lease_until - now, self._pledge_until - now)

    # -- standing ---------------------------------------------------------------

    def sibling_cleared(self, sibling: str) -> None:
        """A sibling said, after our start, that it does not lead."""
        with self._lock:
            self._cleared_by.add(sibling)

    def cleared(self, now: float) -> bool:
        return now >= self._cleared_at or self._cleared_by.issuperset(self._siblings)

    def begin_standing(self, now: float) -> bool:
        with self._lock:
            pledged = self._given is not None and now < self._given.until
            if self.leading or pledged or not self.cleared(now):
                return False
            self._standing = True
            return True

    def end_standing(self, settled: bool) -> None:
        """``settled``: no transaction of ours can elect us any more."""
        with self._lock:
            self._standing = False
            self._unsettled = not settled

    def unsettled(self) -> bool:
        return self._unsettled

    def won(self, token: int, lease_sent: float, ttl_s: float) -> None:
        with self._lock:
            self._standing = self._unsettled = False
            self.leading = True
            self.token = self.seen_token = token
            self._granted.clear()
            self._heard.clear()
            self._pledge_until = 0.0
            self._lease_until = lease_sent + ttl_s / DRIFT - MARGIN_S

    def renewed(self, sent: float, ttl_s: float) -> None:
        with self._lock:
            self._lease_until = max(self._lease_until, sent + ttl_s / DRIFT - MARGIN_S)

    def lost(self) -> None:
        with self._lock:
            self.leading = False
            self._lease_until = self._pledge_until = 0.0
            self._granted.clear()

    # -- pledges --------------------------------------------------------------------

    def heard(self, sibling: str, process: str, now: float) -> None:
        """That process of a sibling said something; it counts if we were entitled by then."""
        with self._lock:
            if process and self.may_answer(now):
                self._heard[sibling] = process

    def pledged_by(self, sibling: str, sent: float, now: float, process: str = "") -> None:
        """A sibling's process promised; its time runs from when it got the request."""
        with self._lock:
            same = bool(process) and self._heard.get(sibling) == process
            if not self.leading or not (same or self.may_answer(now)):
                # The chain is broken: an earlier process of it may have been elected.
                return
            self._granted[sibling] = sent + self._pledge_s / DRIFT - MARGIN_S
            if self._granted.keys() >= set(self._siblings):
                self._pledge_until = min(self._granted.values())

    def release_pledges(self) -> None:
        """The lease holds again: the siblings may be told that they are free."""
        with self._lock:
            self._granted.clear()
            self._pledge_until = 0.0

    def process_ended(self, process: str) -> None:
        """A later process of the same node has answered: nothing binds us to this one."""
        if not process:
            # Of an older version, which does not say.
            return
        with self._lock:
            self._ended.append(process)
            if self._given is not None and self._given.process == process:
                self._given.until = 0.0

    def give_pledge(
        self, leader: str, token: int, seq: int, for_s: float, now: float, process: str = ""
    ) -> bool:
        """Promise not to stand for a while; False if that cannot be promised."""
        with self._lock:
            if self.leading or self._standing or self._unsettled or token < self.seen_token:
                return False
            if process in self._ended:
                return False
            given = self._given
            if given is not None and (token, seq) <= (given.token, given.seq):
                # Delivered late: it must not undo a newer request.
                return False
            if given is not None and given.leader != leader and now < given.until:
                return False
            # A promise outlasts its asker's count of it; none is made that a
            # restart would not wait out.
            until = now + min(for_s, self._pledge_s) * DRIFT if for_s > 0 else 0.0
            self.seen_token = token
            self._given = _Pledge(leader, process, token, seq, until)
            return True
