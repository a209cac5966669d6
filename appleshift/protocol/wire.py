"""Encoding and decoding of message bodies, and the error that all decoders raise."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

MAX_BODY_BYTES = 64 * 1024
"""Largest body of a request, and of a response to a worker or user, in bytes."""

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_json_encoder = msgspec.json.Encoder()


class ProtocolError(Exception):
    """A message is malformed or violates the protocol.

    ``status`` and ``reason`` are the HTTP status and the text of the error response;
    ``message_type`` is the expected type of the message, or None if there is none.
    """

    def __init__(self, status: int, reason: str, message_type: type | None = None) -> None:
        """``reason`` becomes the text of the exception."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.message_type = message_type


def encode(body: Any) -> bytes:
    """Encode a struct or built-in types as MessagePack."""
    return _encoder.encode(body)


def decode(body: bytes) -> Any:
    """Decode a MessagePack body to built-in types; ProtocolError 400 if malformed."""
    try:
        return msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise ProtocolError(400, str(error)) from error


def decode_as(decoder: msgspec.msgpack.Decoder[T], body: bytes) -> T:
    """Decode a body to the decoder's type; ProtocolError 400 if malformed or of another type."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        expected = decoder.type if isinstance(decoder.type, type) else None
        raise ProtocolError(400, str(error), expected) from error


def json_size(value: Any) -> int:
    """Return the size of a value's JSON encoding in bytes, by which the store's limits count."""
    return len(_json_encoder.encode(value))
