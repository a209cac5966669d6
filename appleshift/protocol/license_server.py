"""Messages to a licence server, as ``docs/seats-protocol.md`` specifies them."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as, encode

ACCOUNT = "appleshift"
"""Name under which the cluster reserves licences."""
MAX_RETURNED_HOLDERS = 400
"""Most holders that one heartbeat returns licences of; the rest follow with the next one."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class ReservationRequest(msgspec.Struct, frozen=True):
    """What an account reserves, and the holders whose licences it returns."""

    account: str
    serial: int
    """Raised with every request; the server refuses lower ones as out of date."""
    reserve: int
    returned: list[str]


class LicenseHolder(msgspec.Struct, frozen=True):
    """Somebody who has checked out licences of a reservation."""

    holder: str
    count: _Count


class ReservationReply(msgspec.Struct, frozen=True):
    """The state of a resource and of an account at the server. Counts are licences."""

    serial: int
    total: _Count
    others: _Count
    """Licences in use by all other accounts."""
    reserved: _Count
    """Licences of this account until ``ttl_s`` seconds after the heartbeat."""
    ttl_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    holders: list[LicenseHolder] = []
    """Who has checked out licences of the reservation."""


_reply_decoder = msgspec.msgpack.Decoder(ReservationReply)


def reservation_path(resource: str) -> str:
    """Path of an account's heartbeat for a resource."""
    return f"/v1/seats/{quote(resource, safe='')}/heartbeat"


def encode_reservation_request(heartbeat: ReservationRequest) -> bytes:
    """Encode the body of a heartbeat."""
    return encode(heartbeat)


def decode_reservation_reply(body: bytes) -> ReservationReply:
    """Decode the answer; ProtocolError if it is malformed or contradicts itself."""
    reply = decode_as(_reply_decoder, body)
    if not reply.ttl_s < float("inf"):
        raise ProtocolError(400, "ttl_s is not a finite number")
    names = [entry.holder for entry in reply.holders]
    if len(set(names)) != len(names):
        raise ProtocolError(400, "a holder is listed twice")
    if sum(entry.count for entry in reply.holders) > reply.reserved:
        raise ProtocolError(400, "more is checked out than reserved")
    return reply
