"""Client of the key-value store: reads, transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from appleshift.errors import AppleshiftError
from appleshift.protocol import kv
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.rate_limiter import RateLimiter

PAGE_ITEMS = 1000
"""Most keys that the store returns in one page. The store also limits a page by size, so
smaller pages only cost requests: with pages of 60 keys, a new leader waited a second for its
own rate limit."""
WATCH_TIMEOUT_MARGIN_S = 2.0
"""Seconds that the client waits for a response beyond the hold time of the watch request."""

_Answer = TypeVar("_Answer")


class StoreError(AppleshiftError):
    """The store returned no usable response."""

    def __init__(self, reason: str, refused: bool) -> None:
        """Create the error; ``refused``: the store certainly did not execute the request."""
        super().__init__(reason)
        self.refused = refused


class LeaseExpiredError(AppleshiftError):
    """The store's lease has expired."""


class CompareFailedError(AppleshiftError):
    """Some guards of a transaction do not hold, so none of its changes was applied."""

    def __init__(self, failed: list[str]) -> None:
        """Create the error; ``failed`` holds the keys whose guards do not hold."""
        super().__init__(", ".join(failed))
        self.failed = failed


class KeyValueStore:
    """A blocking client of the store with a rate limit.

    Every request may raise ``StoreError``. Timeouts are in seconds.
    """

    def __init__(self, client: HttpCaller, rps: float, runtime: Runtime) -> None:
        """Create a client that sends at most ``rps`` requests per second through ``client``."""
        self._client = client
        self._rate_limiter = RateLimiter(runtime, max(1.0, rps))
        self.is_answering = False
        """Whether the store answered the last request with a status below 500."""

    def _call(self, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        """Send one request; return the status, which is below 500 and not 429, and the body."""
        self._rate_limiter.acquire()
        try:
            data = None if body is None else encode(body)
            status, answer = self._client.request(method, path, data, timeout)
        except ClientError as error:
            self.is_answering = False
            raise StoreError(str(error), refused=False) from error
        self.is_answering = status < 500
        if status in (429, 503):
            raise StoreError(f"{path}: {status}", refused=True)
        if status >= 500:
            raise StoreError(f"{path}: {status}", refused=False)
        return status, answer

    @staticmethod
    def _decode(status: int, body: bytes, decode: Callable[[bytes], _Answer]) -> _Answer:
        if status != 200:
            raise StoreError(f"unexpected status {status}", refused=False)
        try:
            return decode(body)
        except ProtocolError as error:
            raise StoreError(f"unreadable answer: {error.reason}", refused=False) from error

    def get(self, key: str, timeout: float = 1.0) -> kv.Item | None:
        """Return the item with a key; None if the key does not exist."""
        status, body = self._call("GET", f"/kv/{key}", None, timeout)
        if status == 404:
            return None
        return self._decode(status, body, kv.decode_item)

    def read_page(self, prefix: str, after: str, limit: int, timeout: float = 2.0) -> kv.Page:
        """Return up to ``limit`` items under a prefix, from the first key after ``after``."""
        status, body = self._call("GET", kv.page_path(prefix, after, limit), None, timeout)
        return self._decode(status, body, kv.decode_page)

    def read_all(self, prefix: str, after: str = "") -> Iterator[kv.Item]:
        """Yield all items under a prefix with keys after ``after``, in key order.

        Only one page is in memory at a time: a log and a snapshot may be large.
        """
        while True:
            page = self.read_page(prefix, after, PAGE_ITEMS)
            yield from page.items
            if not page.has_more or not page.items:
                return
            after = page.items[-1].key
            del page  # Otherwise the next page is read while this one is still in memory.

    def compare_and_swap(
        self, guards: list[dict[str, Any]], changes: list[dict[str, Any]], timeout: float = 1.0
    ) -> int:
        """Apply changes if all guards hold; return the revision.

        Raises:
            CompareFailedError: a guard does not hold.
            LeaseExpiredError: a lease that a change refers to has expired, or the
                transaction is malformed; the store returns the same status for both.
        """
        status, body = self._call("POST", "/txn", kv.transaction_body(guards, changes), timeout)
        if status == 409:
            raise CompareFailedError(self._decode(200, body, kv.decode_compare_failed))
        if status == 400:
            raise LeaseExpiredError(repr(body[:200]))
        return self._decode(status, body, kv.decode_transaction)

    def grant_lease(self, ttl_s: float, timeout: float = 1.0) -> int:
        """Create a lease with a time to live of ``ttl_s`` seconds; return its number."""
        status, body = self._call("POST", "/leases", kv.lease_body(ttl_s), timeout)
        return self._decode(status, body, kv.decode_lease)

    def renew_lease(self, lease: int, timeout: float) -> None:
        """Extend a lease by its time to live.

        Raises:
            LeaseExpiredError: the lease has expired.
        """
        status, _ = self._call("POST", f"/leases/{lease}/renew", {}, timeout)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease}")
        if status != 200:
            raise StoreError(f"renewal: {status}", refused=False)

    def revoke_lease(self, lease: int) -> bool:
        """Revoke a lease; return whether the lease has certainly ended."""
        try:
            status, _ = self._call("DELETE", f"/leases/{lease}", None, 1.0)
        except StoreError:
            return False
        return status in (200, 204, 404)

    def watch(self, prefix: str, after: int, hold_s: float) -> kv.ChangeFeed | None:
        """Return the changes under a prefix since revision ``after``.

        The store delays the response for up to ``hold_s`` seconds until there is a change.
        None if the store's history no longer reaches back to revision ``after``.
        """
        path = kv.watch_path(prefix, after, hold_s)
        status, body = self._call("GET", path, None, hold_s + WATCH_TIMEOUT_MARGIN_S)
        if status == 410:
            return None
        return self._decode(status, body, kv.decode_changes)
