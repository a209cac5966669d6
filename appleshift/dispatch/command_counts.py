"""Counts of direct commands, their results and raised fencing tokens, for the log."""

from __future__ import annotations

import logging
from dataclasses import dataclass

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 30.0


@dataclass(slots=True)
class CommandCounts:
    """Counts of one leader term since they were last logged."""

    next_log_at: float
    sent: int = 0
    """Messages with direct commands."""
    refused: int = 0
    """Of these, refused by the worker for their token or agent epoch."""
    unanswered: int = 0
    """Of these, without a response."""
    tokens_raised: int = 0
    """Machines' fencing tokens that were raised so that ended attempts can be cleared."""

    def record_result(self, outcome: str) -> None:
        """Count the result of direct commands: ``done``, ``refused`` or ``unknown``."""
        self.refused += outcome == "refused"
        self.unanswered += outcome == "unknown"

    def log_if_due(self, now: float, fencing_token: int) -> None:
        """Log the counts twice a minute, unless all are 0, and start again from 0."""
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        if self.sent or self.refused or self.unanswered or self.tokens_raised:
            log.info(
                "direct commands token=%d sent=%d refused=%d unanswered=%d tokens_raised=%d",
                fencing_token,
                self.sent,
                self.refused,
                self.unanswered,
                self.tokens_raised,
            )
        self.sent = self.refused = self.unanswered = self.tokens_raised = 0
