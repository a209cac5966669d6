"""What an application that serves HTTP is given, and what it gives back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Request:
    """A request that has arrived whole."""

    method: str
    path: str
    """Path and query as they stand in the request line."""
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """The answer to a request."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    """Besides those that the listener writes. ``Connection: close`` ends the connection."""
    content_type: str = "application/msgpack"
    revalidate: Callable[[Response], Response] | None = None
    """Called right before the response is sent: returns what is to be sent instead, if what
    it says may be out of date by then."""

    def revalidated(self) -> Response:
        """Return the response that is to be sent now."""
        return self if self.revalidate is None else self.revalidate(self)


App = Callable[[Request], Response]
"""Answers a request; called in the thread that serves the connection."""
