"""What the core wants done outside: commands to workers, calls to the cloud."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from appleshift.contracts import events
from appleshift.contracts.actions import DeleteMachines, ProbeMachine, RentMachines, SendCommands
from appleshift.protocol import cloud, workers
from appleshift.protocol.settings import split_address
from appleshift.protocol.wire import ProtocolError, decode, encode
from appleshift.protocol.workers import Heartbeat, decode_heartbeat
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.rate_limiter import RateLimiter
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_S = 1.5
PROBE_TIMEOUT_S = 0.6
RENTAL_ATTEMPTS = 5

Post = Callable[[events.Event], None]
Connect = Callable[[tuple[str, int]], HttpCaller]


class WorkerCalls:
    """Direct commands and probes, on a bounded set of routines."""

    def __init__(
        self, post: Post, connect: Connect, runtime: Runtime, size: int, most: int
    ) -> None:
        self._post = post
        self._connect = connect
        self._most = most
        self._pool = ThreadPool(runtime, "worker-call", size)
        # The most recently used last; sockets are limited.
        self._clients: OrderedDict[str, HttpCaller] = OrderedDict()
        self._lock = threading.Lock()

    def send_commands(self, action: SendCommands, term: Any) -> None:
        self._pool.submit(self._send_commands, action, term)

    def probe(self, action: ProbeMachine, term: Any) -> None:
        self._pool.submit(self._probe, action, term)

    def _client(self, addr: str) -> HttpCaller:
        with self._lock:
            client = self._clients.get(addr)
            if client is None:
                client = self._clients[addr] = self._connect(split_address(addr))
                if len(self._clients) > self._most:
                    _, old = self._clients.popitem(last=False)
                    old.close()
            self._clients.move_to_end(addr)
            return client

    def is_reachable(self, addr: str) -> bool:
        """Does that worker answer this node?"""
        try:
            client = self._client(addr)
            return client.request("GET", "/inspect", None, PROBE_TIMEOUT_S)[0] == 200
        except (ClientError, ValueError):
            return False

    def _send_commands(self, action: SendCommands, term: Any) -> None:
        outcome = "unknown"
        heartbeat: Heartbeat | None = None
        try:
            body = encode(
                workers.direct_command_body(
                    action.fencing_token, action.agent_epoch, action.commands
                )
            )
            status, answer = self._client(action.addr).request(
                "POST", "/do", body, COMMAND_TIMEOUT_S
            )
            if status == 200:
                outcome = "done"
            elif status in (400, 409):
                outcome = "refused"
            if status in (200, 409):
                heartbeat = decode_heartbeat(answer)
        except (ClientError, ProtocolError, ValueError) as error:
            log.debug("command to %s: %s", action.machine, error)
        self._post(
            events.CommandsSent(
                term, action.machine, action.agent_epoch, action.starts, outcome, heartbeat
            )
        )

    def _probe(self, action: ProbeMachine, term: Any) -> None:
        heartbeat: Heartbeat | None = None
        try:
            client = self._client(action.addr)
            status, answer = client.request("GET", "/inspect", None, PROBE_TIMEOUT_S)
            if status == 200:
                heartbeat = decode_heartbeat(answer)
        except (ClientError, ProtocolError, ValueError) as error:
            log.debug("probe of %s: %s", action.machine, error)
        self._post(events.ProbeAnswered(term, action.machine, heartbeat))

    def stop(self) -> None:
        self._pool.stop()


class CloudCalls:
    """The cloud's calls, within its rate: rentals and deletions before lists."""

    def __init__(
        self,
        post: Post,
        client: HttpCaller,
        runtime: Runtime,
        rps: float,
        list_lag_s: float,
    ) -> None:
        self._post = post
        self._client = client
        self._runtime = runtime
        self._budget = RateLimiter(runtime, max(1.0, rps * 0.9))
        self._pool = ThreadPool(runtime, "cloud-call", 3)
        # A list may not take more than a quarter of the calls, page by page, and
        # asking much more often than it changes shows nothing new.
        self._page_gap_s = 4.0 / rps
        self._list_gap_s = max(1.0, list_lag_s / 3)
        self._stop = runtime.event()
        self._wake = runtime.event()
        self._term: Any = None

    def start(self) -> None:
        self._runtime.spawn("cloud-list", self._poll)

    def set_term(self, term: Any) -> None:
        """Look at the cloud for this term; None: no longer leading."""
        self._term = term
        self._wake.set()

    def stop(self) -> None:
        self._stop.set()
        self._wake.set()
        self._pool.stop()

    def rent(self, action: RentMachines, term: Any, entitled: Callable[[], bool]) -> None:
        """``entitled`` is asked again right before a call that changes something:
        it may have waited for the budget until the term was over."""
        self._pool.submit(self._rent, action, term, entitled)

    def delete(self, action: DeleteMachines, term: Any, entitled: Callable[[], bool]) -> None:
        self._pool.submit(self._delete, action, term, entitled)

    def machine_types(self) -> list[cloud.MachineType]:
        """What can be rented, asked for right now; ClientError or ProtocolError without."""
        status, body = self._get("/machine_types")
        if status != 200:
            raise ClientError(f"machine types: {status}")
        return cloud.decode_types(body)

    def _get(self, path: str) -> tuple[int, bytes]:
        self._budget.acquire()
        return self._client.request("GET", path, None, 3.0)

    def _rent(self, action: RentMachines, term: Any, entitled: Callable[[], bool]) -> None:
        names: list[str] | None = None
        refused = False
        body = encode(
            cloud.rent_body(action.request, action.type, action.zone, action.spot, action.count)
        )
        for attempt in range(RENTAL_ATTEMPTS):
            if self._stop.wait(0.5 * attempt) or not entitled():
                break
            try:
                self._budget.acquire()
                if not entitled():
                    break
                status, answer = self._client.request("POST", "/machines", body, 3.0)
                if status == 200:
                    names = cloud.decode_rented(answer)
                    break
                if status == 503 and _is_capacity(answer):
                    refused = True
                    break
                if status == 400:
                    log.error("the cloud calls a rental malformed: %s", action)
                    refused = True
                    break
            except (ClientError, ProtocolError) as error:
                log.info("rental: %s", error)
        self._post(events.RentalAnswered(term, action.request, names, refused))

    def _delete(self, action: DeleteMachines, term: Any, entitled: Callable[[], bool]) -> None:
        ok = False
        try:
            self._budget.acquire()
            if entitled():
                body = encode(cloud.delete_body([*action.machines]))
                status, _ = self._client.request("POST", "/machines/delete", body, 3.0)
                ok = status == 200
        except ClientError as error:
            log.info("deletion: %s", error)
        self._post(events.DeletionAnswered(term, action.machines, ok))

    def _poll(self) -> None:
        types_at = -1e9
        seen: Any = None
        while not self._stop.is_set():
            term = self._term
            if term is None:
                self._wake.wait(1.0)
                self._wake.clear()
                continue
            if term is not seen:
                seen, types_at = term, -1e9
            pages = 1
            try:
                if self._runtime.now() - types_at > 20.0:
                    status, body = self._get("/machine_types")
                    if status == 200:
                        self._post(events.MachineTypesListed(term, cloud.decode_types(body)))
                        types_at = self._runtime.now()
                pages = self._list(term)
            except (ClientError, ProtocolError) as error:
                log.info("cloud: %s", error)
            self._stop.wait(max(self._list_gap_s, pages * self._page_gap_s))

    def _list(self, term: Any) -> int:
        """Read the whole list; returns how many pages it took."""
        rows: list[cloud.ListedMachine] = []
        pages, whole = 0, True
        after = ""
        while True:
            status, body = self._get(cloud.list_path(after))
            pages += 1
            if status != 200:
                return pages
            page = cloud.decode_list(body)
            rows += page.machines
            whole = whole and page.whole
            if not page.more:
                break
            if not page.machines:
                # Nothing to go on after: the rest stays unread.
                whole = False
                break
            after = page.machines[-1].name
        self._post(events.MachinesListed(term, rows, whole))
        return pages


def _is_capacity(answer: bytes) -> bool:
    try:
        body = decode(answer)
    except ProtocolError:
        return False
    return isinstance(body, dict) and "capacity" in str(body.get("error", ""))
