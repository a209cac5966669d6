"""Messages between controller nodes and the key-value store. ``rename`` maps to wire names.

A revision counts all transactions of the store; an item's version is the revision of the
transaction that wrote it last.
"""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.wire import decode_as


class Item(
    msgspec.Struct, frozen=True, rename={"value": "v", "version": "stamp", "lease": "permit"}
):
    """A key with its value; ``lease`` is the lease that it expires with."""

    key: str
    value: Any
    version: int
    lease: int | None = None


class Page(
    msgspec.Struct,
    frozen=True,
    rename={"items": "rows", "has_more": "truncated", "revision": "ledger_no"},
):
    """A page of the items with a prefix, as of one revision. ``more``: others follow."""

    items: list[Item]
    revision: int
    has_more: bool = False


class TransactionDone(msgspec.Struct, frozen=True, rename={"revision": "ledger_no"}):
    """A transaction was executed as this revision."""

    revision: int


class CompareFailed(msgspec.Struct, frozen=True):
    """A transaction was refused: these keys do not have the versions it was conditional on."""

    failed: list[str]


class LeaseGranted(msgspec.Struct, frozen=True, rename={"lease": "permit"}):
    """The number of a new lease."""

    lease: int


class ChangeFeed(msgspec.Struct, frozen=True, rename={"revision": "ledger_no", "changes": "news"}):
    """Changes under a prefix up to a revision, in order."""

    revision: int
    changes: list[dict[str, Any]] = []


_item = msgspec.msgpack.Decoder(Item)
_page = msgspec.msgpack.Decoder(Page)
_done = msgspec.msgpack.Decoder(TransactionDone)
_failed = msgspec.msgpack.Decoder(CompareFailed)
_granted = msgspec.msgpack.Decoder(LeaseGranted)
_changes = msgspec.msgpack.Decoder(ChangeFeed)


def decode_item(body: bytes) -> Item:
    """Decode the answer to a read of one key; ProtocolError if malformed."""
    return decode_as(_item, body)


def decode_page(body: bytes) -> Page:
    """Decode a page of items; ProtocolError if malformed."""
    return decode_as(_page, body)


def decode_transaction(body: bytes) -> int:
    """Decode the revision of a transaction; ProtocolError if malformed."""
    return decode_as(_done, body).revision


def decode_compare_failed(body: bytes) -> list[str]:
    """Decode the keys whose versions differ; ProtocolError if malformed."""
    return decode_as(_failed, body).failed


def decode_lease(body: bytes) -> int:
    """Decode the number of a new lease; ProtocolError if malformed."""
    return decode_as(_granted, body).lease


def decode_changes(body: bytes) -> ChangeFeed:
    """Decode changes that were waited for; ProtocolError if malformed."""
    return decode_as(_changes, body)


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    """Change of a transaction: write a key, which expires with the lease if there is one."""
    change: dict[str, Any] = {"put": key, "v": value}
    if lease is not None:
        change["permit"] = lease
    return change


def remove(key: str) -> dict[str, Any]:
    """Change of a transaction: delete a key."""
    return {"remove": key}


def guard(key: str, version: int) -> dict[str, Any]:
    """Condition of a transaction: the key has this version."""
    return {"key": key, "stamp": version}


def transaction_body(guards: list[dict[str, Any]], changes: list[dict[str, Any]]) -> dict[str, Any]:
    """Body of a transaction: all changes if all conditions hold, else none (compare-and-swap)."""
    return {"guards": guards, "then": changes}


def lease_body(ttl_s: float) -> dict[str, Any]:
    """Body of a request for a lease of so many seconds; the wire counts milliseconds."""
    return {"ttl_ms": round(ttl_s * 1000)}


def page_path(prefix: str, after: str, limit: int = 200) -> str:
    """Path of the page of a prefix's items that follows a key; of the first one after ``""``."""
    query = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{query}&limit={limit}"


def watch_path(prefix: str, after: int, hold_s: float) -> str:
    """Path that answers once something changes after a revision, or after ``hold_s`` seconds."""
    return f"/changes?prefix={prefix}&after={after}&hold_ms={round(hold_s * 1000)}"
