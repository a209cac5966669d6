"""Token bucket rate limiter."""

from __future__ import annotations

import threading

from appleshift.transport.concurrency import Runtime

_ROUNDING_ERROR = 1e-9
"""Tolerance for floating point errors: a complete token may be this much below 1."""


class RateLimiter:
    """A token bucket that allows ``rate`` calls per second and holds the tokens of one second."""

    def __init__(self, runtime: Runtime, rate: float) -> None:
        """Start with a full bucket; ``rate`` is in calls per second."""
        self._runtime = runtime
        self._rate = rate
        self._tokens = rate
        self._refilled_at = runtime.now()
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Take one token without blocking; False if there is none."""
        return self._acquire_or_wait_s() == 0.0

    def acquire(self) -> None:
        """Take one token; block until there is one."""
        while wait_s := self._acquire_or_wait_s():
            self._runtime.sleep(wait_s)

    def _acquire_or_wait_s(self) -> float:
        """Take a token and return 0.0, or return the seconds until the next token."""
        with self._lock:
            now = self._runtime.now()
            self._tokens = min(self._rate, self._tokens + (now - self._refilled_at) * self._rate)
            self._refilled_at = now
            if self._tokens >= 1.0 - _ROUNDING_ERROR:
                self._tokens -= 1.0
                return 0.0
            return (1.0 - self._tokens) / self._rate
