"""Tracks whether this node reaches workers, from heartbeats and probes. Does no I/O.

There are two kinds of evidence. A *contact*: a worker's heartbeat arrived at this node's
listener, or a worker answered a probe. An *unanswered probe*: a worker of the sample, probed
after the last contact, did not answer in time. Unanswered probes alone cannot distinguish a
network partition from failed machines or an unreachable zone; that takes a peer that has had
a contact since (``PeerReports``).

A node whose process pauses is not treated as cut off: a probe counts as unanswered only if it
ended close to its timeout, and a probe that took longer resets the count.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SAMPLE_SIZE = 6
"""Number of workers, spread over the zones, that the leader sends to its peers to probe."""
PROBE_AFTER_S = 0.8
"""After this long without a contact, workers are probed one after the other. The leader of a
dozen machines receives several heartbeats a second, and a worker answers a probe within
milliseconds."""
MIN_HEARTBEATS = 3
"""While there are unanswered probes, this many heartbeats within ``PROBE_AFTER_S`` count as a
contact."""
MIN_UNANSWERED = 3
"""Consecutive unanswered probes after which workers count as unreachable. They must be to at
least two different workers if the sample has two."""
PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe."""
PROCESS_PAUSE_MARGIN_S = 0.4
"""A probe that takes this much longer than its timeout shows that this process was paused."""
IDLE_PROBE_INTERVAL_S = 1.0
"""Interval at which a node without heartbeats probes a worker. This costs 2 % of what one
heartbeat a second from each of a hundred machines costs, and a few bytes."""
PROBING_POLL_INTERVAL_S = 0.05
"""Interval between checks whether a probe is due, without a recent contact."""
POLL_INTERVAL_S = 0.2
"""Interval between checks whether a probe is due, after a recent contact."""
PROBE_BACKOFF_AFTER_S = 10.0
"""After this long without a contact, workers are only probed every ``IDLE_PROBE_INTERVAL_S``:
another second makes no difference."""
MIN_UNINTERRUPTED_S = 3.0
"""A peer is a suitable successor only if it has reached workers without interruption for this
long. This excludes a peer whose link flaps."""


@dataclass(frozen=True, slots=True)
class ContactSummary:
    """A node's contacts with workers."""

    age_s: float | None
    """Seconds since the last contact; None if there was none."""
    uninterrupted_s: float
    """Seconds for which the node has had contacts without interruption."""


class WorkerContacts:
    """A node's contacts with workers, and its unanswered probes.

    Written by the connections' threads and the probe threads. Each attribute is replaced as
    one object, so no lock is needed.
    """

    def __init__(self) -> None:
        """Create it without a sample and without a contact."""
        self.sample: tuple[str, ...] = ()
        self._last_contact: float | None = None
        self._uninterrupted_since = float("inf")
        # Addresses of the workers whose probes are unanswered since the last contact.
        self._unanswered: tuple[str, ...] = ()
        # When the first of these probes was sent.
        self._unanswered_since = float("inf")
        # Arrival times of the latest heartbeats while there are unanswered probes.
        self._heartbeat_times: tuple[float, ...] = ()
        self._next_index = 0

    def set_sample(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of the workers to probe; an empty sample is ignored.

        The former sample is discarded, because its workers may no longer exist.
        """
        sample = tuple(dict.fromkeys(addresses))[:SAMPLE_SIZE]
        if sample and sample != self.sample:
            self.sample = sample

    def clear(self) -> None:
        """Remove the sample and all unanswered probes, because there are no workers."""
        self.sample = self._unanswered = ()

    def heartbeat_received(self, now: float) -> None:
        """Record a worker's heartbeat that arrived at this node.

        While there are unanswered probes, a single heartbeat is no contact: it may have been
        delayed since before the partition, or be a copy. When each heartbeat was a contact,
        one every few seconds kept an unreachable leader for longer than the workers' leases.
        """
        if self._unanswered:
            times = self._heartbeat_times = (*self._heartbeat_times[1 - MIN_HEARTBEATS :], now)
            if len(times) < MIN_HEARTBEATS or now - times[0] > PROBE_AFTER_S:
                return
        self.record_contact(now)

    def record_contact(self, now: float) -> None:
        """Record a contact: a worker answered a probe, or sent a heartbeat that counts as one.

        Contacts are interrupted by a gap that is longer than a node without heartbeats takes
        until its next probe has ended.
        """
        if (
            self._last_contact is None
            or now - self._last_contact > PROBE_AFTER_S + IDLE_PROBE_INTERVAL_S + PROBE_TIMEOUT_S
        ):
            self._uninterrupted_since = now
        self._last_contact = now
        if self._unanswered:
            self._unanswered = ()

    def record_probe(self, address: str, sent: float, now: float, answered: bool) -> None:
        """Record the outcome of a probe that was sent at ``sent`` and ended at ``now``."""
        if answered:
            self.record_contact(now)
        elif now - sent > PROBE_TIMEOUT_S + PROCESS_PAUSE_MARGIN_S:
            # This process was paused, so the probe and earlier ones prove nothing.
            self._unanswered = ()
        elif self._last_contact is None or sent >= self._last_contact:
            if not self._unanswered:
                self._unanswered_since = sent
            self._unanswered = (*self._unanswered[1 - SAMPLE_SIZE :], address)

    def next_to_probe(self, now: float) -> str | None:
        """The address of the worker to probe now; None without a due probe or a sample."""
        return self.next_in_sample() if self.probe_due(now) else None

    def next_in_sample(self) -> str | None:
        """The address of the sample's next worker, even if no probe is due; None if empty."""
        self._next_index += 1
        # Another thread may replace the sample at any time, even by an empty one.
        sample = self.sample
        return sample[self._next_index % len(sample)] if sample else None

    def probe_due(self, now: float) -> bool:
        """Whether a worker must be probed now."""
        last_contact = self._last_contact
        if last_contact is None or self._unanswered:
            return True
        return now - last_contact >= PROBE_AFTER_S

    def pause_s(self, now: float) -> float:
        """Seconds to wait before the next check whether a probe is due."""
        last_contact = self._last_contact
        if last_contact is None or now - last_contact > PROBE_BACKOFF_AFTER_S:
            return IDLE_PROBE_INTERVAL_S
        is_probing = self._unanswered or now - last_contact >= PROBE_AFTER_S
        return PROBING_POLL_INTERVAL_S if is_probing else POLL_INTERVAL_S

    def has_unanswered_probes(self) -> bool:
        """Whether a probe since the last contact is unanswered."""
        return bool(self._unanswered)

    def workers_unreachable(self) -> bool:
        """Whether enough consecutive probes are unanswered to treat all workers as unreachable."""
        unanswered = self._unanswered
        return len(unanswered) >= MIN_UNANSWERED and len({*unanswered}) >= min(2, len(self.sample))

    @property
    def unanswered_since(self) -> float:
        """When the first unanswered probe was sent; infinity without one."""
        return self._unanswered_since if self._unanswered else float("inf")

    def had_contact_within(self, now: float, within_s: float) -> bool:
        """Whether the last contact was less than ``within_s`` seconds ago."""
        return self._last_contact is not None and now - self._last_contact < within_s

    def summary(self, now: float) -> ContactSummary:
        """This node's contacts, as reported to its peers."""
        if self._last_contact is None:
            return ContactSummary(None, 0.0)
        uninterrupted_s = 0.0 if self._unanswered else max(0.0, now - self._uninterrupted_since)
        return ContactSummary(max(0.0, now - self._last_contact), uninterrupted_s)
