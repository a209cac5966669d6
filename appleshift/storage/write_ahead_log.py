"""The write-ahead log of a shard in the key-value store.

The log performs no input or output: it provides the next transaction to send, and its
owner reports the commit. One transaction is in flight at a time, and it is sent again
until its outcome is known, so records are in the order of their keys.

Module ``keys`` defines the layout of the keys, ``snapshots`` the layout of a snapshot, and
``maintenance`` the deferrable writes: snapshot pages and the removal of obsolete keys.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from appleshift.protocol import kv
from appleshift.storage.keys import HEADER_KEY, log_key, snapshot_generations
from appleshift.storage.log_header import LogHeader
from appleshift.storage.maintenance import IDLE_SHARE, MaintenanceQueue, MaintenanceWrite
from appleshift.storage.records import Record
from appleshift.storage.snapshots import (
    VALUE_OVERHEAD_BYTES,
    SnapshotContent,
    plan_snapshot,
    record_size,
    superseded_keys,
)
from appleshift.storage.token_bucket import TokenBucket

MAX_TRANSACTION_BYTES = 60 * 1024
"""Below the store's limit of 64 KiB, to leave room for guards and framing."""
INITIAL_BURST_SHARE = 0.5
"""Share of one second's writes that a new log may send at once."""


@dataclass(slots=True)
class Transaction:
    """A transaction, to be sent again until its outcome is known."""

    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]
    probe_key: str
    """Key whose value contains ``mark`` if the transaction was applied."""
    mark: str
    """Unique identifier of this transaction."""


@dataclass(slots=True)
class _PendingRecord:
    """A queued record; without a record, a callback that waits for all earlier records."""

    record: Record | None
    size: int
    on_durable: Callable[[], None] | None
    barrier: bool = False
    """Whether records appended later must not be in the same transaction."""


