"""Connections that have no thread of their own, served by a bounded pool of threads.

All threads of the pool wait for all of these connections at once. The one that is woken
serves its connection and then lets the kernel watch it again. A queue between one thread
that waits and others that serve would cost two more context switches for each request.
"""

from __future__ import annotations

import logging
import select
import socket
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

log = logging.getLogger(__name__)

_READABLE_ONCE = select.EPOLLIN | select.EPOLLONESHOT
"""Only one thread is woken when something arrives, until the connection is watched again."""


class ServedConnection(Protocol):
    """A connection that answers what has arrived without waiting for more requests."""

    connection: socket.socket

    def serve_received_requests(self) -> bool:
        """Answer the requests that have begun to arrive; False: the connection is over."""
        ...


ServedConnectionT = TypeVar("ServedConnectionT", bound=ServedConnection)


class PooledConnections(Generic[ServedConnectionT]):
    """Between requests the kernel watches a connection; within one, a thread serves it.

    Only the thread that serves a connection closes it, after it has ended the kernel's watch:
    a file descriptor that is used again is then never mistaken for its predecessor.
    """

    def __init__(self, name: str, threads: int, close: Callable[[ServedConnectionT], None]) -> None:
        """Serve with up to ``threads`` threads; ``close`` is called once per connection."""
        self._name = name
        self._threads = threads
        self._close = close
        self._lock = threading.Lock()
        self._started = 0
        self._stopped = False
        self._connections: dict[int, ServedConnectionT] = {}
        self._epoll = select.epoll()
        # Becomes readable for every thread once the sending end is closed.
        self._stop_receiver, self._stop_sender = socket.socketpair()
        self._epoll.register(self._stop_receiver, select.EPOLLIN)

    def add(self, connection: ServedConnectionT) -> None:
        """Watch a new connection; it is closed at once if no thread can serve it."""
        descriptor = connection.connection.fileno()
        with self._lock:
            self._connections[descriptor] = connection
            is_served = not self._stopped and self._ensure_thread()
            if is_served:
                self._epoll.register(descriptor, _READABLE_ONCE)
        if not is_served:
            self._drop(descriptor)

    def _ensure_thread(self) -> bool:
        """Start one more thread if there may be more; False if there is none at all."""
        if self._started < self._threads:
            name = f"{self._name}-pool-{self._started + 1}"
            try:
                threading.Thread(target=self._run, name=name, daemon=True).start()
                self._started += 1
            except RuntimeError:
                # The operating system grants no more: those that run serve all connections.
                log.warning(
                    "connection pool cannot grow listener=%s threads=%d", self._name, self._started
                )
        return self._started > 0

    def stop(self) -> None:
        """Close all connections; one with a request under way is closed after it."""
        with self._lock:
            self._stopped = True
            has_no_thread = self._started == 0
        self._stop_sender.close()
        if has_no_thread:
            self._close_all()

    def _run(self) -> None:
        while not self._stopped:
            for descriptor, _ in self._epoll.poll(maxevents=1):
                if descriptor != self._stop_receiver.fileno():
                    self._serve(descriptor)
        with self._lock:
            self._started -= 1
            is_last = self._started == 0
        if is_last:
            self._close_all()

    def _serve(self, descriptor: int) -> None:
        if self._connections[descriptor].serve_received_requests() and not self._stopped:
            self._epoll.modify(descriptor, _READABLE_ONCE)
        else:
            self._epoll.unregister(descriptor)
            self._drop(descriptor)

    def _drop(self, descriptor: int) -> None:
        self._close(self._connections.pop(descriptor))

    def _close_all(self) -> None:
        for descriptor in list(self._connections):
            self._drop(descriptor)
        self._epoll.close()
        self._stop_receiver.close()
