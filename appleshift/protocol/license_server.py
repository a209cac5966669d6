"""Messages to a licence server; ``docs/seats-protocol.md`` writes them down."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as, encode

ACCOUNT = "appleshift"
MAX_RETURNS = 400
"""Holders that one heartbeat checks in; the rest follow with the next one."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class ReservationRequest(msgspec.Struct, frozen=True):
    """What an account reserves, and whose seats it gives back."""

    account: str
    serial: int
    """Raised with every request; the server refuses lower ones as out of date."""
    reserve: int
    returned: list[str]


class LicenseHolder(msgspec.Struct, frozen=True):
    holder: str
    count: _Count


class ReservationReply(msgspec.Struct, frozen=True):
    """What the server says of a resource and of an account."""

    serial: int
    total: _Count
    others: _Count
    """Seats in use by everybody else."""
    reserved: _Count
    """Seats that are this account's until ``ttl_s`` after the heartbeat."""
    ttl_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    holders: list[LicenseHolder] = []
    """Who has checked seats of the reservation out."""


_standing = msgspec.msgpack.Decoder(ReservationReply)


def reservation_path(resource: str) -> str:
    return f"/v1/seats/{quote(resource, safe='')}/heartbeat"


def encode_reservation_request(heartbeat: ReservationRequest) -> bytes:
    return encode(heartbeat)


def decode_reservation_reply(body: bytes) -> ReservationReply:
    """ProtocolError if it cannot be read, or contradicts itself."""
    standing = decode_as(_standing, body)
    if not standing.ttl_s < float("inf"):
        raise ProtocolError(400, "ttl_s is not a finite number")
    names = [entry.holder for entry in standing.holders]
    if len(set(names)) != len(names):
        raise ProtocolError(400, "a holder is listed twice")
    if sum(entry.count for entry in standing.holders) > standing.reserved:
        raise ProtocolError(400, "more is checked out than reserved")
    return standing
