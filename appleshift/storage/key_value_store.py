"""The state service as the node uses it: reads, transactions, leases, watches."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from appleshift.protocol import kv
from appleshift.protocol.wire import ProtocolError, encode, json_size
from appleshift.storage.records import LogReplayer
from appleshift.storage.write_ahead_log import (
    FINAL_STATES_PREFIX,
    HEADER_KEY,
    LOG_PREFIX,
    SNAPSHOT_PREFIX,
    LogHeader,
    final_key,
    log_key,
)
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime
from appleshift.transport.rate_limiter import RateLimiter

PAGE_ITEMS = 1000
"""As many as the service puts into an answer. It cuts one short by size, too, so
asking for fewer only costs requests: with 60 a new leader waited a second for
its own rate budget."""


class StoreError(Exception):
    """The state service gave no usable answer; ``refused``: it did nothing."""

    def __init__(self, reason: str, refused: bool) -> None:
        super().__init__(reason)
        self.refused = refused


class LeaseExpiredError(Exception):
    """The lease has ended."""


class CompareFailedError(Exception):
    """A transaction's conditions do not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class KeyValueStore:
    """Blocking calls; every failure is one of the errors above."""

    def __init__(self, client: HttpCaller, rps: float, runtime: Runtime) -> None:
        self._client = client
        self._budget = RateLimiter(runtime, max(1.0, rps))
        self.is_answering = False
        """Whether it did when it was asked last."""

    def _call(self, method: str, path: str, body: Any, timeout: float) -> tuple[int, bytes]:
        self._budget.acquire()
        try:
            data = None if body is None else encode(body)
            status, answer = self._client.request(method, path, data, timeout)
        except ClientError as error:
            self.is_answering = False
            raise StoreError(str(error), refused=False) from None
        self.is_answering = status < 500
        if status in (429, 503):
            raise StoreError(f"{path}: {status}", refused=True)
        if status >= 500:
            raise StoreError(f"{path}: {status}", refused=False)
        return status, answer

    def get(self, key: str, timeout: float = 1.0) -> kv.Item | None:
        status, body = self._call("GET", f"/kv/{key}", None, timeout)
        if status == 404:
            return None
        item: kv.Item = self._decoded(status, body, kv.decode_item)
        return item

    @staticmethod
    def _decoded(status: int, body: bytes, decode: Any) -> Any:
        if status != 200:
            raise StoreError(f"unexpected status {status}", refused=False)
        try:
            return decode(body)
        except ProtocolError as error:
            raise StoreError(f"unreadable answer: {error.reason}", refused=False) from None

    def read_page(self, prefix: str, after: str, limit: int, timeout: float = 2.0) -> kv.Page:
        status, body = self._call("GET", kv.page_path(prefix, after, limit), None, timeout)
        page: kv.Page = self._decoded(status, body, kv.decode_page)
        return page

    def read_all(self, prefix: str, after: str = "") -> list[kv.Item]:
        items: list[kv.Item] = []
        while True:
            page = self.read_page(prefix, after, PAGE_ITEMS)
            items += page.items
            if not page.more or not page.items:
                return items
            after = page.items[-1].key

    def compare_and_swap(
        self, guards: list[dict[str, Any]], changes: list[dict[str, Any]], timeout: float = 1.0
    ) -> int:
        status, body = self._call("POST", "/txn", kv.transaction_body(guards, changes), timeout)
        if status == 409:
            raise CompareFailedError(self._decoded(200, body, kv.decode_compare_failed))
        if status == 400:
            raise LeaseExpiredError(repr(body[:200]))
        revision: int = self._decoded(status, body, kv.decode_transaction)
        return revision

    def grant_lease(self, ttl_s: float, timeout: float = 1.0) -> int:
        status, body = self._call("POST", "/leases", kv.lease_body(ttl_s), timeout)
        lease: int = self._decoded(status, body, kv.decode_lease)
        return lease

    def renew_lease(self, lease: int, timeout: float) -> None:
        status, _ = self._call("POST", f"/leases/{lease}/renew", {}, timeout)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease}")
        if status != 200:
            raise StoreError(f"renewal: {status}", refused=False)

    def revoke_lease(self, lease: int) -> bool:
        """End a lease; true if it has certainly ended."""
        try:
            status, _ = self._call("DELETE", f"/leases/{lease}", None, 1.0)
        except StoreError:
            return False
        return status in (200, 204, 404)

    def watch(self, prefix: str, after: int, hold_s: float) -> kv.ChangeFeed | None:
        """What changed; None if the history no longer goes back that far."""
        path = kv.watch_path(prefix, after, hold_s)
        status, body = self._call("GET", path, None, hold_s + 2.0)
        if status == 410:
            return None
        changes: kv.ChangeFeed = self._decoded(status, body, kv.decode_changes)
        return changes


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """Where the log of a share goes on."""

    header: LogHeader
    header_version: int
    next_entry: int
    log_bytes: int
    """Size of the log that no snapshot covers."""
    orphaned_keys: list[str]
    """Keys that a broken-off snapshot or clean-up left behind."""


def recover(store: KeyValueStore, replayer: LogReplayer, prefix: str = "") -> RecoveredLog:
    """Read snapshot and log of a share's key range into ``replay``."""
    item = store.get(prefix + HEADER_KEY)
    meta, version = LogHeader(), 0
    if item is not None:
        version = item.version
        value = item.value
        first, following, entries = value.get("audit", (0, 0, 0))
        meta = LogHeader(
            value["generation"],
            value["pages"],
            value["log_from"],
            value["finals"],
            (first, following, entries),
        )
        replayer.audit_entries_written = entries
    leftovers: list[str] = []
    last_final = final_key(meta.final_pages, prefix)
    for row in store.read_all(prefix + FINAL_STATES_PREFIX) if meta.final_pages else []:
        if row.key < last_final:
            replayer.apply_final_states(row.value["records"])
    snap = f"{prefix}{SNAPSHOT_PREFIX}{meta.generation:08d}/"
    for row in store.read_all(prefix + SNAPSHOT_PREFIX):
        if row.key.startswith(snap) and int(row.key[len(snap) :]) < meta.pages:
            replayer.apply(row.value["records"])
        else:
            leftovers.append(row.key)
    number, log_bytes = meta.first_entry, 0
    for row in store.read_all(prefix + LOG_PREFIX):
        if row.key < log_key(meta.first_entry, prefix):
            leftovers.append(row.key)
            continue
        replayer.apply(row.value["records"])
        log_bytes += json_size(row.value)
        number = int(row.key[len(prefix + LOG_PREFIX) :]) + 1
    return RecoveredLog(meta, version, number, log_bytes, leftovers)
