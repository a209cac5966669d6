"""A blocking HTTP client with pooled connections and timeouts."""

from __future__ import annotations

import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

import httptools

CONTENT_TYPE = "application/msgpack"
"""Of all bodies that are sent."""
RETRY_AFTER_HEADER, VALID_FOR_HEADER = b"retry-after", b"valid-for-ms"
"""The only header fields that are kept, in lower case."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest response in bytes: lists and logs can be long, but no correct one is longer."""
_RECEIVE_BYTES = 65536
"""Most bytes that one system call receives."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response, with the header fields that callers use, as text."""

    status: int
    body: bytes
    retry_after: str | None = None
    """Seconds after which the request may be repeated."""
    valid_for_ms: str | None = None
    """Milliseconds for which the sender vouches for the response."""


class ClientError(Exception):
    """There is no usable response. The request may have been executed, or may yet be."""


class HttpCaller(Protocol):
    """Sends requests to one address; ``timeout`` is in seconds."""

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """Return the status and body of the response; ClientError without one in time."""
        ...

    def request_with_headers(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpResponse:
        """Like ``request``, with the header fields of the response."""
        ...

    def close(self) -> None:
        """Close the connections that are kept."""
        ...


class _ResponseReader:
    """Assembles one response; httptools' parser calls the ``on_...`` methods."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.headers: dict[bytes, str] = {}
        self.complete = False
        self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (RETRY_AFTER_HEADER, VALID_FOR_HEADER):
            self.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() >= 200:
            self.complete = True
            # Later on the parser would answer for the message after this one.
            self.reusable = self.parser.should_keep_alive()

    def response(self) -> HttpResponse:
        """Return the response once it is complete."""
        return HttpResponse(
            self.parser.get_status_code(),
            b"".join(self.parts),
            self.headers.get(RETRY_AFTER_HEADER),
            self.headers.get(VALID_FOR_HEADER),
        )


class HttpClient:
    """Sends requests to one address; connections are kept for the next request.

    The standard library's client parses headers as if they were mail, which took most of a
    controller's time for direct commands; httptools does not.
    """

    def __init__(
        self, address: tuple[str, int], max_idle_connections: int = 4, idle_timeout_s: float = 20.0
    ) -> None:
        """Set how many idle connections are kept, and for how many seconds each."""
        self._host, self._port = address
        self._max_idle_connections = max_idle_connections
        self._idle_timeout_s = idle_timeout_s
        # With the time of the monotonic clock since which each is idle; used last, first out.
        self._idle: deque[tuple[socket.socket, float]] = deque()
        self._lock = threading.Lock()

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """Return the status and body of the response; ClientError without one in time."""
        response = self.request_with_headers(method, path, body, timeout)
        return response.status, response.body

    def request_with_headers(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpResponse:
        """Like ``request``, with the header fields of the response."""
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
                # The server closed the connection, perhaps because its process ended, and
                # with it the others that are kept. Each of those would fail a request of
                # its own, even though a restarted server is back within a moment.
                self.close()
            raise ClientError(f"{self._host}:{self._port}{path}: {error!r}") from error
        if reader.reusable:
            self._release(connection)
        else:
            connection.close()
        return reader.response()

    @staticmethod
    def _receive(connection: socket.socket, deadline: float) -> _ResponseReader:
        """Read one response; OSError or ValueError if it does not come whole in time."""
        reader = _ResponseReader()
        size = 0
        while not reader.complete:
            data = connection.recv(_RECEIVE_BYTES)
            if not data:
                raise ValueError("the connection ended within the response")
            size += len(data)
            if size > MAX_RESPONSE_BYTES:
                raise ValueError("the response is too large")
            reader.parser.feed_data(data)
            if not reader.complete:
                # The timeout is for the whole response: one that trickles must not renew it.
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise TimeoutError("the response did not come whole in time")
                connection.settimeout(remaining_s)
        return reader

    def _acquire(self, timeout: float) -> tuple[socket.socket, bool]:
        """Return a connection, and whether it was used before."""
        now = time.monotonic()
        with self._lock:
            while self._idle:
                connection, idle_since = self._idle.pop()
                # The server closes idle connections as well. A request on one that it is
                # just closing would look like a request that was lost.
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
            if len(self._idle) < self._max_idle_connections:
                self._idle.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        """Close the connections that are kept; later requests open others."""
        with self._lock:
            while self._idle:
                self._idle.pop()[0].close()
