"""What the core wants done: it decides, others do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the request that waits in ``slot``."""

    slot: Any
    status: int
    body: dict[str, Any]
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Push:
    """Send commands straight to a worker; the outcome comes back as an event."""

    machine: str
    addr: str
    session: int
    commands: list[dict[str, Any]]
    starts: tuple[tuple[str, int], ...] = ()
    token: int = 0


@dataclass(frozen=True, slots=True)
class Inspect:
    """Ask a silent worker for its report."""

    machine: str
    addr: str


@dataclass(frozen=True, slots=True)
class Rent:
    request: str
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(frozen=True, slots=True)
class Delete:
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallShare:
    """Tell or ask the holder of another share; its answer comes back as an event."""

    share: int
    message: Any


Effect = Reply | Push | Inspect | Rent | Delete | CallShare
