"""Connections without dedicated threads, served by a bounded pool of threads.

All threads of the pool wait on one epoll instance with all of these connections. The kernel
wakes one thread for each readable connection; that thread serves the connection and registers
it again. Passing connections from one waiting thread to others through a queue would cost two
more context switches per request.
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
"""Wakes only one thread when data arrives, until the connection is registered again."""


class ServedConnection(Protocol):
    """A connection whose requests are served when data has arrived."""

    connection: socket.socket

    def serve_received_requests(self) -> bool:
        """Serve the requests that have begun to arrive; False if the connection must be closed."""
        ...


ServedConnectionT = TypeVar("ServedConnectionT", bound=ServedConnection)


class PooledConnections(Generic[ServedConnectionT]):
    """Connections that epoll watches between requests and a pool thread serves during requests.

    A connection is closed by the thread that serves it, after unregistering it from epoll. A
    reused file descriptor can therefore not be mistaken for the previous connection.
    """

    def __init__(
        self, name: str, max_threads: int, close: Callable[[ServedConnectionT], None]
    ) -> None:
        """Create a pool of up to ``max_threads`` threads.

        ``close`` is called once per connection. ``name`` is the listener's name in thread names
        and log lines.
        """
        self._name = name
        self._max_threads = max_threads
        self._close = close
        self._lock = threading.Lock()
        self._thread_count = 0
        self._stopped = False
        self._connections: dict[int, ServedConnectionT] = {}
        self._epoll = select.epoll()
        # Readable for every thread after ``stop`` has closed the sender.
        self._stop_receiver, self._stop_sender = socket.socketpair()
        self._epoll.register(self._stop_receiver, select.EPOLLIN)

    def add(self, connection: ServedConnectionT) -> None:
        """Watch a new connection, or close it at once if no thread can serve it."""
        descriptor = connection.connection.fileno()
        with self._lock:
            self._connections[descriptor] = connection
            can_serve = not self._stopped and self._start_thread()
            if can_serve:
                self._epoll.register(descriptor, _READABLE_ONCE)
        if not can_serve:
            self._remove_and_close(descriptor)

    def _start_thread(self) -> bool:
        """Start another thread, up to the maximum; False if no thread is running."""
        if self._thread_count < self._max_threads:
            name = f"{self._name}-pool-{self._thread_count + 1}"
            try:
                threading.Thread(target=self._run, name=name, daemon=True).start()
                self._thread_count += 1
            except RuntimeError:
                # The operating system refuses another thread: those running serve all
                # connections.
                log.warning(
                    "connection pool cannot grow listener=%s threads=%d",
                    self._name,
                    self._thread_count,
                )
        return self._thread_count > 0

    def stop(self) -> None:
        """Close all connections; a connection that is being served is closed afterwards."""
        with self._lock:
            self._stopped = True
            has_no_thread = self._thread_count == 0
        self._stop_sender.close()
        if has_no_thread:
            self._close_all()

    def _run(self) -> None:
        while not self._stopped:
            for descriptor, _ in self._epoll.poll(maxevents=1):
                if descriptor != self._stop_receiver.fileno():
                    self._serve(descriptor)
        with self._lock:
            self._thread_count -= 1
            is_last = self._thread_count == 0
        if is_last:
            self._close_all()

    def _serve(self, descriptor: int) -> None:
        if self._connections[descriptor].serve_received_requests() and not self._stopped:
            self._epoll.modify(descriptor, _READABLE_ONCE)
        else:
            self._epoll.unregister(descriptor)
            self._remove_and_close(descriptor)

    def _remove_and_close(self, descriptor: int) -> None:
        self._close(self._connections.pop(descriptor))

    def _close_all(self) -> None:
        for descriptor in list(self._connections):
            self._remove_and_close(descriptor)
        self._epoll.close()
        self._stop_receiver.close()
