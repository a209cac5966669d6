"""Validates responses to users again immediately before they are sent.

A node may pause between preparing a response and sending it. Meanwhile its leader lease may
expire and a successor may be elected, or another thread of the node may send the same user a
newer state. The older response must not be sent then. Final states never become outdated.

The leader adds to its response for how long its lease remains valid. A peer that forwards the
response counts this time from when the peer sent the request, which is earlier than the
response, so that no other leader can have contradicted a response that the peer still sends.
"""

from __future__ import annotations

import logging

from appleshift.api.context import ApiContext
from appleshift.api.responses import SchedulerReply, respond, unavailable
from appleshift.api.shard_interfaces import ShardReplicaView
from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO
from appleshift.protocol import users
from appleshift.transport.client import HttpResponse
from appleshift.transport.http_messages import Response

log = logging.getLogger(__name__)

VALID_FOR_HEADER = "Valid-For-Ms"
"""Header with the remaining time of the responding node's leader lease, in milliseconds, for
peers that forward the response."""
FINAL_STATES = (users.DONE, users.CANCELLED)
"""Job states that never change."""


class ResponseFreshness:
    """Validates a shard leader's responses to users before they are sent."""

    def __init__(self, context: ApiContext) -> None:
        """Create it; ``context`` provides the clock."""
        self._context = context

    def revalidated_before_sending(
        self, answer: SchedulerReply, replica: ShardReplicaView, job_id: str
    ) -> Response:
        """The response to a user's request about a job, validated again before it is sent."""
        response = answer.response()
        may_change = answer.status in (200, 201, 404)
        if not may_change or answer.body.get("status") in FINAL_STATES:
            return response

        def revalidate(prepared: Response) -> Response:
            return self._current(prepared, replica, job_id)

        return Response(response.status, response.body, response.headers, revalidate=revalidate)

    def _current(self, response: Response, replica: ShardReplicaView, job_id: str) -> Response:
        """The prepared response if it is current, otherwise the response to send instead."""
        reported_state = replica.last_reported_state(job_id)
        if reported_state in FINAL_STATES:
            # The job has ended, and its user may have been told so on another connection.
            return respond(200, users.status_body(job_id, reported_state))
        if response.status == 201:
            # This request created the job, so no state was reported before.
            return response
        valid_for_s = replica.lease.valid_for_s(self._context.runtime.now())
        if valid_for_s <= 0.0 or (response.status == 404 and reported_state is not None):
            return unavailable()
        log.debug(
            "job answer sent job=%s status=%d state=%s token=%d valid_for_ms=%d",
            job_id,
            response.status,
            reported_state,
            replica.lease.fencing_token,
            valid_for_s * 1000,
        )
        headers = {**response.headers, VALID_FOR_HEADER: str(int(valid_for_s * 1000))}
        return Response(response.status, response.body, headers)

    def forwarded_response(self, answer: HttpResponse, asked_at: float) -> Response:
        """A leader's answer to a request forwarded at ``asked_at``; 503 once it is outdated."""
        log.debug(
            "answer of the leader received status=%d age_ms=%.0f valid_for_ms=%s",
            answer.status,
            (self._context.runtime.now() - asked_at) * 1000,
            answer.valid_for_ms,
        )
        headers = {"Retry-After": answer.retry_after} if answer.retry_after else {}
        valid_for_ms = answer.valid_for_ms
        if valid_for_ms is None or not valid_for_ms.isdecimal():
            # A final state, a refusal, or a peer whose version does not send the header.
            return Response(answer.status, answer.body, headers)
        valid_until = asked_at + int(valid_for_ms) / 1000 / CLOCK_DRIFT_RATIO

        def revalidate(received: Response) -> Response:
            return received if self._context.runtime.now() < valid_until else unavailable()

        return Response(answer.status, answer.body, headers, revalidate=revalidate)
