"""Encoding of message bodies, and the error that all decoders raise."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

MAX_BODY_BYTES = 64 * 1024
"""Largest request body, and largest answer to a worker or user, in bytes."""

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_json = msgspec.json.Encoder()


class ProtocolError(Exception):
    """A message breaks the protocol.

    ``status`` is the HTTP status of the response that says so, ``reason`` its text, and
    ``message_type`` the type that was expected, if there was one.
    """

    def __init__(self, status: int, reason: str, message_type: type | None = None) -> None:
        """The text of the exception is ``reason`` alone."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.message_type = message_type


def encode(body: Any) -> bytes:
    """Encode a struct, or a body of built-in types, as MessagePack."""
    return _encoder.encode(body)


def decode(body: bytes) -> Any:
    """Decode an untyped body; ProtocolError 400 if it is malformed."""
    try:
        return msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(400, str(error)) from error


def decode_as(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    """Decode a typed body; ProtocolError 400 if it is malformed or of another type."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        expected = decoder.type if isinstance(decoder.type, type) else None
        raise ProtocolError(400, str(error), expected) from error


def json_size(value: Any) -> int:
    """Size in bytes as the key-value store's limits count it: that of the JSON form."""
    return len(_json.encode(value))
