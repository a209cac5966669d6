"""Users' requests: submissions, queries and cancellations, sent to the share they are about."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from appleshift.api.context import (
    ApiContext,
    ShardReplicaView,
    respond,
    unavailable,
)
from appleshift.api.forwarding import Forwarder
from appleshift.api.freshness import ResponseFreshness
from appleshift.contracts import events
from appleshift.protocol import users
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.http_messages import Request, Response

JOBS = "/submissions"

JobRequest = events.SubmitJob | events.GetJobStatus | events.CancelJob
MakeEvent = Callable[[int, bool, int], JobRequest]
"""Makes the event for a share; whether another share says that it decides, and the
version of the map that led there."""


def _number(query: dict[str, list[str]], name: str) -> int:
    text = query.get(name, ["0"])[0]
    return int(text) if text.isdecimal() and len(text) < 20 else -1


class UserEndpoints:
    """``forwarded``: a sibling sent the request on; it names the share that it asks."""

    def __init__(
        self, context: ApiContext, forwarder: Forwarder, freshness: ResponseFreshness
    ) -> None:
        self._context = context
        self._forwarder = forwarder
        self._freshness = freshness

    def submit(self, request: Request, forwarded: bool) -> Response:
        spec = users.decode_submission(request.body)

        def event(share: int, homed: bool, version: int) -> events.SubmitJob:
            return events.SubmitJob(share, self._context.runtime.queue(), spec, homed)

        known = self._context.shard_map()
        if forwarded or known is None:
            return self._ask_home_shard(request, event, forwarded, hold=False)
        first, *formers = known.home_shards(spec.id)
        for share in formers:
            # From before the shares were divided anew: known there, or to nobody.
            look = Request("GET", f"{JOBS}/{spec.id}", b"")
            told = self._ask_shard(share, look, self._status_event(spec.id), hold=False)
            if told.status == 421:
                return self._follow_redirect(told, request, event, hold=False)
            if told.status == 200:
                first = share
                break
            if told.status != 404:
                return unavailable()
        told = self._ask_shard(first, request, event, hold=False)
        return self._follow_redirect(told, request, event, hold=False)

    def status(self, job_id: str, request: Request, forwarded: bool) -> Response:
        return self._job(self._status_event(job_id), job_id, request, forwarded, hold=True)

    def cancel(self, job_id: str, request: Request, forwarded: bool) -> Response:
        return self._job(self._cancel_event(job_id), job_id, request, forwarded, hold=False)

    def _status_event(self, job_id: str) -> MakeEvent:
        return lambda *by: events.GetJobStatus(
            by[0], self._context.runtime.queue(), job_id, *by[1:]
        )

    def _cancel_event(self, job_id: str) -> MakeEvent:
        return lambda *by: events.CancelJob(by[0], self._context.runtime.queue(), job_id, *by[1:])

    def _job(
        self, event: MakeEvent, job_id: str, request: Request, forwarded: bool, hold: bool
    ) -> Response:
        if not users.valid_id(job_id):
            # Users also ask about jobs that nobody can have submitted.
            return respond(404, users.error_body("no such job"))
        known = self._context.shard_map()
        if forwarded or known is None:
            return self._ask_home_shard(request, event, forwarded, hold)
        for share in known.home_shards(job_id):
            told = self._follow_redirect(
                self._ask_shard(share, request, event, hold), request, event, hold
            )
            if told.status != 404:
                break
        return told

    def _ask_home_shard(
        self, request: Request, event: MakeEvent, forwarded: bool, hold: bool
    ) -> Response:
        """A sibling names the share that it asks; without a map there is one."""
        query = parse_qs(urlsplit(request.path).query)
        share, version = _number(query, "share"), _number(query, "map")
        replica = self._context.replicas.get(share)
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            return self._ask_here(replica, event(share, "homed" in query, version))
        return self._forwarder.forward(replica, request, forwarded, hold)

    def _ask_here(self, replica: ShardReplicaView, event: JobRequest) -> Response:
        """What this node answers for a share that it holds."""
        answer = self._context.ask_scheduler(event)
        if answer is None:
            return unavailable()
        return self._freshness.revalidated_before_sending(answer, replica, event.job_id)

    def _ask_shard(
        self, share: int, request: Request, event: MakeEvent, hold: bool, homed: bool = False
    ) -> Response:
        """What a share's holder answers, here or at a sibling."""
        replica = self._context.replicas.get(share)
        known = self._context.shard_map()
        version = 0 if known is None else known.version
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            return self._ask_here(replica, event(share, homed, version))
        query = f"?share={share}&map={version}" + ("&homed=1" if homed else "")
        path = urlsplit(request.path).path + query
        return self._forwarder.forward(
            replica, Request(request.method, path, request.body), False, hold
        )

    def _follow_redirect(
        self, told: Response, request: Request, event: MakeEvent, hold: bool
    ) -> Response:
        """The share that an id leads to may name another, which decides for the job."""
        if told.status != 421:
            return told
        try:
            share = decode(told.body)["share"]
        except (ProtocolError, KeyError, TypeError):
            return unavailable()
        told = self._ask_shard(share, request, event, hold, homed=True)
        return unavailable() if told.status == 421 else told
