"""The header of a shard's write-ahead log: current snapshot and first log entry after it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class LogHeader:
    """Value of the key ``meta``; a snapshot takes effect only once this header refers to it."""

    generation: int = 0
    """Generation of the current snapshot; 0: no snapshot was ever taken."""
    pages: int = 0
    """Number of pages of the current snapshot."""
    first_entry: int = 1
    """Number of the first log entry that the snapshot does not cover."""
    final_state_pages: int = 0
    """Number of pages of final states."""
    audit_pages: tuple[int, int, int] = (0, 0, 0)
    """First audit page kept, next audit page, and number of entries ever written to pages."""

    def to_value(self, mark: str) -> dict[str, Any]:
        """Encode the header for the store; ``mark`` identifies the transaction that writes it."""
        value = {
            "generation": self.generation,
            "pages": self.pages,
            "log_from": self.first_entry,
            "finals": self.final_state_pages,
            "mark": mark,
        }
        return {**value, "audit": list(self.audit_pages)} if self.audit_pages[1] else value

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> LogHeader:
        """Decode a stored header; without counted resources, it has no audit pages."""
        first_page, next_page, entry_count = value.get("audit", (0, 0, 0))
        return cls(
            value["generation"],
            value["pages"],
            value["log_from"],
            value["finals"],
            (first_page, next_page, entry_count),
        )
