"""Sets of task numbers whose memory follows the number of contiguous ranges.

A job may have 100,000 tasks, and a leader holds many such jobs. Tasks mostly change in
contiguous ranges, so a compressed bitmap of a job that nobody has touched takes some hundred
bytes whatever its size. At worst it takes as much as a plain bitmap.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from pyroaring import BitMap


class TaskSet(BitMap):
    """A sorted set of the numbers of a job's tasks."""

    __slots__ = ()

    @classmethod
    def from_ranges(cls, flat: list[int], within: range | None = None) -> TaskSet:
        """Return the numbers in a flat list of [first, last] pairs; half a pair is ignored.

        With ``within``, only the numbers inside it.
        """
        tasks = cls()
        for first, last in zip(flat[::2], flat[1::2], strict=False):
            start, stop = first, last + 1
            if within is not None:
                start, stop = max(start, within.start), min(stop, within.stop)
            if start < stop:
                tasks.add_range(start, stop)
        return tasks

    def first(self, count: int) -> list[int]:
        """Return the ``count`` smallest numbers, or all if there are fewer."""
        return list(islice(self, count))

    def ranges(self) -> list[int]:
        """Return the numbers as a flat list of [first, last] pairs.

        The cost follows the number of pairs, not the number of tasks.
        """
        flat: list[int] = []
        if not self:
            return flat
        stop = self.max() + 1
        # One past the largest number is never in the set, so every range has an end here.
        absent = self.flip(0, stop + 1)
        position = 0
        while position < stop:
            first = self.next_set_bit(position)
            position = absent.next_set_bit(first)
            flat += (first, position - 1)
        return flat


def to_ranges(tasks: Iterable[int]) -> list[int]:
    """Return task numbers as a flat list of [first, last] pairs.

    Tasks mostly change in contiguous ranges, so this is shorter than a list of numbers.
    """
    return (tasks if isinstance(tasks, TaskSet) else TaskSet(tasks)).ranges()
