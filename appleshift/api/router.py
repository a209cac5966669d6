"""Routes requests to the endpoints and converts exceptions to error responses."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

from appleshift.api.context import ApiContext
from appleshift.api.forwarding import Forwarder
from appleshift.api.freshness import ResponseFreshness
from appleshift.api.operator_endpoints import COUNTED_RESOURCES_PATH, OperatorEndpoints
from appleshift.api.peer_endpoints import PeerEndpoints
from appleshift.api.responses import refuse_method, respond
from appleshift.api.shard_interfaces import ShardMapView, ShardReplicaView
from appleshift.api.user_endpoints import JOBS_PATH, UserEndpoints
from appleshift.api.worker_endpoints import WorkerEndpoints
from appleshift.contracts import events
from appleshift.protocol import peers, sharding, users
from appleshift.protocol.wire import ProtocolError
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.http_messages import Request, Response

log = logging.getLogger(__name__)

HEARTBEAT_PATH = "/agent/beat"


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterDependencies:
    """Dependencies of the endpoints; the defaults suit a node without peers."""

    replicas: Mapping[int, ShardReplicaView]
    """This node's replicas, by shard."""
    peer_clients: dict[str, HttpCaller]
    """Clients for the peers, by the peer's name."""
    post_event: Callable[[events.Event], None]
    """Queues an event for the scheduler's thread."""
    queue_load: Callable[[], float]
    """Returns the length of the scheduler's queue divided by the node's target maximum."""
    is_worker_reachable: Callable[[str], bool]
    """Returns whether the worker at an address answers this node."""
    runtime: Runtime
    store: KeyValueStore
    max_machines: Callable[[], int] = lambda: 0
    """Returns the number of machines that the nodes have connections for."""
    own_status: Callable[[], peers.PeerStatus | None] = lambda: None
    """Returns this node's status for its peers."""
    shard_map: Callable[[], ShardMapView | None] = lambda: None
    """Returns the shard map that this node uses; None if there is only one shard."""
    connections_nearly_full: Callable[[], bool] = lambda: False
    """Returns whether nearly all of the node's connections are in use."""
    on_heartbeat: Callable[[], None] = lambda: None
    """Called for each heartbeat that a worker sends to this node directly."""


class RequestRouter:
    """Routes the requests of both listeners. Runs on the connections' threads."""

    def __init__(self, node: RouterDependencies) -> None:
        """Create the node's endpoints."""
        context = ApiContext(
            node.replicas,
            node.peer_clients,
            node.post_event,
            node.queue_load,
            node.runtime,
            node.shard_map,
        )
        freshness = ResponseFreshness(context)
        forwarder = Forwarder(context, lambda request: self._route(request, forwarded=True))
        self._users = UserEndpoints(context, forwarder, freshness)
        self._workers = WorkerEndpoints(context, node.connections_nearly_full, node.on_heartbeat)
        self._peers = PeerEndpoints(context, node.is_worker_reachable, node.own_status)
        self._operators = OperatorEndpoints(context, forwarder, node.store, node.max_machines)
        self._peer_routes: dict[tuple[str, str], Callable[[bytes], Response]] = {
            ("POST", peers.LEASE_VOTE_PATH): self._peers.lease_vote,
            ("GET", peers.PEER_STATUS_PATH): lambda _: self._peers.peer_status(),
            ("POST", sharding.SHARD_CALL_PATH): self._peers.shard_call,
            ("POST", peers.HEARTBEAT_BATCH_PATH): self._workers.relayed_heartbeats,
            ("POST", peers.CONNECTIVITY_PATH): self._peers.connectivity,
        }

    def stop(self) -> None:
        """Stop the threads of the endpoints."""
        self._workers.stop()

    def handle_public(self, request: Request) -> Response:
        """Answer a request on the public listener, from a user, worker or operator."""
        return self._route_safely(request, forwarded=False)

    def handle_cluster(self, request: Request) -> Response:
        """Answer a peer: its own call, or a user's request that it forwards."""
        handler = self._peer_routes.get((request.method, request.path))
        if handler is not None:
            return handler(request.body)
        return self._route_safely(request, forwarded=True)

    def _route_safely(self, request: Request, forwarded: bool) -> Response:
        try:
            return self._route(request, forwarded)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        except Exception:
            # A defect must neither end the connection's thread nor leave out the response.
            log.exception("request failed method=%s path=%s", request.method, request.path)
            return respond(500, users.error_body("internal error"))

    def _route(self, request: Request, forwarded: bool) -> Response:
        path = urlsplit(request.path).path
        if path == HEARTBEAT_PATH:
            refused = refuse_method(request.method, "POST")
            return refused or self._workers.heartbeat(request.body)
        if path == JOBS_PATH:
            refused = refuse_method(request.method, "POST")
            return refused or self._users.submit(request, forwarded)
        if path.startswith(JOBS_PATH + "/"):
            return self._route_job(path[len(JOBS_PATH) + 1 :], request, forwarded)
        return self._route_operator(path, request, forwarded)

    def _route_operator(self, path: str, request: Request, forwarded: bool) -> Response:
        method = request.method
        if path == "/ready":
            return refuse_method(method, "GET") or self._operators.ready()
        if path == "/nodes":
            return refuse_method(method, "GET") or self._operators.nodes()
        if path == COUNTED_RESOURCES_PATH or path.startswith(COUNTED_RESOURCES_PATH + "/"):
            refused = refuse_method(method, "GET")
            return refused or self._operators.counted_resources(path, request, forwarded)
        return respond(404, users.error_body("no such path"))

    def _route_job(self, rest: str, request: Request, forwarded: bool) -> Response:
        """Route a request about a job; ``rest`` is the quoted path after ``JOBS_PATH``."""
        job_id, *action = unquote(rest).split("/")
        if not action:
            refused = refuse_method(request.method, "GET")
            return refused or self._users.status(job_id, request, forwarded)
        if action == ["abort"]:
            refused = refuse_method(request.method, "POST")
            return refused or self._users.cancel(job_id, request, forwarded)
        return respond(404, users.error_body("no such path"))
