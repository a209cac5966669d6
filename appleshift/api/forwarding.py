"""Sends users' requests on to the node that holds the share they are about."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.api.context import ApiContext, ShardReplicaView, unavailable
from appleshift.api.freshness import ResponseFreshness
from appleshift.transport.client import ClientError
from appleshift.transport.http_messages import Request, Response

log = logging.getLogger(__name__)

FORWARD_S = 1.8
"""How long a sibling may take to answer what was sent on to it."""
HOLD_S = 0.4
"""How long a query waits for an election to end."""


class Forwarder:
    """``route`` answers a request here, as if a sibling had sent it."""

    def __init__(
        self,
        context: ApiContext,
        freshness: ResponseFreshness,
        route: Callable[[Request], Response],
    ) -> None:
        self._context = context
        self._freshness = freshness
        self._route = route

    def forward(
        self, replica: ShardReplicaView, request: Request, forwarded: bool, hold: bool
    ) -> Response:
        """Only a share's holder answers users, so that nobody gets an older answer."""
        if forwarded:
            # The sender's idea of the leader is out of date; it asks again.
            return unavailable()
        context = self._context
        until = context.runtime.now() + HOLD_S
        while True:
            leader = replica.election.current_leader()
            if leader == replica.election.name and context.entitled(replica):
                return self._route(request)
            client = context.peer_clients.get(leader) if leader else None
            if client is not None:
                break
            # A query may wait a moment for an election to end. A submission
            # is answered at once: its user is better off asking again.
            if not hold or context.runtime.now() >= until:
                return unavailable()
            context.runtime.sleep(0.05)
        try:
            body = request.body if request.method == "POST" else None
            asked_at = context.runtime.now()
            answer = client.request_full(request.method, request.path, body, FORWARD_S)
        except ClientError as error:
            log.debug("forwarding: %s", error)
            return unavailable()
        return self._freshness.forwarded_response(answer, asked_at)
