"""An HTTP listener with a limit on its connections.

Up to a number of connections, each has a dedicated thread. A pool of threads serves the others.
"""

from __future__ import annotations

import logging
import socket
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any

from appleshift.transport.connection_deadlines import ConnectionDeadlines
from appleshift.transport.http_messages import App
from appleshift.transport.pooled_connections import PooledConnections
from appleshift.transport.pooled_request_handler import PooledRequestHandler
from appleshift.transport.request_handler import RequestHandler

log = logging.getLogger(__name__)

DEADLINE_CHECK_INTERVAL_S = 1.0
"""Seconds between two checks for expired connections."""
REFUSAL_LOG_INTERVAL_S = 30.0
"""Least seconds between two log lines about refused connections."""
POLL_INTERVAL_S = 0.5
"""Most seconds between two calls of ``service_actions`` without new connections."""


class HttpListener(ThreadingHTTPServer):
    """Accepts connections up to a limit and closes those beyond the limit at once.

    The accepting thread checks all connections about once a second. It shuts down those whose
    client takes too long to send a request or its rest, or to receive a response.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    # After a failover all workers connect at once. The operating system has its own limit.
    request_queue_size = 4096

    def __init__(
        self,
        address: tuple[str, int],
        app: App,
        max_connections: int,
        name: str,
        dedicated_threads: int | None = None,
        pool_threads: int = 1,
    ) -> None:
        """Bind the address; OSError if that fails.

        Up to ``dedicated_threads`` connections have one thread each (None: all connections).
        The others, up to ``max_connections`` in total, share ``pool_threads`` threads.
        """
        self._connection_slots = threading.BoundedSemaphore(max_connections)
        self._dedicated_thread_slots = threading.BoundedSemaphore(
            max_connections if dedicated_threads is None else dedicated_threads
        )
        self._name = name
        self._deadlines = ConnectionDeadlines()
        self._next_deadline_check = self._next_refusal_log = 0.0
        self._max_connections, self._refused_count = max_connections, 0
        class_attributes = {"app": staticmethod(app), "deadlines": self._deadlines}
        handler = type("BoundHandler", (RequestHandler,), class_attributes)
        self._pooled_handler_class = type(
            "BoundPooledHandler", (PooledRequestHandler,), class_attributes
        )
        self._pooled_connections: PooledConnections[PooledRequestHandler] | None = None
        if dedicated_threads is not None and dedicated_threads < max_connections:
            self._pooled_connections = PooledConnections(
                name, pool_threads, self._close_pooled_connection
            )
        super().__init__(address, handler)

    def server_bind(self) -> None:
        """Bind the address without the DNS query of ``HTTPServer``: there may be no DNS."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = str(self.server_address[0]), self.server_address[1]

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._deadlines)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Assign a new connection to a dedicated thread or to the pool; refuse it at the limit."""
        if not self._connection_slots.acquire(blocking=False):
            self._refused_count += 1
            self.shutdown_request(request)
            self._deadlines.shut_down_longest_idle()
            return
        if (
            not self._dedicated_thread_slots.acquire(blocking=False)
            and self._pooled_connections is not None
        ):
            self._process_pooled_connection(request, client_address, self._pooled_connections)
            return
        try:
            super().process_request(request, client_address)
        except RuntimeError:
            # The operating system refuses another thread.
            self._refused_count += 1
            self._dedicated_thread_slots.release()
            self._connection_slots.release()
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        """Serve a connection on its dedicated thread until it ends."""
        self._deadlines.mark_idle(request)
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._deadlines.remove(request)
            self._dedicated_thread_slots.release()
            self._connection_slots.release()

    def _process_pooled_connection(
        self,
        request: Any,
        client_address: Any,
        pooled_connections: PooledConnections[PooledRequestHandler],
    ) -> None:
        try:
            handler = self._pooled_handler_class(request, client_address, self)
        except OSError:
            self.handle_error(request, client_address)
            self._connection_slots.release()
            self.shutdown_request(request)
            return
        self._deadlines.mark_idle(request)
        pooled_connections.add(handler)

    def _close_pooled_connection(self, handler: PooledRequestHandler) -> None:
        try:
            handler.close()
        except OSError:
            # The client has closed the connection before all buffered data was sent.
            self.handle_error(handler.connection, handler.client_address)
        finally:
            self.shutdown_request(handler.connection)
            self._deadlines.remove(handler.connection)
            self._connection_slots.release()

    def service_actions(self) -> None:
        """Shut down expired connections and log refused ones, about once a second.

        ``socketserver`` calls this after each new connection and every ``POLL_INTERVAL_S``.
        """
        now = time.monotonic()
        if now < self._next_deadline_check:
            return
        self._next_deadline_check = now + DEADLINE_CHECK_INTERVAL_S
        self._deadlines.shut_down_expired(now)
        if self._refused_count and now >= self._next_refusal_log:
            self._next_refusal_log = now + REFUSAL_LOG_INTERVAL_S
            log.warning(
                "connections refused listener=%s refused=%d open=%d limit=%d",
                self._name,
                self._refused_count,
                self.connection_count(),
                self._max_connections,
            )
            self._refused_count = 0

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log at level debug: broken and timed out connections are normal."""
        log.debug("connection failed client=%s", client_address, exc_info=True)

    def start(self) -> None:
        """Start a thread that accepts connections."""
        threading.Thread(
            target=self.serve_forever,
            kwargs={"poll_interval": POLL_INTERVAL_S},
            name=self._name,
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop accepting connections, release the address and shut down all connections."""
        self.shutdown()
        self.server_close()
        self._deadlines.shut_down_all()
        if self._pooled_connections is not None:
            self._pooled_connections.stop()
