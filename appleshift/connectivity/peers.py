"""What siblings say that they reach, compared with what this node does. Sans-IO.

Why this is safe: it only decides who *tries* to be elected and who gives leadership up.
Entitlement, tokens, guards and promises are as they were, so a wrong verdict, an old
word or a node that lies costs time and nothing else.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.connectivity.monitor import MIN_UNINTERRUPTED_S, ContactSummary

REPORT_VALID_S = 2.0
"""What a sibling said of itself is this young, or it says nothing."""
MAX_CONTACT_AGE_S = 2.5
"""Whoever reaches workers had a contact within this: asked once a second, told within
two thirds of one."""
UNSURE_DELAY_S = 1.8
"""So long a node that just missed a worker waits for siblings' words: they ask a worker a
second and are heard twice in that time."""
CUT_OFF_DELAY_S = 3.0
"""So long does a node that is cut off from the workers leave a free key to siblings that
are not. Longer than an election and a slow answer of the state service take; if none of
them stands by then, a leader without workers is better than none."""


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A sibling's last word, and when it came."""

    received_at: float
    contacts: ContactSummary
    store_answers: bool
    """The state service answers it."""


class PeerReports:
    """Of one node: the last word of each sibling."""

    def __init__(self) -> None:
        self._reports: dict[str, PeerReport] = {}

    def update(self, peer: str, word: PeerReport) -> None:
        self._reports[peer] = word

    def forget(self, peer: str) -> None:
        """It is another process now, and has not said anything yet."""
        self._reports.pop(peer, None)

    def reaching_workers(self, now: float, since: float) -> list[str]:
        """Siblings that reached workers after ``since``, and the state service.

        Not merely later than this node's own last contact: of two that are cut off in the
        same moment, one always had the later one.
        """
        found = []
        for name, word in list(self._reports.items()):
            if (
                now - word.received_at > REPORT_VALID_S
                or not word.store_answers
                or word.contacts.age_s is None
            ):
                continue
            if (
                word.contacts.age_s > MAX_CONTACT_AGE_S
                or word.contacts.uninterrupted_s < MIN_UNINTERRUPTED_S
            ):
                continue
            if word.received_at - word.contacts.age_s > since:
                found.append(name)
        return sorted(found)
