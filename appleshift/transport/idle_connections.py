"""Watches connections that have no thread of their own until something arrives on them.

One thread waits for all of them. A connection on which a request begins is handed to a
bounded pool of threads, and is watched again once the request is answered.
"""

from __future__ import annotations

import logging
import selectors
import socket
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from appleshift.transport.routines import Pool, Threads

log = logging.getLogger(__name__)

SELECT_S = 0.5
"""The watcher looks this often whether it has been stopped."""


class Connection(Protocol):
    """A connection that answers what has arrived without waiting for more requests."""

    connection: socket.socket

    def serve_arrived(self) -> bool:
        """Answer the requests that have begun to arrive; False: the connection is over."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class IdleConnections(Generic[ConnectionT]):
    """Between requests, each connection is here; within one, a thread of the pool has it.

    Only the watcher takes a connection out, before it is served or closed, so that a
    descriptor that is used again is never mistaken for the one before it.
    """

    def __init__(self, name: str, threads: int, close: Callable[[ConnectionT], None]) -> None:
        self._name = name
        self._close = close
        self._pool = Pool(Threads(), f"{name}-pool", threads)
        # Threads add connections while the watcher waits: epoll and kqueue allow it.
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._started = self._stopped = False

    def add(self, connection: ConnectionT) -> None:
        """Watch a connection on which no request is under way."""
        with self._lock:
            watched = not self._stopped and self._register(connection)
        if not watched:
            self._close(connection)

    def _register(self, connection: ConnectionT) -> bool:
        try:
            self._selector.register(connection.connection, selectors.EVENT_READ, connection)
            if not self._started:
                self._start()
        except (OSError, RuntimeError) as error:
            # The system watches no more sockets, or has no thread for the watcher.
            log.warning("%s: a connection cannot be watched: %r", self._name, error)
            return False
        return True

    def _start(self) -> None:
        threading.Thread(target=self._watch, name=f"{self._name}-idle", daemon=True).start()
        self._started = True

    def stop(self) -> None:
        """Close what is watched; a request under way ends its connection."""
        with self._lock:
            self._stopped = True
        if not self._started:
            self._selector.close()

    def _watch(self) -> None:
        while not self._stopped:
            for key, _ in self._selector.select(SELECT_S):
                self._selector.unregister(key.fileobj)
                self._pool.submit(self._serve, key.data)
        self._close_all()

    def _close_all(self) -> None:
        with self._lock:
            watched = list(self._selector.get_map().values())
            self._selector.close()
        for key in watched:
            self._close(key.data)
        self._pool.stop()

    def _serve(self, connection: ConnectionT) -> None:
        if connection.serve_arrived():
            self.add(connection)
        else:
            self._close(connection)
