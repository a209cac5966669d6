"""HTTP connection served by a thread pool."""

from __future__ import annotations

from appleshift.transport.request_handler import RequestHandler


class PooledRequestHandler(RequestHandler):
    """Serves a connection on threads of a pool, one thread at a time, when data has arrived."""

    def handle(self) -> None:
        """Do nothing: ``socketserver`` calls this before a request has arrived."""

    def finish(self) -> None:
        """Do nothing: ``socketserver`` calls this right after ``handle``. See ``close``."""

    def close(self) -> None:
        """Flush buffered data and close the connection's files; OSError if sending fails."""
        super().finish()

    def _set_read_deadline(self) -> None:
        # The first bytes have arrived, and the thread of the pool waits for the rest.
        self.deadlines.mark_receiving(self.connection)

    def serve_received_requests(self) -> bool:
        """Serve the requests that have begun to arrive; False if the connection must be closed."""
        try:
            self.handle_one_request()
            while not self.close_connection and self._next_request_has_arrived():
                self.handle_one_request()
        except Exception:
            # An exception of the application ends this connection but not the thread.
            self.server.handle_error(self.connection, self.client_address)
            return False
        if not self.close_connection:
            self.deadlines.mark_idle(self.connection)
        return not self.close_connection

    def _next_request_has_arrived(self) -> bool:
        """Whether another request has begun to arrive.

        If it was received with the previous one, it is in the read buffer, which epoll doesn't
        watch.
        """
        self.connection.setblocking(False)
        try:
            return bool(self.rfile.peek(1))  # type: ignore[attr-defined]
        finally:
            self.connection.setblocking(True)
