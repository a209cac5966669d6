"""Sends the write-ahead log's transactions until their outcome is known."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from appleshift.contracts import events
from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.storage.key_value_store import (
    CompareFailedError,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
)
from appleshift.storage.write_ahead_log import Transaction
from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)

RETRY_S = 0.15


@dataclass(frozen=True, slots=True)
class _PendingCommit:
    transaction: Transaction
    term: LeaderTerm


class LogCommitter:
    """One routine for a shard; it has at most one transaction under way."""

    def __init__(
        self,
        store: KeyValueStore,
        post: Callable[[events.Event], None],
        current_term: Callable[[], LeaderTerm | None],
        runtime: Runtime,
        thread_name: str = "commit",
    ) -> None:
        """Post the outcomes with ``post``; give up once ``current_term`` is another one."""
        self._thread_name = thread_name
        self._store = store
        self._post = post
        self._current_term = current_term
        self._runtime = runtime
        self._queue = runtime.queue()
        self._stop = runtime.event()

    def start(self) -> None:
        """Start the routine."""
        self._runtime.spawn(self._thread_name, self._run)

    def stop(self) -> None:
        """End the routine; what is not committed by then stays undecided."""
        self._stop.set()
        self._queue.put(None)

    def enqueue(self, transaction: Transaction, term: LeaderTerm) -> None:
        """Commit a transaction of ``term``; the outcome comes back as an event."""
        self._queue.put(_PendingCommit(transaction, term))

    def _run(self) -> None:
        while True:
            pending = self._queue.get()
            if pending is None:
                return
            self._commit(pending.transaction, pending.term)

    def _commit(self, transaction: Transaction, term: LeaderTerm) -> None:
        """Send a transaction until its outcome is known: its guards let it apply only once."""
        while not self._stop.is_set() and self._current_term() is term:
            try:
                revision = self._store.compare_and_swap(transaction.guards, transaction.changes)
            except CompareFailedError as error:
                if transaction.probe_key and self._already_applied(transaction, term):
                    return
                log.info("commit fenced term=%s failed_guards=%s", term.term_id, error)
                self._post(events.Fenced(term))
                return
            except LeaseExpiredError as error:
                self._refused_as_malformed(term, error)
                return
            except StoreError as error:
                log.debug("commit stalled term=%s error=%s", term.term_id, error)
                self._post(events.CommitStalled(term))
            else:
                self._post(events.CommitSucceeded(term, revision))
                return
            self._stop.wait(RETRY_S)

    def _refused_as_malformed(self, term: LeaderTerm, error: LeaseExpiredError) -> None:
        log.error("commit refused as malformed term=%s error=%s", term.term_id, error)
        self._post(events.Fenced(term))

    def _already_applied(self, transaction: Transaction, term: LeaderTerm) -> bool:
        """Find out whether an earlier copy of the transaction was applied.

        If so, its success is posted. A term that ends meanwhile leaves it undecided.
        """
        while not self._stop.is_set() and self._current_term() is term:
            try:
                item = self._store.get(transaction.probe_key)
            except StoreError as error:
                log.debug("commit outcome unknown term=%s error=%s", term.term_id, error)
                self._stop.wait(RETRY_S)
                continue
            value = None if item is None else item.value
            if item is None or not isinstance(value, dict) or value.get("mark") != transaction.mark:
                return False
            self._post(events.CommitSucceeded(term, item.version))
            return True
        return False
