"""Whether this node reaches workers, by heartbeats and calls, then by probes of a sample.

Sans-IO. The evidence is of two kinds: a *contact* (a worker's heartbeat came to this node's
own listener, or a worker answered it) and a *miss* (a worker of the sample, probed after the
last contact, did not answer in time). Misses alone never tell a network partition from dead
machines or an unreachable zone: only a peer that had a contact since can (``PeerReports``).

A node that pauses is not taken for one that is cut off: a probe counts as missed only if
its own timeout was kept, and after a pause the misses are counted anew.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SAMPLE_SIZE = 6
"""Workers that the leader names for its peers to probe; spread over the zones."""
QUIET_S = 0.8
"""Without a contact for this long, workers are probed one after the other. The leader of a
dozen machines receives several heartbeats a second; a sample's answers take milliseconds."""
MIN_HEARTBEATS = 3
"""While workers do not answer probes, this many heartbeats within ``QUIET_S`` say that they
reach this node."""
MIN_UNANSWERED = 3
"""This many probes in a row, to two different workers if there are two, do not go unanswered
by accident."""
PROBE_TIMEOUT_S = 0.6
"""How long a probed worker may take to answer."""
LATE_MARGIN_S = 0.4
"""A probe that took this much longer than its timeout says that this node is late."""
IDLE_PROBE_INTERVAL_S = 1.0
"""A node without heartbeats probes one worker a second: 2 % of what a heartbeat a second
of each of a hundred machines costs, and some bytes."""
QUIET_POLL_INTERVAL_S = 0.05
"""How soon a node without a recent contact checks again whether to probe."""
POLL_INTERVAL_S = 0.2
"""How soon a node with a recent contact does."""
LONG_SILENCE_S = 10.0
"""After this long without any contact, a second more makes no difference."""
MIN_UNINTERRUPTED_S = 3.0
"""A successor has reached workers without a break for this long. A link that flaps makes
no node a successor."""


@dataclass(frozen=True, slots=True)
class ContactSummary:
    """How well a node reaches workers, in seconds."""

    age_s: float | None
    """Since its last contact; None: it had none yet."""
    uninterrupted_s: float
    """For how long it has had contacts without a break."""


class WorkerContacts:
    """Contacts and misses of one node.

    Written by the threads of connections and those that probe: each field is one object.
    """

    def __init__(self) -> None:
        """Start without a sample and without a contact."""
        self.sample: tuple[str, ...] = ()
        self._last_contact: float | None = None
        self._uninterrupted_since = float("inf")
        # Who did not answer since the last contact, and when the first was probed.
        self._unanswered: tuple[str, ...] = ()
        self._unanswered_since = float("inf")
        # When the last heartbeats came while workers did not answer.
        self._heartbeat_times: tuple[float, ...] = ()
        self._next_index = 0

    def set_sample(self, addresses: Iterable[str]) -> None:
        """Replace the workers that may be probed.

        Nothing is remembered of an earlier sample, whose workers may be gone by now.
        """
        sample = tuple(dict.fromkeys(addresses))[:SAMPLE_SIZE]
        if sample and sample != self.sample:
            self.sample = sample

    def clear(self) -> None:
        """There are no workers: no miss counts, and nobody waits for their answers."""
        self.sample = self._unanswered = ()

    def heartbeat_received(self, now: float) -> None:
        """Note a worker's heartbeat.

        Once workers do not answer, single heartbeats prove nothing: they may have been held
        up since before the partition, or be copies. One every few seconds once kept a leader
        that no worker reached for longer than the workers' leases.
        """
        if self._unanswered:
            times = self._heartbeat_times = (*self._heartbeat_times[1 - MIN_HEARTBEATS :], now)
            if len(times) < MIN_HEARTBEATS or now - times[0] > QUIET_S:
                return
        self.record_contact(now)

    def record_contact(self, now: float) -> None:
        """Note that a worker answered, or that heartbeats flow."""
        if (
            self._last_contact is None
            or now - self._last_contact > QUIET_S + IDLE_PROBE_INTERVAL_S + PROBE_TIMEOUT_S
        ):
            self._uninterrupted_since = now
        self._last_contact = now
        if self._unanswered:
            self._unanswered = ()

    def record_probe(self, address: str, sent: float, now: float, answered: bool) -> None:
        """Note the outcome of a probe sent at ``sent``."""
        if answered:
            self.record_contact(now)
        elif now - sent > PROBE_TIMEOUT_S + LATE_MARGIN_S:
            # It was this node that was late.
            self._unanswered = ()
        elif self._last_contact is None or sent >= self._last_contact:
            if not self._unanswered:
                self._unanswered_since = sent
            self._unanswered = (*self._unanswered[1 - SAMPLE_SIZE :], address)

    def next_to_probe(self, now: float) -> str | None:
        """The worker to probe now; None: no probe is due, or there is no sample."""
        return self.next_in_sample() if self.probe_due(now) else None

    def next_in_sample(self) -> str | None:
        """The next worker of the sample, whether or not a probe is due; None without one."""
        self._next_index += 1
        # Another thread may replace the sample meanwhile, also by an empty one.
        sample = self.sample
        return sample[self._next_index % len(sample)] if sample else None

    def probe_due(self, now: float) -> bool:
        """Whether a worker is to be probed now."""
        last_contact = self._last_contact
        if last_contact is None or self._unanswered:
            return True
        return now - last_contact >= QUIET_S

    def pause_s(self, now: float) -> float:
        """Seconds until the next check whether a probe is due."""
        last_contact = self._last_contact
        if last_contact is None or now - last_contact > LONG_SILENCE_S:
            return IDLE_PROBE_INTERVAL_S
        is_quiet = self._unanswered or now - last_contact >= QUIET_S
        return QUIET_POLL_INTERVAL_S if is_quiet else POLL_INTERVAL_S

    def has_unanswered_probes(self) -> bool:
        """Whether a worker did not answer: several are probed at once until one does."""
        return bool(self._unanswered)

    def workers_unreachable(self) -> bool:
        """Whether no worker answers any more, as far as this node can tell."""
        unanswered = self._unanswered
        return len(unanswered) >= MIN_UNANSWERED and len({*unanswered}) >= min(2, len(self.sample))

    @property
    def unanswered_since(self) -> float:
        """When the first of the unanswered probes was sent; infinity without one."""
        return self._unanswered_since if self._unanswered else float("inf")

    def had_contact_within(self, now: float, within_s: float) -> bool:
        """Whether the last contact was less than ``within_s`` ago."""
        return self._last_contact is not None and now - self._last_contact < within_s

    def summary(self, now: float) -> ContactSummary:
        """This node's contacts, for its peers."""
        if self._last_contact is None:
            return ContactSummary(None, 0.0)
        uninterrupted_s = 0.0 if self._unanswered else max(0.0, now - self._uninterrupted_since)
        return ContactSummary(max(0.0, now - self._last_contact), uninterrupted_s)
