"""A blocking HTTP client that reuses connections and enforces timeouts."""

from __future__ import annotations

import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

CONTENT_TYPE = "application/msgpack"
"""Content type of every request body."""
RETRY_AFTER_HEADER, LOWERCASE_VALID_FOR_HEADER = b"retry-after", b"valid-for-ms"
"""Names of the response header fields that are kept, in lower case."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest response accepted, with its head. Listings and logs are long, but no valid response
is longer."""
_RECEIVE_BYTES = 65536
"""Most bytes received by one system call."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response: status, body and the header fields used by callers, as text."""

    status: int
    body: bytes
    retry_after: str | None = None
    """Value of Retry-After: seconds to wait before retrying the request."""
    valid_for_ms: str | None = None
    """Value of Valid-For-Ms: milliseconds for which the sender guarantees the response."""


class ClientError(Exception):
    """No usable response was received; the server may still execute the request."""


class HttpCaller(Protocol):
    """Sends HTTP requests to one address. Timeouts are in seconds."""

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """Return status and body of the response; ClientError if none arrives in time."""
        ...

    def request_with_headers(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpResponse:
        """Return the response with its header fields; ClientError if none arrives in time."""
        ...

    def close(self) -> None:
        """Close the idle connections."""
        ...


class _ResponseReader:
    """Collects one response; the parser of httptools calls the ``on_...`` methods."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body_parts: list[bytes] = []
        self.headers: dict[bytes, str] = {}
        self.complete = False
        self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (RETRY_AFTER_HEADER, LOWERCASE_VALID_FOR_HEADER):
            self.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        # An interim response (1xx) is followed by the final one.
        if self.parser.get_status_code() >= 200:
            self.complete = True
            # Must be read here: the parser resets it for the next message.
            self.reusable = self.parser.should_keep_alive()

    def response(self) -> HttpResponse:
        """Return the response; valid only after ``complete`` is set."""
        return HttpResponse(
            self.parser.get_status_code(),
            b"".join(self.body_parts),
            self.headers.get(RETRY_AFTER_HEADER),
            self.headers.get(LOWERCASE_VALID_FOR_HEADER),
        )


class HttpClient:
    """Sends HTTP requests to one address and keeps idle connections for later requests.

    The standard library's client parses response headers with its mail parser, which took most
    of the time that a controller spent on direct commands. httptools avoids that cost.
    """

    def __init__(
        self, address: tuple[str, int], max_idle_connections: int = 4, idle_timeout_s: float = 20.0
    ) -> None:
        """Set how many idle connections are kept, and for how many seconds each is kept."""
        self._host, self._port = address
        self._max_idle_connections = max_idle_connections
        self._idle_timeout_s = idle_timeout_s
        # Each idle connection with the monotonic time at which it became idle, newest last.
        self._idle_connections: deque[tuple[socket.socket, float]] = deque()
        self._lock = threading.Lock()

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """Return status and body of the response; ClientError if none arrives in time."""
        response = self.request_with_headers(method, path, body, timeout)
        return response.status, response.body

    def request_with_headers(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpResponse:
        """Return the response with its header fields; ClientError if none arrives in time."""
        if not path.isascii() or any(character in path for character in " \r\n"):
            raise ClientError(f"{path!r} is not allowed in a request line")
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
        if body is not None:
            head += f"Content-Type: {CONTENT_TYPE}\r\nContent-Length: {len(body)}\r\n"
        deadline = time.monotonic() + timeout
        connection: socket.socket | None = None
        reused = False
        try:
            connection, reused = self._acquire(timeout)
            connection.sendall(head.encode() + b"\r\n" + (body or b""))
            reader = self._receive(connection, deadline)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            if connection is not None:
                connection.close()
            if reused and not isinstance(error, TimeoutError):
                # If the server process has ended, the other idle connections are closed as
                # well, and each of them would fail one more request although the server may
                # already have restarted.
                self.close()
            raise ClientError(f"{self._host}:{self._port}{path}: {error!r}") from error
        if reader.reusable:
            self._release(connection)
        else:
            connection.close()
        return reader.response()

    @staticmethod
    def _receive(connection: socket.socket, deadline: float) -> _ResponseReader:
        """Read one response.

        Raises OSError (TimeoutError at the deadline), HttpParserError, or ValueError if the
        response is cut off or too large.
        """
        reader = _ResponseReader()
        size = 0
        while not reader.complete:
            data = connection.recv(_RECEIVE_BYTES)
            if not data:
                raise ValueError("connection closed before the end of the response")
            size += len(data)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError("response exceeds the maximum size")
            reader.parser.feed_data(data)
            if not reader.complete:
                # The timeout covers the whole response: a socket timeout alone would start
                # again with each byte of a slow response.
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise TimeoutError("response incomplete at the deadline")
                connection.settimeout(remaining_s)
        return reader

    def _acquire(self, timeout: float) -> tuple[socket.socket, bool]:
        """Return an idle or a new connection, and whether it was used by an earlier request."""
        now = time.monotonic()
        with self._lock:
            while self._idle_connections:
                connection, idle_since = self._idle_connections.pop()
                # The server closes idle connections too. A request sent while the server
                # closes the connection fails without showing whether it was executed.
                if now - idle_since < self._idle_timeout_s:
                    if connection.gettimeout() != timeout:
                        connection.settimeout(timeout)
                    return connection, True
                connection.close()
        connection = socket.create_connection((self._host, self._port), timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, False

    def _release(self, connection: socket.socket) -> None:
        with self._lock:
            if len(self._idle_connections) < self._max_idle_connections:
                self._idle_connections.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections; later requests open new ones."""
        with self._lock:
            while self._idle_connections:
                self._idle_connections.pop()[0].close()
