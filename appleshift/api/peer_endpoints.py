"""Peers' requests: lease votes, peer status, connectivity, and calls between shards."""

from __future__ import annotations

from collections.abc import Callable

from appleshift.api.context import ApiContext
from appleshift.api.responses import respond, unavailable
from appleshift.contracts import events
from appleshift.protocol import peers, sharding, users
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.http_messages import Response


class PeerEndpoints:
    """Endpoints for the other nodes of the cluster."""

    def __init__(
        self,
        context: ApiContext,
        is_worker_reachable: Callable[[str], bool],
        own_status: Callable[[], peers.PeerStatus | None],
    ) -> None:
        """``is_worker_reachable``: whether the worker at an address answers this node."""
        self._context = context
        self._is_worker_reachable = is_worker_reachable
        self._own_status = own_status

    def peer_status(self) -> Response:
        """This node's status."""
        return respond(200, self._own_status())

    def lease_vote(self, body: bytes) -> Response:
        """Vote for a leader that wants to keep its lease; 409 without the vote."""
        try:
            request = peers.decode_lease_vote_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        replica = self._context.replicas.get(request.shard)
        granted = replica is not None and replica.election.grant_vote(request)
        process_id = self._context.first_replica.election.process_id
        return respond(200 if granted else 409, peers.LeaseVote(granted, process_id))

    def connectivity(self, body: bytes) -> Response:
        """Whether one of these workers answers this node, and it could be elected."""
        try:
            request = peers.decode_connectivity_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        reached = any(self._is_worker_reachable(address) for address in request.addresses)
        reached = reached and self._context.first_replica.election.is_store_reachable()
        return respond(200, peers.ConnectivityReply(reached))

    def shard_call(self, body: bytes) -> Response:
        """The leader of another shard calls the leader of one of this node's shards."""
        try:
            call = sharding.decode_call(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        replica = self._context.replicas.get(call.target_shard)
        if replica is None or self._context.is_led_elsewhere(replica):
            return unavailable()
        return self._context.scheduler_response(
            events.ShardRequestReceived(
                call.target_shard, self._context.runtime.queue(), call.message
            )
        )
