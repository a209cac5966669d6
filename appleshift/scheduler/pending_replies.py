"""The requests that will be answered once records are durable."""

from __future__ import annotations

from typing import Any


class PendingReplies:
    """The reply destinations of pending requests, by identity and in order of arrival."""

    def __init__(self) -> None:
        """Start without pending requests."""
        self._by_id: dict[int, Any] = {}

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._by_id)

    def __contains__(self, reply_to: object) -> bool:
        """Return whether this object, compared by identity, is pending."""
        return self._by_id.get(id(reply_to)) is reply_to

    def add(self, reply_to: Any) -> None:
        """Add a reply destination until it is answered."""
        self._by_id[id(reply_to)] = reply_to

    def discard(self, reply_to: Any) -> None:
        """Remove a reply destination that was answered."""
        self._by_id.pop(id(reply_to), None)

    def destinations(self) -> list[Any]:
        """Return a copy of the pending destinations, safe to iterate while they are removed."""
        return list(self._by_id.values())
