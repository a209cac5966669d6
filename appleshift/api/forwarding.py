"""Forwards users' requests to the leader of the shard that is responsible for them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.api.context import ApiContext
from appleshift.api.forwarded_answers import leased_response, plain_response
from appleshift.api.responses import unavailable
from appleshift.api.shard_interfaces import ShardReplicaView
from appleshift.transport.client import ClientError, HttpCaller, HttpResponse
from appleshift.transport.http_messages import Request, Response

log = logging.getLogger(__name__)

FORWARD_TIMEOUT_S = 1.8
"""Timeout of a forwarded request, with its repetition."""
MAX_ATTEMPTS = 2
"""How often the leader is asked if its answers arrive outdated."""
ELECTION_WAIT_S = 0.4
"""How long a job query waits for an election to end."""
ELECTION_POLL_S = 0.05
"""Interval between checks for a new leader while a job query waits."""


class Forwarder:
    """Forwards requests that arrive at this node to the leaders of the shards."""

    def __init__(self, context: ApiContext, route: Callable[[Request], Response]) -> None:
        """Create the forwarder; ``route`` handles a request on this node as a forwarded one."""
        self._context = context
        self._route = route

    def forward_job_request(
        self, replica: ShardReplicaView, request: Request, forwarded: bool, wait_for_election: bool
    ) -> Response:
        """The answer of the shard's leader about a job, which may become outdated.

        The parameters are those of ``forward``.
        """
        return self._forward(replica, request, forwarded, wait_for_election, self._ask_about_job)

    def forward(
        self, replica: ShardReplicaView, request: Request, forwarded: bool, wait_for_election: bool
    ) -> Response:
        """The response of the shard's leader; 503 without a leader or after a timeout.

        Only a shard's leader answers users, so that no user receives an outdated response.
        Callers have checked ``ApiContext.is_led_elsewhere``.

        ``forwarded``: a peer forwarded the request to this node. ``wait_for_election``: wait
        up to ``ELECTION_WAIT_S`` seconds for a new leader instead of answering 503 at once.
        """
        return self._forward(replica, request, forwarded, wait_for_election, self._ask)

    def _forward(
        self,
        replica: ShardReplicaView,
        request: Request,
        forwarded: bool,
        wait_for_election: bool,
        ask: Callable[[HttpCaller, Request], Response],
    ) -> Response:
        if forwarded:
            # The peer's information about the leader is outdated; the user's client retries.
            return unavailable()
        context = self._context
        deadline = context.runtime.now() + ELECTION_WAIT_S
        while True:
            leader = replica.election.current_leader()
            if leader == replica.election.node_name and context.is_entitled(replica):
                # This node has obtained a valid leader lease meanwhile.
                return self._route(request)
            client = context.peer_clients.get(leader) if leader else None
            if client is not None:
                try:
                    return ask(client, request)
                except ClientError as error:
                    path = request.path
                    log.debug("forward failed leader=%s path=%s error=%s", leader, path, error)
                    return unavailable()
            # Job queries and reads of counted resources wait for an election to end.
            # Submissions and cancellations are answered at once, so that their user retries.
            if not wait_for_election or context.runtime.now() >= deadline:
                return unavailable()
            context.runtime.sleep(ELECTION_POLL_S)

    def _ask_about_job(self, client: HttpCaller, request: Request) -> Response:
        """The leader's answer about a job; asks again once if it is outdated on arrival."""
        now = self._context.runtime.now
        deadline = now() + FORWARD_TIMEOUT_S
        for _ in range(MAX_ATTEMPTS):
            asked_at = now()
            if asked_at >= deadline:
                break
            answer = self._call(client, request, deadline - asked_at)
            response = leased_response(answer, asked_at, now)
            if response is not None:
                return response
        return unavailable()

    def _ask(self, client: HttpCaller, request: Request) -> Response:
        return plain_response(self._call(client, request, FORWARD_TIMEOUT_S))

    @staticmethod
    def _call(client: HttpCaller, request: Request, timeout_s: float) -> HttpResponse:
        body = request.body if request.method == "POST" else None
        return client.request_with_headers(request.method, request.path, body, timeout_s)
