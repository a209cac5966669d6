"""Responses to users are validated once more right before they are sent.

A node may pause between working out a response and sending it, while the clock runs on and
a successor is elected; or another of its threads may meanwhile tell the same user something
newer. Nobody may get the older response then. Final states never become out of date.

A peer that forwards a response is told for how long the lease of the node that gave it is
valid. It counts from when it sent the request, which is earlier, so no other leader has
contradicted what it still sends.
"""

from __future__ import annotations

from appleshift.api.context import ApiContext
from appleshift.api.interfaces import ShardReplicaView
from appleshift.api.responses import SchedulerReply, respond, unavailable
from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO
from appleshift.protocol import users
from appleshift.transport.client import HttpResponse
from appleshift.transport.http_messages import Response

VALID_FOR_HEADER = "Valid-For-Ms"
"""Header for peers: how much longer the lease of the node that responded is valid."""
FINAL_STATES = (users.DONE, users.CANCELLED)
"""States of a job that never change again."""


class ResponseFreshness:
    """Validates the responses that a shard's leader gives to users."""

    def __init__(self, context: ApiContext) -> None:
        """Use the clock of ``context``."""
        self._context = context

    def revalidated_before_sending(
        self, answer: SchedulerReply, replica: ShardReplicaView, job_id: str
    ) -> Response:
        """The response to a user, which is validated again right before it is sent."""
        response = answer.response()
        may_change = answer.status in (200, 201, 404)
        if not may_change or answer.body.get("status") in FINAL_STATES:
            return response

        def revalidate(prepared: Response) -> Response:
            return self._current(prepared, replica, job_id)

        return Response(response.status, response.body, response.headers, revalidate=revalidate)

    def _current(self, response: Response, replica: ShardReplicaView, job_id: str) -> Response:
        """The response itself while it is up to date, else what is to be sent instead."""
        reported_state = replica.last_reported_state(job_id)
        if reported_state in FINAL_STATES:
            # The job ended since, and perhaps its user was told so by another connection.
            return respond(200, users.status_body(job_id, reported_state))
        if response.status == 201:
            # This request itself created the job; nobody was told anything of it before.
            return response
        valid_for_s = replica.lease.valid_for_s(self._context.runtime.now())
        if valid_for_s <= 0.0 or (response.status == 404 and reported_state is not None):
            return unavailable()
        headers = {**response.headers, VALID_FOR_HEADER: str(int(valid_for_s * 1000))}
        return Response(response.status, response.body, headers)

    def forwarded_response(self, answer: HttpResponse, asked_at: float) -> Response:
        """A peer's answer to a request sent to it at ``asked_at``, while it is valid."""
        headers = {"Retry-After": answer.retry_after} if answer.retry_after else {}
        valid_for_ms = answer.valid_for_ms
        if valid_for_ms is None or not valid_for_ms.isdecimal():
            # A final state, a refusal, or a peer of a version that does not send the header.
            return Response(answer.status, answer.body, headers)
        valid_until = asked_at + int(valid_for_ms) / 1000 / CLOCK_DRIFT_RATIO

        def revalidate(received: Response) -> Response:
            return received if self._context.runtime.now() < valid_until else unavailable()

        return Response(answer.status, answer.body, headers, revalidate=revalidate)
