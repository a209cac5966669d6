"""Validates a leader's answers about jobs again immediately before they are sent to users.

A node may pause between preparing an answer and sending it. Meanwhile its leader lease may
expire and a successor may be elected, or another thread or another node may send the same user
a newer state. The older answer must not be sent then. Final states never become outdated.

Every other answer is sent under a read lease (``leader_election.read_leases``). The leader adds
to an answer that another node forwards for how long that node may send it. Newer answers wait
until the leases for older ones have expired.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from appleshift.api.context import ApiContext
from appleshift.api.responses import SchedulerReply, respond, unavailable
from appleshift.api.shard_interfaces import ShardReplicaView
from appleshift.leader_election.leader_lease import SAFETY_MARGIN_S
from appleshift.leader_election.read_leases import OWN_READ_LEASE_S, READ_LEASE_S, JobVersion
from appleshift.protocol import users
from appleshift.transport.http_messages import Response

log = logging.getLogger(__name__)

VALID_FOR_HEADER = "Valid-For-Ms"
"""Header of an answer to a peer: for how many milliseconds, from when the peer asked, the peer
may send the answer to a user."""
FINAL_STATES = (users.DONE, users.CANCELLED)
"""Job states that never change."""


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request about a job that this node answers as the leader of a shard."""

    replica: ShardReplicaView
    job_id: str
    forwarded: bool
    """Whether a peer asks and passes the answer on to a user."""
    received_at: float
    fencing_token: int
    """Token of the leader term in which the request was received."""


def job_version(status: int, state: str | None) -> JobVersion | None:
    """The version of the job that an answer reports; None if it reports none."""
    if status == 404:
        return JobVersion.UNKNOWN
    if status not in (200, 201, 421):
        return None
    return JobVersion.ENDED if state in FINAL_STATES else JobVersion.ACCEPTED


class ResponseFreshness:
    """Keeps answers about jobs from being sent after newer ones."""

    def __init__(self, context: ApiContext) -> None:
        """Create it; ``context`` provides the clock."""
        self._context = context

    def received(self, replica: ShardReplicaView, job_id: str, forwarded: bool) -> JobRequest:
        """Record a request about a job before the scheduler is asked."""
        now = self._context.runtime.now()
        return JobRequest(replica, job_id, forwarded, now, replica.lease.fencing_token)

    def revalidated_before_sending(self, reply: SchedulerReply, request: JobRequest) -> Response:
        """The response to a request about a job, validated again before it is sent.

        Waits before it returns a redirect to another shard: this node may follow the redirect
        itself, and that shard does not know this shard's read leases.
        """
        response = reply.response()
        state = reply.body.get("status") if isinstance(reply.body, dict) else None
        version = job_version(reply.status, state)
        if version is None:
            return response
        if reply.status == 421:
            self._wait_for_read_leases(request, version)
            return response

        def revalidate(prepared: Response) -> Response:
            return self._current(prepared, version, request)

        return Response(response.status, response.body, response.headers, revalidate=revalidate)

    def _current(self, prepared: Response, version: JobVersion, request: JobRequest) -> Response:
        """The prepared response under a read lease, or the response to send instead.

        Waits until the read leases for older versions of the job have expired.
        """
        while True:
            response, newest = self._newest(prepared, version, request)
            if newest is None:
                return response
            if self._wait_for_read_leases(request, newest):
                continue
            if newest is JobVersion.ENDED:
                return response
            leased = self._leased(response, newest, request)
            # Whoever learns of a newer version from now on finds the lease.
            if self._newest(prepared, version, request)[1] is newest:
                return leased

    def _newest(
        self, prepared: Response, version: JobVersion, request: JobRequest
    ) -> tuple[Response, JobVersion | None]:
        """The newest response that this node knows, and its version; None with a refusal."""
        if version is JobVersion.ENDED:
            return prepared, version
        replica = request.replica
        state = replica.last_reported_state(request.job_id)
        if state in FINAL_STATES:
            # The job has ended, and its user may have been told so on another connection.
            body = users.status_body(request.job_id, state)
            return respond(200, body), JobVersion.ENDED
        same_term = replica.lease.fencing_token == request.fencing_token
        entitled = replica.lease.valid_for_s(self._context.runtime.now()) > 0.0
        is_known = state is not None
        if not same_term or not entitled or is_known != (version is JobVersion.ACCEPTED):
            return unavailable(), None
        return prepared, version

    def _wait_for_read_leases(self, request: JobRequest, version: JobVersion) -> bool:
        """Wait for the leases for older versions; return whether it was necessary to wait."""
        runtime = self._context.runtime
        remaining_s = request.replica.read_leases.remaining_s(
            request.job_id, version, runtime.now()
        )
        if remaining_s > 0.0:
            runtime.sleep(remaining_s)
        return remaining_s > 0.0

    def _leased(self, response: Response, version: JobVersion, request: JobRequest) -> Response:
        """Grant the read lease for a response, and tell a peer how long it lasts."""
        replica, now = request.replica, self._context.runtime.now()
        duration_s = READ_LEASE_S if request.forwarded else OWN_READ_LEASE_S
        replica.read_leases.grant(request.job_id, version, duration_s, now)
        if not request.forwarded:
            return response
        # The peer asked before ``received_at``, so the time since then does not count.
        lease_s = min(duration_s - SAFETY_MARGIN_S, replica.lease.valid_for_s(now))
        valid_for_ms = int((now - request.received_at + lease_s) * 1000)
        log.debug(
            "job answer leased job=%s status=%d version=%s token=%d valid_for_ms=%d",
            request.job_id,
            response.status,
            version.name,
            request.fencing_token,
            valid_for_ms,
        )
        headers = {**response.headers, VALID_FOR_HEADER: str(valid_for_ms)}
        return Response(response.status, response.body, headers)


def all_unknown(responses: list[Response]) -> Response:
    """The 404 of several shards as one response, which is sent only while each of them is valid."""

    def revalidate(last: Response) -> Response:
        for response in responses:
            current = response.revalidated()
            if current.status != 404:
                return current
        return last

    last = responses[-1]
    return Response(last.status, last.body, last.headers, revalidate=revalidate)
