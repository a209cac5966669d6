"""Messages between controller nodes and the key-value store.

The store's revision is the number of transactions that it has executed. The version of an item
is the revision of the transaction that last wrote it. ``rename`` maps attributes to wire names.
"""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.wire import decode_as


class Item(
    msgspec.Struct, frozen=True, rename={"value": "v", "version": "stamp", "lease": "permit"}
):
    """A key and its value; ``lease`` is the number of the lease with which the item expires."""

    key: str
    value: Any
    version: int
    lease: int | None = None


class Page(
    msgspec.Struct,
    frozen=True,
    rename={"items": "rows", "has_more": "truncated", "revision": "ledger_no"},
):
    """A page of the items with a key prefix, as of one revision; ``has_more``: pages follow."""

    items: list[Item]
    revision: int
    has_more: bool = False


class TransactionDone(msgspec.Struct, frozen=True, rename={"revision": "ledger_no"}):
    """Response to a transaction that was executed; ``revision`` is the one it created."""

    revision: int


class CompareFailed(msgspec.Struct, frozen=True):
    """Response to a refused transaction: the keys whose versions differ from its guards."""

    failed: list[str]


class LeaseGranted(msgspec.Struct, frozen=True, rename={"lease": "permit"}):
    """Response to a lease request: the number of the new lease."""

    lease: int


class ChangeFeed(msgspec.Struct, frozen=True, rename={"revision": "ledger_no", "changes": "news"}):
    """Response to a watch: the changes under a key prefix up to ``revision``, in order."""

    revision: int
    changes: list[dict[str, Any]] = []


_item_decoder = msgspec.msgpack.Decoder(Item)
_page_decoder = msgspec.msgpack.Decoder(Page)
_transaction_decoder = msgspec.msgpack.Decoder(TransactionDone)
_compare_failed_decoder = msgspec.msgpack.Decoder(CompareFailed)
_lease_decoder = msgspec.msgpack.Decoder(LeaseGranted)
_changes_decoder = msgspec.msgpack.Decoder(ChangeFeed)


def decode_item(body: bytes) -> Item:
    """Decode the response to a read of one key; ProtocolError if malformed."""
    return decode_as(_item_decoder, body)


def decode_page(body: bytes) -> Page:
    """Decode a page of items; ProtocolError if malformed."""
    return decode_as(_page_decoder, body)


def decode_transaction(body: bytes) -> int:
    """Decode the revision of an executed transaction; ProtocolError if malformed."""
    return decode_as(_transaction_decoder, body).revision


def decode_compare_failed(body: bytes) -> list[str]:
    """Decode the keys of the guards that failed a transaction; ProtocolError if malformed."""
    return decode_as(_compare_failed_decoder, body).failed


def decode_lease(body: bytes) -> int:
    """Decode the number of a new lease; ProtocolError if malformed."""
    return decode_as(_lease_decoder, body).lease


def decode_changes(body: bytes) -> ChangeFeed:
    """Decode the response to a watch; ProtocolError if malformed."""
    return decode_as(_changes_decoder, body)


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    """Return a transaction's change that writes a key, which expires with ``lease`` if given."""
    change: dict[str, Any] = {"put": key, "v": value}
    if lease is not None:
        change["permit"] = lease
    return change


def remove(key: str) -> dict[str, Any]:
    """Return a transaction's change that deletes a key."""
    return {"remove": key}


def guard(key: str, version: int) -> dict[str, Any]:
    """Return a transaction's condition that a key has this version."""
    return {"key": key, "stamp": version}


def transaction_body(guards: list[dict[str, Any]], changes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of a transaction (compare-and-swap).

    The store applies all changes if all guards hold, and none otherwise.
    """
    return {"guards": guards, "then": changes}


def lease_body(ttl_s: float) -> dict[str, Any]:
    """Return the body of a request for a lease of ``ttl_s`` seconds, sent in milliseconds."""
    return {"ttl_ms": round(ttl_s * 1000)}


def page_path(prefix: str, after: str, limit: int = 200) -> str:
    """Return the path of the page of items with a key prefix that starts after a key.

    ``after`` is ``""`` for the first page; ``limit`` is the largest number of items.
    """
    query = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{query}&limit={limit}"


def watch_path(prefix: str, after: int, hold_s: float) -> str:
    """Return the path of a watch on a key prefix.

    The store responds as soon as there are changes after revision ``after``, and at the latest
    after ``hold_s`` seconds.
    """
    return f"/changes?prefix={prefix}&after={after}&hold_ms={round(hold_s * 1000)}"
