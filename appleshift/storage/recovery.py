"""Recovery: a new leader rebuilds a shard's state from the key-value store before writing."""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol.wire import json_size
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.storage.keys import (
    FINAL_STATES_PREFIX,
    HEADER_KEY,
    LOG_PREFIX,
    SNAPSHOT_PREFIX,
    final_key,
    log_entry_number,
    log_key,
    snapshot_prefix,
)
from appleshift.storage.log_header import LogHeader
from appleshift.storage.log_replayer import LogReplayer


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The position from which a new leader continues a shard's write-ahead log."""

    header: LogHeader
    header_version: int
    """Version of the header's key; 0: it does not exist."""
    next_entry: int
    """Number of the next log entry to write."""
    log_bytes: int
    """Size in bytes of the log entries that no snapshot covers."""
    orphaned_keys: list[str]
    """Keys left over from an interrupted snapshot or removal."""


def recover(store: KeyValueStore, replayer: LogReplayer, prefix: str = "") -> RecoveredLog:
    """Replay the snapshot and the log of a shard's key range.

    Raises:
        StoreError: the store returned no usable response; the replayer may then be
            partially filled.
    """
    header, header_version = _read_header(store, replayer, prefix)
    _replay_final_states(store, replayer, header, prefix)
    orphaned_keys = _replay_snapshot(store, replayer, header, prefix)
    next_entry, log_bytes, obsolete_keys = _replay_log(store, replayer, header, prefix)
    return RecoveredLog(
        header, header_version, next_entry, log_bytes, orphaned_keys + obsolete_keys
    )


def _read_header(store: KeyValueStore, replayer: LogReplayer, prefix: str) -> tuple[LogHeader, int]:
    item = store.get(prefix + HEADER_KEY)
    if item is None:
        return LogHeader(), 0
    header = LogHeader.from_value(item.value)
    replayer.audit_entries_written = header.audit_pages[2]
    return header, item.version


def _replay_final_states(
    store: KeyValueStore, replayer: LogReplayer, header: LogHeader, prefix: str
) -> None:
    if not header.final_state_pages:
        return
    # Pages from this key on belong to an interrupted snapshot that never took effect.
    end = final_key(header.final_state_pages, prefix)
    for row in store.read_all(prefix + FINAL_STATES_PREFIX):
        if row.key < end:
            replayer.apply_final_states(row.value["records"])


def _replay_snapshot(
    store: KeyValueStore, replayer: LogReplayer, header: LogHeader, prefix: str
) -> list[str]:
    """Replay the current snapshot; return the keys of pages of other snapshots."""
    orphaned_keys: list[str] = []
    current_prefix = snapshot_prefix(header.generation, prefix)
    for row in store.read_all(prefix + SNAPSHOT_PREFIX):
        if (
            row.key.startswith(current_prefix)
            and int(row.key[len(current_prefix) :]) < header.pages
        ):
            replayer.apply(row.value["records"])
        else:
            orphaned_keys.append(row.key)
    return orphaned_keys


def _replay_log(
    store: KeyValueStore, replayer: LogReplayer, header: LogHeader, prefix: str
) -> tuple[int, int, list[str]]:
    """Replay the log after the snapshot.

    Return the number of the next log entry, the log size in bytes and the obsolete keys.
    """
    obsolete_keys: list[str] = []
    first_key = log_key(header.first_entry, prefix)
    next_entry, log_bytes = header.first_entry, 0
    for row in store.read_all(prefix + LOG_PREFIX):
        if row.key < first_key:
            obsolete_keys.append(row.key)
            continue
        replayer.apply(row.value["records"])
        log_bytes += json_size(row.value)
        next_entry = log_entry_number(row.key, prefix) + 1
    return next_entry, log_bytes, obsolete_keys
