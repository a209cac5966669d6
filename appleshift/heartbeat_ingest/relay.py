"""Passes workers' reports on to the leader, many in a call, and its answers back.

A relay decides nothing: what a worker is told is the leader's own answer to
this very report. So a relayed answer renews no lease that the leader did not
renew while it was entitled, for a worker's lease counts from when it *sent* its
report, which is before the leader answered; and however long a relay stands
still before it sends the answer on, the worker drops what comes after 4 s, or
with a lower token than it has seen.
"""

from __future__ import annotations

import logging
import queue
import threading
from collections import deque
from typing import Any

import msgspec

from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

CONCURRENT_CALLS = 4
BATCH_WINDOW_S = 0.1
"""What arrives within this shares a call. Two reports a call, as with a fifth of
this, cost both ends nearly what two calls do; nobody waits for a report but
those whose end it tells, and orders go straight to workers."""
BATCH_BYTES = 48 * 1024
RESPONSE_TIMEOUT_S = 3.0
"""Workers wait 4 s for an answer."""

Answer = tuple[int, bytes]
NO_ANSWER: Answer = (503, encode({"error": "the leader does not answer"}))


class _PendingHeartbeat:
    __slots__ = ("body", "leader", "reply_to")

    def __init__(self, leader: str, body: bytes, reply_to: Any) -> None:
        self.leader, self.body, self.reply_to = leader, body, reply_to


class HeartbeatRelay:
    """One for each node; its routines start with the first report."""

    def __init__(self, siblings: dict[str, HttpCaller], runtime: Runtime) -> None:
        self._peer_clients = siblings
        self._runtime = runtime
        self._pool = ThreadPool(runtime, "relay", CONCURRENT_CALLS)
        self._lock = threading.Lock()
        self._waiting: deque[_PendingHeartbeat] = deque()

    def forward(self, leader: str, body: bytes) -> Answer:
        """The leader's answer to a report; 503 without one in time."""
        entry = _PendingHeartbeat(leader, body, self._runtime.queue())
        with self._lock:
            first = not self._waiting
            self._waiting.append(entry)
        if first:
            self._pool.submit(self._send)
        try:
            answer: Answer = entry.reply_to.get(timeout=RESPONSE_TIMEOUT_S + 2 * BATCH_WINDOW_S)
        except queue.Empty:
            return NO_ANSWER
        return answer

    def _next_batch(self) -> list[_PendingHeartbeat]:
        """What goes into one call: reports for one leader, up to a size."""
        taken: list[_PendingHeartbeat] = []
        size = 0
        with self._lock:
            while self._waiting:
                entry = self._waiting[0]
                size += len(entry.body) + 8
                if taken and (entry.leader != taken[0].leader or size > BATCH_BYTES):
                    break
                taken.append(self._waiting.popleft())
            more = bool(self._waiting)
        if more:
            self._pool.submit(self._send)
        return taken

    def _send(self) -> None:
        self._runtime.sleep(BATCH_WINDOW_S)
        batch = self._next_batch()
        if not batch:
            return
        answers: list[Answer] = []
        try:
            client = self._peer_clients[batch[0].leader]
            body = encode(peers.HeartbeatBatch([msgspec.Raw(entry.body) for entry in batch]))
            status, raw = client.request(
                "POST", peers.HEARTBEAT_BATCH_PATH, body, RESPONSE_TIMEOUT_S
            )
            if status == 200:
                told = peers.decode_heartbeat_responses(raw).responses
                answers = [(entry.status, bytes(entry.body)) for entry in told]
        except (ClientError, ProtocolError, KeyError) as error:
            log.debug("relaying to %s: %s", batch[0].leader, error)
        if len(answers) != len(batch):
            answers = [NO_ANSWER] * len(batch)
        for entry, answer in zip(batch, answers, strict=True):
            entry.reply_to.put(answer)

    def stop(self) -> None:
        self._pool.stop()
