"""One HTTP connection without a thread of its own."""

from __future__ import annotations

from appleshift.transport.request_handler import RequestHandler


class PooledRequestHandler(RequestHandler):
    """Serves a connection by threads of a pool, one at a time, whenever something arrives."""

    def handle(self) -> None:
        """Do nothing: ``socketserver`` calls it at once, when no request has arrived yet."""

    def finish(self) -> None:
        """Do nothing: ``socketserver`` calls it at once; ``close`` ends the connection."""

    def close(self) -> None:
        """Send what is buffered and release the connection's files; OSError if it cannot."""
        super().finish()

    def _expect_request(self) -> None:
        # The first bytes of the request are there, and a thread waits for the others.
        self.deadlines.mark_receiving(self.connection)

    def serve_received_requests(self) -> bool:
        """Answer the requests that have begun to arrive; False: the connection is over."""
        try:
            self.handle_one_request()
            while not self.close_connection and self._more_arrived():
                self.handle_one_request()
        except Exception:
            # Whatever the application raises ends this connection, not the pool's thread.
            self.server.handle_error(self.connection, self.client_address)
            return False
        if not self.close_connection:
            self.deadlines.mark_idle(self.connection)
        return not self.close_connection

    def _more_arrived(self) -> bool:
        """Whether another request was read together with the last one.

        It stands in the buffer, where the kernel's watch on the socket doesn't see it.
        """
        self.connection.setblocking(False)
        try:
            return bool(self.rfile.peek(1))  # type: ignore[attr-defined]
        finally:
            self.connection.setblocking(True)
