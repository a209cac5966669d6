"""Success ratios over a sliding window of time, in constant memory for each key."""

from __future__ import annotations

from collections.abc import Iterator

WINDOW_S = 120.0
"""Ratios cover all outcomes younger than this, and none older than twice this."""


class SlidingRatio:
    """For each key: how many outcomes there were, and how many of them were good.

    Counts of two consecutive windows are kept; the older one is dropped as a whole.
    """

    def __init__(self, now: float) -> None:
        """Begin the first window at monotonic time ``now`` in seconds."""
        self._window_start = now
        self._current: dict[tuple[str, ...], list[int]] = {}
        self._previous: dict[tuple[str, ...], list[int]] = {}

    def record(self, key: tuple[str, ...], good: bool) -> None:
        """Count one outcome."""
        counts = self._current.get(key)
        if counts is None:
            counts = self._current[key] = [0, 0]
        counts[0] += good
        counts[1] += 1

    def rotate(self, now: float) -> None:
        """Begin a new window if the current one is over, and forget what is too old."""
        age = now - self._window_start
        if age >= WINDOW_S:
            self._previous = self._current if age < 2 * WINDOW_S else {}
            self._current = {}
            self._window_start = now

    def all(self) -> Iterator[tuple[tuple[str, ...], float, int]]:
        """Each key, in order, with its ratio of good outcomes and their total."""
        for key in sorted(self._current.keys() | self._previous.keys()):
            current_good, current_total = self._current.get(key, (0, 0))
            previous_good, previous_total = self._previous.get(key, (0, 0))
            total = current_total + previous_total
            yield key, (current_good + previous_good) / total, total
