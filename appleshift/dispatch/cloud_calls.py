"""Rate-limited calls to the cloud: rentals, deletions, listings and machine types."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.contracts import events
from appleshift.contracts.actions import DeleteMachines, RentMachines
from appleshift.protocol import cloud
from appleshift.protocol.wire import ProtocolError, decode, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.rate_limiter import RateLimiter
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 3.0
"""Timeout of each call to the cloud, in seconds."""
CALL_THREADS = 3
"""Threads for rentals and deletions."""
RATE_SHARE = 0.9
"""Share of the rate permitted by the cloud that all calls together use."""
LISTING_RATE_SHARE = 0.25
"""Share of the rate permitted by the cloud that pages of the machine list may use."""
LISTINGS_PER_LAG = 3
"""Listings per listing lag. More frequent listings would return no newer data."""
RENTAL_ATTEMPTS = 5
"""Maximum number of attempts per rental."""
RENTAL_RETRY_BACKOFF_S = 0.5
"""Increase of the pause before each retry of a rental, in seconds."""
MACHINE_TYPES_INTERVAL_S = 20.0
"""Interval between requests for machine types and prices, in seconds."""
LEADER_CHECK_INTERVAL_S = 1.0
"""Interval at which a node without a term checks whether it has one, in seconds."""


@dataclass(frozen=True, slots=True)
class RentalOutcome:
    """The final result of a rental."""

    names: list[str] | None = None
    """Names of the rented machines. None if unknown: rented machines may still appear."""
    refused: bool = False
    """Whether the cloud had no capacity or rejected the rental as malformed."""


class CloudCalls:
    """Calls the cloud; rentals and deletions take precedence over listings.

    Results are posted as events of the term that requested them.
    """

    def __init__(
        self,
        post: Callable[[events.Event], None],
        client: HttpCaller,
        runtime: Runtime,
        rps: float,
        list_lag_s: float,
    ) -> None:
        """Create the client, without polling the cloud yet.

        ``rps``: calls per second that the cloud permits. ``list_lag_s``: seconds by which
        the cloud's machine list lags.
        """
        self._post = post
        self._client = client
        self._runtime = runtime
        self._rate_limiter = RateLimiter(runtime, max(1.0, rps * RATE_SHARE))
        self._pool = ThreadPool(runtime, "cloud-call", CALL_THREADS)
        self._page_interval_s = 1.0 / LISTING_RATE_SHARE / rps
        self._list_interval_s = max(1.0, list_lag_s / LISTINGS_PER_LAG)
        self._stop = runtime.event()
        self._wake = runtime.event()
        self._term: Any = None

    def start(self) -> None:
        """Start the thread that polls the cloud's machine list and machine types."""
        self._runtime.spawn("cloud-list", self._poll_cloud)

    def set_term(self, term: Any) -> None:
        """Poll the cloud for ``term``; None if this node is no longer the leader."""
        self._term = term
        self._wake.set()

    def stop(self) -> None:
        """Stop the polling thread and the thread pool."""
        self._stop.set()
        self._wake.set()
        self._pool.stop()

    def rent(self, action: RentMachines, term: Any, may_call: Callable[[], bool]) -> None:
        """Rent machines; the result is posted as ``events.RentalAnswered``.

        ``may_call`` returns whether the term may still call the cloud. It is checked again
        right before the call, since the term may end during the wait for the rate limit.
        """
        self._pool.submit(self._rent, action, term, may_call)

    def delete(self, action: DeleteMachines, term: Any, may_call: Callable[[], bool]) -> None:
        """Delete machines, if ``may_call`` returns true right before the call.

        The result is posted as ``events.DeletionAnswered``.
        """
        self._pool.submit(self._delete, action, term, may_call)

    def machine_types(self) -> list[cloud.MachineType]:
        """Request the machine types that the cloud rents; blocks.

        Raises ClientError or ProtocolError if the cloud returns no valid response.
        """
        status, body = self._get("/machine_types")
        if status != 200:
            raise ClientError(f"machine types: {status}")
        return cloud.decode_machine_types(body)

    def _get(self, path: str) -> tuple[int, bytes]:
        self._rate_limiter.acquire()
        return self._client.request("GET", path, None, CALL_TIMEOUT_S)

    # -- rentals and deletions ----------------------------------------------------------

    def _rent(self, action: RentMachines, term: Any, may_call: Callable[[], bool]) -> None:
        outcome: RentalOutcome | None = None
        body = encode(
            cloud.rent_body(action.request, action.type, action.zone, action.spot, action.count)
        )
        for attempt in range(RENTAL_ATTEMPTS):
            if self._stop.wait(RENTAL_RETRY_BACKOFF_S * attempt) or not may_call():
                break
            try:
                outcome = self._try_rent(action, body, may_call)
            except (ClientError, ProtocolError) as error:
                log.info("rental failed request=%s error=%s", action.request, error)
            if outcome is not None:
                break
        outcome = outcome or RentalOutcome()
        self._post(events.RentalAnswered(term, action.request, outcome.names, outcome.refused))

    def _try_rent(
        self, action: RentMachines, body: bytes, may_call: Callable[[], bool]
    ) -> RentalOutcome | None:
        """Make one attempt to rent machines; None if it should be retried.

        Attempts are idempotent: all of them carry the same request id.
        """
        self._rate_limiter.acquire()
        if not may_call():
            return RentalOutcome()
        status, response = self._client.request("POST", "/machines", body, CALL_TIMEOUT_S)
        if status == 200:
            return RentalOutcome(names=cloud.decode_rented_machines(response))
        if status == 503 and _is_out_of_capacity(response):
            return RentalOutcome(refused=True)
        if status == 400:
            log.error("rental rejected as malformed rental=%s", action)
            return RentalOutcome(refused=True)
        return None

    def _delete(self, action: DeleteMachines, term: Any, may_call: Callable[[], bool]) -> None:
        deleted = False
        try:
            self._rate_limiter.acquire()
            if may_call():
                body = encode(cloud.delete_body([*action.machines]))
                status, _ = self._client.request("POST", "/machines/delete", body, CALL_TIMEOUT_S)
                deleted = status == 200
        except ClientError as error:
            log.info("deletion failed machines=%d error=%s", len(action.machines), error)
        self._post(events.DeletionAnswered(term, action.machines, deleted))

    # -- listings -----------------------------------------------------------------------

    def _poll_cloud(self) -> None:
        types_listed_at = -math.inf
        polled_term: Any = None
        while not self._stop.is_set():
            term = self._term
            if term is None:
                self._wake.wait(LEADER_CHECK_INTERVAL_S)
                self._wake.clear()
                continue
            if term is not polled_term:
                polled_term, types_listed_at = term, -math.inf
            pages = 1
            try:
                types_due = self._runtime.now() - types_listed_at > MACHINE_TYPES_INTERVAL_S
                if types_due and self._list_machine_types(term):
                    types_listed_at = self._runtime.now()
                pages = self._list_machines(term)
            except (ClientError, ProtocolError) as error:
                log.info("cloud listing failed error=%s", error)
            self._stop.wait(max(self._list_interval_s, pages * self._page_interval_s))

    def _list_machine_types(self, term: Any) -> bool:
        """Request and post the machine types; return false if the cloud refused."""
        status, body = self._get("/machine_types")
        if status != 200:
            return False
        self._post(events.MachineTypesListed(term, cloud.decode_machine_types(body)))
        return True

    def _list_machines(self, term: Any) -> int:
        """Read and post the list of machines; return the number of pages read.

        Nothing is posted if the cloud refuses a page.
        """
        rows: list[cloud.ListedMachine] = []
        pages, complete = 0, True
        after = ""
        while True:
            status, body = self._get(cloud.list_path(after))
            pages += 1
            if status != 200:
                return pages
            page = cloud.decode_machine_list(body)
            rows += page.machines
            complete = complete and page.whole
            if not page.more:
                break
            if not page.machines:
                # An empty page has no last name from which to request the next page.
                complete = False
                break
            after = page.machines[-1].name
        self._post(events.MachinesListed(term, rows, complete))
        return pages


def _is_out_of_capacity(response: bytes) -> bool:
    """Return whether a 503 response means that no machines are left, not an overloaded cloud."""
    try:
        body = decode(response)
    except ProtocolError:
        return False
    return isinstance(body, dict) and "capacity" in str(body.get("error", ""))
