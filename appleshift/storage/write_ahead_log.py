"""The write-ahead log in the state service, its snapshots and its clean-up.

Sans-IO: the journal says which transaction to send next and is told what became
of it. One transaction is under way at a time, and the same one is sent again
until its outcome is known, so the order of records is the order of their keys.

Keys::

    log/<n>               a batch of records
    snap/<generation>/<n> a page of records that rebuild the live state
    final/<n>             a page of ended jobs, written once
    audit/<n>             a page of the audit of counted resources, written once
    meta                  the snapshot in force and where the log goes on

A snapshot counts only once ``meta`` names it: an interrupted one is just keys
to be cleaned up.

Each share has a range of its own; the first one's has no prefix, so that a
deployment with one share is written as it always was.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from appleshift.protocol import kv
from appleshift.protocol.wire import json_size

HEADER_KEY = "meta"
LOG_PREFIX = "log/"
SNAPSHOT_PREFIX = "snap/"
FINAL_STATES_PREFIX = "final/"
AUDIT_PREFIX = "audit/"
MAX_TRANSACTION_BYTES = 60 * 1024
"""Below the service's 64 KiB, to leave room for guards and framing."""

IDLE_SHARE = 0.6
"""What can wait is written at once while so much of a second's writes is unused,"""
MAINTENANCE_SHARE = 0.3
"""and gets so much of all writes however many records come. When it got none, the last
snapshot of a minute of small jobs took as long as the jobs came, and the log grew."""
MAINTENANCE_INTERVAL_S = 0.25
"""Records wait for one such write at a time, and not for another so soon: when a whole burst
of pages went before them, users waited for their sum."""
CLEAN_UP_SHARE, CLEAN_UP_GAP_S = 0.5, 0.1
MAX_PENDING_REMOVALS = 200
"""With more keys than this to be removed, chores get so much: a key that is written costs
another write to remove, so with less, keys would pile up for as long as records come."""

Record = list[Any]


def shard_prefix(shard: int) -> str:
    """Start of all keys of a share."""
    return f"share/{shard:04d}/" if shard else ""


def log_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{LOG_PREFIX}{number:012d}"


def snapshot_key(generation: int, page: int, prefix: str = "") -> str:
    return f"{prefix}{SNAPSHOT_PREFIX}{generation:08d}/{page:06d}"


def final_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{FINAL_STATES_PREFIX}{number:08d}"


def audit_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{AUDIT_PREFIX}{number:08d}"


@dataclass(slots=True)
class TokenBucket:
    """A rate with bursts of one second's worth."""

    rate: float
    level: float = 0.0
    refilled_at: float = 0.0

    def refill(self, now: float) -> float:
        if now > self.refilled_at:
            self.level = min(self.rate, self.level + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.level


@dataclass(slots=True)
class Transaction:
    """A transaction to send, and to send again until its outcome is known."""

    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]
    probe_key: str
    """The key whose presence, with ``mark`` in it, shows that it was applied."""
    mark: str


@dataclass(slots=True)
class LogHeader:
    generation: int = 0
    pages: int = 0
    first_entry: int = 1
    final_pages: int = 0
    audit_pages: tuple[int, int, int] = (0, 0, 0)
    """First page kept, next page, and how many entries all pages ever held."""

    def to_value(self, mark: str) -> dict[str, Any]:
        value = {
            "generation": self.generation,
            "pages": self.pages,
            "log_from": self.first_entry,
            "finals": self.final_pages,
            "mark": mark,
        }
        return {**value, "audit": list(self.audit_pages)} if self.audit_pages[1] else value


@dataclass(slots=True)
class _PendingRecord:
    record: Record | None
    size: int
    on_durable: Callable[[], None] | None
    barrier: bool = False
    """Nothing appended later may share its transaction."""


