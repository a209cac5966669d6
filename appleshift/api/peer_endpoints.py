"""Endpoints for peers: lease votes, peer status, connectivity and calls between shards."""

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
        """Create the endpoints.

        ``is_worker_reachable`` returns whether the worker at an address answers this node.
        ``own_status`` returns this node's peer status.
        """
        self._context = context
        self._is_worker_reachable = is_worker_reachable
        self._own_status = own_status

    def peer_status(self) -> Response:
        """This node's state: whether it leads or relays, and its contacts with workers."""
        return respond(200, self._own_status())

    def lease_vote(self, body: bytes) -> Response:
        """Answer a leader's request for a lease vote: 200 if granted, otherwise 409."""
        try:
            request = peers.decode_lease_vote_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        replica = self._context.replicas.get(request.shard)
        granted = replica is not None and replica.election.grant_vote(request)
        process_id = self._context.first_replica.election.process_id
        return respond(200 if granted else 409, peers.LeaseVote(granted, process_id))

    def connectivity(self, body: bytes) -> Response:
        """Whether this node reaches one of the given workers and the key-value store."""
        try:
            request = peers.decode_connectivity_request(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        reached = any(self._is_worker_reachable(address) for address in request.addresses)
        reached = reached and self._context.first_replica.election.is_store_reachable()
        return respond(200, peers.ConnectivityReply(reached))

    def shard_call(self, body: bytes) -> Response:
        """Answer a call from another shard's leader; 503 if this node does not lead the target."""
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
