"""HTTP requests and responses as exchanged with the application."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Request:
    """A completely received HTTP request."""

    method: str
    path: str
    """Path and query, undecoded, as in the request line."""
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """The response to an HTTP request."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    """Header fields in addition to those of the listener. ``Connection: close`` closes the
    connection after the response."""
    content_type: str = "application/msgpack"
    revalidate: Callable[[Response], Response] | None = None
    """Called immediately before sending. Returns the response to send, which is another one if
    this response may be out of date. None: the response cannot become out of date."""

    def revalidated(self) -> Response:
        """Return the response to send now, after calling ``revalidate`` if there is one."""
        return self if self.revalidate is None else self.revalidate(self)


App = Callable[[Request], Response]
"""The application: computes the response to a request. Called in the thread that serves the
connection."""
