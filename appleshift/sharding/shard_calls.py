"""Calls from a shard's leader on this node to the leaders of other shards."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from appleshift.contracts import events
from appleshift.contracts.actions import CallShard
from appleshift.node_context import NodeContext
from appleshift.protocol.sharding import SHARD_CALL_PATH, ShardCall, ShardReply, decode_answer
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.shard_replica import ShardReplica
from appleshift.transport.client import ClientError
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

MAX_CONCURRENT_CALLS = 4
CALL_TIMEOUT_S = 2.0


class ShardCaller:
    """Sends calls on a few threads of its own."""

    def __init__(self, context: NodeContext, replicas: Mapping[int, ShardReplica]) -> None:
        """``replicas`` know which node leads each shard."""
        self._context = context
        self._replicas = replicas
        self._pool = ThreadPool(context.runtime, "share-call", MAX_CONCURRENT_CALLS)

    def stop(self) -> None:
        """Stop the threads."""
        self._pool.stop()

    def call(self, action: CallShard, term: Any) -> None:
        """Send a request to the leader of a shard.

        The reply, or the failure, is posted as a ``ShardReplyReceived`` event of ``term``.
        """
        self._pool.submit(self._call, action, term)

    def _call(self, action: CallShard, term: Any) -> None:
        reply_to = _ReplyToScheduler(self._context.post, term, action.shard)
        replica = self._replicas.get(action.shard)
        leader = None if replica is None else replica.election.current_leader()
        if leader == self._context.settings.name:
            self._context.post(events.ShardRequestReceived(action.shard, reply_to, action.message))
            return
        reply = self._request(leader or "", action)
        reply_to.put((200 if reply is not None else 503, reply, 0))

    def _request(self, leader: str, action: CallShard) -> ShardReply | None:
        """Call another node; None if there was no reply."""
        client = self._context.peer_clients.get(leader)
        if client is None:
            return None
        try:
            body = encode(ShardCall(action.shard, action.message))
            status, raw = client.request("POST", SHARD_CALL_PATH, body, CALL_TIMEOUT_S)
            return decode_answer(raw) if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("call to shard failed shard=%d error=%s", action.shard, error)
            return None


class _ReplyToScheduler:
    """The reply channel of a call between shards: posts the reply as an event of the term."""

    def __init__(self, post: Callable[[events.Event], None], term: Any, shard: int) -> None:
        self._post, self._term, self._shard = post, term, shard

    def put(self, reply: tuple[int, Any, int]) -> None:
        status, body, _ = reply
        self._post(
            events.ShardReplyReceived(self._term, self._shard, body if status == 200 else None)
        )
