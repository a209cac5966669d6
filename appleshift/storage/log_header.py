"""The header of a shard's log: which snapshot is in force and where the log goes on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class LogHeader:
    """Value of the key ``meta``. A snapshot that it doesn't name doesn't count."""

    generation: int = 0
    """Generation of the snapshot in force; 0: none was ever taken."""
    pages: int = 0
    """Number of pages of that snapshot."""
    first_entry: int = 1
    """Number of the first log entry that the snapshot does not cover."""
    final_state_pages: int = 0
    """Number of pages of final states."""
    audit_pages: tuple[int, int, int] = (0, 0, 0)
    """First audit page kept, next audit page, and how many entries all pages ever held."""

    def to_value(self, mark: str) -> dict[str, Any]:
        """Encode for the store; ``mark`` identifies the transaction that writes it."""
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
        """Decode a stored header; those without counted resources have no audit pages."""
        first_page, next_page, entry_count = value.get("audit", (0, 0, 0))
        return cls(
            value["generation"],
            value["pages"],
            value["log_from"],
            value["finals"],
            (first_page, next_page, entry_count),
        )
