"""A token bucket on a clock that the caller supplies."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """A rate limit that allows bursts of one second's worth."""

    rate: float
    """Tokens per second; also the capacity."""
    level: float = 0.0
    """Tokens available at ``refilled_at``."""
    refilled_at: float = 0.0
    """Time of the last refill, in seconds."""

    def refill(self, now: float) -> float:
        """Add the tokens due since the last refill and return the level."""
        if now > self.refilled_at:
            self.level = min(self.rate, self.level + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.level
