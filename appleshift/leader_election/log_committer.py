"""Commits write-ahead log transactions, each retried until its outcome is known."""

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
    """Commits a shard's transactions one after the other, in a thread of its own."""

    def __init__(
        self,
        store: KeyValueStore,
        post: Callable[[events.Event], None],
        current_term: Callable[[], LeaderTerm | None],
        runtime: Runtime,
        thread_name: str = "commit",
    ) -> None:
        """Post outcomes with ``post``; give up once ``current_term`` returns another term."""
        self._thread_name = thread_name
        self._store = store
        self._post = post
        self._current_term = current_term
        self._runtime = runtime
        self._queue = runtime.queue()
        self._stop = runtime.event()

    def start(self) -> None:
        """Start the thread."""
        self._runtime.spawn(self._thread_name, self._run)

    def stop(self) -> None:
        """Stop the thread; the outcome of transactions not yet committed stays unknown."""
        self._stop.set()
        self._queue.put(None)

    def enqueue(self, transaction: Transaction, term: LeaderTerm) -> None:
        """Queue a transaction of ``term`` for commit; its outcome is posted as an event."""
        self._queue.put(_PendingCommit(transaction, term))

    def _run(self) -> None:
        while True:
            pending = self._queue.get()
            if pending is None:
                return
            self._commit(pending.transaction, pending.term)

    def _commit(self, transaction: Transaction, term: LeaderTerm) -> None:
        """Retry a transaction until its outcome is known; its guards let it apply only once."""
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
        """Return whether an earlier attempt to commit the transaction was applied.

        If so, post its success. Return False, with unknown outcome, if the term ends first.
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
