"""Messages between a leader and a licence server, as in ``docs/seats-protocol.md``."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as, encode

ACCOUNT = "appleshift"
"""Account under which the cluster reserves licences."""
MAX_RETURNED_HOLDERS = 400
"""Largest number of holders in ``ReservationRequest.returned``; the next request has the rest."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class ReservationRequest(msgspec.Struct, frozen=True):
    """A heartbeat that reserves licences and returns those of holders that have ended."""

    account: str
    serial: int
    """Number of the request, increasing; the server refuses lower numbers as outdated."""
    reserve: int
    """Number of licences to reserve for the account."""
    returned: list[str]
    """Holders whose licences are returned."""


class LicenseHolder(msgspec.Struct, frozen=True):
    """A holder that has checked out licences from the account's reservation."""

    holder: str
    count: _Count


class ReservationReply(msgspec.Struct, frozen=True):
    """The server's state of a resource and of this account; counts are numbers of licences."""

    serial: int
    total: _Count
    others: _Count
    """Licences that other accounts use."""
    reserved: _Count
    """Licences reserved for this account until ``ttl_s`` seconds after the heartbeat."""
    ttl_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    holders: list[LicenseHolder] = []
    """The holders that have checked out licences from the reservation."""


_reply_decoder = msgspec.msgpack.Decoder(ReservationReply)


def reservation_path(resource: str) -> str:
    """Return the path of an account's heartbeat for a counted resource."""
    return f"/v1/seats/{quote(resource, safe='')}/heartbeat"


def encode_reservation_request(request: ReservationRequest) -> bytes:
    """Encode the body of an account's heartbeat."""
    return encode(request)


def decode_reservation_reply(body: bytes) -> ReservationReply:
    """Decode the response to a heartbeat; ProtocolError if malformed or inconsistent."""
    reply = decode_as(_reply_decoder, body)
    if not reply.ttl_s < float("inf"):
        raise ProtocolError(400, "ttl_s is not a finite number")
    names = [entry.holder for entry in reply.holders]
    if len(set(names)) != len(names):
        raise ProtocolError(400, "a holder is listed twice")
    if sum(entry.count for entry in reply.holders) > reply.reserved:
        raise ProtocolError(400, "more is checked out than reserved")
    return reply
