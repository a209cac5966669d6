"""Counts over a window of time that take the same room however long it runs."""

from __future__ import annotations

from collections.abc import Iterator

WINDOW_S = 120.0
"""What is counted is between one and two of these old, or younger."""


class SlidingRatio:
    """For each key: of so many, so many were well."""

    def __init__(self, now: float) -> None:
        self._began = now
        self._now: dict[tuple[str, ...], list[int]] = {}
        self._before: dict[tuple[str, ...], list[int]] = {}

    def record(self, key: tuple[str, ...], well: bool) -> None:
        found = self._now.get(key)
        if found is None:
            found = self._now[key] = [0, 0]
        found[0] += well
        found[1] += 1

    def rotate(self, now: float) -> None:
        """Forget what is too old."""
        if now - self._began >= WINDOW_S:
            self._before = self._now if now - self._began < 2 * WINDOW_S else {}
            self._now = {}
            self._began = now

    def all(self) -> Iterator[tuple[tuple[str, ...], float, int]]:
        """Each key with the part of it that was well, and of how many."""
        for key in sorted(self._now.keys() | self._before.keys()):
            well, total = (
                sum(each)
                for each in zip(
                    self._now.get(key, (0, 0)), self._before.get(key, (0, 0)), strict=True
                )
            )
            yield key, well / total, total
