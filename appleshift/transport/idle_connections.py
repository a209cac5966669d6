"""Connections that have no thread of their own, served by a bounded pool of threads.

All threads of the pool wait for all of these connections at once. The one that is woken
serves its connection and then lets the kernel watch it again. A queue between one thread
that waits and others that serve cost two switches of threads more for each request.
"""

from __future__ import annotations

import logging
import select
import socket
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

log = logging.getLogger(__name__)

ONCE = select.EPOLLIN | select.EPOLLONESHOT
"""Only one thread is told that something has arrived, until the connection is watched again."""


class Connection(Protocol):
    """A connection that answers what has arrived without waiting for more requests."""

    connection: socket.socket

    def serve_arrived(self) -> bool:
        """Answer the requests that have begun to arrive; False: the connection is over."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class IdleConnections(Generic[ConnectionT]):
    """Between requests a connection is watched; within one, a thread of the pool has it.

    A connection is closed by the thread that has it, after it was taken out of what is
    watched: a descriptor that is used again is never mistaken for the one before it.
    """

    def __init__(self, name: str, threads: int, close: Callable[[ConnectionT], None]) -> None:
        self._name = name
        self._threads = threads
        self._close = close
        self._lock = threading.Lock()
        self._started = 0
        self._stopped = False
        self._connections: dict[int, ConnectionT] = {}
        self._epoll = select.epoll()
        # Readable for every thread once the sending end is closed.
        self._end, self._end_sender = socket.socketpair()
        self._epoll.register(self._end, select.EPOLLIN)

    def add(self, connection: ConnectionT) -> None:
        """Watch a new connection."""
        descriptor = connection.connection.fileno()
        with self._lock:
            self._connections[descriptor] = connection
            added = not self._stopped and self._start_thread()
            if added:
                self._epoll.register(descriptor, ONCE)
        if not added:
            self._drop(descriptor)

    def _start_thread(self) -> bool:
        """One more thread if there may be more; False if there is none at all."""
        if self._started < self._threads:
            name = f"{self._name}-pool-{self._started + 1}"
            try:
                threading.Thread(target=self._run, name=name, daemon=True).start()
                self._started += 1
            except RuntimeError:
                log.warning("%s: no thread beyond %d for the pool", self._name, self._started)
        return self._started > 0

    def stop(self) -> None:
        """Close what is watched; a request under way ends its connection."""
        with self._lock:
            self._stopped = True
            unused = self._started == 0
        self._end_sender.close()
        if unused:
            self._close_all()

    def _run(self) -> None:
        while not self._stopped:
            for descriptor, _ in self._epoll.poll(maxevents=1):
                if descriptor != self._end.fileno():
                    self._serve(descriptor)
        with self._lock:
            self._started -= 1
            last = self._started == 0
        if last:
            self._close_all()

    def _serve(self, descriptor: int) -> None:
        if self._connections[descriptor].serve_arrived() and not self._stopped:
            self._epoll.modify(descriptor, ONCE)
        else:
            self._epoll.unregister(descriptor)
            self._drop(descriptor)

    def _drop(self, descriptor: int) -> None:
        self._close(self._connections.pop(descriptor))

    def _close_all(self) -> None:
        for descriptor in list(self._connections):
            self._drop(descriptor)
        self._epoll.close()
        self._end.close()
