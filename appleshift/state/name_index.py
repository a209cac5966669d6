"""Names mapped to dense indices at the door."""

from __future__ import annotations


class NameIndex:
    """Gives each new name the next small integer and never takes it back."""

    __slots__ = ("_numbers", "names")

    def __init__(self) -> None:
        self.names: list[str] = []
        self._numbers: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> int:
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = len(self.names)
            self.names.append(name)
        return number

    def get(self, name: str) -> int:
        """The name's index, or -1 for a name never seen."""
        return self._numbers.get(name, -1)


def to_ranges(numbers: list[int]) -> list[int]:
    """Sorted numbers as flat [first, last] pairs: arrays mostly move in runs."""
    flat: list[int] = []
    for number in sorted(numbers):
        if flat and number <= flat[-1] + 1:
            flat[-1] = max(flat[-1], number)
        else:
            flat += (number, number)
    return flat


def from_ranges(flat: list[int]) -> list[int]:
    return [
        number
        for first, last in zip(flat[::2], flat[1::2], strict=True)
        for number in range(first, last + 1)
    ]
