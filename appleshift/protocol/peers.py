"""Messages between controller nodes: pledges and forwarded requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

from appleshift.protocol.wire import decode_as

PLEDGE_PATH = "/peer/pledge"
HELLO_PATH = "/peer/hello"
REACH_PATH = "/peer/reach"
REPORTS_PATH = "/peer/reports"
MOST_REPORTS = 10_000
"""In one batch; what really bounds it is the size of a request's body."""


class PledgeRequest(msgspec.Struct, frozen=True):
    """The leader asks a sibling not to stand for election for a while."""

    leader: str
    token: int
    seq: int
    for_s: float
    share: int = 0
    process: str = ""
    """Of the process that asks, not of the node: one that ended and was started again
    within a moment must not be bound, nor bind others, by what the earlier one sent."""


class Pledged(msgspec.Struct, frozen=True):
    """The answer to it."""

    given: bool
    process: str = ""
    """Which process of that node answers; of an older version: empty."""


class Held(msgspec.Struct, frozen=True):
    """A share that a node holds."""

    share: int
    token: int
    entitled: bool


class Sees(msgspec.Struct, frozen=True):
    """What a node reaches, by its own measure."""

    workers_s: float
    """Since a worker last reported to it or answered it; negative: none has yet."""
    steady_s: float
    """For how long that has been so without a break."""
    state: bool
    """The state service answered it when it was asked last."""


class Hello(msgspec.Struct, frozen=True):
    """What a sibling says of itself."""

    name: str
    leading: bool
    token: int
    entitled: bool = False
    """It may answer for the controllers right now."""
    share: float = 0.0
    """Of a leader: the share of the machines whose reports go to other nodes."""
    relays: bool = False
    """It reaches the leader and passes reports on."""
    shares: list[Held] = []
    """Of shares beyond the first: those that it holds. The fields above are the
    first one's, as they were before there were others."""
    map_version: int = 0
    """Of the map of shares that it goes by; 0: it knows of none."""
    wanted: list[str] = []
    """Of a leader: the node that is to hold each share, "" for any."""
    process: str = ""
    """Chosen anew at each start: which process of that node says so."""
    sees: Sees | None = None
    sample: list[str] = []
    """Of a leader: addresses of workers that others may ask whether they reach any."""


class ReachRequest(msgspec.Struct, frozen=True):
    """A leader that no worker answers asks whether others reach some of them."""

    addresses: Annotated[list[str], msgspec.Meta(max_length=8)]


class Reach(msgspec.Struct, frozen=True):
    reached: bool


class ReportBatch(msgspec.Struct, frozen=True):
    """Workers' reports, each as its worker sent it."""

    reports: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MOST_REPORTS)]


class RelayedAnswer(msgspec.Struct, frozen=True):
    status: int
    body: msgspec.Raw


class ReportAnswers(msgspec.Struct, frozen=True):
    """The leader's answers, in the order of the reports."""

    answers: list[RelayedAnswer]


_reach = msgspec.msgpack.Decoder(ReachRequest)
_reached = msgspec.msgpack.Decoder(Reach)
_pledge = msgspec.msgpack.Decoder(PledgeRequest)
_pledged = msgspec.msgpack.Decoder(Pledged)
_hello = msgspec.msgpack.Decoder(Hello)
_reports = msgspec.msgpack.Decoder(ReportBatch)
_answers = msgspec.msgpack.Decoder(ReportAnswers)


def decode_pledge(body: bytes) -> PledgeRequest:
    return decode_as(_pledge, body)


def decode_pledged(body: bytes) -> Pledged:
    return decode_as(_pledged, body)


def decode_hello(body: bytes) -> Hello:
    return decode_as(_hello, body)


def decode_reach(body: bytes) -> ReachRequest:
    return decode_as(_reach, body)


def decode_reached(body: bytes) -> Reach:
    return decode_as(_reached, body)


def decode_reports(body: bytes) -> ReportBatch:
    return decode_as(_reports, body)


def decode_answers(body: bytes) -> ReportAnswers:
    return decode_as(_answers, body)