@dataclass(slots=True)
class _MaintenanceWrite:
    """A change that can wait: snapshot pages and deletes."""

    changes: list[dict[str, Any]]
    probe_key: str = ""
    mark: str = ""
    on_durable: Callable[[], None] | None = None

    def split_off(self, most: int) -> _MaintenanceWrite:
        """The first changes of a clean-up, which may be made in any number of parts."""
        taken, self.changes = self.changes[:most], self.changes[most:]
        return _MaintenanceWrite(taken)


@dataclass
class WriteAheadLog:
    """What is to be written, in order."""

    leader_key: str
    leader_version: int
    term_id: str
    write_rps: float
    value_bytes: int
    max_transaction_ops: int
    header: LogHeader
    header_version: int
    next_entry: int
    now: float = 0.0
    prefix: str = ""
    extra_guards: tuple[tuple[str, int], ...] = ()
    """Keys, and their versions, that must not have changed either."""
    log_bytes: int = 0
    bucket: TokenBucket = field(init=False)
    _queue: deque[_PendingRecord] = field(default_factory=deque)
    _snapshot_writes: deque[_MaintenanceWrite] = field(default_factory=deque)
    """Pages of a snapshot, and what makes it count."""
    _removals: deque[_MaintenanceWrite] = field(default_factory=deque)
    """Clean-up, which no snapshot waits for."""
    _maintenance_sent_at: float = float("-inf")
    """When a chore was sent last."""
    _maintenance_budget: TokenBucket = field(init=False)
    """Writes that chores may make although records wait."""
    _in_flight: list[_PendingRecord] | None = None
    _maintenance_in_flight: _MaintenanceWrite | None = None
    _transaction: Transaction | None = None
    _serial: int = 0
    _queued_bytes: int = 0
    _max_swept_generation: int = 0
    """The newest generation of a snapshot of which pages are being deleted."""
    snapshotting: bool = False
    on_record_durable: Callable[[Record], None] | None = None
    """Is shown each record once it is durable, in the order of the log."""

    def __post_init__(self) -> None:
        self._meta_key = self.prefix + HEADER_KEY
        guarded = ((self.leader_key, self.leader_version), *self.extra_guards)
        self._guards = [kv.guard(key, version) for key, version in guarded]
        # The limit is the service's, not ours alone: a leader before us may
        # have spent this second's burst.
        self.bucket = TokenBucket(self.write_rps, self.write_rps * 0.5, self.now)
        self._maintenance_budget = TokenBucket(self.write_rps * MAINTENANCE_SHARE, 0.0, self.now)

    # -- what is to be written -------------------------------------------

    def append(self, record: Record | None, on_durable: Callable[[], None] | None = None) -> None:
        """Write a record; ``then`` runs once it is durable.

        Without a record, ``then`` runs once everything before it is durable.
        """
        if record is None and not self._queue and self._in_flight is None:
            if on_durable is not None:
                on_durable()
            return
        size = 0 if record is None else json_size(record) + 1
        if size > self.value_bytes - 200:
            raise ValueError(f"record of {size} bytes does not fit a value")
        self._queue.append(_PendingRecord(record, size, on_durable))
        self._queued_bytes += size

    def fits(self, record: Record) -> bool:
        return json_size(record) + 1 <= self.value_bytes - 200

    def backlog(self) -> int:
        return len(self._queue) + len(self._in_flight or ())

    def lag_s(self) -> float:
        """How long writing what waits takes at the service's rate."""
        return self._queued_bytes / (self.value_bytes * self.write_rps)

    def _mark(self) -> str:
        self._serial += 1
        return f"{self.term_id}.{self._serial}"

    def is_idle(self) -> bool:
        """Nothing that matters waits or is under way."""
        return not self._queue and self._transaction is None

    def set_rate(self, write_rps: float) -> None:
        """From now on this much of the service's write budget."""
        self.write_rps = self.bucket.rate = write_rps

    def next_transaction(self, now: float) -> Transaction | None:
        """The transaction to send now, if the budget allows one."""
        if self._transaction is not None:
            return None
        level = self.bucket.refill(now)
        while self._queue and self._queue[0].record is None:
            then = self._queue.popleft().on_durable
            if then is not None:
                then()
        chores = self._snapshot_writes or self._removals
        behind = sum(len(chore.changes) for chore in self._removals) > MAX_PENDING_REMOVALS
        self._maintenance_budget.rate = self.write_rps * (
            CLEAN_UP_SHARE if behind else MAINTENANCE_SHARE
        )
        credit = min(level, self._maintenance_budget.refill(now))
        gap_s = CLEAN_UP_GAP_S if behind else MAINTENANCE_INTERVAL_S
        due = not self._queue or now - self._maintenance_sent_at >= gap_s
        if chores and due and credit >= 1.0:
            return self._maintenance_transaction(now, int(credit))
        if self._queue:
            return self._log_transaction(level)
        if chores and level >= max(1.0, self.write_rps * IDLE_SHARE):
            return self._maintenance_transaction(now, self.max_transaction_ops)
        return None

    def _log_transaction(self, level: float) -> Transaction | None:
        most = min(self.max_transaction_ops, int(level))
        if most < 1:
            return None
        mark = self._mark()
        flying: list[_PendingRecord] = []
        changes: list[dict[str, Any]] = []
        total = 0
        open_ended = True
        while open_ended and self._queue and len(changes) < most:
            if total + self.value_bytes > MAX_TRANSACTION_BYTES:
                break
            records: list[Record] = []
            size = 200
            while open_ended and self._queue and size + self._queue[0].size <= self.value_bytes:
                pending = self._queue.popleft()
                flying.append(pending)
                open_ended = not pending.barrier
                if pending.record is not None:
                    records.append(pending.record)
                    size += pending.size
                    self._queued_bytes -= pending.size
            value = {"mark": mark, "records": records}
            key = log_key(self.next_entry + len(changes), self.prefix)
            changes.append(kv.put(key, value))
            total += size
        first = log_key(self.next_entry, self.prefix)
        self._in_flight = flying
        self.bucket.level -= len(changes)
        self.log_bytes += total
        # The first key must be new: a copy of this transaction that arrives
        # after its twin was applied then fails.
        guards = [*self._guards, kv.guard(first, 0)]
        self._transaction = Transaction(guards, changes, first, mark)
        return self._transaction

    def _next_maintenance(self, most: int) -> _MaintenanceWrite:
        if self._snapshot_writes:
            return self._snapshot_writes.popleft()
        first = self._removals[0]
        if len(first.changes) > most:
            return first.split_off(most)
        return self._removals.popleft()

    def _maintenance_transaction(self, now: float, most: int) -> Transaction:
        chore = self._next_maintenance(most)
        self._maintenance_sent_at = now
        self._maintenance_in_flight = chore
        self.bucket.level -= len(chore.changes)
        self._maintenance_budget.level = max(
            0.0, self._maintenance_budget.level - len(chore.changes)
        )
        guards = [*self._guards]
        if chore.probe_key == self._meta_key:
            # A copy that arrives late must not bring an older snapshot back.
            guards.append(kv.guard(self._meta_key, self.header_version))
        self._transaction = Transaction(guards, chore.changes, chore.probe_key, chore.mark)
        return self._transaction

    # -- what became of it -------------------------------------------------

    def committed(self, revision: int) -> None:
        """The transaction under way is durable."""
        txn, flying, chore = self._transaction, self._in_flight, self._maintenance_in_flight
        self._transaction = self._in_flight = self._maintenance_in_flight = None
        if txn is None:
            return
        if flying is not None:
            self.next_entry += len(txn.changes)
            for pending in flying:
                if self.on_record_durable is not None and pending.record is not None:
                    self.on_record_durable(pending.record)
                if pending.on_durable is not None:
                    pending.on_durable()
        if chore is not None:
            if chore.probe_key == self._meta_key:
                self.header_version = revision
            if chore.on_durable is not None:
                chore.on_durable()

    # -- snapshots ---------------------------------------------------------

    def start_snapshot(
        self,
        records: list[Record],
        finals: list[list[Any]],
        audit: Callable[[], list[list[Any]]] | None = None,
        audit_pages: int = 0,
    ) -> None:
        """Write the state as of now. The log goes on meanwhile.

        ``records`` describe the state with every record appended so far, so the
        snapshot must come into force after those are durable, and the log that
        follows it must start with the first record appended after now: one that
        shared a key with older ones would be in neither. ``audit`` gives what
        the records up to here say of counted resources, and is therefore asked
        only once all of them are durable; ``audit_pages`` of it are kept.
        """
        self.snapshotting = True

        def write() -> None:
            self._write_snapshot(records, finals, audit() if audit is not None else [], audit_pages)

        if self._queue or self._in_flight is not None:
            self._queue.append(_PendingRecord(None, 0, write, barrier=True))
        else:
            write()

    def _write_snapshot(
        self,
        records: list[Record],
        finals: list[list[Any]],
        audit: list[list[Any]],
        audit_pages: int,
    ) -> None:
        old, covered = self.header, self.log_bytes
        # A deletion that got no answer may be carried out again, seconds later: no key
        # that was ever deleted in this term is written again. The pages of a snapshot
        # that broke off once had the next one's names, and a late copy of their
        # deletion took a page from the snapshot in force.
        generation = max(old.generation, self._max_swept_generation) + 1
        pages = self._pages(records)
        final_pages = self._pages(finals)
        first, following, entries = old.audit_pages
        trail_pages = self._pages(audit)
        in_range = self.prefix
        for key, page in (
            *(
                (snapshot_key(generation, number, in_range), page)
                for number, page in enumerate(pages)
            ),
            *(
                (final_key(old.final_pages + number, in_range), page)
                for number, page in enumerate(final_pages)
            ),
            *(
                (audit_key(following + number, in_range), page)
                for number, page in enumerate(trail_pages)
            ),
        ):
            mark = self._mark()
            value = {"mark": mark, "records": page}
            self._snapshot_writes.append(_MaintenanceWrite([kv.put(key, value)], key, mark))
        new = LogHeader(
            generation,
            len(pages),
            self.next_entry,
            old.final_pages + len(final_pages),
            old.audit_pages,
        )
        if trail_pages:
            following += len(trail_pages)
            first = max(first, following - audit_pages)
            new.audit_pages = (first, following, entries + len(audit))
        mark = self._mark()
        done = _MaintenanceWrite([kv.put(self._meta_key, new.to_value(mark))], self._meta_key, mark)
        done.on_durable = lambda: self._install_snapshot(old, new, covered)
        self._snapshot_writes.append(done)

    def _install_snapshot(self, old: LogHeader, new: LogHeader, covered: int) -> None:
        """The snapshot counts from now on, and with it ``covered`` bytes of the log."""
        self.header = new
        self.snapshotting = False
        self.log_bytes -= covered
        self.remove_keys(
            [log_key(number, self.prefix) for number in range(old.first_entry, new.first_entry)]
            + [snapshot_key(old.generation, page, self.prefix) for page in range(old.pages)]
            + [
                audit_key(page, self.prefix)
                for page in range(old.audit_pages[0], new.audit_pages[0])
            ]
        )

    def remove_keys(self, keys: list[str]) -> None:
        """Delete keys that no snapshot and no log needs any more."""
        pages = self.prefix + SNAPSHOT_PREFIX
        generations = [int(key[len(pages) :][:8]) for key in keys if key.startswith(pages)]
        self._max_swept_generation = max([self._max_swept_generation, *generations])
        for start in range(0, len(keys), self.max_transaction_ops):
            some = keys[start : start + self.max_transaction_ops]
            self._removals.append(_MaintenanceWrite([kv.remove(key) for key in some]))

    def _pages(self, records: list[Record]) -> list[list[Record]]:
        pages: list[list[Record]] = []
        size = self.value_bytes
        for record in records:
            length = json_size(record) + 1
            if size + length > self.value_bytes:
                pages.append([])
                size = 200
            pages[-1].append(record)
            size += length
        return pages
