"""Builds golden samples with the current code.

``write_samples`` stores these results; the tests compute them again from the stored bytes
and compare.
"""

from __future__ import annotations

from typing import Any

from tests.golden import adapter

Sample = dict[str, Any]


def to_hex(value: Any) -> str:
    return adapter.to_bytes(value).hex()


def from_hex(text: str) -> Any:
    return adapter.from_bytes(bytes.fromhex(text))


def replayed_records(title: str, records: list[list[Any]]) -> Sample:
    """Applies log records in order and rewrites each one right after it was applied."""
    replayed = adapter.ReplayedState()
    written = []
    for record in records:
        replayed.apply(record)
        written.append([to_hex(rewritten) for rewritten in replayed.rewrite(record)])
    state = replayed.describe()
    live = replayed.snapshot_records()
    after = adapter.ReplayedState()
    for record in live:
        after.apply(record)
    return {
        "sampleTitle": title,
        "plainView": records,
        "recordsHex": [to_hex(record) for record in records],
        "writtenHex": written,
        "stateAfter": state,
        "useAfter": replayed.describe_usage(),
        "snapshotHex": [to_hex(record) for record in live],
        "snapshotView": live,
        "stateFromSnapshot": after.describe(),
    }


def written_log(
    title: str,
    prefix: str,
    guards: list[list[Any]],
    records: list[list[Any]],
    finals: list[list[Any]],
) -> Sample:
    """A log with two snapshots; the second one removes the first and an audit page."""
    log = adapter.LogWriter(prefix, guards)
    replayed = adapter.ReplayedState()
    half = len(records) // 2
    for record in records[:half]:
        log.append(record)
        replayed.apply(record)
    log.drain()
    rows_of_log = dict(log.store.rows)
    _snapshot(log, replayed, finals[:2])
    for record in records[half:]:
        log.append(record)
        replayed.apply(record)
    log.drain()
    rows_of_snapshot = dict(log.store.rows)
    _snapshot(log, replayed, finals[2:])
    log.append(records[-1])
    log.drain()
    return {
        "sampleTitle": title,
        "keyPrefix": prefix,
        "alsoGuarded": guards,
        "recordsView": records,
        "finalsView": finals,
        "transactionsHex": [body.hex() for body in log.store.bodies],
        "transactionsView": [adapter.from_bytes(body) for body in log.store.bodies],
        "rowsStages": [
            stored_rows(prefix, rows)
            for rows in (rows_of_log, rows_of_snapshot, dict(log.store.rows))
        ],
    }


def _snapshot(
    log: adapter.LogWriter, replayed: adapter.ReplayedState, finals: list[list[Any]]
) -> None:
    copy = adapter.ReplayedState()
    for record in replayed.snapshot_records():
        copy.apply(record)
    audit = replayed.describe()["auditEntries"] or []
    log.snapshot(copy.snapshot_records(), finals, audit, 1)


def stored_rows(prefix: str, rows: dict[str, Any]) -> Sample:
    """Keys and values in key order, and the state that a new leader recovers from them."""
    return {
        "rowKeys": sorted(rows),
        "rowsHex": {key: to_hex(rows[key]) for key in sorted(rows)},
        "stateRecovered": adapter.recover_log(rows, prefix),
    }


def shard_map(
    title: str, value: dict[str, Any], jobs: list[str], machines: list[list[str]]
) -> Sample:
    change = adapter.shard_map_change(value)
    return {
        "sampleTitle": title,
        "changeHex": change.hex(),
        "changeView": adapter.from_bytes(change),
        "jobsView": jobs,
        "machinesView": machines,
        "mapAnswers": adapter.shard_map_routing(value, jobs, machines),
    }


def new_epoch(title: str, arguments: list[Any]) -> Sample:
    made = adapter.new_epoch(*arguments)
    return {
        "sampleTitle": title,
        "argumentsView": arguments,
        "epochHex": to_hex(made),
        "epochView": made,
    }


def election(
    title: str, shard: int, token: Any, guards: list[list[Any]], leader_value: Any
) -> Sample:
    body = adapter.election_transaction(shard, token, guards)
    return {
        "sampleTitle": title,
        "shareNumber": shard,
        "tokenRow": token,
        "alsoGuarded": guards,
        "transactionHex": body.hex(),
        "transactionView": adapter.from_bytes(body),
        "holderRowHex": to_hex(leader_value),
        "holderFound": adapter.read_leader_key(shard, leader_value),
    }


def read_message(label: str, data: bytes) -> Sample:
    """A decoded message: its fields by position and its re-encoded bytes."""
    message = adapter.read_message(label, data)
    return {
        "messageLabel": label,
        "messageHex": data.hex(),
        "plainView": adapter.from_bytes(data),
        "fieldsByPosition": adapter.fields_by_position(message),
        "writtenHex": to_hex(message),
    }


def refused_message(label: str, data: bytes) -> Sample:
    return {
        "messageLabel": label,
        "messageHex": data.hex(),
        "refusalStatus": adapter.refusal_status(label, data),
    }


def built_message(label: str, arguments: list[Any]) -> Sample:
    data = adapter.build_message(label, arguments)
    return {
        "messageLabel": label,
        "argumentsView": arguments,
        "messageHex": data.hex(),
        "plainView": adapter.from_bytes(data),
    }
