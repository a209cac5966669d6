"""An ``http.server`` listener: one routine for each connection, and a bound on them."""

from __future__ import annotations

import logging
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

log = logging.getLogger(__name__)

IDLE_S = 60.0
"""A connection that asks nothing for this long is closed."""
SLOW_S = 5.0
"""A request that stops arriving for this long is given up."""
MAX_BODY = 64 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/msgpack"


App = Callable[[Request], Response]


class Handler(BaseHTTPRequestHandler):
    """Reads requests one after the other and lets the application answer."""

    protocol_version = "HTTP/1.1"
    # Buffered, so that head and body leave in one packet.
    wbufsize = -1
    disable_nagle_algorithm = True
    timeout = IDLE_S
    app: App

    def _serve(self) -> None:
        self.connection.settimeout(SLOW_S)
        body = self._read_body()
        if body is not None:
            self._send(self.app(Request(self.command, self.path, body)))
        self.connection.settimeout(IDLE_S)

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = do_PATCH = do_OPTIONS = _serve  # noqa: N815

    def _read_body(self) -> bytes | None:
        """The request's body, or None once the request has been refused."""
        if self.headers.get("Transfer-Encoding") is not None:
            self._refuse(411)
            return None
        length = self.headers.get("Content-Length", "0")
        if not (length.isascii() and length.isdecimal()):
            self._refuse(400)
            return None
        if len(length) > 9 or int(length) > MAX_BODY:
            self._refuse(413)
            return None
        body = self.rfile.read(int(length))
        if len(body) < int(length):
            self.close_connection = True
            return None
        return body

    def _refuse(self, status: int) -> None:
        # The body stays unread, so that nothing more can be read from here.
        self.close_connection = True
        self._send(Response(status))

    def _send(self, response: Response) -> None:
        self.send_response_only(response.status)
        self.send_header("Content-Type", response.content_type)
        self.send_header("Content-Length", str(len(response.body)))
        for name, value in response.headers.items():
            self.send_header(name, value)
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(response.body)

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Errors found by ``http.server`` itself: without its HTML page."""
        self.close_connection = True
        self.request_version = "HTTP/1.1"
        self.command = getattr(self, "command", None) or "GET"
        self._send(Response(code))

    def log_message(self, format: str, *args: Any) -> None:
        log.debug(format, *args)


class Listener(ThreadingHTTPServer):
    """Accepts connections up to a limit; beyond it they are closed at once."""

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], app: App, limit: int, name: str) -> None:
        self._slots = threading.BoundedSemaphore(limit)
        self._name = name
        self._open: set[socket.socket] = set()
        handler = type("BoundHandler", (Handler,), {"app": staticmethod(app)})
        super().__init__(address, handler)

    def server_bind(self) -> None:
        # Without HTTPServer's look-up of the host's name: there is no DNS.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = str(self.server_address[0]), self.server_address[1]

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._slots.acquire(blocking=False):
            self.shutdown_request(request)
            return
        try:
            super().process_request(request, client_address)
        except RuntimeError:
            # No more threads to be had.
            self._slots.release()
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        self._open.add(request)
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._open.discard(request)
            self._slots.release()

    def handle_error(self, request: Any, client_address: Any) -> None:
        # Connections that break off or time out are everyday events.
        log.debug("connection from %s failed", client_address, exc_info=True)

    def start(self) -> None:
        threading.Thread(
            target=self.serve_forever, kwargs={"poll_interval": 0.5}, name=self._name, daemon=True
        ).start()

    def stop(self) -> None:
        """Stop accepting and end the open connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                log.debug("connection was closed already")
