"""Users' answers are checked once more right before they are sent.

A node may stand still between working an answer out and sending it, while its clocks run on
and a successor is elected; or another routine of it may tell the same user something newer
meanwhile. Nobody may get an older answer then. What is final never gets old.

A sibling that passes an answer on is told for how long the node that gave it stays entitled.
It counts from when it asked, which is earlier, so what it still sends was not contradicted by
any other leader.
"""

from __future__ import annotations

from appleshift.api.context import (
    ApiContext,
    SchedulerReply,
    ShardReplicaView,
    respond,
    unavailable,
)
from appleshift.leader_election.leader_lease import CLOCK_DRIFT
from appleshift.protocol import users
from appleshift.transport.client import HttpAnswer
from appleshift.transport.http_messages import Response

VALID_FOR = "Valid-For-Ms"
"""For siblings: how much longer the node that answered is entitled to."""
FINAL_STATES = (users.DONE, users.CANCELLED)


class ResponseFreshness:
    """Of the answers that the holder of a share gives to users."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    def revalidated_before_sending(
        self, answer: SchedulerReply, replica: ShardReplicaView, job_id: str
    ) -> Response:
        """The response to a user, which is looked at again right before it is sent."""
        response = answer.response()
        may_change = answer.status in (200, 201, 404)
        if not may_change or answer.body.get("status") in FINAL_STATES:
            return response

        def revalidate(worked_out: Response) -> Response:
            return self._current(worked_out, replica, job_id)

        return Response(response.status, response.body, response.headers, revalidate=revalidate)

    def _current(self, response: Response, replica: ShardReplicaView, job_id: str) -> Response:
        told = replica.last_reported_state(job_id)
        if told in FINAL_STATES:
            # Over since this was worked out, and perhaps its user was told so elsewhere.
            return respond(200, users.status_body(job_id, told))
        if response.status == 201:
            # What this request itself wrote; nobody was told anything of it before.
            return response
        left_s = replica.lease.valid_for_s(self._context.runtime.now())
        if left_s <= 0.0 or (response.status == 404 and told is not None):
            return unavailable()
        headers = {**response.headers, VALID_FOR: str(int(left_s * 1000))}
        return Response(response.status, response.body, headers)

    def forwarded_response(self, answer: HttpAnswer, asked_at: float) -> Response:
        """A sibling's answer to what it was asked then, as long as it is valid."""
        headers = {"Retry-After": answer.retry_after} if answer.retry_after else {}
        valid_for = answer.valid_for_ms
        if valid_for is None or not valid_for.isdecimal():
            # Final, a refusal, or of a version that does not say.
            return Response(answer.status, answer.body, headers)
        until = asked_at + int(valid_for) / 1000 / CLOCK_DRIFT

        def revalidate(received: Response) -> Response:
            return received if self._context.runtime.now() < until else unavailable()

        return Response(answer.status, answer.body, headers, revalidate=revalidate)
