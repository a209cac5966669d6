"""State and callbacks that the endpoints of a node share."""

from __future__ import annotations

import queue
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from appleshift.api.interfaces import ShardMapView, ShardReplicaView
from appleshift.api.responses import SchedulerReply, unavailable
from appleshift.contracts import events
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.http_messages import Response

SCHEDULER_REPLY_TIMEOUT_S = 4.0
"""Timeout of a scheduler reply. Users wait 5 s for most responses and workers 4 s; a later
response is useless."""
MAX_QUEUE_LOAD: dict[type[events.ApiRequest], float] = {
    events.HeartbeatReceived: 2.0,
    events.ShardRequestReceived: 2.0,
    events.CancelJob: 1.5,
    events.SubmitJob: 1.0,
    events.GetJobStatus: 0.75,
    events.GetCountedResources: 0.5,
}
"""Admission limit of each kind of request: the queue load up to which the request is queued for
the scheduler (see ``ApiContext.queue_load``). A long queue delays every response, so requests
on which leases depend have the highest limits."""


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Dependencies of the endpoints, used by all connections' threads. Immutable."""

    replicas: Mapping[int, ShardReplicaView]
    """This node's replicas, by shard."""
    peer_clients: dict[str, HttpCaller]
    """Clients for the peers, by the peer's name."""
    post_event: Callable[[events.Event], None]
    """Queues an event for the scheduler's thread."""
    queue_load: Callable[[], float]
    """Returns the length of the scheduler's queue divided by the node's target maximum."""
    runtime: Runtime
    shard_map: Callable[[], ShardMapView | None] = lambda: None
    """Returns the shard map that this node uses; None if there is only one shard."""

    @property
    def first_replica(self) -> ShardReplicaView:
        """The replica of the first shard, whose leader leads the cluster."""
        return self.replicas[0]

    def is_entitled(self, replica: ShardReplicaView) -> bool:
        """Whether this node holds a valid leader lease, so that it may answer for the shard now."""
        return replica.lease.may_answer(self.runtime.now())

    def is_led_elsewhere(self, replica: ShardReplicaView) -> bool:
        """Whether requests about the shard must be answered by another node.

        Only a shard's leader answers for it. A leader whose lease expired forwards users to
        its successor. Until there is a successor, its scheduler can still answer requests
        about jobs in a final state.
        """
        if not replica.lease.is_leader:
            return True
        leader = replica.election.current_leader()
        return not self.is_entitled(replica) and leader not in (None, replica.election.node_name)

    def ask_scheduler(self, event: events.ApiRequest) -> SchedulerReply | None:
        """Queue a request for the scheduler and wait for its reply.

        Returns None if the queue is too long for this kind of request or the reply times out.
        """
        if self.queue_load() > MAX_QUEUE_LOAD[type(event)]:
            return None
        self.post_event(event)
        try:
            return SchedulerReply(*event.reply_to.get(timeout=SCHEDULER_REPLY_TIMEOUT_S))
        except queue.Empty:
            return None

    def scheduler_response(self, event: events.ApiRequest) -> Response:
        """Queue a request and return the scheduler's reply as a response; 503 without one."""
        reply = self.ask_scheduler(event)
        return unavailable() if reply is None else reply.response()
