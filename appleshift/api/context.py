"""What the endpoints of a node share: its replicas, its peers and the way to the scheduler."""

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
"""Users wait 5 s for most responses, workers 4 s; a later one helps nobody."""
MAX_QUEUE_LOAD: dict[type[events.ApiRequest], float] = {
    events.HeartbeatReceived: 2.0,
    events.ShardRequestReceived: 2.0,
    events.CancelJob: 1.5,
    events.SubmitJob: 1.0,
    events.GetJobStatus: 0.75,
    events.GetCountedResources: 0.5,
}
"""Admission limit of each kind of request: it is queued for the scheduler up to this
length of its queue, in multiples of the length that a node should have at most. What is
queued is answered late, so requests on which leases depend come first."""


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Read by the threads of all connections; none of its fields is replaced."""

    replicas: Mapping[int, ShardReplicaView]
    """By shard."""
    peer_clients: dict[str, HttpCaller]
    """By the peer's name."""
    post_event: Callable[[events.Event], None]
    """Queues an event for the scheduler's thread."""
    queue_load: Callable[[], float]
    """Length of the scheduler's queue, in multiples of what a node should have at most."""
    runtime: Runtime
    shard_map: Callable[[], ShardMapView | None] = lambda: None
    """The shard map that this node goes by; None: there is one shard."""

    @property
    def first_replica(self) -> ShardReplicaView:
        """The replica of the first shard, whose leader leads the cluster."""
        return self.replicas[0]

    def is_entitled(self, replica: ShardReplicaView) -> bool:
        """Whether this node's leader lease lets it answer for the shard now."""
        return replica.lease.may_answer(self.runtime.now())

    def is_led_elsewhere(self, replica: ShardReplicaView) -> bool:
        """Whether requests about the shard belong to another node.

        Only its leader answers for a shard. One whose lease expired sends users on to its
        successor; while there is none, its scheduler still knows which results are final.
        """
        if not replica.lease.is_leader:
            return True
        leader = replica.election.current_leader()
        return not self.is_entitled(replica) and leader not in (None, replica.election.node_name)

    def ask_scheduler(self, event: events.ApiRequest) -> SchedulerReply | None:
        """Queue a request for the scheduler and wait for its reply.

        None: the queue is too long for this kind of request, or the reply timed out.
        """
        if self.queue_load() > MAX_QUEUE_LOAD[type(event)]:
            return None
        self.post_event(event)
        try:
            return SchedulerReply(*event.reply_to.get(timeout=SCHEDULER_REPLY_TIMEOUT_S))
        except queue.Empty:
            return None

    def scheduler_response(self, event: events.ApiRequest) -> Response:
        """The scheduler's reply to a request as a response; 503 without one in time."""
        reply = self.ask_scheduler(event)
        return unavailable() if reply is None else reply.response()
