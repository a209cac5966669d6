"""Direct calls to workers: commands, and probes of workers that sent no heartbeat."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from appleshift.contracts import events
from appleshift.contracts.actions import ProbeMachine, SendCommands
from appleshift.protocol import workers
from appleshift.protocol.settings import split_address
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.protocol.workers import Heartbeat, decode_heartbeat
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_S = 1.5
"""Timeout of a direct command, in seconds."""
PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe, in seconds."""


class WorkerCalls:
    """Sends direct commands and probes to workers from a bounded thread pool.

    The outcomes are posted as events of the term that requested them.
    """

    def __init__(
        self,
        post: Callable[[events.Event], None],
        connect: Callable[[tuple[str, int]], HttpCaller],
        runtime: Runtime,
        thread_count: int,
        max_clients: int,
    ) -> None:
        """Create the client with a pool of ``thread_count`` threads.

        ``max_clients``: number of workers to which connections are kept open.
        """
        self._post = post
        self._connect = connect
        self._max_clients = max_clients
        self._pool = ThreadPool(runtime, "worker-call", thread_count)
        # In order of use, the most recent last. Bounded, since sockets are limited.
        self._clients: OrderedDict[str, HttpCaller] = OrderedDict()
        self._lock = threading.Lock()

    def send_commands(self, action: SendCommands, term: Any) -> None:
        """Send commands to a worker; the result is posted as ``events.CommandsSent``."""
        self._pool.submit(self._send_commands, action, term)

    def probe(self, action: ProbeMachine, term: Any) -> None:
        """Request the status of a worker; the result is posted as ``events.ProbeAnswered``."""
        self._pool.submit(self._probe, action, term)

    def is_reachable(self, addr: str) -> bool:
        """Return whether the worker at this address responds to this node now; blocks."""
        try:
            status, _ = self._inspect(addr)
        except (ClientError, ValueError):
            return False
        return status == 200

    def stop(self) -> None:
        """Stop the thread pool."""
        self._pool.stop()

    def _client(self, addr: str) -> HttpCaller:
        with self._lock:
            client = self._clients.get(addr)
            if client is None:
                client = self._clients[addr] = self._connect(split_address(addr))
                if len(self._clients) > self._max_clients:
                    _, least_recently_used = self._clients.popitem(last=False)
                    least_recently_used.close()
            self._clients.move_to_end(addr)
            return client

    def _inspect(self, addr: str) -> tuple[int, bytes]:
        return self._client(addr).request("GET", "/inspect", None, PROBE_TIMEOUT_S)

    def _send_commands(self, action: SendCommands, term: Any) -> None:
        outcome = "unknown"
        heartbeat: Heartbeat | None = None
        try:
            body = encode(
                workers.direct_command_body(
                    action.fencing_token, action.agent_epoch, action.commands
                )
            )
            client = self._client(action.addr)
            status, response = client.request("POST", "/do", body, COMMAND_TIMEOUT_S)
            if status == 200:
                outcome = "done"
            elif status in (400, 409):
                outcome = "refused"
            if status in (200, 409):
                heartbeat = decode_heartbeat(response)
        except (ClientError, ProtocolError, ValueError) as error:
            log.debug("direct command failed machine=%s error=%s", action.machine, error)
        self._post(
            events.CommandsSent(term, action.machine, action.agent_epoch, outcome, heartbeat)
        )

    def _probe(self, action: ProbeMachine, term: Any) -> None:
        heartbeat: Heartbeat | None = None
        try:
            status, response = self._inspect(action.addr)
            if status == 200:
                heartbeat = decode_heartbeat(response)
        except (ClientError, ProtocolError, ValueError) as error:
            log.debug("probe failed machine=%s error=%s", action.machine, error)
        self._post(events.ProbeAnswered(term, action.machine, heartbeat))
