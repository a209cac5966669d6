"""One HTTP connection: requests are read one after the other, and the application answers."""

from __future__ import annotations

import http
import logging
from http.server import BaseHTTPRequestHandler
from typing import Any

from appleshift.transport.connection_deadlines import ConnectionDeadlines
from appleshift.transport.http_messages import App, Request, Response

log = logging.getLogger(__name__)

MAX_REQUEST_BODY_BYTES = 64 * 1024
"""Largest body of a request, in bytes."""
MAX_REQUEST_HEAD_BYTES = 16 * 1024
"""Largest size of all header lines of a request together, in bytes."""
_MAX_LENGTH_DIGITS = 9
"""Numbers with more digits are not even converted: that takes time for very long ones."""
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class RequestHandler(BaseHTTPRequestHandler):
    """Serves a connection that has a thread of its own.

    The listener makes a subclass with the application and its own deadlines.
    """

    protocol_version = "HTTP/1.1"
    # Buffered, so that head and body leave in one packet.
    wbufsize = -1
    disable_nagle_algorithm = True
    # No timeout of the socket: see ``connection_deadlines``.
    timeout = None
    app: App
    deadlines: ConnectionDeadlines
    raw_requestline: bytes

    def handle_one_request(self) -> None:
        """Wait for a request and answer it."""
        self._expect_request()
        super().handle_one_request()

    def _expect_request(self) -> None:
        self.deadlines.mark_idle(self.connection)

    def parse_request(self) -> bool:
        """Read the head of a request; False if it was refused.

        ``http.server`` parses it as if it were mail, which took a third of the time that a
        worker's heartbeat costs.
        """
        self.deadlines.mark_receiving(self.connection)
        # Until the head is understood, nobody can tell where another request would begin.
        self.close_connection = True
        if not self._parse_request_line() or not self._read_header_fields():
            return False
        connection_option = self.header_fields.get("connection", "").lower()
        self.close_connection = "close" in connection_option or (
            self.request_version == "HTTP/1.0" and "keep-alive" not in connection_option
        )
        if self.header_fields.get("expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.wfile.flush()
        return True

    def _parse_request_line(self) -> bool:
        self.requestline = self.raw_requestline.decode("latin-1").rstrip("\r\n")
        words = self.requestline.split()
        if len(words) != 3 or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            self.send_error(400)
            return False
        self.command, self.path, self.request_version = words
        return True

    def _read_header_fields(self) -> bool:
        """Read up to the empty line; False if the request was refused."""
        self.header_fields: dict[str, str] = {}
        size = 0
        while True:
            line = self.rfile.readline(MAX_REQUEST_HEAD_BYTES + 1)
            size += len(line)
            if size > MAX_REQUEST_HEAD_BYTES:
                self.send_error(431)
                return False
            if line in (b"\r\n", b"\n"):
                return True
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon or not line.endswith(b"\n"):
                self.send_error(400)
                return False
            key = name.strip().lower()
            if key == "content-length" and key in self.header_fields:
                # With two lengths nobody can tell where the next request begins.
                self.send_error(400)
                return False
            self.header_fields[key] = value.strip()

    def _serve(self) -> None:
        body = self._read_body()
        if body is not None:
            self.deadlines.mark_responding(self.connection)
            response = self.app(Request(self.command, self.path, body))
            # Nothing blocks between here and the write. A process that was suspended after
            # it had made the response out therefore notices that it is out of date.
            self._send(response.revalidated())

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = do_PATCH = do_OPTIONS = _serve  # noqa: N815 (http.server looks methods up by these names)

    def _read_body(self) -> bytes | None:
        """Read the request's body; None if the request was refused or broke off."""
        if self.header_fields.get("transfer-encoding") is not None:
            self._refuse(411)
            return None
        length = self.header_fields.get("content-length", "0")
        if not (length.isascii() and length.isdecimal()):
            self._refuse(400)
            return None
        if len(length) > _MAX_LENGTH_DIGITS or int(length) > MAX_REQUEST_BODY_BYTES:
            self._refuse(413)
            return None
        body = self.rfile.read(int(length))
        if len(body) < int(length):
            self.close_connection = True
            return None
        return body

    def _refuse(self, status: int) -> None:
        # The body stays unread, so that no further request can be read from here.
        self.close_connection = True
        self._send(Response(status))

    def _send(self, response: Response) -> None:
        head = (
            f"HTTP/1.1 {response.status} {_REASONS.get(response.status, '')}\r\n"
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
        """Answer what ``http.server`` itself refuses, without its HTML page."""
        self.close_connection = True
        self.request_version = "HTTP/1.1"
        self.command = getattr(self, "command", None) or "GET"
        self._send(Response(code))

    def log_message(self, format: str, *args: Any) -> None:
        """Log each request at level debug."""
        log.debug(format, *args)
