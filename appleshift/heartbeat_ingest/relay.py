"""Relays workers' heartbeats to the leader, many in a call, and its responses back.

A relay decides nothing: what a worker gets is the leader's own response to
this very heartbeat. So a relayed response renews no lease that the leader did
not renew while it was entitled, for a worker's lease counts from when it *sent*
its heartbeat, which is before the leader responded; and however long a relay
pauses before it sends the response on, the worker drops what comes after 4 s,
or with a lower fencing token than it has seen.
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
"""Heartbeats that arrive within this time share a call. With a fifth of it, two
heartbeats shared a call, which costs both ends nearly what two calls do; nobody
waits for a heartbeat but those to whom it reports the end of a task, and commands
go straight to workers."""
BATCH_BYTES = 48 * 1024
HEARTBEAT_OVERHEAD_BYTES = 8
"""Counted for each heartbeat besides its body: its header in the batch's encoding."""
RESPONSE_TIMEOUT_S = 3.0
"""Workers wait 4 s for a response."""


class LeaderResponse(msgspec.Struct, frozen=True, gc=False):
    """The leader's response to one heartbeat, its body as the leader encoded it."""

    status: int
    body: bytes


NO_RESPONSE = LeaderResponse(503, encode({"error": "the leader does not answer"}))


class _PendingHeartbeat:
    """A heartbeat whose connection's thread waits at ``reply_to`` for the answer."""

    __slots__ = ("body", "leader", "reply_to")

    def __init__(self, leader: str, body: bytes, reply_to: Queue) -> None:
        self.leader, self.body, self.reply_to = leader, body, reply_to


class HeartbeatRelay:
    """The relay of one node; its threads start with the first heartbeat."""

    def __init__(self, peer_clients: dict[str, HttpCaller], runtime: Runtime) -> None:
        """``peer_clients``: by the peer's name."""
        self._peer_clients = peer_clients
        self._runtime = runtime
        self._pool = ThreadPool(runtime, "relay", CONCURRENT_CALLS)
        self._lock = threading.Lock()
        self._waiting: deque[_PendingHeartbeat] = deque()

    def forward(self, leader: str, body: bytes) -> LeaderResponse:
        """The leader's answer to a heartbeat; 503 without one in time."""
        entry = _PendingHeartbeat(leader, body, self._runtime.queue())
        with self._lock:
            is_first = not self._waiting
            self._waiting.append(entry)
        if is_first:
            self._pool.submit(self._send_batch)
        try:
            answer: LeaderResponse = entry.reply_to.get(
                timeout=RESPONSE_TIMEOUT_S + 2 * BATCH_WINDOW_S
            )
        except queue.Empty:
            return NO_RESPONSE
        return answer

    def _next_batch(self) -> list[_PendingHeartbeat]:
        """The heartbeats of the next call: all for one leader, up to a size."""
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
        """Gather heartbeats for a moment, send them and hand out the leader's answers."""
        self._runtime.sleep(BATCH_WINDOW_S)
        batch = self._next_batch()
        if not batch:
            return
        answers = self._ask_leader(batch)
        if len(answers) != len(batch):
            answers = [NO_RESPONSE] * len(batch)
        for entry, answer in zip(batch, answers, strict=True):
            entry.reply_to.put(answer)

    def _ask_leader(self, batch: list[_PendingHeartbeat]) -> list[LeaderResponse]:
        """The leader's answers in the order of the batch; empty if the call failed."""
        leader = batch[0].leader
        try:
            client = self._peer_clients[leader]
            body = encode(peers.HeartbeatBatch([msgspec.Raw(entry.body) for entry in batch]))
            status, raw = client.request(
                "POST", peers.HEARTBEAT_BATCH_PATH, body, RESPONSE_TIMEOUT_S
            )
            if status != 200:
                return []
            responses = peers.decode_heartbeat_responses(raw).responses
            return [LeaderResponse(each.status, bytes(each.body)) for each in responses]
        except (ClientError, ProtocolError, KeyError) as error:
            log.debug(
                "relay call failed leader=%s heartbeats=%d error=%s", leader, len(batch), error
            )
            return []

    def stop(self) -> None:
        """End the relay's threads; heartbeats that still wait time out."""
        self._pool.stop()
