"""Forwards users' requests to the node that leads the shard they are about."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.api.context import ApiContext
from appleshift.api.freshness import ResponseFreshness
from appleshift.api.interfaces import ShardReplicaView
from appleshift.api.responses import unavailable
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.http_messages import Request, Response

log = logging.getLogger(__name__)

FORWARD_TIMEOUT_S = 1.8
"""How long a peer may take to answer a forwarded request."""
ELECTION_WAIT_S = 0.4
"""How long a query waits for an election to end."""
ELECTION_POLL_S = 0.05
"""How often a waiting query looks for a new leader."""


class Forwarder:
    """Forwards requests of one node to the leaders of its shards."""

    def __init__(
        self,
        context: ApiContext,
        freshness: ResponseFreshness,
        route: Callable[[Request], Response],
    ) -> None:
        """``route`` answers a request at this node, as if a peer had forwarded it."""
        self._context = context
        self._freshness = freshness
        self._route = route

    def forward(
        self, replica: ShardReplicaView, request: Request, forwarded: bool, wait_for_election: bool
    ) -> Response:
        """The shard leader's response; 503 without a leader or a response in time.

        Only the leader of a shard answers users, so that nobody gets an older response.
        """
        if forwarded:
            # The sender's view of the leader is out of date; its client retries.
            return unavailable()
        context = self._context
        deadline = context.runtime.now() + ELECTION_WAIT_S
        while True:
            leader = replica.election.current_leader()
            if leader == replica.election.node_name and context.is_entitled(replica):
                return self._route(request)
            client = context.peer_clients.get(leader) if leader else None
            if client is not None:
                return self._call(client, request, leader)
            # A query may wait a moment for an election to end. A submission is
            # answered at once: it is better for its user to retry.
            if not wait_for_election or context.runtime.now() >= deadline:
                return unavailable()
            context.runtime.sleep(ELECTION_POLL_S)

    def _call(self, client: HttpCaller, request: Request, leader: str | None) -> Response:
        try:
            body = request.body if request.method == "POST" else None
            sent_at = self._context.runtime.now()
            answer = client.request_with_headers(
                request.method, request.path, body, FORWARD_TIMEOUT_S
            )
        except ClientError as error:
            log.debug("forward failed leader=%s path=%s error=%s", leader, request.path, error)
            return unavailable()
        return self._freshness.forwarded_response(answer, sent_at)
