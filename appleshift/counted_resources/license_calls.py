"""Carries heartbeats to license servers, on a few threads of their own."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from appleshift.contracts import events
from appleshift.counted_resources.license_reservation import (
    REPLY_TIMEOUT_S,
    PendingReservationRequest,
)
from appleshift.protocol import license_server
from appleshift.protocol.settings import split_address
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

THREAD_COUNT = 4
"""Servers that are slow to answer must not keep the others waiting."""


class LicenseServerCalls:
    """Sends what the leader's accounts ask; the outcome comes back as an event."""

    def __init__(
        self,
        post: Callable[[events.Event], None],
        connect: Callable[[tuple[str, int]], HttpCaller],
        runtime: Runtime,
        may_call: Callable[[], bool],
    ) -> None:
        """``may_call`` is asked right before each request."""
        self._post = post
        self._connect = connect
        # Asked again right before a heartbeat leaves: a node that was frozen
        # meanwhile may not lead any more. The server ignores its serial then,
        # but a heartbeat that never leaves can confuse nobody.
        self._may_call = may_call
        self._pool = ThreadPool(runtime, "licence-call", THREAD_COUNT)
        self._clients: dict[str, HttpCaller] = {}

    def send(self, ask: PendingReservationRequest, term: Any) -> None:
        """Send a request on the pool; its reply comes back as an event of the term."""
        client = self._clients.get(ask.address)
        if client is None:
            client = self._clients[ask.address] = self._connect(split_address(ask.address))
        self._pool.submit(self._send, client, ask, term)

    def _send(self, client: HttpCaller, ask: PendingReservationRequest, term: Any) -> None:
        standing: license_server.ReservationReply | None = None
        try:
            if self._may_call():
                path = license_server.reservation_path(ask.resource)
                body = license_server.encode_reservation_request(ask.heartbeat)
                status, answer = client.request("POST", path, body, REPLY_TIMEOUT_S)
                if status == 200:
                    standing = license_server.decode_reservation_reply(answer)
                else:
                    log.info("licence server of %s: status %d", ask.resource, status)
        except (ClientError, ProtocolError) as error:
            log.info("licence server of %s: %s", ask.resource, error)
        self._post(events.LicenseServerAnswered(term, ask.resource, ask.heartbeat.serial, standing))

    def stop(self) -> None:
        """Drop waiting requests; those under way end by their timeouts."""
        self._pool.stop()
