"""HTTP connection: reads requests, calls the application and sends its responses."""

from __future__ import annotations

import http
import logging
from http.server import BaseHTTPRequestHandler
from typing import Any

from appleshift.transport.connection_deadlines import ConnectionDeadlines
from appleshift.transport.http_messages import App, Request, Response

log = logging.getLogger(__name__)

MAX_REQUEST_BODY_BYTES = 64 * 1024
"""Largest request body, in bytes."""
MAX_REQUEST_HEAD_BYTES = 16 * 1024
"""Largest total size of a request's header lines, in bytes."""
_MAX_LENGTH_DIGITS = 9
"""Longer Content-Length values are refused unconverted: converting very long numbers is slow."""
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class RequestHandler(BaseHTTPRequestHandler):
    """Serves one connection on a dedicated thread.

    The listener creates a subclass with its application and deadlines as class attributes.
    """

    protocol_version = "HTTP/1.1"
    # Buffered, so that head and body are sent together.
    wbufsize = -1
    disable_nagle_algorithm = True
    # Without a socket timeout: see ``connection_deadlines``.
    timeout = None
    app: App
    deadlines: ConnectionDeadlines
    raw_requestline: bytes

    def handle_one_request(self) -> None:
        """Read one request and send its response."""
        self._set_read_deadline()
        super().handle_one_request()

    def _set_read_deadline(self) -> None:
        self.deadlines.mark_idle(self.connection)

    def parse_request(self) -> bool:
        """Read the head of a request; False if the request was refused.

        Replaces the method of ``http.server``, whose mail parser took a third of the time spent
        on a worker's heartbeat.
        """
        self.deadlines.mark_receiving(self.connection)
        # If the head is invalid, the beginning of the next request is unknown.
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
        """Read the header fields up to the empty line; False if the request was refused."""
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
                # With two lengths the beginning of the next request is ambiguous.
                self.send_error(400)
                return False
            self.header_fields[key] = value.strip()

    def _serve(self) -> None:
        body = self._read_body()
        if body is not None:
            self.deadlines.mark_responding(self.connection)
            response = self.app(Request(self.command, self.path, body))
            # Revalidated last, because nothing blocks between here and the write: a process
            # that was suspended after computing the response detects that it is out of date.
            self._send(response.revalidated())

    do_GET = do_POST = do_DELETE = do_PUT = do_HEAD = do_PATCH = do_OPTIONS = _serve  # noqa: N815 (http.server looks methods up by these names)

    def _read_body(self) -> bytes | None:
        """Read the request's body; None if the request was refused or is incomplete."""
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
        # The body is left unread, so the connection can't be used for another request.
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
        """Refuse a request with an empty body instead of the HTML page of ``http.server``."""
        self.close_connection = True
        self.request_version = "HTTP/1.1"
        self.command = getattr(self, "command", None) or "GET"
        self._send(Response(code))

    def log_message(self, format: str, *args: Any) -> None:
        """Log each request at level debug."""
        log.debug(format, *args)
