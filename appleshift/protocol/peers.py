"""Messages between controller nodes: pledges and forwarded requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

from appleshift.protocol.wire import decode_as

PLEDGE_PATH = "/peer/pledge"
HELLO_PATH = "/peer/hello"
REACH_PATH = "/peer/reach"


class PledgeRequest(msgspec.Struct, frozen=True):
    """The leader asks a sibling not to stand for election for a while."""

    leader: str
    token: int
    seq: int
    for_s: float


class Hello(msgspec.Struct, frozen=True):
    """What a sibling says of itself."""

    name: str
    leading: bool
    token: int
    entitled: bool = False
    """It may answer for the controllers right now."""


class ReachRequest(msgspec.Struct, frozen=True):
    """A leader that no worker answers asks whether others reach some of them."""

    addresses: Annotated[list[str], msgspec.Meta(max_length=8)]


class Reach(msgspec.Struct, frozen=True):
    reached: bool


_reach = msgspec.msgpack.Decoder(ReachRequest)
_reached = msgspec.msgpack.Decoder(Reach)
_pledge = msgspec.msgpack.Decoder(PledgeRequest)
_hello = msgspec.msgpack.Decoder(Hello)


def decode_pledge(body: bytes) -> PledgeRequest:
    return decode_as(_pledge, body)


def decode_hello(body: bytes) -> Hello:
    return decode_as(_hello, body)


def decode_reach(body: bytes) -> ReachRequest:
    return decode_as(_reach, body)


def decode_reached(body: bytes) -> Reach:
    return decode_as(_reached, body)
