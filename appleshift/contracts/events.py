"""What reaches the core's routine: one Struct for each kind of event.

Every event says which share it is for. Requests come with the mailbox that their
answer goes to; the rest belongs to one term, and is void once that is over.
"""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.cloud import ListedMachine, MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.workers import Heartbeat


class ElectionWon(msgspec.Struct, frozen=True):
    """An election was won; ``term`` is its Term."""

    term: Any

    @property
    def shard(self) -> int:
        return int(self.term.shard)


class LeadershipLost(msgspec.Struct, frozen=True):
    shard: int


class HandOverRequested(msgspec.Struct, frozen=True):
    """What this node holds is handed over, in order: another one reaches more."""


# -- requests ------------------------------------------------------------------


class ApiRequest(msgspec.Struct, frozen=True):
    """Somebody waits for an answer: (status, body, retry after seconds)."""

    shard: int
    reply_to: Any


class SubmitJob(ApiRequest, frozen=True):
    spec: Submission
    forwarded_by_home: bool = False
    """Another share has written down that this one decides for the job."""

    @property
    def job_id(self) -> str:
        return self.spec.id


class GetJobStatus(ApiRequest, frozen=True):
    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0
    """Of the map of shares by which the asker came to ask here; 0: there is none."""


class CancelJob(ApiRequest, frozen=True):
    job_id: str
    forwarded_by_home: bool = False
    shard_map_version: int = 0


class HeartbeatReceived(ApiRequest, frozen=True):
    heartbeat: Heartbeat
    tasks: bytes | None = None
    """The report's tasks as they were sent."""


class GetCountedResources(ApiRequest, frozen=True):
    """Counted resources as they are, or their audit after an entry."""

    after: int | None


class ShardRequestReceived(ApiRequest, frozen=True):
    """The holder of another share asks or tells something."""

    message: Any


# -- what belongs to a term ------------------------------------------------------


class TermEvent(msgspec.Struct, frozen=True):
    term: Any

    @property
    def shard(self) -> int:
        return int(self.term.shard)


class CommitSucceeded(TermEvent, frozen=True):
    revision: int


class CommitStalled(TermEvent, frozen=True):
    """The state service does not take a write right now."""


class Fenced(TermEvent, frozen=True):
    """A guard failed: somebody else holds the share, or nobody does."""


class CommandsSent(TermEvent, frozen=True):
    machine: str
    agent_epoch: int
    starts: tuple[tuple[str, int], ...]
    outcome: str
    heartbeat: Heartbeat | None


class ProbeAnswered(TermEvent, frozen=True):
    machine: str
    heartbeat: Heartbeat | None


class MachineTypesListed(TermEvent, frozen=True):
    types: list[MachineType]


class MachinesListed(TermEvent, frozen=True):
    machines: list[ListedMachine]
    complete: bool


class RentalAnswered(TermEvent, frozen=True):
    request: str
    machines: list[str] | None
    refused: bool


class DeletionAnswered(TermEvent, frozen=True):
    machines: tuple[str, ...]
    ok: bool


class LicenseServerAnswered(TermEvent, frozen=True):
    resource: str
    serial: int
    reply: Any


class ShardReplyReceived(TermEvent, frozen=True):
    """What the holder of the share that was asked answered; None: no answer."""

    target_shard: int
    reply: Any


Event = ElectionWon | LeadershipLost | HandOverRequested | ApiRequest | TermEvent
