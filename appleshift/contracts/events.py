"""Events for the scheduler's thread, with one struct for each type of event.

Every event except ``HandOverRequested`` is for one shard. An ``ApiRequest`` contains the queue
for its answer. A ``TermEvent`` belongs to one term and is ignored once that term has ended.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.sharding import ShardReply, ShardRequest
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat


class Term(Protocol):
    """The part of a leader's term that events need; ``LeaderTerm`` implements it."""

    @property
    def shard(self) -> int:
        """The shard that was won."""
        ...


class ElectionWon(msgspec.Struct, frozen=True):
    """This node was elected as a shard's leader."""

    term: Any
    """The ``LeaderTerm``; not typed, because a higher layer defines that class."""

    @property
    def shard(self) -> int:
        """The shard that was won."""
        return int(self.term.shard)


class LeadershipLost(msgspec.Struct, frozen=True):
    """This node is no longer the leader of a shard."""

    shard: int


class HandOverRequested(msgspec.Struct, frozen=True):
    """Hand over all shards of this node, because another node reaches more machines."""


# -- requests ------------------------------------------------------------------


class ApiRequest(msgspec.Struct, frozen=True):
    """A request that is answered with (HTTP status, body, retry after in seconds)."""

    shard: int
    reply_to: Any
    """Destination of the answer: a queue, or another object with ``put`` for local calls."""


class SubmitJob(ApiRequest, frozen=True):
    """A user's submission of a job, or its repetition."""

    spec: Submission
    forwarded_by_home: bool = False
    """Whether the home shard of the job id has recorded that this shard decides for the job."""

    @property
    def job_id(self) -> str:
        """The job id, chosen by the user."""
        return self.spec.id


class GetJobStatus(ApiRequest, frozen=True):
    """A user's request for the status of a job."""

    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0
    """Version of the shard map by which the request was routed; 0: no shard map."""


class CancelJob(ApiRequest, frozen=True):
    """A user's request to cancel a job."""

    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0
    """Version of the shard map by which the request was routed; 0: no shard map."""


class HeartbeatReceived(ApiRequest, frozen=True):
    """A worker's heartbeat; the answer contains commands."""

    heartbeat: Heartbeat
    encoded_tasks: bytes | None = None
    """The heartbeat's task list as encoded by the worker."""


class GetCountedResources(ApiRequest, frozen=True):
    """An operator's request for counted resources."""

    after_audit_entry: int | None
    """Return the audit log after the entry with this number; None: return current counts."""


class ShardRequestReceived(ApiRequest, frozen=True):
    """A call from the leader of another shard."""

    message: ShardRequest


# -- events of a term ------------------------------------------------------------


class TermEvent(msgspec.Struct, frozen=True):
    """An event of one term; ignored unless ``term`` is the current term object."""

    term: Term

    @property
    def shard(self) -> int:
        """The shard of the term."""
        return int(self.term.shard)


class CommitSucceeded(TermEvent, frozen=True):
    """The key-value store executed a transaction of the write-ahead log."""

    revision: int


class CommitStalled(TermEvent, frozen=True):
    """The key-value store accepts no writes at present."""


class Fenced(TermEvent, frozen=True):
    """A transaction failed on its guards: this node does not lead the shard any more."""


class CommandsSent(TermEvent, frozen=True):
    """The result of ``SendCommands``."""

    machine: str
    agent_epoch: int
    outcome: str
    """``done``, ``refused``, or ``unknown`` if there was no response."""
    heartbeat: Heartbeat | None
    """The heartbeat in the worker's response; None: the response contained none."""


class ProbeAnswered(TermEvent, frozen=True):
    """The result of ``ProbeMachine``."""

    machine: str
    heartbeat: Heartbeat | None
    """The worker's response; None: the worker did not respond."""


class MachineTypesListed(TermEvent, frozen=True):
    """The cloud's response with all machine types that can be rented."""

    types: list[MachineType]


class MachinesListed(TermEvent, frozen=True):
    """The cloud's list of rented machines."""

    machines: list[ListedMachine]
    complete: bool
    """Whether all pages and all rows of the list could be read."""


class RentalAnswered(TermEvent, frozen=True):
    """The result of ``RentMachines``."""

    request: str
    """Id of the rental, as in ``RentMachines``."""
    machines: list[str] | None
    """Names of the rented machines; None: refused, or the result is unknown."""
    refused: bool
    """Whether the cloud has no such machines left or rejected the request as malformed."""


class DeletionAnswered(TermEvent, frozen=True):
    """The result of ``DeleteMachines``."""

    machines: tuple[str, ...]
    confirmed: bool
    """Whether the cloud confirmed the deletion: the machines and their tasks no longer exist."""


class LicenseServerAnswered(TermEvent, frozen=True):
    """The result of a reservation request to a licence server."""

    resource: str
    serial: int
    """Number of the request, by which late responses to older requests are recognized."""
    reply: Any
    """A message of ``protocol.license_server``; None: no response."""


class ShardReplyReceived(TermEvent, frozen=True):
    """The result of ``CallShard``."""

    target_shard: int
    reply: ShardReply | None
    """None: no response."""


Event = ElectionWon | LeadershipLost | HandOverRequested | ApiRequest | TermEvent
