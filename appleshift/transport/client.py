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
RETRY_AFTER, VALID_FOR = b"retry-after", b"valid-for-ms"
MAX_ANSWER = 64 * 1024 * 1024
"""Lists and logs can be long; nothing honest is longer than this."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A response, with the headers that callers go by."""

    status: int
    body: bytes
    retry_after: str | None = None
    valid_for_ms: str | None = None


class ClientError(Exception):
    """No usable answer. The request may have been executed, or may yet be."""


class HttpCaller(Protocol):
    """Requests to one address."""

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]: ...

    def request_full(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpAnswer: ...

    def close(self) -> None: ...


class _AnswerReader:
    """One response, put together by httptools' parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.headers: dict[bytes, str] = {}
        self.complete = False
        self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (RETRY_AFTER, VALID_FOR):
            self.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() >= 200:
            self.complete = True
            # Asked later, the parser would speak of the message to come.
            self.reusable = self.parser.should_keep_alive()

    def whole(self) -> HttpAnswer:
        return HttpAnswer(
            self.parser.get_status_code(),
            b"".join(self.parts),
            self.headers.get(RETRY_AFTER),
            self.headers.get(VALID_FOR),
        )


class HttpClient:
    """Requests to one address; connections are kept for the next request.

    The standard library's client parses headers as if they were mail, which
    took most of a controller's time for direct commands; httptools does not.
    """

    def __init__(self, address: tuple[str, int], keep: int = 4, idle_s: float = 20.0) -> None:
        self._host, self._port = address
        self._keep = keep
        self._idle_s = idle_s
        self._free: deque[tuple[socket.socket, float]] = deque()
        self._lock = threading.Lock()

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """One request and its answer; ClientError if there is none in time."""
        answer = self.request_full(method, path, body, timeout)
        return answer.status, answer.body

    def request_full(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> HttpAnswer:
        """Like ``request``, with the answer's headers."""
        if not path.isascii() or any(character in path for character in " \r\n"):
            raise ClientError(f"{path!r} cannot stand in a request line")
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\n"
        if body is not None:
            head += f"Content-Type: {CONTENT_TYPE}\r\nContent-Length: {len(body)}\r\n"
        until = time.monotonic() + timeout
        connection: socket.socket | None = None
        reused = False
        try:
            connection, reused = self._acquire(timeout)
            connection.sendall(head.encode() + b"\r\n" + (body or b""))
            answer = self._receive(connection, until)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            if connection is not None:
                connection.close()
            if reused and not isinstance(error, TimeoutError):
                # The other process ended, or closed it: so it did with the others
                # that were kept. Each would have cost a request of its own, and a
                # process that is back within a moment has none of them.
                self.close()
            raise ClientError(f"{self._host}:{self._port}{path}: {error!r}") from None
        if answer.reusable:
            self._release(connection)
        else:
            connection.close()
        return answer.whole()

    @staticmethod
    def _receive(connection: socket.socket, until: float) -> _AnswerReader:
        answer = _AnswerReader()
        size = 0
        while not answer.complete:
            data = connection.recv(65536)
            if not data:
                raise ValueError("the connection ended within the answer")
            size += len(data)
            if size > MAX_ANSWER:
                raise ValueError("the answer is too large")
            answer.parser.feed_data(data)
            if not answer.complete:
                # The time given is for the whole answer, however it trickles.
                left = until - time.monotonic()
                if left <= 0:
                    raise TimeoutError("the answer did not come whole in time")
                connection.settimeout(left)
        return answer

    def _acquire(self, timeout: float) -> tuple[socket.socket, bool]:
        """A connection, and whether it has served before."""
        now = time.monotonic()
        with self._lock:
            while self._free:
                connection, since = self._free.pop()
                # The other side closes idle connections; one that it may be
                # closing right now would look like a lost request.
                if now - since < self._idle_s:
                    if connection.gettimeout() != timeout:
                        connection.settimeout(timeout)
                    return connection, True
                connection.close()
        connection = socket.create_connection((self._host, self._port), timeout)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, False

    def _release(self, connection: socket.socket) -> None:
        with self._lock:
            if len(self._free) < self._keep:
                self._free.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        with self._lock:
            while self._free:
                self._free.pop()[0].close()
