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

SAMPLE_SIZE = 6
"""Workers that the leader names for others to ask; over the zones."""
QUIET_S = 0.8
"""Without a contact for this long, workers are asked one after the other. The leader of a
dozen machines hears several reports a second; a sample's answers take milliseconds."""
MIN_HEARTBEATS = 3
"""While workers do not answer, so many reports within that time say that they reach this node."""
MIN_UNANSWERED = 3
"""So many workers in a row, two of them different if there are two, are no accident."""
PROBE_TIMEOUT_S = 0.6
LATE_MARGIN_S = 0.4
"""A question that took so much longer than it may says that this node is late."""
IDLE_PROBE_INTERVAL_S = 1.0
"""A node to which nobody reports asks one worker a second: 2 % of what a report a second
of each of a hundred machines costs, and some bytes."""
LONG_SILENCE_S = 10.0
"""After so long without any contact, nothing hangs on a second more."""
MIN_UNINTERRUPTED_S = 3.0
"""Whoever is to take over has reached workers without a break for this long. A link that
comes and goes makes nobody a successor."""


@dataclass(frozen=True, slots=True)
class ContactSummary:
    """What a node says of its sight, in seconds; None: it had no contact yet."""

    age_s: float | None
    uninterrupted_s: float


class WorkerContacts:
    """Written by connections' routines and those that ask: each field is one object."""

    def __init__(self) -> None:
        self.sample: tuple[str, ...] = ()
        self._last_contact: float | None = None
        self._uninterrupted_since = float("inf")
        # Who did not answer since the last contact, and when the first was asked.
        self._unanswered: tuple[str, ...] = ()
        self._unanswered_since = float("inf")
        # When the last reports came while workers did not answer.
        self._heartbeat_times: tuple[float, ...] = ()
        self._next_index = 0

    def set_sample(self, addresses: Iterable[str]) -> None:
        """Workers that may be asked; of an earlier sample, some of which may be gone by
        now, nothing is remembered."""
        some = tuple(dict.fromkeys(addresses))[:SAMPLE_SIZE]
        if some and some != self.sample:
            self.sample = some

    def forget(self) -> None:
        """There are no workers: nothing is missed, and nobody waits for their answers."""
        self.sample = self._unanswered = ()

    def heartbeat_received(self, now: float) -> None:
        """A worker's report came in. Once workers do not answer, single ones prove nothing:
        they may have been held up since before the cut, or be copies. One every few seconds
        once kept a leader that no worker reached for longer than the workers' leases."""
        if self._unanswered:
            times = self._heartbeat_times = (*self._heartbeat_times[1 - MIN_HEARTBEATS :], now)
            if len(times) < MIN_HEARTBEATS or now - times[0] > QUIET_S:
                return
        self.contact(now)

    def contact(self, now: float) -> None:
        """A worker answered, or reports flow."""
        if (
            self._last_contact is None
            or now - self._last_contact > QUIET_S + IDLE_PROBE_INTERVAL_S + PROBE_TIMEOUT_S
        ):
            self._uninterrupted_since = now
        self._last_contact = now
        if self._unanswered:
            self._unanswered = ()

    def probed(self, address: str, sent: float, now: float, answered: bool) -> None:
        if answered:
            self.contact(now)
        elif now - sent > PROBE_TIMEOUT_S + LATE_MARGIN_S:
            # It was this node that was late.
            self._unanswered = ()
        elif self._last_contact is None or sent >= self._last_contact:
            if not self._unanswered:
                self._unanswered_since = sent
            self._unanswered = (*self._unanswered[1 - SAMPLE_SIZE :], address)

    def next_to_probe(self, now: float) -> str | None:
        """Whom to ask now, if anybody."""
        return self.next_in_sample() if self.probe_due(now) else None

    def next_in_sample(self) -> str | None:
        """The next worker of the sample, whoever needs an answer now; None without one."""
        self._next_index += 1
        # Another routine may put another in its place, or none.
        sample = self.sample
        return sample[self._next_index % len(sample)] if sample else None

    def probe_due(self, now: float) -> bool:
        contact = self._last_contact
        if contact is None or self._unanswered:
            return True
        return now - contact >= QUIET_S

    def pause_s(self, now: float) -> float:
        """How soon to look again."""
        contact = self._last_contact
        if contact is None or now - contact > LONG_SILENCE_S:
            return IDLE_PROBE_INTERVAL_S
        return 0.05 if self._unanswered or now - contact >= QUIET_S else 0.2

    def is_suspect(self) -> bool:
        """A worker did not answer: several are asked at once until one does."""
        return bool(self._unanswered)

    def is_lost(self) -> bool:
        """No worker answers any more, as far as this node can tell."""
        missed = self._unanswered
        return len(missed) >= MIN_UNANSWERED and len({*missed}) >= min(2, len(self.sample))

    @property
    def unanswered_since(self) -> float:
        """When the first worker was asked that did not answer."""
        return self._unanswered_since if self._unanswered else float("inf")

    def had_contact_within(self, now: float, within_s: float) -> bool:
        """Was there a contact so lately?"""
        return self._last_contact is not None and now - self._last_contact < within_s

    def summary(self, now: float) -> ContactSummary:
        if self._last_contact is None:
            return ContactSummary(None, 0.0)
        steady = 0.0 if self._unanswered else max(0.0, now - self._uninterrupted_since)
        return ContactSummary(max(0.0, now - self._last_contact), steady)
