"""Endpoints for heartbeats: answered here, relayed to the leader or redirected to a node."""

from __future__ import annotations

import queue
from collections.abc import Callable

import msgspec

from appleshift.api.context import MAX_QUEUE_LOAD, ApiContext
from appleshift.api.interfaces import ShardReplicaView
from appleshift.api.responses import respond, unavailable
from appleshift.contracts import events
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.heartbeat_ingest.relay import HeartbeatRelay
from appleshift.protocol import peers, users, workers
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.concurrency import Queue
from appleshift.transport.http_messages import Response

BATCH_REPLY_TIMEOUT_S = 2.5
"""Timeout of the scheduler's replies to a batch, shorter than the 3 s that a relay waits."""


class WorkerEndpoints:
    """Endpoints for workers, and for relays that forward workers' heartbeats."""

    def __init__(
        self,
        context: ApiContext,
        connections_nearly_full: Callable[[], bool],
        on_heartbeat: Callable[[], None],
    ) -> None:
        """Create the endpoints.

        ``connections_nearly_full`` returns whether nearly all of the node's connections are in
        use. ``on_heartbeat`` is called for each heartbeat that a worker sends to this node
        directly.
        """
        self._context = context
        self._connections_nearly_full = connections_nearly_full
        self._on_heartbeat = on_heartbeat
        self._relay = HeartbeatRelay(context.peer_clients, context.runtime)

    def stop(self) -> None:
        """Stop the relay's threads."""
        self._relay.stop()

    def heartbeat(self, body: bytes) -> Response:
        """The response to a worker's heartbeat.

        Raises ProtocolError for a malformed heartbeat, on every node.
        """
        self._on_heartbeat()
        header = workers.decode_heartbeat_header(body)
        unchanged = self._unchanged_response(header)
        if unchanged is not None:
            return self._close_when_nearly_full(Response(200, unchanged))
        heartbeat, tasks = workers.decode_heartbeat(body), bytes(header.tasks)
        shard_map = self._context.shard_map()
        if shard_map is None:
            return self._heartbeat_without_shards(heartbeat, tasks, body)
        shard = shard_map.shard_of_machine(heartbeat.machine, heartbeat.type)
        return self._close_when_nearly_full(self._heartbeat_to_shard(heartbeat, tasks, shard))

    def _unchanged_response(self, header: workers.HeartbeatHeader) -> bytes | None:
        """The fast-path response; None if another node or the scheduler must answer."""
        election = self._context.first_replica.election
        relayed_fraction = (
            election.current_relayed_fraction() if self._context.shard_map() is None else 0.0
        )
        if relayed_fraction and relay_assignment.relay_for(
            header.machine, relayed_fraction, election.relays()
        ):
            return None
        now = self._context.runtime.now()
        for replica in [*self._context.replicas.values()]:
            response = replica.unchanged_response(header, now)
            if response is not None:
                return response
        return None

    def _close_when_nearly_full(self, response: Response) -> Response:
        if self._context.shard_map() is not None and self._connections_nearly_full():
            # Frees a connection for other workers; the next heartbeat opens a new one.
            response.headers["Connection"] = "close"
        return response

    def _heartbeat_without_shards(
        self, heartbeat: workers.Heartbeat, tasks: bytes, body: bytes
    ) -> Response:
        """Answer a heartbeat in a cluster with one shard.

        The machine must report to the leader or to its relay; any other node redirects it.
        """
        replica = self._context.first_replica
        election = replica.election
        here = election.node_name
        relayed_fraction = election.current_relayed_fraction()
        relay = (
            relay_assignment.relay_for(heartbeat.machine, relayed_fraction, election.relays())
            if relayed_fraction
            else None
        )
        if not self._context.is_led_elsewhere(replica):
            if relay is not None and relay != here:
                return respond(421, workers.redirect_body(relay))
            return self._context.scheduler_response(
                events.HeartbeatReceived(0, self._context.runtime.queue(), heartbeat, tasks)
            )
        leader = election.current_leader()
        if relay == here and leader is not None and leader != here:
            answer = self._relay.forward(leader, body)
            return Response(answer.status, answer.body)
        target = relay or leader
        return respond(421, workers.redirect_body(None if target == here else target))

    def _heartbeat_to_shard(
        self, heartbeat: workers.Heartbeat, tasks: bytes, shard: int
    ) -> Response:
        """Answer a heartbeat in a cluster with several shards.

        The machine must report to the leader of its shard; any other node redirects it.
        """
        replica = self._context.replicas.get(shard)
        if replica is None or self._context.is_led_elsewhere(replica):
            # The machine may have been handed off to a shard that this node leads.
            for other_shard, other in [*self._context.replicas.items()]:
                if self._leads_shard_of(heartbeat.machine, other):
                    shard, replica = other_shard, other
                    break
        response = self._heartbeat_to_leader(replica, shard, heartbeat, tasks)
        if response.status != 421:
            return response
        new_shard = decode(response.body).get("share")
        if new_shard is None:
            return response
        # The machine was handed off: the response contains its new shard.
        replica = self._context.replicas.get(new_shard)
        return self._heartbeat_to_leader(replica, new_shard, heartbeat, tasks)

    def _leads_shard_of(self, machine: str, replica: ShardReplicaView) -> bool:
        return replica.has_machine(machine) and not self._context.is_led_elsewhere(replica)

    def _heartbeat_to_leader(
        self,
        replica: ShardReplicaView | None,
        shard: int,
        heartbeat: workers.Heartbeat,
        tasks: bytes,
    ) -> Response:
        """The scheduler's response if this node leads the shard, else a redirect."""
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            return self._context.scheduler_response(
                events.HeartbeatReceived(shard, self._context.runtime.queue(), heartbeat, tasks)
            )
        leader, here = replica.election.current_leader(), replica.election.node_name
        return respond(421, workers.redirect_body(None if leader == here else leader))

    def relayed_heartbeats(self, body: bytes) -> Response:
        """Answer a relay's batch with the leader's response to each heartbeat.

        Queues all heartbeats for the scheduler before waiting for the first reply.
        """
        try:
            batch = peers.decode_heartbeat_batch(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        pending = [self._submit_relayed(raw) for raw in batch.heartbeats]
        deadline = self._context.runtime.now() + BATCH_REPLY_TIMEOUT_S
        responses = [
            entry if isinstance(entry, Response) else self._relayed_reply(entry, deadline)
            for entry in pending
        ]
        return respond(
            200,
            peers.HeartbeatResponses(
                [peers.RelayedResponse(each.status, msgspec.Raw(each.body)) for each in responses]
            ),
        )

    def _submit_relayed(self, raw: msgspec.Raw) -> Response | Queue:
        """Answer a relayed heartbeat at once, or queue it and return its reply queue."""
        reply_to = self._context.runtime.queue()
        if (
            self._context.is_led_elsewhere(self._context.first_replica)
            or self._context.queue_load() > MAX_QUEUE_LOAD[events.HeartbeatReceived]
        ):
            return unavailable()
        body = bytes(raw)
        try:
            header = workers.decode_heartbeat_header(body)
            now = self._context.runtime.now()
            unchanged = self._context.first_replica.unchanged_response(header, now)
            if unchanged is not None:
                return Response(200, unchanged)
            heartbeat = workers.decode_heartbeat(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        self._context.post_event(
            events.HeartbeatReceived(0, reply_to, heartbeat, bytes(header.tasks))
        )
        return reply_to

    def _relayed_reply(self, reply_to: Queue, deadline: float) -> Response:
        """The scheduler's reply to a relayed heartbeat; 503 if none arrives by ``deadline``."""
        try:
            left_s = max(0.0, deadline - self._context.runtime.now())
            status, body, _ = reply_to.get(timeout=left_s)
        except queue.Empty:
            return unavailable()
        return respond(status, body)
