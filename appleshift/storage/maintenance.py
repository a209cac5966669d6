"""Deferred writes of the log: pages of snapshots, and the removal of obsolete keys.

They share the write rate of the key-value store with the records that users wait
for. The queue decides when a deferred write goes before waiting records.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.protocol import kv
from appleshift.storage.token_bucket import TokenBucket

IDLE_SHARE = 0.6
"""Without waiting records, maintenance runs while this part of a second's writes is unused."""
MAINTENANCE_SHARE = 0.3
"""Part of all writes that maintenance gets however many records wait. When it got none, the
last snapshot of a minute of small jobs took as long as the jobs came, and the log grew."""
MAINTENANCE_INTERVAL_S = 0.25
"""Least time in seconds between two maintenance writes that go before waiting records. When a
burst of snapshot pages went before them, users waited for the sum of those writes."""
CLEAN_UP_SHARE = 0.5
"""Part of all writes that maintenance gets while removals are behind."""
CLEAN_UP_GAP_S = 0.1
"""Least time in seconds between two maintenance writes while removals are behind."""
MAX_PENDING_REMOVALS = 200
"""With more keys than this to be removed, removals are behind. A key that is written costs
another write to remove, so at the lower share keys would pile up as long as records come."""


@dataclass(slots=True)
class MaintenanceWrite:
    """A write that can wait: a snapshot page, the header, or removals."""

    changes: list[dict[str, Any]]
    probe_key: str = ""
    """As in ``Transaction``; empty if a second execution does no harm."""
    mark: str = ""
    on_durable: Callable[[], None] | None = None

    def split_off(self, count: int) -> MaintenanceWrite:
        """Split off the first removals, which may be carried out in any number of parts."""
        first, self.changes = self.changes[:count], self.changes[count:]
        return MaintenanceWrite(first)


class MaintenanceQueue:
    """Deferred writes in order, with their part of the write budget.

    Pages of a snapshot go before removals, which no snapshot waits for.
    """

    def __init__(self, write_rps: float, now: float) -> None:
        """Start empty, with no tokens saved up."""
        self.snapshot_writes: deque[MaintenanceWrite] = deque()
        self.removals: deque[MaintenanceWrite] = deque()
        self._sent_at = float("-inf")
        self._budget = TokenBucket(write_rps * MAINTENANCE_SHARE, 0.0, now)

    def has_writes(self) -> bool:
        """Return whether anything waits."""
        return bool(self.snapshot_writes or self.removals)

    def remove_keys(self, keys: list[str], max_changes: int) -> None:
        """Queue the removal of keys, ``max_changes`` of them a transaction."""
        for start in range(0, len(keys), max_changes):
            batch = keys[start : start + max_changes]
            self.removals.append(MaintenanceWrite([kv.remove(key) for key in batch]))

    def allowed_changes(
        self, now: float, write_rps: float, available: float, records_wait: bool
    ) -> int:
        """Return how many changes may go before waiting records now.

        ``available`` is what the store's rate limit allows in this moment.
        """
        behind = sum(len(write.changes) for write in self.removals) > MAX_PENDING_REMOVALS
        self._budget.rate = write_rps * (CLEAN_UP_SHARE if behind else MAINTENANCE_SHARE)
        credit = min(available, self._budget.refill(now))
        gap_s = CLEAN_UP_GAP_S if behind else MAINTENANCE_INTERVAL_S
        due = not records_wait or now - self._sent_at >= gap_s
        return int(credit) if due and self.has_writes() else 0

    def pop(self, now: float, max_changes: int) -> MaintenanceWrite:
        """Take the next write off the queue and charge it to the budget."""
        write = self._pop_next(max_changes)
        self._sent_at = now
        self._budget.level = max(0.0, self._budget.level - len(write.changes))
        return write

    def _pop_next(self, max_changes: int) -> MaintenanceWrite:
        if self.snapshot_writes:
            return self.snapshot_writes.popleft()
        first = self.removals[0]
        if len(first.changes) > max_changes:
            return first.split_off(max_changes)
        return self.removals.popleft()
