"""What a sample's contents become, by today's code: compared with what was stored.

The writer stores these results, the test computes them again from the stored bytes.
"""

from __future__ import annotations

from typing import Any

from tests.golden import adapter

Sample = dict[str, Any]


def hexed(value: Any) -> str:
    return adapter.to_bytes(value).hex()


def unhexed(text: str) -> Any:
    return adapter.from_bytes(bytes.fromhex(text))


def log_story(title: str, records: list[list[Any]]) -> Sample:
    """Records that are read one after the other, and written again each time."""
    ledger = adapter.Ledger()
    written = []
    for record in records:
        ledger.read(record)
        written.append([hexed(again) for again in ledger.write_again(record)])
    state = ledger.describe()
    live = ledger.live()
    after = adapter.Ledger()
    for record in live:
        after.read(record)
    return {
        "sampleTitle": title,
        "plainView": records,
        "recordsHex": [hexed(record) for record in records],
        "writtenHex": written,
        "stateAfter": state,
        "useAfter": ledger.describe_use(),
        "snapshotHex": [hexed(record) for record in live],
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
    """A log with two snapshots, the second of which drops an audit page and the first."""
    log = adapter.LogWriter(prefix, guards)
    ledger = adapter.Ledger()
    half = len(records) // 2
    for record in records[:half]:
        log.append(record)
        ledger.read(record)
    log.drain()
    rows_of_log = dict(log.store.rows)
    _snapshot(log, ledger, finals[:2])
    for record in records[half:]:
        log.append(record)
        ledger.read(record)
    log.drain()
    rows_of_snapshot = dict(log.store.rows)
    _snapshot(log, ledger, finals[2:])
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


def _snapshot(log: adapter.LogWriter, ledger: adapter.Ledger, finals: list[list[Any]]) -> None:
    copy = adapter.Ledger()
    for record in ledger.live():
        copy.read(record)
    audit = ledger.describe()["auditEntries"] or []
    log.snapshot(copy.live(), finals, audit, 1)


def stored_rows(prefix: str, rows: dict[str, Any]) -> Sample:
    """Keys and values in order, and what a new leader makes of them."""
    return {
        "rowKeys": sorted(rows),
        "rowsHex": {key: hexed(rows[key]) for key in sorted(rows)},
        "stateRecovered": adapter.read_log(rows, prefix),
    }


def share_map(
    title: str, value: dict[str, Any], jobs: list[str], machines: list[list[str]]
) -> Sample:
    change = adapter.share_map_write(value)
    return {
        "sampleTitle": title,
        "changeHex": change.hex(),
        "changeView": adapter.from_bytes(change),
        "jobsView": jobs,
        "machinesView": machines,
        "mapAnswers": adapter.share_map_lookup(value, jobs, machines),
    }


def new_epoch(title: str, arguments: list[Any]) -> Sample:
    made = adapter.new_epoch(*arguments)
    return {
        "sampleTitle": title,
        "argumentsView": arguments,
        "epochHex": hexed(made),
        "epochView": made,
    }


def election(title: str, share: int, token: Any, guards: list[list[Any]], holder: Any) -> Sample:
    body = adapter.stand_for(share, token, guards)
    return {
        "sampleTitle": title,
        "shareNumber": share,
        "tokenRow": token,
        "alsoGuarded": guards,
        "transactionHex": body.hex(),
        "transactionView": adapter.from_bytes(body),
        "holderRowHex": hexed(holder),
        "holderFound": adapter.read_holder(share, holder),
    }


def read_message(label: str, data: bytes) -> Sample:
    """A message that is read, its fields by position, and written down again."""
    message = adapter.read_message(label, data)
    return {
        "messageLabel": label,
        "messageHex": data.hex(),
        "plainView": adapter.from_bytes(data),
        "fieldsByPosition": adapter.by_position(message),
        "writtenHex": hexed(message),
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
