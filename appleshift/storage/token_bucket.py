"""A token bucket; the caller supplies the time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A rate limit that allows bursts of up to one second's tokens."""

    rate: float
    """Tokens added per second; also the capacity."""
    level: float = 0.0
    """Tokens available at ``refilled_at``."""
    refilled_at: float = 0.0
    """Time of the last refill, in seconds."""

    def refill(self, now: float) -> float:
        """Add the tokens accrued since the last refill; return the tokens available."""
        if now > self.refilled_at:
            self.level = min(self.rate, self.level + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.level
