"""Which endpoint answers a request; bad requests and defects end no connection's routine."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from urllib.parse import unquote, urlsplit

from appleshift.api.context import (
    ApiContext,
    ShardMapView,
    ShardReplicaView,
    refuse_method,
    respond,
)
from appleshift.api.forwarding import Forwarder
from appleshift.api.freshness import ResponseFreshness
from appleshift.api.operator_endpoints import OperatorEndpoints
from appleshift.api.peer_endpoints import PeerEndpoints
from appleshift.api.user_endpoints import JOBS, UserEndpoints
from appleshift.api.worker_endpoints import WorkerEndpoints
from appleshift.contracts import events
from appleshift.protocol import peers, sharding, users
from appleshift.protocol.wire import ProtocolError
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.http_messages import Request, Response

log = logging.getLogger(__name__)


class RequestRouter:
    """Routes of both listeners. Runs on the connections' routines."""

    def __init__(
        self,
        replicas: Mapping[int, ShardReplicaView],
        siblings: dict[str, HttpCaller],
        post: Callable[[events.Event], None],
        load: Callable[[], float],
        reaches: Callable[[str], bool],
        runtime: Runtime,
        store: KeyValueStore,
        hears: Callable[[], int] = lambda: 0,
        hello: Callable[[], peers.PeerStatus | None] = lambda: None,
        share_map: Callable[[], ShardMapView | None] = lambda: None,
        crowded: Callable[[], bool] = lambda: False,
        heard: Callable[[], None] = lambda: None,
    ) -> None:
        context = ApiContext(replicas, siblings, post, load, runtime, share_map)
        freshness = ResponseFreshness(context)
        forwarder = Forwarder(
            context, freshness, lambda request: self._route(request, forwarded=True)
        )
        self._users = UserEndpoints(context, forwarder, freshness)
        self._workers = WorkerEndpoints(context, crowded, heard)
        self._peers = PeerEndpoints(context, reaches, hello)
        self._operators = OperatorEndpoints(context, forwarder, store, hears)

    def stop(self) -> None:
        self._workers.stop()

    def public(self, request: Request) -> Response:
        """Users, workers and health checks."""
        return self._guarded(request, forwarded=False)

    def cluster(self, request: Request) -> Response:
        """The siblings: their own calls, and users' requests that they send on."""
        if request.path == peers.LEASE_VOTE_PATH and request.method == "POST":
            return self._peers.lease_vote(request.body)
        if request.path == peers.PEER_STATUS_PATH and request.method == "GET":
            return self._peers.peer_status()
        if request.path == sharding.SHARD_CALL_PATH and request.method == "POST":
            return self._peers.shard_call(request.body)
        if request.path == peers.HEARTBEAT_BATCH_PATH and request.method == "POST":
            return self._workers.relayed_heartbeats(request.body)
        if request.path == peers.CONNECTIVITY_PATH and request.method == "POST":
            return self._peers.connectivity(request.body)
        return self._guarded(request, forwarded=True)

    def _guarded(self, request: Request, forwarded: bool) -> Response:
        try:
            return self._route(request, forwarded)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        except Exception:
            # One bad request must not end a routine, nor go unanswered.
            log.exception("%s %s failed", request.method, request.path)
            return respond(500, users.error_body("internal error"))

    def _route(self, request: Request, forwarded: bool) -> Response:
        path = urlsplit(request.path).path
        method = request.method
        if path == "/agent/beat":
            return refuse_method(method, "POST") or self._workers.heartbeat(request.body)
        if path == "/ready":
            return refuse_method(method, "GET") or self._operators.ready()
        if path == "/nodes":
            return refuse_method(method, "GET") or self._operators.nodes()
        if path == "/seats" or path.startswith("/seats/"):
            refused = refuse_method(method, "GET")
            return refused or self._operators.counted_resources(path, request, forwarded)
        if path == JOBS:
            return refuse_method(method, "POST") or self._users.submit(request, forwarded)
        if path.startswith(JOBS + "/"):
            return self._route_job(path[len(JOBS) + 1 :], request, forwarded)
        return respond(404, users.error_body("no such path"))

    def _route_job(self, rest: str, request: Request, forwarded: bool) -> Response:
        job_id, *action = unquote(rest).split("/")
        if not action:
            refused = refuse_method(request.method, "GET")
            return refused or self._users.status(job_id, request, forwarded)
        if action == ["abort"]:
            refused = refuse_method(request.method, "POST")
            return refused or self._users.cancel(job_id, request, forwarded)
        return respond(404, users.error_body("no such path"))
