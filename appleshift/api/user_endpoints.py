"""Endpoints for users: job submissions, queries and cancellations, sent to the right shard."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from appleshift.api.context import ApiContext
from appleshift.api.forwarding import Forwarder
from appleshift.api.freshness import ResponseFreshness, all_unknown
from appleshift.api.responses import respond, unavailable
from appleshift.api.shard_interfaces import ShardReplicaView
from appleshift.contracts import events
from appleshift.protocol import users
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.http_messages import Request, Response

JOBS_PATH = "/submissions"
MAX_QUERY_NUMBER_DIGITS = 19
"""Maximum digits of a number in a query string; a longer one is malformed."""

JobEvent = events.SubmitJob | events.GetJobStatus | events.CancelJob


@dataclass(frozen=True, slots=True)
class ShardTarget:
    """The shard to which a request is sent."""

    shard: int
    forwarded_by_home: bool
    """Whether the job's home shard has recorded that this shard decides for the job."""
    map_version: int
    """Version of the shard map by which this shard was chosen; 0 without a shard map."""


@dataclass(frozen=True, slots=True)
class JobCall:
    """A user's request about a job, which may be sent to several shards in turn."""

    request: Request
    make_event: Callable[[ShardTarget], JobEvent]
    """Creates the scheduler's event for a shard, with a new reply queue."""
    wait_for_election: bool
    """Whether the request may wait for an ongoing election."""


def _query_number(query: dict[str, list[str]], name: str) -> int:
    """A number in a query string: 0 if it is missing, -1 if it is malformed."""
    text = query.get(name, ["0"])[0]
    return int(text) if text.isdecimal() and len(text) <= MAX_QUERY_NUMBER_DIGITS else -1


class UserEndpoints:
    """Endpoints for users' jobs.

    The parameter ``forwarded`` is true if a peer forwarded the request. The request's query
    string then contains the shard.
    """

    def __init__(
        self, context: ApiContext, forwarder: Forwarder, freshness: ResponseFreshness
    ) -> None:
        """Create the endpoints; the arguments are shared with the node's other endpoints."""
        self._context = context
        self._forwarder = forwarder
        self._freshness = freshness

    def submit(self, request: Request, forwarded: bool) -> Response:
        """Accept a job, or report its state if it was submitted before.

        Raises ProtocolError for a malformed submission.
        """
        spec = users.decode_submission(request.body)

        def submit_event(target: ShardTarget) -> events.SubmitJob:
            return events.SubmitJob(
                target.shard, self._context.runtime.queue(), spec, target.forwarded_by_home
            )

        call = JobCall(request, submit_event, wait_for_election=False)
        shard_map = self._context.shard_map()
        if forwarded or shard_map is None:
            return self._ask_named_shard(call, forwarded)
        home, *former_homes = shard_map.home_shards(spec.id)
        for shard in former_homes:
            # A job that was submitted before the shard map changed may be in a former home
            # shard.
            query = Request("GET", f"{JOBS_PATH}/{spec.id}", b"")
            response = self._ask_shard(
                shard, self._status_call(spec.id, query, wait_for_election=False)
            )
            if response.status == 421:
                return self._follow_redirect(response, call)
            if response.status == 200:
                home = shard
                break
            if response.status != 404:
                return unavailable()
        return self._follow_redirect(self._ask_shard(home, call), call)

    def status(self, job_id: str, request: Request, forwarded: bool) -> Response:
        """A job's state; 404 if the job was not submitted."""
        call = self._status_call(job_id, request, wait_for_election=True)
        return self._ask_about_job(call, job_id, forwarded)

    def cancel(self, job_id: str, request: Request, forwarded: bool) -> Response:
        """Cancel a job that has not ended; 404 if the job was not submitted."""

        def cancel_event(target: ShardTarget) -> events.CancelJob:
            return events.CancelJob(
                target.shard,
                self._context.runtime.queue(),
                job_id,
                target.forwarded_by_home,
                target.map_version,
            )

        call = JobCall(request, cancel_event, wait_for_election=False)
        return self._ask_about_job(call, job_id, forwarded)

    def _status_call(self, job_id: str, request: Request, wait_for_election: bool) -> JobCall:
        def status_event(target: ShardTarget) -> events.GetJobStatus:
            return events.GetJobStatus(
                target.shard,
                self._context.runtime.queue(),
                job_id,
                target.forwarded_by_home,
                target.map_version,
            )

        return JobCall(request, status_event, wait_for_election)

    def _ask_about_job(self, call: JobCall, job_id: str, forwarded: bool) -> Response:
        """The response of the first home shard that does not answer 404."""
        if not users.is_valid_job_id(job_id):
            # No job with an invalid id can have been submitted.
            return respond(404, users.error_body("no such job"))
        shard_map = self._context.shard_map()
        if forwarded or shard_map is None:
            return self._ask_named_shard(call, forwarded)
        unknown: list[Response] = []
        for shard in shard_map.home_shards(job_id):
            response = self._follow_redirect(self._ask_shard(shard, call), call)
            if response.status != 404:
                return response
            unknown.append(response)
        return all_unknown(unknown)

    def _ask_named_shard(self, call: JobCall, forwarded: bool) -> Response:
        """Send a call to the shard in its query string; shard 0 if it has none."""
        query = parse_qs(urlsplit(call.request.path).query)
        target = ShardTarget(
            shard=_query_number(query, "share"),
            forwarded_by_home="homed" in query,
            map_version=_query_number(query, "map"),
        )
        replica = self._context.replicas.get(target.shard)
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            return self._ask_here(replica, call.make_event(target), forwarded)
        return self._forwarder.forward_job_request(
            replica, call.request, forwarded, call.wait_for_election
        )

    def _ask_here(self, replica: ShardReplicaView, event: JobEvent, forwarded: bool) -> Response:
        """This node's response as the leader of a shard."""
        request = self._freshness.received(replica, event.job_id, forwarded)
        reply = self._context.ask_scheduler(event)
        if reply is None:
            return unavailable()
        return self._freshness.revalidated_before_sending(reply, request)

    def _ask_shard(self, shard: int, call: JobCall, forwarded_by_home: bool = False) -> Response:
        """The response of a shard's leader, either this node or a peer."""
        replica = self._context.replicas.get(shard)
        shard_map = self._context.shard_map()
        version = 0 if shard_map is None else shard_map.version
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            target = ShardTarget(shard, forwarded_by_home, version)
            return self._ask_here(replica, call.make_event(target), forwarded=False)
        request = call.request
        query = f"?share={shard}&map={version}" + ("&homed=1" if forwarded_by_home else "")
        path = urlsplit(request.path).path + query
        return self._forwarder.forward_job_request(
            replica, Request(request.method, path, request.body), False, call.wait_for_election
        )

    def _follow_redirect(self, response: Response, call: JobCall) -> Response:
        """Resend the call if a home shard's response redirects it (421) to another shard.

        Returns any other response unchanged; 503 if the second shard redirects as well.
        """
        if response.status != 421:
            return response
        try:
            shard = decode(response.body)["share"]
        except (ProtocolError, KeyError, TypeError):
            return unavailable()
        response = self._ask_shard(shard, call, forwarded_by_home=True)
        return unavailable() if response.status == 421 else response
