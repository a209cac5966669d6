"""Maintenance writes of the log: snapshot pages, and the removal of obsolete keys.

Maintenance shares the write rate of the key-value store with the records that users
wait for. The queue decides when a maintenance write is sent before waiting records.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.protocol import kv
from appleshift.storage.token_bucket import TokenBucket

IDLE_SHARE = 0.6
"""While no records wait, maintenance writes are sent if at least this share of the writes of
one second is available."""
MAINTENANCE_SHARE = 0.3
"""Share of all writes reserved for maintenance, however many records wait. Without it, a
snapshot during a minute of small jobs took until the jobs stopped arriving, and the log
grew."""
MAINTENANCE_INTERVAL_S = 0.25
"""Minimum seconds between two maintenance writes that are sent before waiting records. When a
burst of snapshot pages was sent before the records, users waited for all those writes."""
CLEAN_UP_SHARE = 0.5
"""Share of all writes reserved for maintenance while too many removals are pending."""
CLEAN_UP_INTERVAL_S = 0.1
"""Minimum seconds between two maintenance writes while too many removals are pending."""
MAX_PENDING_REMOVALS = 200
"""Number of keys to remove above which maintenance gets the larger share. Each key written
costs another write to remove, so at the smaller share obsolete keys would accumulate as long
as records arrive."""


@dataclass(slots=True)
class MaintenanceWrite:
    """A deferrable write: a snapshot page, the log header, or removals of keys."""

    changes: list[dict[str, Any]]
    probe_key: str = ""
    """As in ``Transaction``; empty if the write may safely be executed twice."""
    mark: str = ""
    """As in ``Transaction``."""
    on_durable: Callable[[], None] | None = None

    def split_off(self, count: int) -> MaintenanceWrite:
        """Split off the first ``count`` removals; removals may be sent in several transactions."""
        first, self.changes = self.changes[:count], self.changes[count:]
        return MaintenanceWrite(first)


class MaintenanceQueue:
    """Maintenance writes in order, with their share of the write rate.

    Snapshot writes are sent before removals, since no snapshot depends on removals.
    """

    def __init__(self, write_rps: float, now: float) -> None:
        """Create an empty queue with no tokens available."""
        self.snapshot_writes: deque[MaintenanceWrite] = deque()
        self.removals: deque[MaintenanceWrite] = deque()
        self._sent_at = float("-inf")
        self._budget = TokenBucket(write_rps * MAINTENANCE_SHARE, 0.0, now)

    def has_writes(self) -> bool:
        """Return whether any maintenance write waits."""
        return bool(self.snapshot_writes or self.removals)

    def remove_keys(self, keys: list[str], max_changes: int) -> None:
        """Queue the removal of keys, at most ``max_changes`` keys per transaction."""
        for start in range(0, len(keys), max_changes):
            batch = keys[start : start + max_changes]
            self.removals.append(MaintenanceWrite([kv.remove(key) for key in batch]))

    def allowed_changes(
        self, now: float, write_rps: float, available: float, records_wait: bool
    ) -> int:
        """Return how many maintenance changes may be sent before waiting records now.

        ``available`` is the number of changes that the store's rate limit allows now.
        """
        behind = sum(len(write.changes) for write in self.removals) > MAX_PENDING_REMOVALS
        self._budget.rate = write_rps * (CLEAN_UP_SHARE if behind else MAINTENANCE_SHARE)
        credit = min(available, self._budget.refill(now))
        interval_s = CLEAN_UP_INTERVAL_S if behind else MAINTENANCE_INTERVAL_S
        due = not records_wait or now - self._sent_at >= interval_s
        return int(credit) if due and self.has_writes() else 0

    def pop(self, now: float, max_changes: int) -> MaintenanceWrite:
        """Remove the next write from the queue and deduct its changes from the budget."""
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
