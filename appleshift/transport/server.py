"""An ``http.server`` listener: a thread for each connection up to a number, beyond it a pool
of threads for those on which something arrives, and a bound on all of them."""

from __future__ import annotations

import http
import logging
import math
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from appleshift.transport.idle_connections import IdleConnections

log = logging.getLogger(__name__)

IDLE_S = 30.0
"""A connection on which no request begins for this long is closed."""
REQUEST_S = 5.0
"""So long may a request take from its first line to its last byte."""
RESPONSE_S = 10.0
"""So long may an answer take, until its receiver has accepted it."""
DEADLINE_CHECK_S = 1.0
LOG_INTERVAL_S = 30.0
CROWDED_IDLE_S = 5.0
"""If there is no place for another connection, one that was idle for this long
loses its own: those who report keep theirs in a flood of those who do not."""
MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
REASONS = {status.value: status.phrase for status in http.HTTPStatus}


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
    revalidate: Callable[[Response], Response] | None = None
    """Called right before the response is sent: gives what is to be sent instead, if what it
    says may be out of date by then."""

    def current(self) -> Response:
        """What is to be sent now."""
        return self if self.revalidate is None else self.revalidate(self)


App = Callable[[Request], Response]


class RequestHandler(BaseHTTPRequestHandler):
    """Reads requests one after the other and lets the application answer."""

    protocol_version = "HTTP/1.1"
    # Buffered, so that head and body leave in one packet.
    wbufsize = -1
    disable_nagle_algorithm = True
    # Without a timeout of the socket, which costs a system call for every read
    # and write: the listener closes what takes too long.
    timeout = None
    app: App
    server: HttpListener
    raw_requestline: bytes

    def handle_one_request(self) -> None:
        self._expect_request()
        super().handle_one_request()

    def _expect_request(self) -> None:
        self.server.set_deadline(self.connection, IDLE_S, idle=True)

    def parse_request(self) -> bool:
        """Read the head. ``http.server`` parses it as if it were mail, which
        took a third of the time that a worker's report costs."""
        self.server.set_deadline(self.connection, REQUEST_S)
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        self.close_connection = True
        words = self.requestline.split()
        if len(words) != 3 or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            self.send_error(400)
            return False
        self.command, self.path, self.request_version = words
        self.fields: dict[str, str] = {}
        size = 0
        while True:
            line = self.rfile.readline(MAX_HEAD + 1)
            size += len(line)
            if size > MAX_HEAD:
                self.send_error(431)
                return False
            if line in (b"\r\n", b"\n"):
                break
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or not line.endswith(b"\n"):
                self.send_error(400)
                return False
            key = name.strip().lower()
            if key == "content-length" and key in self.fields:
                # Two lengths: nobody can tell where the next request begins.
                self.send_error(400)
                return False
            self.fields[key] = value.strip()
        wish = self.fields.get("connection", "").lower()
        self.close_connection = "close" in wish or (
            self.request_version == "HTTP/1.0" and "keep-alive" not in wish
        )
        if self.fields.get("expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.wfile.flush()
        return True

    def _serve(self) -> None:
        body = self._read_body()
        if body is not None:
            self.server.set_deadline(self.connection, RESPONSE_S)
            response = self.app(Request(self.command, self.path, body))
            # Between here and the write nothing blocks, so a process that stood still
            # since it worked the answer out finds out now.
            self._send(response.current())

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = do_PATCH = do_OPTIONS = _serve  # noqa: N815

    def _read_body(self) -> bytes | None:
        """The request's body, or None once the request has been refused."""
        if self.fields.get("transfer-encoding") is not None:
            self._refuse(411)
            return None
        length = self.fields.get("content-length", "0")
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
        head = (
            f"HTTP/1.1 {response.status} {REASONS.get(response.status, '')}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\n"
        )
        if response.headers.get("Connection") == "close":
            self.close_connection = True
        for name, value in response.headers.items():
            head += f"{name}: {value}\r\n" if name != "Connection" else ""
        if self.close_connection:
            head += "Connection: close\r\n"
        body = b"" if self.command == "HEAD" else response.body
        self.wfile.write(head.encode("latin-1") + b"\r\n" + body)

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Errors found by ``http.server`` itself: without its HTML page."""
        self.close_connection = True
        self.request_version = "HTTP/1.1"
        self.command = getattr(self, "command", None) or "GET"
        self._send(Response(code))

    def log_message(self, format: str, *args: Any) -> None:
        log.debug(format, *args)


class PooledRequestHandler(RequestHandler):
    """A connection without a thread of its own: a thread of the pool serves what arrives."""

    def handle(self) -> None:
        """Called when it is made: nothing has arrived yet."""

    def finish(self) -> None:
        """Called when it is made: ``close`` ends it."""

    def close(self) -> None:
        super().finish()

    def _expect_request(self) -> None:
        # Its first bytes are there; a thread waits for the others.
        self.server.set_deadline(self.connection, REQUEST_S)

    def serve_arrived(self) -> bool:
        """Answer the requests that have begun to arrive; False: the connection is over."""
        try:
            self.handle_one_request()
            while not self.close_connection and self._more_arrived():
                self.handle_one_request()
        except Exception:
            self.server.handle_error(self.connection, self.client_address)
            return False
        if not self.close_connection:
            self.server.set_deadline(self.connection, IDLE_S, idle=True)
        return not self.close_connection

    def _more_arrived(self) -> bool:
        """Whether the next request was read together with the last one: nobody else
        would see that it is there."""
        self.connection.setblocking(False)
        try:
            return bool(self.rfile.peek(1))  # type: ignore[attr-defined]
        finally:
            self.connection.setblocking(True)


@dataclass(slots=True)
class _Deadline:
    """What a connection waits for, and until when it may."""

    since: float
    until: float
    idle: bool


class HttpListener(ThreadingHTTPServer):
    """Accepts connections up to a limit; beyond it they are closed at once.

    One that waits too long, for a request, the rest of one or the taking of an
    answer, is closed from the accepting routine: it looks at all of them about
    once a second.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    # All workers come at once after a takeover; the system bounds it as well.
    request_queue_size = 4096

    def __init__(
        self,
        address: tuple[str, int],
        app: App,
        limit: int,
        name: str,
        threads: int | None = None,
        pool: int = 1,
    ) -> None:
        """``threads``: so many connections have a thread of their own, without a number
        all of them; the others share ``pool`` threads."""
        self._slots = threading.BoundedSemaphore(limit)
        self._own_threads = threading.BoundedSemaphore(limit if threads is None else threads)
        self._name = name
        # Of the open connections; each is written by its own routine only.
        self._deadlines: dict[socket.socket, _Deadline] = {}
        self._next_sweep = self._next_say = 0.0
        self._limit, self._refused = limit, 0
        bound = {"app": staticmethod(app)}
        handler = type("BoundHandler", (RequestHandler,), bound)
        self._pooled_handler = type("BoundPooledHandler", (PooledRequestHandler,), bound)
        self._idle: IdleConnections[PooledRequestHandler] | None = None
        if threads is not None and threads < limit:
            self._idle = IdleConnections(name, pool, self._close_pooled)
        super().__init__(address, handler)

    def server_bind(self) -> None:
        # Without HTTPServer's look-up of the host's name: there is no DNS.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = str(self.server_address[0]), self.server_address[1]

    def set_deadline(self, connection: socket.socket, within_s: float, idle: bool = False) -> None:
        now = time.monotonic()
        self._deadlines[connection] = _Deadline(now, now + within_s, idle)

    def connections(self) -> int:
        return len(self._deadlines)

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._slots.acquire(blocking=False):
            self._refused += 1
            self.shutdown_request(request)
            self._close_longest_idle()
            return
        if not self._own_threads.acquire(blocking=False) and self._idle is not None:
            self._process_pooled(request, client_address, self._idle)
            return
        try:
            super().process_request(request, client_address)
        except RuntimeError:
            # No more threads to be had.
            self._refused += 1
            self._own_threads.release()
            self._slots.release()
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        self.set_deadline(request, IDLE_S, idle=True)
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._deadlines.pop(request, None)
            self._own_threads.release()
            self._slots.release()

    def _process_pooled(
        self, request: Any, client_address: Any, idle: IdleConnections[PooledRequestHandler]
    ) -> None:
        try:
            handler = self._pooled_handler(request, client_address, self)
        except OSError:
            self.handle_error(request, client_address)
            self._slots.release()
            self.shutdown_request(request)
            return
        self.set_deadline(request, IDLE_S, idle=True)
        idle.add(handler)

    def _close_pooled(self, handler: PooledRequestHandler) -> None:
        try:
            handler.close()
        except OSError:
            # What was still to be sent finds nobody.
            self.handle_error(handler.connection, handler.client_address)
        finally:
            self.shutdown_request(handler.connection)
            self._deadlines.pop(handler.connection, None)
            self._slots.release()

    def service_actions(self) -> None:
        """Called between accepted connections, and a few times a second without any."""
        now = time.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + DEADLINE_CHECK_S
        for connection, wait in list(self._deadlines.items()):
            if now > wait.until:
                log.debug("closing a connection that waits too long")
                self._shut_down(connection)
        if self._refused and now >= self._next_say:
            self._next_say = now + LOG_INTERVAL_S
            log.warning(
                "%s: %d connections refused, %d of %d places are taken",
                *(self._name, self._refused, self.connections(), self._limit),
            )
            self._refused = 0

    def _close_longest_idle(self) -> None:
        """Whoever comes next finds one, if a connection is idle for long."""
        idle = [(wait.since, each) for each, wait in list(self._deadlines.items()) if wait.idle]
        since, oldest = min(idle, key=lambda entry: entry[0], default=(math.inf, None))
        if oldest is not None and time.monotonic() - since > CROWDED_IDLE_S:
            self._shut_down(oldest)

    @staticmethod
    def _shut_down(connection: socket.socket) -> None:
        """Its routine, blocked in a read or a write, ends and cleans up; without one, a
        routine of the pool finds it at its end."""
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            log.debug("connection was closed already")

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
        for connection in list(self._deadlines):
            self._shut_down(connection)
        if self._idle is not None:
            self._idle.stop()
