"""A token bucket that bounds the rate of calls."""

from __future__ import annotations

import threading

from appleshift.transport.concurrency import Runtime

_ROUNDING_ERROR = 1e-9
"""The bucket fills in floating point, so that a whole token may miss 1 by this much."""


class RateLimiter:
    """A token bucket: ``rate`` calls a second, with bursts of one second's worth."""

    def __init__(self, runtime: Runtime, rate: float) -> None:
        """The bucket is full at first; ``rate`` is in calls per second."""
        self._runtime = runtime
        self._rate = rate
        self._tokens = rate
        self._refilled_at = runtime.now()
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Take one token; False if there is none right now."""
        return self._acquire_or_wait_s() == 0.0

    def acquire(self) -> None:
        """Take one token; blocks until there is one."""
        while wait_s := self._acquire_or_wait_s():
            self._runtime.sleep(wait_s)

    def _acquire_or_wait_s(self) -> float:
        """0.0 if a token was taken, else the seconds until there will be one."""
        with self._lock:
            now = self._runtime.now()
            self._tokens = min(self._rate, self._tokens + (now - self._refilled_at) * self._rate)
            self._refilled_at = now
            if self._tokens >= 1.0 - _ROUNDING_ERROR:
                self._tokens -= 1.0
                return 0.0
            return (1.0 - self._tokens) / self._rate
