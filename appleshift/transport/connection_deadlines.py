"""Timeouts of open connections.

A socket timeout would cost an additional system call for every read and write. Instead, the
thread that serves a connection records a deadline, and the listener shuts down expired
connections.
"""

from __future__ import annotations

import logging
import math
import socket
import time
from dataclasses import dataclass

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 30.0
"""Seconds after which a connection without a request is closed."""
REQUEST_TIMEOUT_S = 5.0
"""Most seconds to receive the rest of a request after its first line, on a pooled connection
after its first byte."""
RESPONSE_TIMEOUT_S = 10.0
"""Most seconds to compute a response and send all of it to the client."""
AT_LIMIT_IDLE_TIMEOUT_S = 5.0
"""Seconds of idleness after which a connection may be closed while the listener is at its limit.
This protects clients that send requests from a flood of connections without requests."""


@dataclass(slots=True)
class _Deadline:
    """State of a connection since ``started_at``; it expires at ``expires_at``.

    Both are seconds of the monotonic clock. ``idle`` is set while no request is in progress.
    """

    started_at: float
    expires_at: float
    idle: bool


class ConnectionDeadlines:
    """The open connections of a listener with their deadlines.

    Only the thread that serves a connection writes its entry, and the listener's thread reads
    copies, so no lock is needed.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._deadlines: dict[socket.socket, _Deadline] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._deadlines)

    def mark_idle(self, connection: socket.socket) -> None:
        """Start the idle timeout: the connection waits for its next request."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + IDLE_TIMEOUT_S, True)

    def mark_receiving(self, connection: socket.socket) -> None:
        """Start the request timeout: the rest of a request is being received."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + REQUEST_TIMEOUT_S, False)

    def mark_responding(self, connection: socket.socket) -> None:
        """Start the response timeout: a request is complete and its response is being sent."""
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + RESPONSE_TIMEOUT_S, False)

    def remove(self, connection: socket.socket) -> None:
        """Remove a closed connection."""
        self._deadlines.pop(connection, None)

    def shut_down_expired(self, now: float) -> None:
        """Shut down the connections whose deadline is before ``now`` (monotonic seconds)."""
        for connection, deadline in list(self._deadlines.items()):
            if now > deadline.expires_at:
                log.debug("connection timed out idle=%s", deadline.idle)
                _shut_down(connection)

    def shut_down_longest_idle(self) -> None:
        """Shut down the connection that has been idle for longest.

        Does nothing if that is less than ``AT_LIMIT_IDLE_TIMEOUT_S``.
        """
        idle = [
            (deadline.started_at, connection)
            for connection, deadline in list(self._deadlines.items())
            if deadline.idle
        ]
        idle_since, connection = min(idle, key=lambda entry: entry[0], default=(math.inf, None))
        if connection is not None and time.monotonic() - idle_since > AT_LIMIT_IDLE_TIMEOUT_S:
            _shut_down(connection)

    def shut_down_all(self) -> None:
        """Shut down all open connections."""
        for connection in list(self._deadlines):
            _shut_down(connection)


def _shut_down(connection: socket.socket) -> None:
    """Shut down a connection without closing its socket.

    The thread that serves the connection closes the socket: a dedicated thread returns from its
    blocked read or write; for a pooled connection, a thread of the pool reads the end of file.
    """
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        log.debug("connection was already closed")
