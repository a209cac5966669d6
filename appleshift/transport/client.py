"""A blocking HTTP client with pooled connections and timeouts."""

from __future__ import annotations

import http.client
import threading
import time
from collections import deque
from typing import Protocol

CONTENT_TYPE = "application/msgpack"


class ClientError(Exception):
    """No usable answer. The request may have been executed, or may yet be."""


class Caller(Protocol):
    """Requests to one address."""

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]: ...

    def request_full(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes, str | None]: ...

    def close(self) -> None: ...


class HttpClient:
    """Requests to one address; connections are kept for the next request."""

    def __init__(self, address: tuple[str, int], keep: int = 4, idle_s: float = 20.0) -> None:
        self._host, self._port = address
        self._keep = keep
        self._idle_s = idle_s
        self._free: deque[tuple[http.client.HTTPConnection, float]] = deque()
        self._lock = threading.Lock()

    def request(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes]:
        """One request and its answer; ClientError if there is none in time."""
        status, answer, _ = self.request_full(method, path, body, timeout)
        return status, answer

    def request_full(
        self, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> tuple[int, bytes, str | None]:
        """Like ``request``, with the answer's ``Retry-After``."""
        connection = self._take(timeout)
        try:
            headers = {} if body is None else {"Content-Type": CONTENT_TYPE}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise ClientError(f"{self._host}:{self._port}{path}: {error!r}") from None
        if response.will_close:
            connection.close()
        else:
            self._give(connection)
        return response.status, answer, response.headers.get("Retry-After")

    def _take(self, timeout: float) -> http.client.HTTPConnection:
        now = time.monotonic()
        with self._lock:
            while self._free:
                connection, since = self._free.pop()
                # The other side closes idle connections; one that it may be
                # closing right now would look like a lost request.
                if now - since < self._idle_s and connection.sock is not None:
                    connection.timeout = timeout
                    connection.sock.settimeout(timeout)
                    return connection
                connection.close()
        return http.client.HTTPConnection(self._host, self._port, timeout=timeout)

    def _give(self, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            if len(self._free) < self._keep:
                self._free.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        with self._lock:
            while self._free:
                self._free.pop()[0].close()
