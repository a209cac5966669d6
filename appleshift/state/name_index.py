"""Dense indices for names, and the encoding of sorted numbers as ranges."""

from __future__ import annotations


class NameIndex:
    """Assigns consecutive indices to names; an index is never reassigned."""

    __slots__ = ("_indices", "names")

    def __init__(self) -> None:
        """Create an empty index."""
        self.names: list[str] = []
        self._indices: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def add(self, name: str) -> int:
        """Return the index of a name; a new name gets the next index."""
        index = self._indices.get(name)
        if index is None:
            index = self._indices[name] = len(self.names)
            self.names.append(name)
        return index

    def get(self, name: str) -> int:
        """Return the index of a name; -1 for a name that was never added."""
        return self._indices.get(name, -1)


def to_ranges(numbers: list[int]) -> list[int]:
    """Return numbers as a flat list of [first, last] pairs.

    Tasks mostly change in contiguous ranges, so this is shorter than a list of numbers.
    """
    flat: list[int] = []
    for number in sorted(numbers):
        if flat and number <= flat[-1] + 1:
            flat[-1] = max(flat[-1], number)
        else:
            flat += (number, number)
    return flat


def from_ranges(flat: list[int]) -> list[int]:
    """Return the numbers in a flat list of [first, last] pairs; the inverse of ``to_ranges``."""
    return [
        number
        for first, last in zip(flat[::2], flat[1::2], strict=True)
        for number in range(first, last + 1)
    ]


def numbers_within(flat: list[int], within: range) -> list[int]:
    """Return the numbers in a flat list of [first, last] pairs that lie in ``within``.

    For lists from other shards: ignores half a pair, and its cost does not depend on the
    size of the pairs.
    """
    return [
        number
        for first, last in zip(flat[::2], flat[1::2], strict=False)
        for number in range(max(first, within.start), min(last + 1, within.stop))
    ]
