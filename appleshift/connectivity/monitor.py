"""Whether this node reaches workers, by what it hears and asks anyway, then by a sample.

Sans-IO. The evidence is of two kinds: a *contact* (a worker's report came to this node's
own door, or a worker answered it) and a *miss* (a worker of the sample, asked after the
last contact, did not answer in time). Misses alone never tell a cut from dead machines or
a dark zone: only a sibling that had a contact since can (``Others``).

A node that stands still is not taken for one that is cut off: a question counts as missed
only if its own time was kept, and after a standstill the misses begin anew.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SAMPLE = 6
"""Workers that the leader names for others to ask; over the zones."""
QUIET_S = 0.8
"""Without a contact for this long, workers are asked one after the other. The leader of a
dozen machines hears several reports a second; a sample's answers take milliseconds."""
FLOW = 3
"""While workers do not answer, so many reports within that time say that they reach this node."""
MISSES = 3
"""So many workers in a row, two of them different if there are two, are no accident."""
ASK_S = 0.6
LATE_S = 0.4
"""A question that took so much longer than it may says that this node is late."""
IDLE_ASK_S = 1.0
"""A node to which nobody reports asks one worker a second: 2 % of what a report a second
of each of a hundred machines costs, and some bytes."""
LONG_S = 10.0
"""After so long without any contact, nothing hangs on a second more."""
STEADY_S = 3.0
"""Whoever is to take over has reached workers without a break for this long. A link that
comes and goes makes nobody a successor."""


@dataclass(frozen=True, slots=True)
class Seen:
    """What a node says of its sight, in seconds; None: it had no contact yet."""

    age_s: float | None
    steady_s: float


class Sight:
    """Written by connections' routines and those that ask: each field is one object."""

    def __init__(self) -> None:
        self.sample: tuple[str, ...] = ()
        self._contact: float | None = None
        self._steady_since = float("inf")
        # Who did not answer since the last contact, and when the first was asked.
        self._missed: tuple[str, ...] = ()
        self._missing_since = float("inf")
        # When the last reports came while workers did not answer.
        self._reports: tuple[float, ...] = ()
        self._turn = 0

    def offer(self, addresses: Iterable[str]) -> None:
        """Workers that may be asked; of an earlier sample, some of which may be gone by
        now, nothing is remembered."""
        some = tuple(dict.fromkeys(addresses))[:SAMPLE]
        if some and some != self.sample:
            self.sample = some

    def forget(self) -> None:
        """There are no workers: nothing is missed, and nobody waits for their answers."""
        self.sample = self._missed = ()

    def reported(self, now: float) -> None:
        """A worker's report came in. Once workers do not answer, single ones prove nothing:
        they may have been held up since before the cut, or be copies. One every few seconds
        once kept a leader that no worker reached for longer than the workers' leases."""
        if self._missed:
            times = self._reports = (*self._reports[1 - FLOW :], now)
            if len(times) < FLOW or now - times[0] > QUIET_S:
                return
        self.heard(now)

    def heard(self, now: float) -> None:
        """A worker answered, or reports flow."""
        if self._contact is None or now - self._contact > QUIET_S + IDLE_ASK_S + ASK_S:
            self._steady_since = now
        self._contact = now
        if self._missed:
            self._missed = ()

    def asked(self, address: str, sent: float, now: float, answered: bool) -> None:
        if answered:
            self.heard(now)
        elif now - sent > ASK_S + LATE_S:
            # It was this node that was late.
            self._missed = ()
        elif self._contact is None or sent >= self._contact:
            if not self._missed:
                self._missing_since = sent
            self._missed = (*self._missed[1 - SAMPLE :], address)

    def next(self, now: float) -> str | None:
        """Whom to ask now, if anybody."""
        return self.any() if self.due(now) else None

    def any(self) -> str | None:
        """The next worker of the sample, whoever needs an answer now; None without one."""
        self._turn += 1
        # Another routine may put another in its place, or none.
        sample = self.sample
        return sample[self._turn % len(sample)] if sample else None

    def due(self, now: float) -> bool:
        contact = self._contact
        if contact is None or self._missed:
            return True
        return now - contact >= QUIET_S

    def pause_s(self, now: float) -> float:
        """How soon to look again."""
        contact = self._contact
        if contact is None or now - contact > LONG_S:
            return IDLE_ASK_S
        return 0.05 if self._missed or now - contact >= QUIET_S else 0.2

    def suspect(self) -> bool:
        """A worker did not answer: several are asked at once until one does."""
        return bool(self._missed)

    def lost(self) -> bool:
        """No worker answers any more, as far as this node can tell."""
        missed = self._missed
        return len(missed) >= MISSES and len({*missed}) >= min(2, len(self.sample))

    @property
    def missing_since(self) -> float:
        """When the first worker was asked that did not answer."""
        return self._missing_since if self._missed else float("inf")

    def fresh(self, now: float, within_s: float) -> bool:
        """Was there a contact so lately?"""
        return self._contact is not None and now - self._contact < within_s

    def seen(self, now: float) -> Seen:
        if self._contact is None:
            return Seen(None, 0.0)
        steady = 0.0 if self._missed else max(0.0, now - self._steady_since)
        return Seen(max(0.0, now - self._contact), steady)