@dataclass
class WriteAheadLog:
    """The queue of records to write, in order, and the snapshots that shorten the log."""

    leader_key: str
    leader_version: int
    """Version of the leader's key; each transaction is guarded by this version."""
    term_id: str
    """Unique identifier of the term; the marks of this log's transactions start with it."""
    write_rps: float
    """Maximum writes per second of this log."""
    value_bytes: int
    """Maximum size in bytes of a value in the store."""
    max_transaction_ops: int
    """Maximum number of changes in one transaction."""
    header: LogHeader
    header_version: int
    """Version of the header's key; 0: it does not exist."""
    next_entry: int
    """Number of the next log entry to write."""
    now: float = 0.0
    """Time of creation, in seconds."""
    prefix: str = ""
    """Prefix of all keys of the shard."""
    extra_guards: tuple[tuple[str, int], ...] = ()
    """Further keys and their versions that guard each transaction."""
    log_bytes: int = 0
    """Size in bytes of the log entries that no snapshot covers."""
    snapshotting: bool = False
    """Whether a snapshot is being written."""
    on_record_durable: Callable[[Record], None] | None = None
    """Called with each record once it is durable, in the order of the log."""
    bucket: TokenBucket = field(init=False)
    _maintenance: MaintenanceQueue = field(init=False)
    _queue: deque[_PendingRecord] = field(init=False, default_factory=deque)
    _in_flight: list[_PendingRecord] | None = field(init=False, default=None)
    _maintenance_in_flight: MaintenanceWrite | None = field(init=False, default=None)
    _transaction: Transaction | None = field(init=False, default=None)
    _serial: int = field(init=False, default=0)
    _queued_bytes: int = field(init=False, default=0)
    _max_removed_generation: int = field(init=False, default=0)
    """Newest snapshot generation whose pages were queued for removal in this term."""

    def __post_init__(self) -> None:
        """Create the guards, the rate limit and the maintenance queue."""
        self._header_key = self.prefix + HEADER_KEY
        guarded = ((self.leader_key, self.leader_version), *self.extra_guards)
        self._guards = [kv.guard(key, version) for key, version in guarded]
        # The store enforces the rate limit across leaders: the previous leader may already
        # have used this second's burst.
        self.bucket = TokenBucket(self.write_rps, self.write_rps * INITIAL_BURST_SHARE, self.now)
        self._maintenance = MaintenanceQueue(self.write_rps, self.now)

    # -- records to write --------------------------------------------------

    def append(self, record: Record | None, on_durable: Callable[[], None] | None = None) -> None:
        """Queue a record; ``on_durable`` runs once the record is durable.

        Without a record, ``on_durable`` runs once all earlier records are durable.

        Raises:
            ValueError: the record does not fit in a value of the store.
        """
        if record is None and not self._queue and self._in_flight is None:
            if on_durable is not None:
                on_durable()
            return
        size = 0 if record is None else record_size(record)
        if size > self.value_bytes - VALUE_OVERHEAD_BYTES:
            raise ValueError(f"record of {size} bytes does not fit a value")
        self._queue.append(_PendingRecord(record, size, on_durable))
        self._queued_bytes += size

    def fits(self, record: Record) -> bool:
        """Return whether a record fits in a value of the store."""
        return record_size(record) <= self.value_bytes - VALUE_OVERHEAD_BYTES

    def backlog(self) -> int:
        """Return the number of queued and in-flight records."""
        return len(self._queue) + len(self._in_flight or ())

    def lag_s(self) -> float:
        """Return the seconds that writing the queued records takes at the log's write rate."""
        return self._queued_bytes / (self.value_bytes * self.write_rps)

    def is_idle(self) -> bool:
        """Return whether no record is queued and no transaction is in flight."""
        return not self._queue and self._transaction is None

    def set_rate(self, write_rps: float) -> None:
        """Set this log's share of the store's write rate."""
        self.write_rps = self.bucket.rate = write_rps

    def next_transaction(self, now: float) -> Transaction | None:
        """Return the transaction to send now; None if one is in flight or none may be sent."""
        if self._transaction is not None:
            return None
        level = self.bucket.refill(now)
        self._run_head_callbacks()
        max_changes = self._maintenance.allowed_changes(
            now, self.write_rps, level, bool(self._queue)
        )
        if max_changes >= 1:
            return self._maintenance_transaction(now, max_changes)
        if self._queue:
            return self._log_transaction(level)
        if self._maintenance.has_writes() and level >= max(1.0, self.write_rps * IDLE_SHARE):
            return self._maintenance_transaction(now, self.max_transaction_ops)
        return None

    def _run_head_callbacks(self) -> None:
        """Run the callbacks at the head of the queue that have no record."""
        while self._queue and self._queue[0].record is None:
            on_durable = self._queue.popleft().on_durable
            if on_durable is not None:
                on_durable()

    def _log_transaction(self, level: float) -> Transaction | None:
        max_changes = min(self.max_transaction_ops, int(level))
        if max_changes < 1:
            return None
        mark = self._next_mark()
        in_flight: list[_PendingRecord] = []
        changes: list[dict[str, Any]] = []
        total = 0
        while self._may_add_entry(in_flight, len(changes), max_changes, total):
            records, size = self._fill_entry(in_flight)
            key = log_key(self.next_entry + len(changes), self.prefix)
            changes.append(kv.put(key, {"mark": mark, "records": records}))
            total += size
        first = log_key(self.next_entry, self.prefix)
        self._in_flight = in_flight
        self.bucket.level -= len(changes)
        self.log_bytes += total
        # Guard that the first key does not exist, so that a late copy of this transaction
        # fails once the transaction was applied.
        guards = [*self._guards, kv.guard(first, 0)]
        self._transaction = Transaction(guards, changes, first, mark)
        return self._transaction

    def _may_add_entry(
        self, in_flight: list[_PendingRecord], count: int, max_changes: int, total: int
    ) -> bool:
        """Return whether a transaction of ``count`` entries, ``total`` bytes, can take another."""
        closed = bool(in_flight) and in_flight[-1].barrier
        fits = total + self.value_bytes <= MAX_TRANSACTION_BYTES
        return not closed and bool(self._queue) and count < max_changes and fits

    def _fill_entry(self, in_flight: list[_PendingRecord]) -> tuple[list[Record], int]:
        """Move the records of one log entry from the queue to ``in_flight``, up to a barrier."""
        records: list[Record] = []
        size = VALUE_OVERHEAD_BYTES
        while self._queue and size + self._queue[0].size <= self.value_bytes:
            pending = self._queue.popleft()
            in_flight.append(pending)
            if pending.record is not None:
                records.append(pending.record)
                size += pending.size
                self._queued_bytes -= pending.size
            if pending.barrier:
                break
        return records, size

    def _maintenance_transaction(self, now: float, max_changes: int) -> Transaction:
        write = self._maintenance.pop(now, max_changes)
        self._maintenance_in_flight = write
        self.bucket.level -= len(write.changes)
        guards = [*self._guards]
        if write.probe_key == self._header_key:
            # Guard that a late copy does not reactivate an older snapshot.
            guards.append(kv.guard(self._header_key, self.header_version))
        self._transaction = Transaction(guards, write.changes, write.probe_key, write.mark)
        return self._transaction

    def _next_mark(self) -> str:
        self._serial += 1
        return f"{self.term_id}.{self._serial}"

    # -- commits -------------------------------------------------------------

    def transaction_committed(self, revision: int) -> None:
        """Record that the transaction in flight was committed at ``revision``."""
        transaction, records = self._transaction, self._in_flight
        write = self._maintenance_in_flight
        self._transaction = self._in_flight = self._maintenance_in_flight = None
        if transaction is None:
            return
        if records is not None:
            self.next_entry += len(transaction.changes)
            self._notify_durable(records)
        if write is not None:
            if write.probe_key == self._header_key:
                self.header_version = revision
            if write.on_durable is not None:
                write.on_durable()

    def _notify_durable(self, records: list[_PendingRecord]) -> None:
        for pending in records:
            if self.on_record_durable is not None and pending.record is not None:
                self.on_record_durable(pending.record)
            if pending.on_durable is not None:
                pending.on_durable()

    # -- snapshots -----------------------------------------------------------

    def start_snapshot(
        self,
        records: list[Record],
        final_states: list[list[Any]],
        audit: Callable[[], list[list[Any]]] | None = None,
        max_audit_pages: int = 0,
    ) -> None:
        """Start a snapshot of the current state; records may be appended meanwhile.

        ``records`` describe the state after all records appended so far. The snapshot
        must therefore take effect only after those are durable, and the log after the
        snapshot must start with the first record appended from now on: a record that
        shared a key with earlier ones would be in neither. ``audit`` returns the
        audit entries of counted resources up to this point, and is therefore called
        only once all those records are durable; ``max_audit_pages`` pages are kept.
        """
        self.snapshotting = True

        def write() -> None:
            entries = audit() if audit is not None else []
            self._write_snapshot(SnapshotContent(records, final_states, entries, max_audit_pages))

        if self._queue or self._in_flight is not None:
            self._queue.append(_PendingRecord(None, 0, write, barrier=True))
        else:
            write()

    def _write_snapshot(self, content: SnapshotContent) -> None:
        """Queue the pages of a snapshot and then the header that activates it."""
        old, covered_bytes = self.header, self.log_bytes
        # A late copy of a removal must not remove a page of a later snapshot, so no key
        # removed in this term is written again. When the next snapshot reused the keys of
        # an interrupted one, a removal applied seconds late deleted a page of the current
        # snapshot.
        generation = max(old.generation, self._max_removed_generation) + 1
        plan = plan_snapshot(
            old, content, generation, self.next_entry, self.prefix, self.value_bytes
        )
        for key, page in plan.pages:
            mark = self._next_mark()
            change = kv.put(key, {"mark": mark, "records": page})
            self._maintenance.snapshot_writes.append(MaintenanceWrite([change], key, mark))
        mark = self._next_mark()
        change = kv.put(self._header_key, plan.header.to_value(mark))
        self._maintenance.snapshot_writes.append(
            MaintenanceWrite(
                [change],
                self._header_key,
                mark,
                lambda: self._install_snapshot(old, plan.header, covered_bytes),
            )
        )

    def _install_snapshot(self, old: LogHeader, new: LogHeader, covered_bytes: int) -> None:
        """Activate a snapshot that covers ``covered_bytes`` of the log."""
        self.header = new
        self.snapshotting = False
        self.log_bytes -= covered_bytes
        self.remove_keys(superseded_keys(old, new, self.prefix))

    def remove_keys(self, keys: list[str]) -> None:
        """Queue the removal of keys that neither the current snapshot nor the log uses."""
        generations = snapshot_generations(keys, self.prefix)
        self._max_removed_generation = max([self._max_removed_generation, *generations])
        self._maintenance.remove_keys(keys, self.max_transaction_ops)
