"""Responses that several endpoints use, and the scheduler's reply to a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from appleshift.protocol import users
from appleshift.protocol.wire import encode
from appleshift.transport.http_messages import Response


def respond(status: int, body: Any, retry_after: int = 0) -> Response:
    """A response with an encoded body.

    ``retry_after`` is in seconds; 0 leaves the header out.
    """
    headers = {"Retry-After": str(retry_after)} if retry_after else {}
    return Response(status, encode(body), headers)


def unavailable() -> Response:
    """A 503 response of a node that cannot answer now: the client retries after one second."""
    return respond(503, users.error_body("not available right now"), 1)


def refuse_method(method: str, allowed: str) -> Response | None:
    """A 405 response if ``method`` is not allowed for the path, otherwise None.

    HEAD is allowed wherever GET is.
    """
    if method == allowed or (method == "HEAD" and allowed == "GET"):
        return None
    response = respond(405, users.error_body(f"use {allowed}"))
    response.headers["Allow"] = allowed
    return response


@dataclass(frozen=True, slots=True)
class SchedulerReply:
    """The scheduler's reply to a request.

    ``retry_after`` is in seconds; 0 leaves the header out.
    """

    status: int
    body: Any
    retry_after: int = 0

    def response(self) -> Response:
        """Convert the reply to an HTTP response."""
        return respond(self.status, self.body, self.retry_after)
