"""Relays workers' heartbeats to the leader in batches and returns the leader's responses.

A relay decides nothing: a worker receives the leader's own response to that heartbeat. A
relayed response therefore renews no lease that the leader did not renew while its leader
lease was valid, because a worker's lease counts from when the worker *sent* its heartbeat,
which is before the leader responded. A relay may pause before it returns the response: the
worker drops a response that arrives after 4 s or has a lower fencing token than it has
received.
"""

from __future__ import annotations

import logging
import queue
import threading
from collections import deque

import msgspec

from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Queue, Runtime
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

CONCURRENT_CALLS = 4
BATCH_WINDOW_S = 0.1
"""Heartbeats that arrive within this time are sent in one call. With a fifth of it, a call
held two heartbeats and cost both nodes nearly as much as two calls. The delay only matters
for reports of ended tasks: commands are sent to workers directly."""
BATCH_BYTES = 48 * 1024
HEARTBEAT_OVERHEAD_BYTES = 8
"""Size of a heartbeat's header in the batch's encoding, added to the size of its body."""
RESPONSE_TIMEOUT_S = 3.0
"""Timeout of a call to the leader, shorter than the 4 s that workers wait for a response."""


class LeaderResponse(msgspec.Struct, frozen=True, gc=False):
    """The leader's response to one heartbeat: the HTTP status and the encoded body."""

    status: int
    body: bytes


NO_RESPONSE = LeaderResponse(503, encode({"error": "the leader does not answer"}))


class _PendingHeartbeat:
    """A heartbeat to relay; its connection's thread waits for the response in ``reply_to``."""

    __slots__ = ("body", "leader", "reply_to")

    def __init__(self, leader: str, body: bytes, reply_to: Queue) -> None:
        self.leader, self.body, self.reply_to = leader, body, reply_to


class HeartbeatRelay:
    """A node's heartbeat relay; its threads start when the first heartbeat is relayed."""

    def __init__(self, peer_clients: dict[str, HttpCaller], runtime: Runtime) -> None:
        """Create the relay; ``peer_clients`` holds a client for each peer, by its name."""
        self._peer_clients = peer_clients
        self._runtime = runtime
        self._pool = ThreadPool(runtime, "relay", CONCURRENT_CALLS)
        self._lock = threading.Lock()
        self._waiting: deque[_PendingHeartbeat] = deque()

    def forward(self, leader: str, body: bytes) -> LeaderResponse:
        """The leader's response to a heartbeat; status 503 if the call fails or times out."""
        entry = _PendingHeartbeat(leader, body, self._runtime.queue())
        with self._lock:
            is_first = not self._waiting
            self._waiting.append(entry)
        if is_first:
            self._pool.submit(self._send_batch)
        try:
            response: LeaderResponse = entry.reply_to.get(
                timeout=RESPONSE_TIMEOUT_S + 2 * BATCH_WINDOW_S
            )
        except queue.Empty:
            return NO_RESPONSE
        return response

    def _next_batch(self) -> list[_PendingHeartbeat]:
        """Remove the heartbeats of the next call: all for one leader, up to ``BATCH_BYTES``."""
        batch: list[_PendingHeartbeat] = []
        size = 0
        with self._lock:
            while self._waiting:
                entry = self._waiting[0]
                size += len(entry.body) + HEARTBEAT_OVERHEAD_BYTES
                if batch and (entry.leader != batch[0].leader or size > BATCH_BYTES):
                    break
                batch.append(self._waiting.popleft())
            more = bool(self._waiting)
        if more:
            self._pool.submit(self._send_batch)
        return batch

    def _send_batch(self) -> None:
        """Collect heartbeats for ``BATCH_WINDOW_S``, send them and return the responses."""
        self._runtime.sleep(BATCH_WINDOW_S)
        batch = self._next_batch()
        if not batch:
            return
        responses = self._call_leader(batch)
        if len(responses) != len(batch):
            responses = [NO_RESPONSE] * len(batch)
        for entry, response in zip(batch, responses, strict=True):
            entry.reply_to.put(response)

    def _call_leader(self, batch: list[_PendingHeartbeat]) -> list[LeaderResponse]:
        """The leader's responses in the order of the batch; empty if the call failed."""
        leader = batch[0].leader
        try:
            client = self._peer_clients[leader]
            body = encode(peers.HeartbeatBatch([msgspec.Raw(entry.body) for entry in batch]))
            status, raw = client.request(
                "POST", peers.HEARTBEAT_BATCH_PATH, body, RESPONSE_TIMEOUT_S
            )
            if status != 200:
                return []
            relayed = peers.decode_heartbeat_responses(raw).responses
            return [LeaderResponse(each.status, bytes(each.body)) for each in relayed]
        except (ClientError, ProtocolError, KeyError) as error:
            log.debug(
                "relay call failed leader=%s heartbeats=%d error=%s", leader, len(batch), error
            )
            return []

    def stop(self) -> None:
        """Stop the relay's threads; pending heartbeats time out."""
        self._pool.stop()
