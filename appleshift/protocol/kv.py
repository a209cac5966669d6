"""Messages between controller nodes and the state service."""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.wire import decode_as


class Item(
    msgspec.Struct, frozen=True, rename={"value": "v", "version": "stamp", "lease": "permit"}
):
    key: str
    value: Any
    version: int
    lease: int | None = None


class Page(
    msgspec.Struct,
    frozen=True,
    rename={"items": "rows", "more": "truncated", "revision": "ledger_no"},
):
    items: list[Item]
    revision: int
    more: bool = False


class TransactionDone(msgspec.Struct, frozen=True, rename={"revision": "ledger_no"}):
    revision: int


class CompareFailed(msgspec.Struct, frozen=True):
    failed: list[str]


class LeaseGranted(msgspec.Struct, frozen=True, rename={"lease": "permit"}):
    lease: int


class ChangeFeed(msgspec.Struct, frozen=True, rename={"revision": "ledger_no", "changes": "news"}):
    revision: int
    changes: list[dict[str, Any]] = []


_item = msgspec.msgpack.Decoder(Item)
_page = msgspec.msgpack.Decoder(Page)
_done = msgspec.msgpack.Decoder(TransactionDone)
_failed = msgspec.msgpack.Decoder(CompareFailed)
_granted = msgspec.msgpack.Decoder(LeaseGranted)
_changes = msgspec.msgpack.Decoder(ChangeFeed)


def decode_item(body: bytes) -> Item:
    return decode_as(_item, body)


def decode_page(body: bytes) -> Page:
    return decode_as(_page, body)


def decode_transaction(body: bytes) -> int:
    return decode_as(_done, body).revision


def decode_compare_failed(body: bytes) -> list[str]:
    return decode_as(_failed, body).failed


def decode_lease(body: bytes) -> int:
    return decode_as(_granted, body).lease


def decode_changes(body: bytes) -> ChangeFeed:
    return decode_as(_changes, body)


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    change: dict[str, Any] = {"put": key, "v": value}
    if lease is not None:
        change["permit"] = lease
    return change


def remove(key: str) -> dict[str, Any]:
    return {"remove": key}


def guard(key: str, version: int) -> dict[str, Any]:
    return {"key": key, "stamp": version}


def transaction_body(guards: list[dict[str, Any]], changes: list[dict[str, Any]]) -> dict[str, Any]:
    return {"guards": guards, "then": changes}


def lease_body(ttl_s: float) -> dict[str, Any]:
    return {"ttl_ms": round(ttl_s * 1000)}


def page_path(prefix: str, after: str, limit: int = 200) -> str:
    query = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{query}&limit={limit}"


def watch_path(prefix: str, after: int, hold_s: float) -> str:
    return f"/changes?prefix={prefix}&after={after}&hold_ms={round(hold_s * 1000)}"
