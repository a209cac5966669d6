"""What peers say that they reach, compared with what this node reaches. Sans-IO.

Why this is safe: it only decides who *tries* to be elected and who gives leadership up.
Entitlement, fencing tokens, guards and lease votes are as they were, so a wrong verdict, an
old report or a node that lies costs time and nothing else.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.connectivity.worker_contacts import MIN_UNINTERRUPTED_S, ContactSummary

REPORT_VALID_S = 2.0
"""An older report of a peer counts for nothing."""
MAX_CONTACT_AGE_S = 2.5
"""A peer that reaches workers had a contact within this: it asks one a second, and its
report arrives within two thirds of a second."""
UNSURE_DELAY_S = 1.8
"""A node that just missed an answer of a worker waits this long for peers' reports: they ask
a worker a second, and their status arrives twice in that time."""
CUT_OFF_DELAY_S = 3.0
"""A node that is cut off from the workers leaves a free leader key this long to peers that
are not. It is longer than an election and a slow answer of the key-value store take; if no
peer is a candidate by then, a leader without workers is better than none."""


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's last report of what it reaches, and when it came."""

    received_at: float
    contacts: ContactSummary
    store_answers: bool
    """Whether the key-value store answered the peer when it was asked last."""

    def reaches_workers(self, now: float, since: float) -> bool:
        """Whether the peer reached workers after ``since``, and reaches the key-value store.

        Only a report that is recent counts, of a peer that has reached workers without a
        break: one whose link flaps is no successor.
        """
        age_s = self.contacts.age_s
        if now - self.received_at > REPORT_VALID_S or not self.store_answers or age_s is None:
            return False
        if age_s > MAX_CONTACT_AGE_S or self.contacts.uninterrupted_s < MIN_UNINTERRUPTED_S:
            return False
        return self.received_at - age_s > since


class PeerReports:
    """The last report of each peer of one node."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, PeerReport] = {}

    def update(self, peer: str, report: PeerReport) -> None:
        """Replace a peer's report by a newer one."""
        self._reports[peer] = report

    def remove(self, peer: str) -> None:
        """Drop a peer's report: it is another process now, and has not reported yet."""
        self._reports.pop(peer, None)

    def reaching_workers(self, now: float, since: float) -> list[str]:
        """Peers that reached workers after ``since``, and reach the key-value store.

        Not merely later than this node's own last contact: of two that are cut off in the
        same moment, one always had the later one.
        """
        return sorted(
            peer
            for peer, report in list(self._reports.items())
            if report.reaches_workers(now, since)
        )
