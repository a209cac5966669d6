"""Bounded thread pool."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Any

from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)


class ThreadPool:
    """Executes calls on up to ``max_threads`` threads, which are started on demand."""

    def __init__(self, runtime: Runtime, name: str, max_threads: int) -> None:
        """Create a pool without threads; ``name`` is used in thread names and log lines."""
        self._runtime = runtime
        self._name = name
        self._max_threads = max_threads
        self._thread_count = 0
        self._idle_threads = 0
        self._lock = threading.Lock()
        self._queued_calls = runtime.queue()
        self._stopped = False

    def submit(self, call: Callable[..., None], *args: Any) -> None:
        """Queue ``call(*args)`` for a thread of the pool; ignored after ``stop``.

        Never blocks. The call's result is discarded, and its exception is logged.
        """
        if self._stopped:
            return
        self._queued_calls.put((call, args))
        with self._lock:
            if (
                self._idle_threads >= self._queued_calls.qsize()
                or self._thread_count >= self._max_threads
            ):
                return
            self._thread_count += 1
            number = self._thread_count
        try:
            self._runtime.spawn(f"{self._name}-{number}", self._run)
        except RuntimeError:
            # The operating system refuses another thread. That must not fail the caller, which
            # is often the scheduler's loop: the call stays queued until a running thread takes
            # it, or until a later call starts a thread.
            with self._lock:
                self._thread_count -= 1
            log.warning("thread pool cannot grow pool=%s threads=%d", self._name, number - 1)

    def stop(self) -> None:
        """Discard the queued calls; running calls end by their own timeouts."""
        self._stopped = True
        for _ in range(self._max_threads):
            self._queued_calls.put(None)

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                self._idle_threads += 1
            entry = self._queued_calls.get()
            with self._lock:
                self._idle_threads -= 1
            if entry is None:
                return
            call, args = entry
            try:
                call(*args)
            except Exception:
                # The thread also serves other callers, so a failed call must not end it.
                log.exception("pooled call failed pool=%s", self._name)
