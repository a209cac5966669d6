"""The commit duty: sends the journal's transactions until their outcome is known."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from appleshift.contracts import events
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


class LogCommitter:
    """One routine for a share; it has at most one transaction under way."""

    def __init__(
        self,
        store: KeyValueStore,
        post: Callable[[events.Event], None],
        current: Callable[[], Any],
        runtime: Runtime,
        name: str = "commit",
    ) -> None:
        self._name = name
        self._store = store
        self._post = post
        self._current_term = current
        self._runtime = runtime
        self._queue = runtime.queue()
        self._stop = runtime.event()

    def start(self) -> None:
        self._runtime.spawn(self._name, self._run)

    def stop(self) -> None:
        self._stop.set()
        self._queue.put(None)

    def send(self, txn: Transaction, term: Any) -> None:
        self._queue.put((txn, term))

    def _run(self) -> None:
        while True:
            entry = self._queue.get()
            if entry is None:
                return
            self._commit(*entry)

    def _commit(self, txn: Transaction, term: Any) -> None:
        """Send it again and again: its guards make a second execution fail."""
        while not self._stop.is_set() and self._current_term() is term:
            try:
                revision = self._store.compare_and_swap(txn.guards, txn.changes)
                self._post(events.CommitSucceeded(term, revision))
                return
            except CompareFailedError as error:
                if txn.probe_key and self._already_applied(txn, term):
                    return
                log.info("deposed: guards failed on %s", error)
                self._post(events.Fenced(term))
                return
            except LeaseExpiredError as error:
                log.error("the state service calls a transaction malformed: %s", error)
                self._post(events.Fenced(term))
                return
            except StoreError as error:
                log.debug("commit: %s", error)
                self._post(events.CommitStalled(term))
            self._stop.wait(RETRY_S)

    def _already_applied(self, txn: Transaction, term: Any) -> bool:
        """Was it an earlier copy of this transaction that got through?"""
        while not self._stop.is_set() and self._current_term() is term:
            try:
                item = self._store.get(txn.probe_key)
            except StoreError:
                self._stop.wait(RETRY_S)
                continue
            value = None if item is None else item.value
            if item is None or not isinstance(value, dict) or value.get("mark") != txn.mark:
                return False
            self._post(events.CommitSucceeded(term, item.version))
            return True
        return False
