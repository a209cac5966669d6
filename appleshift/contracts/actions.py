"""Actions: decisions of the scheduler that other parts execute.

The scheduler does no input or output. After each of its steps, the shard replica executes the
actions: it calls workers, the cloud and other shards, and answers requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.protocol.sharding import ShardRequest


class ReplyDestination(Protocol):
    """A queue on which the thread that received a request waits for the scheduler's answer."""

    def put(self, item: Any) -> None:
        """Deliver the answer: (HTTP status, body, retry after in seconds)."""
        ...


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request."""

    reply_to: ReplyDestination
    """The destination given in the request."""
    status: int
    """The HTTP status of the response."""
    body: Any
    """A dict, or a message of ``protocol.sharding`` for the leader of another shard."""
    retry_after_s: int = 0
    """Seconds after which the request may be repeated; 0: not specified."""


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Send commands directly to a worker; the result is a ``CommandsSent`` event."""

    machine: str
    addr: str
    agent_epoch: int
    """The agent epoch for which the commands are meant; a worker in another one refuses them."""
    commands: list[dict[str, Any]]
    fencing_token: int
    """The token of the message; a worker that has received a higher one refuses it."""


@dataclass(frozen=True, slots=True)
class ProbeMachine:
    """Request a heartbeat from a silent worker; the result is a ``ProbeAnswered`` event."""

    machine: str
    addr: str


@dataclass(frozen=True, slots=True)
class RentMachines:
    """Rent machines of one type; the result is a ``RentalAnswered`` event."""

    request: str
    """Id of the rental, by which the cloud recognizes a repeated request."""
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Delete rented machines in one call; the result is a ``DeletionAnswered`` event."""

    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallShard:
    """Call the leader of another shard; the result is a ``ShardReplyReceived`` event."""

    shard: int
    """The shard to call."""
    message: ShardRequest


Action = Reply | SendCommands | ProbeMachine | RentMachines | DeleteMachines | CallShard
