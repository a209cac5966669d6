"""What reaches the scheduler's thread: one Struct for each kind of event.

Every event names the shard it is for. A request carries the queue that its answer goes
to. Other events belong to one term, and are void once that term is over.
"""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat


class Term(Protocol):
    """An election won, as events see it; ``LeaderTerm`` implements it."""

    @property
    def shard(self) -> int:
        """The shard that was won."""
        ...


class ElectionWon(msgspec.Struct, frozen=True):
    """This node was elected leader of a shard."""

    term: Any
    """The ``LeaderTerm``, which a layer above defines."""

    @property
    def shard(self) -> int:
        """The shard that was won."""
        return int(self.term.shard)


class LeadershipLost(msgspec.Struct, frozen=True):
    """This node leads a shard no more."""

    shard: int


class HandOverRequested(msgspec.Struct, frozen=True):
    """Hand over all shards of this node in order: another node reaches more machines."""


# -- requests ------------------------------------------------------------------


class ApiRequest(msgspec.Struct, frozen=True):
    """A request whose sender waits for (status, body, retry after in seconds)."""

    shard: int
    reply_to: Any
    """A queue, or for a call from this node's own shards whatever has ``put``."""


class SubmitJob(ApiRequest, frozen=True):
    """A user submits a job, or repeats a submission."""

    spec: Submission
    forwarded_by_home: bool = False
    """The shard where the job's id belongs has recorded that this one decides for it."""

    @property
    def job_id(self) -> str:
        """The id that the user gave to the job."""
        return self.spec.id


class GetJobStatus(ApiRequest, frozen=True):
    """A user asks how far a job is."""

    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0
    """Of the shard map by which the request was routed here; 0: there is none."""


class CancelJob(ApiRequest, frozen=True):
    """A user cancels a job."""

    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0
    """Of the shard map by which the request was routed here; 0: there is none."""


class HeartbeatReceived(ApiRequest, frozen=True):
    """A worker reports its tasks and waits for commands."""

    heartbeat: Heartbeat
    encoded_tasks: bytes | None = None
    """The heartbeat's task list as it was sent."""


class GetCountedResources(ApiRequest, frozen=True):
    """An operator asks for counted resources."""

    after_audit_entry: int | None
    """Number of the audit entry after which the audit is wanted; None: current counts."""


class ShardRequestReceived(ApiRequest, frozen=True):
    """The leader of another shard calls this one."""

    message: Any
    """A message of ``protocol.sharding``."""


# -- events of a term ------------------------------------------------------------


class TermEvent(msgspec.Struct, frozen=True):
    """Something that concerns one term, compared by identity with the current one."""

    term: Term

    @property
    def shard(self) -> int:
        """The shard that the term leads."""
        return int(self.term.shard)


class CommitSucceeded(TermEvent, frozen=True):
    """The key-value store carried out a transaction of the write-ahead log."""

    revision: int


class CommitStalled(TermEvent, frozen=True):
    """The key-value store takes no writes right now."""


class Fenced(TermEvent, frozen=True):
    """A transaction's guard failed: another node leads the shard, or none does."""


class CommandsSent(TermEvent, frozen=True):
    """What became of ``SendCommands``."""

    machine: str
    agent_epoch: int
    starts: tuple[tuple[str, int], ...]
    outcome: str
    """``done``, ``refused``, or ``unknown`` if no answer came."""
    heartbeat: Heartbeat | None
    """The worker's answer, if it had one."""


class ProbeAnswered(TermEvent, frozen=True):
    """What became of ``ProbeMachine``."""

    machine: str
    heartbeat: Heartbeat | None
    """None: the worker did not answer."""


class MachineTypesListed(TermEvent, frozen=True):
    """The machine types that the cloud rents."""

    types: list[MachineType]


class MachinesListed(TermEvent, frozen=True):
    """The machines that are rented, according to the cloud."""

    machines: list[ListedMachine]
    complete: bool
    """Whether the list could be read to its end."""


class RentalAnswered(TermEvent, frozen=True):
    """What became of ``RentMachines``."""

    request: str
    machines: list[str] | None
    """Names of the machines rented; None: none, or it is not known."""
    refused: bool
    """The cloud has no such machines left, or calls the request malformed."""


class DeletionAnswered(TermEvent, frozen=True):
    """What became of ``DeleteMachines``."""

    machines: tuple[str, ...]
    confirmed: bool
    """The cloud confirmed it: machines and tasks are gone."""


class LicenseServerAnswered(TermEvent, frozen=True):
    """A license server answered a reservation request, or did not."""

    resource: str
    serial: int
    """Number of the request; a late answer to an older one is recognized by it."""
    reply: Any
    """A message of ``protocol.license_server``; None: no answer."""


class ShardReplyReceived(TermEvent, frozen=True):
    """The leader of another shard answered ``CallShard``, or did not."""

    target_shard: int
    reply: Any
    """A message of ``protocol.sharding``; None: no answer."""


Event = ElectionWon | LeadershipLost | HandOverRequested | ApiRequest | TermEvent
