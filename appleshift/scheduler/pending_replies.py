"""Requests whose answer waits for records to become durable."""

from __future__ import annotations

from typing import Any


class PendingReplies:
    """The reply destinations that still wait, by identity and in order of arrival."""

    def __init__(self) -> None:
        """Begin with none."""
        self._by_id: dict[int, Any] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_id)

    def __contains__(self, reply_to: object) -> bool:
        """Tell whether this very destination waits."""
        return self._by_id.get(id(reply_to)) is reply_to

    def add(self, reply_to: Any) -> None:
        """Keep a destination until it is answered."""
        self._by_id[id(reply_to)] = reply_to

    def discard(self, reply_to: Any) -> None:
        """Forget a destination that has its answer."""
        self._by_id.pop(id(reply_to), None)

    def snapshot(self) -> list[Any]:
        """Return the destinations that wait, safe against answers given meanwhile."""
        return list(self._by_id.values())
