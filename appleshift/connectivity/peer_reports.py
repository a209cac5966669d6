"""Compares the connectivity that peers report with that of this node. Does no I/O.

Why this is safe: it only decides which node *tries* to be elected and which leader hands over.
It does not affect leader leases, fencing tokens, transaction guards or lease votes, so a wrong
decision, an old report or a node that reports falsely costs time and nothing else.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.connectivity.worker_contacts import MIN_UNINTERRUPTED_S, ContactSummary

MAX_REPORT_AGE_S = 2.0
"""An older peer report is ignored."""
MAX_CONTACT_AGE_S = 2.5
"""Maximum age of the last contact of a peer that reaches workers: it probes a worker every
second, and its report arrives within two thirds of a second."""
UNCERTAIN_CANDIDACY_DELAY_S = 1.8
"""How long a node with an unanswered probe waits for peers' reports before its candidacy: peers
probe a worker every second, and their status arrives twice within this time."""
UNREACHABLE_CANDIDACY_DELAY_S = 3.0
"""How long a node that cannot reach workers leaves a free leader key to peers that can. This is
longer than an election plus a slow response of the key-value store. If no peer has become
leader after it, a leader that cannot reach workers is better than none."""


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's connectivity, as the peer last reported it."""

    received_at: float
    """This node's time when the report arrived."""
    contacts: ContactSummary
    """The peer's contacts with workers."""
    store_reachable: bool
    """Whether the key-value store answered the peer's last request."""

    def reaches_workers(self, now: float, since: float) -> bool:
        """Whether the peer reached workers after ``since``, and reaches the key-value store.

        False if the report is too old, or if the peer has not reached workers without
        interruption: a peer whose link flaps is not a suitable successor.
        """
        age_s = self.contacts.age_s
        if now - self.received_at > MAX_REPORT_AGE_S or not self.store_reachable or age_s is None:
            return False
        if age_s > MAX_CONTACT_AGE_S or self.contacts.uninterrupted_s < MIN_UNINTERRUPTED_S:
            return False
        return self.received_at - age_s > since


class PeerReports:
    """The last report of each peer, by the peer's name."""

    def __init__(self) -> None:
        """Create it without reports."""
        self._reports: dict[str, PeerReport] = {}

    def update(self, peer: str, report: PeerReport) -> None:
        """Store a peer's newest report."""
        self._reports[peer] = report

    def remove(self, peer: str) -> None:
        """Remove a peer's report, if there is one."""
        self._reports.pop(peer, None)

    def reaching_workers(self, now: float, since: float) -> list[str]:
        """Peers that reached workers after ``since``, and reach the key-value store.

        ``since`` must be later than this node's last contact: of two nodes that are cut off
        at the same moment, one always had the later contact.
        """
        return sorted(
            peer
            for peer, report in list(self._reports.items())
            if report.reaches_workers(now, since)
        )
