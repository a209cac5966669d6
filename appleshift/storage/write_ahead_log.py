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

META = "meta"
LOG = "log/"
SNAP = "snap/"
FINAL = "final/"
AUDIT = "audit/"
TXN_BYTES = 60 * 1024
"""Below the service's 64 KiB, to leave room for guards and framing."""

IDLE_SHARE = 0.6
"""What can wait is written at once while so much of a second's writes is unused,"""
CHORE_SHARE = 0.3
"""and gets so much of all writes however many records come. When it got none, the last
snapshot of a minute of small jobs took as long as the jobs came, and the log grew."""
CHORE_GAP_S = 0.25
"""Records wait for one such write at a time, and not for another so soon: when a whole burst
of pages went before them, users waited for their sum."""
CLEAN_UP_SHARE, CLEAN_UP_GAP_S = 0.5, 0.1
MOST_REMOVALS = 200
"""With more keys than this to be removed, chores get so much: a key that is written costs
another write to remove, so with less, keys would pile up for as long as records come."""

Record = list[Any]


def share_prefix(share: int) -> str:
    """Start of all keys of a share."""
    return f"share/{share:04d}/" if share else ""


def log_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{LOG}{number:012d}"


def snap_key(generation: int, page: int, prefix: str = "") -> str:
    return f"{prefix}{SNAP}{generation:08d}/{page:06d}"


def final_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{FINAL}{number:08d}"


def audit_key(number: int, prefix: str = "") -> str:
    return f"{prefix}{AUDIT}{number:08d}"


@dataclass(slots=True)
class Bucket:
    """A rate with bursts of one second's worth."""

    rate: float
    level: float = 0.0
    at: float = 0.0

    def fill(self, now: float) -> float:
        if now > self.at:
            self.level = min(self.rate, self.level + (now - self.at) * self.rate)
            self.at = now
        return self.level


@dataclass(slots=True)
class Txn:
    """A transaction to send, and to send again until its outcome is known."""

    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]
    probe: str
    """The key whose presence, with ``mark`` in it, shows that it was applied."""
    mark: str


@dataclass(slots=True)
class Meta:
    generation: int = 0
    pages: int = 0
    log_from: int = 1
    finals: int = 0
    audit: tuple[int, int, int] = (0, 0, 0)
    """First page kept, next page, and how many entries all pages ever held."""

    def value(self, mark: str) -> dict[str, Any]:
        value = {
            "generation": self.generation,
            "pages": self.pages,
            "log_from": self.log_from,
            "finals": self.finals,
            "mark": mark,
        }
        return {**value, "audit": list(self.audit)} if self.audit[1] else value


@dataclass(slots=True)
class _Pending:
    record: Record | None
    size: int
    then: Callable[[], None] | None
    barrier: bool = False
    """Nothing appended later may share its transaction."""


@dataclass(slots=True)
class _Chore:
    """A change that can wait: snapshot pages and deletes."""

    changes: list[dict[str, Any]]
    probe: str = ""
    mark: str = ""
    then: Callable[[], None] | None = None

    def take(self, most: int) -> _Chore:
        """The first changes of a clean-up, which may be made in any number of parts."""
        taken, self.changes = self.changes[:most], self.changes[most:]
        return _Chore(taken)


