"""How long each open connection may wait for its client.

A timeout of the socket would cost a system call for every read and write. Each connection
notes a deadline here instead, and the listener shuts down those that are past theirs.
"""

from __future__ import annotations

import logging
import math
import socket
import time
from dataclasses import dataclass

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 30.0
"""Seconds without a request after which a connection is closed."""
REQUEST_TIMEOUT_S = 5.0
"""Seconds that a request may take from its first line to its last byte."""
RESPONSE_TIMEOUT_S = 10.0
"""Seconds that a response may take, until its client has accepted all of it."""
AT_LIMIT_IDLE_TIMEOUT_S = 5.0
"""If the listener is at its limit, a connection that was idle for this many seconds is closed:
clients that send requests keep theirs in a flood of those who do not."""


@dataclass(slots=True)
class _Deadline:
    """Times of the monotonic clock, in seconds."""

    since: float
    until: float
    idle: bool


class ConnectionDeadlines:
    """The open connections of a listener with their deadlines.

    Each connection's entry is written only by the thread that serves it, so that no lock is
    needed; the listener's thread reads copies.
    """

    def __init__(self) -> None:
        """There are no connections yet."""
        self._deadlines: dict[socket.socket, _Deadline] = {}

    def __len__(self) -> int:
        """Count the open connections."""
        return len(self._deadlines)

    def mark_idle(self, connection: socket.socket) -> None:
        """From now on the connection is idle until its client sends a request."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + IDLE_TIMEOUT_S, True)

    def mark_receiving(self, connection: socket.socket) -> None:
        """A request has begun to arrive."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + REQUEST_TIMEOUT_S, False)

    def mark_responding(self, connection: socket.socket) -> None:
        """A request has arrived; its answer is due."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + RESPONSE_TIMEOUT_S, False)

    def remove(self, connection: socket.socket) -> None:
        """Forget a connection that was closed."""
        self._deadlines.pop(connection, None)

    def shut_down_expired(self, now: float) -> None:
        """End the connections that are past their deadlines."""
        for connection, deadline in list(self._deadlines.items()):
            if now > deadline.until:
                log.debug("connection timed out idle=%s", deadline.idle)
                _shut_down(connection)

    def shut_down_longest_idle(self) -> None:
        """Make room for another connection, if one is idle for long."""
        idle = [
            (deadline.since, connection)
            for connection, deadline in list(self._deadlines.items())
            if deadline.idle
        ]
        since, oldest = min(idle, key=lambda entry: entry[0], default=(math.inf, None))
        if oldest is not None and time.monotonic() - since > AT_LIMIT_IDLE_TIMEOUT_S:
            _shut_down(oldest)

    def shut_down_all(self) -> None:
        """End all open connections."""
        for connection in list(self._deadlines):
            _shut_down(connection)


def _shut_down(connection: socket.socket) -> None:
    """End a connection without closing it, which is left to whoever serves it.

    Its thread, blocked in a read or a write, wakes up and cleans up; of a connection without
    one, a thread of the pool finds it at its end.
    """
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        log.debug("connection was already closed")
