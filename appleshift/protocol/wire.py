"""Encoding of message bodies, and what all messages have in common."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

MAX_BODY = 64 * 1024
"""Largest request body, and largest answer to a worker or user, in bytes."""

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_json = msgspec.json.Encoder()


class ProtocolError(Exception):
    """A message breaks the protocol; carries the HTTP status that says so."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def encode(body: Any) -> bytes:
    return _encoder.encode(body)


def decode(body: bytes) -> Any:
    """Decode an untyped body; a broken one is the sender's mistake (400)."""
    try:
        return msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(400, str(error)) from None


def decode_as(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(400, str(error)) from None


def json_size(value: Any) -> int:
    """The size that the state service's limits count: that of the JSON form."""
    return len(_json.encode(value))
