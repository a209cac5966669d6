"""What the endpoints of a node share: its replicas, its siblings and the way to the core."""

from __future__ import annotations

import queue
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.contracts import events
from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.protocol import users, workers
from appleshift.protocol.wire import encode
from appleshift.transport.client import HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.http_messages import Response

ANSWER_S = 4.0
"""Users wait 5 s for most answers, workers 4 s; later ones help nobody."""
MAX_LOAD: dict[type[events.ApiRequest], float] = {
    events.HeartbeatReceived: 2.0,
    events.ShardRequestReceived: 2.0,
    events.CancelJob: 1.5,
    events.SubmitJob: 1.0,
    events.GetJobStatus: 0.75,
    events.GetCountedResources: 0.5,
}
"""Up to which length of the core's queue, measured in what a node should keep
waiting, a kind of request is put in it. What waits is answered late, and what
leases depend on comes first."""


def respond(status: int, body: Any, retry_after: int = 0) -> Response:
    headers = {"Retry-After": str(retry_after)} if retry_after else {}
    return Response(status, encode(body), headers)


def unavailable() -> Response:
    return respond(503, users.error_body("not available right now"), 1)


@dataclass(frozen=True, slots=True)
class SchedulerReply:
    """What the core answers to a request."""

    status: int
    body: Any
    retry_after: int = 0

    def response(self) -> Response:
        return respond(self.status, self.body, self.retry_after)


def refuse_method(method: str, allowed: str) -> Response | None:
    """The answer to a request by another method than the allowed one; None: it is allowed."""
    if method == allowed or (method == "HEAD" and allowed == "GET"):
        return None
    response = respond(405, users.error_body(f"use {allowed}"))
    response.headers["Allow"] = allowed
    return response


class ShardReplicaView(Protocol):
    """A share, as this node stands to it."""

    @property
    def election(self) -> LeaderElection: ...

    @property
    def lease(self) -> LeaderLease: ...

    def has_machine(self, machine: str) -> bool:
        """Has its core that machine?"""
        ...

    def unchanged_response(self, heartbeat: workers.HeartbeatHeader, now: float) -> bytes | None:
        """The answer to a report that says nothing new; None: the core must see it."""
        ...

    def last_reported_state(self, job_id: str) -> str | None:
        """What users have been told of a job at least, as far as this node knows."""
        ...

    def view(self) -> dict[str, Any]:
        """For operators: what its core has, if it is held here."""
        ...


class ShardMapView(Protocol):
    """Which share has what, where there are several."""

    def home_shards(self, job_id: str) -> list[int]:
        """Where a job of that id may be known; a new one belongs to the first."""
        ...

    def shard_of_machine(self, name: str, kind: str) -> int: ...

    @property
    def version(self) -> int: ...

    @property
    def submission_shards(self) -> list[int]:
        """Shares that take users' submissions."""
        ...


@dataclass(frozen=True, slots=True)
class ApiContext:
    """Read by all connections' routines; nothing in it is replaced."""

    replicas: Mapping[int, ShardReplicaView]
    peer_clients: dict[str, HttpCaller]
    post: Callable[[events.Event], None]
    """Hands an event to the core's routine."""
    load: Callable[[], float]
    """Length of the core's queue, in what a node should keep waiting."""
    runtime: Runtime
    shard_map: Callable[[], ShardMapView | None] = lambda: None

    @property
    def first(self) -> ShardReplicaView:
        """The first share, whose holder is the leader."""
        return self.replicas[0]

    def entitled(self, replica: ShardReplicaView) -> bool:
        return replica.lease.may_answer(self.runtime.now())

    def is_led_elsewhere(self, replica: ShardReplicaView) -> bool:
        """Only its holder answers for a share. One whose lease lapsed sends users on to
        its successor; while there is none, its core still knows what is final."""
        if not replica.lease.is_leader:
            return True
        holder = replica.election.current_leader()
        return not self.entitled(replica) and holder not in (None, replica.election.name)

    def ask_scheduler(self, event: events.ApiRequest) -> SchedulerReply | None:
        """Put a request to the core and wait for its answer; None: it gives none in time."""
        if self.load() > MAX_LOAD[type(event)]:
            return None
        self.post(event)
        try:
            return SchedulerReply(*event.reply_to.get(timeout=ANSWER_S))
        except queue.Empty:
            return None

    def ask(self, event: events.ApiRequest) -> Response:
        """What the core answers to a request, as a response."""
        answer = self.ask_scheduler(event)
        return unavailable() if answer is None else answer.response()
