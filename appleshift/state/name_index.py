"""Dense indices for names."""

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
