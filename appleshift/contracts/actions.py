"""What the core wants done: it decides, others do."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the request that waits in ``slot``."""

    reply_to: Any
    status: int
    body: dict[str, Any]
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Send commands straight to a worker; the outcome comes back as an event."""

    machine: str
    addr: str
    agent_epoch: int
    commands: list[dict[str, Any]]
    starts: tuple[tuple[str, int], ...] = ()
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class ProbeMachine:
    """Ask a silent worker for its report."""

    machine: str
    addr: str


@dataclass(frozen=True, slots=True)
class RentMachines:
    request: str
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallShard:
    """Tell or ask the holder of another share; its answer comes back as an event."""

    shard: int
    message: Any


Action = Reply | SendCommands | ProbeMachine | RentMachines | DeleteMachines | CallShard
