"""What the scheduler decided, for others to carry out.

The scheduler does no input or output. Its shard replica takes these actions after each
step and passes them to workers, the cloud, other shards and waiting requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol


class ReplyDestination(Protocol):
    """Where the sender of a request waits for its answer."""

    def put(self, item: Any) -> None:
        """Pass on (status, body, retry after in seconds)."""
        ...


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request."""

    reply_to: ReplyDestination
    """As it came with the request."""
    status: int
    """An HTTP status."""
    body: Any
    """A dict, or a message of ``protocol.sharding`` for the leader of another shard."""
    retry_after_s: int = 0
    """Seconds after which the request may be repeated; 0: not said."""


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Send commands directly to a worker; the outcome comes back as ``CommandsSent``."""

    machine: str
    addr: str
    agent_epoch: int
    """The epoch that the commands are for; a worker in another one refuses them."""
    commands: list[dict[str, Any]]
    starts: tuple[tuple[str, int], ...] = ()
    """Task and attempt of each start among the commands."""
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class ProbeMachine:
    """Ask a silent worker for a heartbeat; it comes back as ``ProbeAnswered``."""

    machine: str
    addr: str


@dataclass(frozen=True, slots=True)
class RentMachines:
    """Rent machines of one type from the cloud; answered by ``RentalAnswered``."""

    request: str
    """Identifies the rental to the cloud, so that it can be repeated."""
    type: str
    zone: str
    spot: bool
    count: int


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Delete rented machines in one call; answered by ``DeletionAnswered``."""

    machines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CallShard:
    """Call the leader of another shard; answered by ``ShardReplyReceived``."""

    shard: int
    message: Any
    """A message of ``protocol.sharding``."""


Action = Reply | SendCommands | ProbeMachine | RentMachines | DeleteMachines | CallShard
