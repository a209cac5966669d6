"""Success ratios over a sliding time window, with constant memory per key."""

from __future__ import annotations

from collections.abc import Iterator

WINDOW_S = 120.0
"""Ratios cover all outcomes of the last ``WINDOW_S`` and none older than twice that."""


class SlidingRatio:
    """Counts outcomes and successes per key.

    Keeps the counts of two consecutive windows and drops the older window as a whole.
    """

    def __init__(self, now: float) -> None:
        """Start the first window at monotonic time ``now`` in seconds."""
        self._window_start = now
        self._current: dict[tuple[str, ...], list[int]] = {}
        self._previous: dict[tuple[str, ...], list[int]] = {}

    def record(self, key: tuple[str, ...], success: bool) -> None:
        """Count one outcome of a key in the current window."""
        counts = self._current.get(key)
        if counts is None:
            counts = self._current[key] = [0, 0]
        counts[0] += success
        counts[1] += 1

    def rotate(self, now: float) -> None:
        """Start a new window if the current one has ended at ``now``, and drop old counts."""
        age = now - self._window_start
        if age >= WINDOW_S:
            self._previous = self._current if age < 2 * WINDOW_S else {}
            self._current = {}
            self._window_start = now

    def all(self) -> Iterator[tuple[tuple[str, ...], float, int]]:
        """Yield each key in sorted order with its success ratio and number of outcomes."""
        for key in sorted(self._current.keys() | self._previous.keys()):
            current_successes, current_total = self._current.get(key, (0, 0))
            previous_successes, previous_total = self._previous.get(key, (0, 0))
            total = current_total + previous_total
            yield key, (current_successes + previous_successes) / total, total
