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


class Won(msgspec.Struct, frozen=True):
    """An election was won; ``term`` is its Term."""

    term: Any

    @property
    def share(self) -> int:
        return int(self.term.share)


class Lost(msgspec.Struct, frozen=True):
    share: int


class GiveUp(msgspec.Struct, frozen=True):
    """What this node holds is handed over, in order: another one reaches more."""


# -- requests ------------------------------------------------------------------


class Request(msgspec.Struct, frozen=True):
    """Somebody waits for an answer: (status, body, retry after seconds)."""

    share: int
    slot: Any


class Submit(Request, frozen=True):
    spec: Submission
    homed: bool = False
    """Another share has written down that this one decides for the job."""

    @property
    def job_id(self) -> str:
        return self.spec.id


class Status(Request, frozen=True):
    job_id: str
    homed: bool = False
    map_version: int = 0
    """Of the map of shares by which the asker came to ask here; 0: there is none."""


class Cancel(Request, frozen=True):
    job_id: str
    homed: bool = False
    map_version: int = 0


class Beat(Request, frozen=True):
    report: Heartbeat
    tasks: bytes | None = None
    """The report's tasks as they were sent."""


class SeatsLook(Request, frozen=True):
    """Counted resources as they are, or their audit after an entry."""

    after: int | None


class ShareAsk(Request, frozen=True):
    """The holder of another share asks or tells something."""

    message: Any


# -- what belongs to a term ------------------------------------------------------


class Outcome(msgspec.Struct, frozen=True):
    term: Any

    @property
    def share(self) -> int:
        return int(self.term.share)


class Committed(Outcome, frozen=True):
    revision: int


class Stalled(Outcome, frozen=True):
    """The state service does not take a write right now."""


class Deposed(Outcome, frozen=True):
    """A guard failed: somebody else holds the share, or nobody does."""


class Pushed(Outcome, frozen=True):
    machine: str
    session: int
    starts: tuple[tuple[str, int], ...]
    outcome: str
    report: Heartbeat | None


class Probed(Outcome, frozen=True):
    machine: str
    report: Heartbeat | None


class Types(Outcome, frozen=True):
    types: list[MachineType]


class Listed(Outcome, frozen=True):
    machines: list[ListedMachine]
    whole: bool


class Rented(Outcome, frozen=True):
    request: str
    machines: list[str] | None
    refused: bool


class Deleted(Outcome, frozen=True):
    machines: tuple[str, ...]
    ok: bool


class LicenceTold(Outcome, frozen=True):
    resource: str
    serial: int
    standing: Any


class ShareTold(Outcome, frozen=True):
    """What the holder of the share that was asked answered; None: no answer."""

    asked: int
    answer: Any


Event = Won | Lost | GiveUp | Request | Outcome
