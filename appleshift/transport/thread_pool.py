"""A bounded pool of threads that carries out calls."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Any

from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)


class ThreadPool:
    """At most ``size`` threads that carry out calls; each is started when it is needed."""

    def __init__(self, runtime: Runtime, name: str, size: int) -> None:
        """``name`` begins the names of the threads and stands in log lines."""
        self._runtime = runtime
        self._name = name
        self._size = size
        self._started = 0
        self._idle = 0
        self._lock = threading.Lock()
        self._calls = runtime.queue()
        self._stopped = False

    def submit(self, call: Callable[..., None], *args: Any) -> None:
        """Have a thread execute ``call(*args)``; ignored once the pool is stopped.

        Never blocks. Its result is dropped; an exception is logged.
        """
        if self._stopped:
            return
        self._calls.put((call, args))
        with self._lock:
            if self._idle >= self._calls.qsize() or self._started >= self._size:
                return
            self._started += 1
            number = self._started
        try:
            self._runtime.spawn(f"{self._name}-{number}", self._run)
        except RuntimeError:
            # The operating system grants no more threads. The caller, often the scheduler's
            # loop, must not fail for it: the call waits for a thread that is running, or for
            # the next call that tries to start one.
            with self._lock:
                self._started -= 1
            log.warning("thread pool cannot grow pool=%s threads=%d", self._name, number - 1)

    def stop(self) -> None:
        """Drop the calls that wait; those under way end by their own timeouts."""
        self._stopped = True
        for _ in range(self._size):
            self._calls.put(None)

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                self._idle += 1
            entry = self._calls.get()
            with self._lock:
                self._idle -= 1
            if entry is None:
                return
            call, args = entry
            try:
                call(*args)
            except Exception:
                # The thread serves other callers as well, so one failed call must not end it.
                log.exception("pooled call failed pool=%s", self._name)
