"""Sends heartbeats to license servers on a separate thread pool."""

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
"""Threads for these calls; several, so that slow servers do not delay calls to the others."""


class LicenseServerCalls:
    """Sends the leader's reservation requests; each outcome is posted as an event."""

    def __init__(
        self,
        post: Callable[[events.Event], None],
        connect: Callable[[tuple[str, int]], HttpCaller],
        runtime: Runtime,
        may_call: Callable[[], bool],
    ) -> None:
        """``may_call`` is evaluated right before each request and prevents it if false."""
        self._post = post
        self._connect = connect
        # Evaluated right before a heartbeat is sent, since a node that was paused since the
        # request was queued may no longer be the leader. The server would ignore the
        # outdated serial, but it is safer not to send the heartbeat at all.
        self._may_call = may_call
        self._pool = ThreadPool(runtime, "licence-call", THREAD_COUNT)
        self._clients: dict[str, HttpCaller] = {}

    def send(self, request: PendingReservationRequest, term: Any) -> None:
        """Queue a request for sending; its reply is posted as an event of the term.

        The reply is None if there was no usable one.
        """
        client = self._clients.get(request.address)
        if client is None:
            client = self._clients[request.address] = self._connect(split_address(request.address))
        self._pool.submit(self._send, client, request, term)

    def _send(self, client: HttpCaller, request: PendingReservationRequest, term: Any) -> None:
        reply: license_server.ReservationReply | None = None
        try:
            if self._may_call():
                path = license_server.reservation_path(request.resource)
                body = license_server.encode_reservation_request(request.heartbeat)
                status, response_body = client.request("POST", path, body, REPLY_TIMEOUT_S)
                if status == 200:
                    reply = license_server.decode_reservation_reply(response_body)
                else:
                    log.info("licence server of %s: status %d", request.resource, status)
        except (ClientError, ProtocolError) as error:
            log.info("licence server of %s: %s", request.resource, error)
        self._post(
            events.LicenseServerAnswered(term, request.resource, request.heartbeat.serial, reply)
        )

    def stop(self) -> None:
        """Drop queued requests; requests in progress end by their timeouts."""
        self._pool.stop()
