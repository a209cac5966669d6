"""Peers' requests: votes for a leader, heartbeats, reachability, calls between sharding."""

from __future__ import annotations

from collections.abc import Callable

from appleshift.api.context import ApiContext, respond, unavailable
from appleshift.contracts import events
from appleshift.protocol import peers, sharding, users
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.http_messages import Response


class PeerEndpoints:
    """``reaches``: does a worker's address answer this node? ``hello`` makes its heartbeat."""

    def __init__(
        self,
        context: ApiContext,
        reaches: Callable[[str], bool],
        hello: Callable[[], peers.PeerStatus | None],
    ) -> None:
        self._context = context
        self._is_worker_reachable = reaches
        self._own_status = hello

    def peer_status(self) -> Response:
        return respond(200, self._own_status())

    def lease_vote(self, body: bytes) -> Response:
        try:
            request = peers.decode_lease_vote_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        replica = self._context.replicas.get(request.shard)
        given = replica is not None and replica.election.grant_vote(request)
        return respond(
            200 if given else 409, peers.LeaseVote(given, self._context.first.election.process_id)
        )

    def connectivity(self, body: bytes) -> Response:
        """Do some of these workers answer this node, and could it be elected?"""
        try:
            request = peers.decode_connectivity_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        reached = any(self._is_worker_reachable(addr) for addr in request.addresses)
        return respond(
            200, peers.ConnectivityReply(reached and self._context.first.election.store_answers())
        )

    def shard_call(self, body: bytes) -> Response:
        """The holder of another share asks this one's."""
        try:
            call = sharding.decode_call(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        replica = self._context.replicas.get(call.target_shard)
        if replica is None or self._context.is_led_elsewhere(replica):
            return unavailable()
        return self._context.ask(
            events.ShardRequestReceived(
                call.target_shard, self._context.runtime.queue(), call.message
            )
        )
