"""Workers' reports: answered here, passed on to the leader, or sent to another node."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any

import msgspec

from appleshift.api.context import (
    MAX_LOAD,
    ApiContext,
    ShardReplicaView,
    respond,
    unavailable,
)
from appleshift.contracts import events
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.heartbeat_ingest.relay import HeartbeatRelay
from appleshift.protocol import peers, users, workers
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.http_messages import Response

RELAYED_S = 2.5
"""A relay waits 3 s for a batch's answers, its workers 4 s."""


class WorkerEndpoints:
    """``crowded``: are the connections nearly used up? ``heard`` is told of each report."""

    def __init__(
        self, context: ApiContext, crowded: Callable[[], bool], heard: Callable[[], None]
    ) -> None:
        self._context = context
        self._crowded = crowded
        self._heard = heard
        self._relay = HeartbeatRelay(context.peer_clients, context.runtime)

    def stop(self) -> None:
        self._relay.stop()

    def heartbeat(self, body: bytes) -> Response:
        self._heard()
        glance = workers.decode_heartbeat_header(body)
        answer = self._unchanged_response(glance)
        if answer is not None:
            return self._close_when_crowded(Response(200, answer))
        # A malformed report is refused by every node alike.
        heartbeat, tasks = workers.decode_heartbeat(body), bytes(glance.tasks)
        known = self._context.shard_map()
        if known is not None:
            share = known.shard_of_machine(heartbeat.machine, heartbeat.type)
            return self._close_when_crowded(self._heartbeat_to_shard(heartbeat, tasks, share))
        election = self._context.first.election
        here = election.name
        away = election.current_relayed_fraction()
        relay = (
            relay_assignment.relay_for(heartbeat.machine, away, election.relays()) if away else None
        )
        if not self._context.is_led_elsewhere(self._context.first):
            if relay is not None and relay != here:
                return respond(421, workers.redirect_body(relay))
            return self._context.ask(
                events.HeartbeatReceived(0, self._context.runtime.queue(), heartbeat, tasks)
            )
        leader = election.current_leader()
        if relay == here and leader is not None and leader != here:
            status, answer = self._relay.forward(leader, body)
            return Response(status, answer)
        to = relay or leader
        return respond(421, workers.redirect_body(None if to == here else to))

    def _unchanged_response(self, glance: workers.HeartbeatHeader) -> bytes | None:
        """The answer to a report that says nothing new, if it has come to the right node."""
        election = self._context.first.election
        away = election.current_relayed_fraction() if self._context.shard_map() is None else 0.0
        if away and relay_assignment.relay_for(glance.machine, away, election.relays()):
            return None
        now = self._context.runtime.now()
        for replica in [*self._context.replicas.values()]:
            answer = replica.unchanged_response(glance, now)
            if answer is not None:
                return answer
        return None

    def _close_when_crowded(self, response: Response) -> Response:
        if self._context.shard_map() is not None and self._crowded():
            # Others find a place meanwhile: its next report opens another connection.
            response.headers["Connection"] = "close"
        return response

    def _heartbeat_to_shard(
        self, heartbeat: workers.Heartbeat, tasks: bytes, share: int
    ) -> Response:
        """A machine reports to the holder of its share, and to nobody else."""
        replica = self._context.replicas.get(share)
        if replica is None or self._context.is_led_elsewhere(replica):
            # Perhaps it was handed on to a share that is held here.
            for number, other in [*self._context.replicas.items()]:
                if other.has_machine(heartbeat.machine) and not self._context.is_led_elsewhere(
                    other
                ):
                    share, replica = number, other
                    break
        response = self._heartbeat_to_leader(replica, share, heartbeat, tasks)
        if response.status == 421 and (told := decode(response.body)).get("share") is not None:
            # It was handed on: its share's holder says where to.
            share = told["share"]
            response = self._heartbeat_to_leader(
                self._context.replicas.get(share), share, heartbeat, tasks
            )
        return response

    def _heartbeat_to_leader(
        self,
        replica: ShardReplicaView | None,
        share: int,
        heartbeat: workers.Heartbeat,
        tasks: bytes,
    ) -> Response:
        if replica is None:
            return unavailable()
        if not self._context.is_led_elsewhere(replica):
            return self._context.ask(
                events.HeartbeatReceived(share, self._context.runtime.queue(), heartbeat, tasks)
            )
        holder, here = replica.election.current_leader(), replica.election.name
        return respond(421, workers.redirect_body(None if holder == here else holder))

    def relayed_heartbeats(self, body: bytes) -> Response:
        """What a relay has gathered: each report is answered as if it had come here."""
        try:
            batch = peers.decode_heartbeat_batch(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        waiting: list[tuple[Response | None, Any]] = []
        for raw in batch.heartbeats:
            reply_to = self._context.runtime.queue()
            if (
                self._context.is_led_elsewhere(self._context.first)
                or self._context.load() > MAX_LOAD[events.HeartbeatReceived]
            ):
                waiting.append((unavailable(), reply_to))
                continue
            try:
                glance = workers.decode_heartbeat_header(bytes(raw))
                answer = self._context.first.unchanged_response(glance, self._context.runtime.now())
                if answer is not None:
                    waiting.append((Response(200, answer), reply_to))
                    continue
                heartbeat = workers.decode_heartbeat(bytes(raw))
                self._context.post(
                    events.HeartbeatReceived(0, reply_to, heartbeat, bytes(glance.tasks))
                )
                waiting.append((None, reply_to))
            except ProtocolError as error:
                waiting.append((respond(error.status, users.error_body(error.reason)), reply_to))
        until = self._context.runtime.now() + RELAYED_S
        answers = []
        for response, reply_to in waiting:
            if response is None:
                try:
                    left = max(0.0, until - self._context.runtime.now())
                    status, told, _ = reply_to.get(timeout=left)
                    response = respond(status, told)
                except queue.Empty:
                    response = unavailable()
            answers.append(peers.RelayedResponse(response.status, msgspec.Raw(response.body)))
        return respond(200, peers.HeartbeatResponses(answers))
