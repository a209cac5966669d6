"""Checks the leader's answers about jobs that this node forwards to users.

An answer that may become outdated carries a read lease: for how long this node may send it,
counted from when this node asked. This node looks again immediately before it sends the answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.api.freshness import FINAL_STATES
from appleshift.api.responses import unavailable
from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.client import HttpResponse
from appleshift.transport.http_messages import Response

log = logging.getLogger(__name__)

MAX_VALID_FOR_DIGITS = 9
"""Maximum digits of the duration of a read lease; a longer one is malformed."""


def plain_response(answer: HttpResponse) -> Response:
    """The answer of a peer as a response that needs no check before it is sent."""
    headers = {"Retry-After": answer.retry_after} if answer.retry_after else {}
    return Response(answer.status, answer.body, headers)


def leased_response(
    answer: HttpResponse, asked_at: float, now: Callable[[], float]
) -> Response | None:
    """The leader's answer about a job to a request that was forwarded at ``asked_at``.

    None if its read lease has expired already. The response is 503 once the lease expires, and
    also if the answer may become outdated but has no valid lease.
    """
    response, valid_for_ms = plain_response(answer), answer.valid_for_ms
    log.debug(
        "answer of the leader received status=%d age_ms=%.0f valid_for_ms=%s",
        answer.status,
        (now() - asked_at) * 1000,
        valid_for_ms,
    )
    if valid_for_ms is None and _is_never_outdated(answer):
        return response
    if valid_for_ms is None or not _is_duration(valid_for_ms):
        log.warning(
            "answer of the leader has no read lease status=%d valid_for_ms=%r",
            answer.status,
            valid_for_ms,
        )
        return unavailable()
    expires_at = asked_at + int(valid_for_ms) / 1000 / CLOCK_DRIFT_RATIO
    if now() >= expires_at:
        return None

    def revalidate(received: Response) -> Response:
        return received if now() < expires_at else unavailable()

    return Response(response.status, response.body, response.headers, revalidate=revalidate)


def _is_duration(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_VALID_FOR_DIGITS


def _is_never_outdated(answer: HttpResponse) -> bool:
    """Whether an answer without a read lease cannot become outdated.

    A 201 without one is from a node of an earlier version.
    """
    if answer.status not in (200, 404):
        return True
    try:
        return answer.status == 200 and decode(answer.body).get("status") in FINAL_STATES
    except (ProtocolError, AttributeError):
        return False