@dataclass
class Journal:
    """What is to be written, in order."""

    leader_key: str
    leader_version: int
    term_mark: str
    write_rps: float
    value_bytes: int
    txn_ops: int
    meta: Meta
    meta_version: int
    next_log: int
    now: float = 0.0
    prefix: str = ""
    also_guard: tuple[tuple[str, int], ...] = ()
    """Keys, and their versions, that must not have changed either."""
    log_bytes: int = 0
    bucket: Bucket = field(init=False)
    _queue: deque[_Pending] = field(default_factory=deque)
    _chores: deque[_Chore] = field(default_factory=deque)
    """Pages of a snapshot, and what makes it count."""
    _removals: deque[_Chore] = field(default_factory=deque)
    """Clean-up, which no snapshot waits for."""
    _chore_at: float = float("-inf")
    """When a chore was sent last."""
    _credit: Bucket = field(init=False)
    """Writes that chores may make although records wait."""
    _flying: list[_Pending] | None = None
    _flying_chore: _Chore | None = None
    _txn: Txn | None = None
    _serial: int = 0
    _waiting_bytes: int = 0
    _spent: int = 0
    """The newest generation of a snapshot of which pages are being deleted."""
    snapshotting: bool = False
    watch: Callable[[Record], None] | None = None
    """Is shown each record once it is durable, in the order of the log."""

    def __post_init__(self) -> None:
        self._meta_key = self.prefix + META
        guarded = ((self.leader_key, self.leader_version), *self.also_guard)
        self._guards = [kv.guard(key, version) for key, version in guarded]
        # The limit is the service's, not ours alone: a leader before us may
        # have spent this second's burst.
        self.bucket = Bucket(self.write_rps, self.write_rps * 0.5, self.now)
        self._credit = Bucket(self.write_rps * CHORE_SHARE, 0.0, self.now)

    # -- what is to be written -------------------------------------------

    def append(self, record: Record | None, then: Callable[[], None] | None = None) -> None:
        """Write a record; ``then`` runs once it is durable.

        Without a record, ``then`` runs once everything before it is durable.
        """
        if record is None and not self._queue and self._flying is None:
            if then is not None:
                then()
            return
        size = 0 if record is None else json_size(record) + 1
        if size > self.value_bytes - 200:
            raise ValueError(f"record of {size} bytes does not fit a value")
        self._queue.append(_Pending(record, size, then))
        self._waiting_bytes += size

    def fits(self, record: Record) -> bool:
        return json_size(record) + 1 <= self.value_bytes - 200

    def backlog(self) -> int:
        return len(self._queue) + len(self._flying or ())

    def lag_s(self) -> float:
        """How long writing what waits takes at the service's rate."""
        return self._waiting_bytes / (self.value_bytes * self.write_rps)

    def _mark(self) -> str:
        self._serial += 1
        return f"{self.term_mark}.{self._serial}"

    def settled(self) -> bool:
        """Nothing that matters waits or is under way."""
        return not self._queue and self._txn is None

    def set_rate(self, write_rps: float) -> None:
        """From now on this much of the service's write budget."""
        self.write_rps = self.bucket.rate = write_rps

    def next_txn(self, now: float) -> Txn | None:
        """The transaction to send now, if the budget allows one."""
        if self._txn is not None:
            return None
        level = self.bucket.fill(now)
        while self._queue and self._queue[0].record is None:
            then = self._queue.popleft().then
            if then is not None:
                then()
        chores = self._chores or self._removals
        behind = sum(len(chore.changes) for chore in self._removals) > MOST_REMOVALS
        self._credit.rate = self.write_rps * (CLEAN_UP_SHARE if behind else CHORE_SHARE)
        credit = min(level, self._credit.fill(now))
        gap_s = CLEAN_UP_GAP_S if behind else CHORE_GAP_S
        due = not self._queue or now - self._chore_at >= gap_s
        if chores and due and credit >= 1.0:
            return self._chore_txn(now, int(credit))
        if self._queue:
            return self._log_txn(level)
        if chores and level >= max(1.0, self.write_rps * IDLE_SHARE):
            return self._chore_txn(now, self.txn_ops)
        return None

    def _log_txn(self, level: float) -> Txn | None:
        most = min(self.txn_ops, int(level))
        if most < 1:
            return None
        mark = self._mark()
        flying: list[_Pending] = []
        changes: list[dict[str, Any]] = []
        total = 0
        open_ended = True
        while open_ended and self._queue and len(changes) < most:
            if total + self.value_bytes > TXN_BYTES:
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
                    self._waiting_bytes -= pending.size
            value = {"mark": mark, "records": records}
            key = log_key(self.next_log + len(changes), self.prefix)
            changes.append(kv.put(key, value))
            total += size
        first = log_key(self.next_log, self.prefix)
        self._flying = flying
        self.bucket.level -= len(changes)
        self.log_bytes += total
        # The first key must be new: a copy of this transaction that arrives
        # after its twin was applied then fails.
        guards = [*self._guards, kv.guard(first, 0)]
        self._txn = Txn(guards, changes, first, mark)
        return self._txn

    def _next_chore(self, most: int) -> _Chore:
        if self._chores:
            return self._chores.popleft()
        first = self._removals[0]
        if len(first.changes) > most:
            return first.take(most)
        return self._removals.popleft()

    def _chore_txn(self, now: float, most: int) -> Txn:
        chore = self._next_chore(most)
        self._chore_at = now
        self._flying_chore = chore
        self.bucket.level -= len(chore.changes)
        self._credit.level = max(0.0, self._credit.level - len(chore.changes))
        guards = [*self._guards]
        if chore.probe == self._meta_key:
            # A copy that arrives late must not bring an older snapshot back.
            guards.append(kv.guard(self._meta_key, self.meta_version))
        self._txn = Txn(guards, chore.changes, chore.probe, chore.mark)
        return self._txn

    # -- what became of it -------------------------------------------------

    def committed(self, revision: int) -> None:
        """The transaction under way is durable."""
        txn, flying, chore = self._txn, self._flying, self._flying_chore
        self._txn = self._flying = self._flying_chore = None
        if txn is None:
            return
        if flying is not None:
            self.next_log += len(txn.changes)
            for pending in flying:
                if self.watch is not None and pending.record is not None:
                    self.watch(pending.record)
                if pending.then is not None:
                    pending.then()
        if chore is not None:
            if chore.probe == self._meta_key:
                self.meta_version = revision
            if chore.then is not None:
                chore.then()

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

        if self._queue or self._flying is not None:
            self._queue.append(_Pending(None, 0, write, barrier=True))
        else:
            write()

    def _write_snapshot(
        self,
        records: list[Record],
        finals: list[list[Any]],
        audit: list[list[Any]],
        audit_pages: int,
    ) -> None:
        old, covered = self.meta, self.log_bytes
        # A deletion that got no answer may be carried out again, seconds later: no key
        # that was ever deleted in this term is written again. The pages of a snapshot
        # that broke off once had the next one's names, and a late copy of their
        # deletion took a page from the snapshot in force.
        generation = max(old.generation, self._spent) + 1
        pages = self._pages(records)
        final_pages = self._pages(finals)
        first, following, entries = old.audit
        trail_pages = self._pages(audit)
        in_range = self.prefix
        for key, page in (
            *((snap_key(generation, number, in_range), page) for number, page in enumerate(pages)),
            *(
                (final_key(old.finals + number, in_range), page)
                for number, page in enumerate(final_pages)
            ),
            *(
                (audit_key(following + number, in_range), page)
                for number, page in enumerate(trail_pages)
            ),
        ):
            mark = self._mark()
            value = {"mark": mark, "records": page}
            self._chores.append(_Chore([kv.put(key, value)], key, mark))
        new = Meta(generation, len(pages), self.next_log, old.finals + len(final_pages), old.audit)
        if trail_pages:
            following += len(trail_pages)
            first = max(first, following - audit_pages)
            new.audit = (first, following, entries + len(audit))
        mark = self._mark()
        done = _Chore([kv.put(self._meta_key, new.value(mark))], self._meta_key, mark)
        done.then = lambda: self._adopt(old, new, covered)
        self._chores.append(done)

    def _adopt(self, old: Meta, new: Meta, covered: int) -> None:
        """The snapshot counts from now on, and with it ``covered`` bytes of the log."""
        self.meta = new
        self.snapshotting = False
        self.log_bytes -= covered
        self.sweep(
            [log_key(number, self.prefix) for number in range(old.log_from, new.log_from)]
            + [snap_key(old.generation, page, self.prefix) for page in range(old.pages)]
            + [audit_key(page, self.prefix) for page in range(old.audit[0], new.audit[0])]
        )

    def sweep(self, keys: list[str]) -> None:
        """Delete keys that no snapshot and no log needs any more."""
        pages = self.prefix + SNAP
        generations = [int(key[len(pages) :][:8]) for key in keys if key.startswith(pages)]
        self._spent = max([self._spent, *generations])
        for start in range(0, len(keys), self.txn_ops):
            some = keys[start : start + self.txn_ops]
            self._removals.append(_Chore([kv.remove(key) for key in some]))

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
