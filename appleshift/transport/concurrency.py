"""Routines, queues, events and clocks, behind one small interface.

Every duty blocks only through what is defined here. On machines that is the
operating system's threads; a test passes its own, which run the same duties
one at a time on a virtual clock, so that any interleaving can be replayed.
"""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

log = logging.getLogger(__name__)

STACK_BYTES = 256 * 1024


class Queue(Protocol):
    """A queue; ``get`` raises ``queue.Empty`` when the time runs out."""

    def put(self, item: Any) -> None: ...

    def get(self, block: bool = True, timeout: float | None = None) -> Any: ...

    def get_nowait(self) -> Any: ...

    def qsize(self) -> int: ...


class Event(Protocol):
    """An event that routines can wait for."""

    def set(self) -> None: ...

    def clear(self) -> None: ...

    def is_set(self) -> bool: ...

    def wait(self, timeout: float | None = None) -> bool: ...


class Runtime(Protocol):
    """What a node's routines run on."""

    def now(self) -> float:
        """The steady clock."""
        ...

    def wall_time(self) -> float:
        """Time of day."""
        ...

    def sleep(self, seconds: float) -> None: ...

    def queue(self) -> Queue: ...

    def event(self) -> Event: ...

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None: ...


class ThreadRuntime:
    """Routines as threads of the operating system."""

    def __init__(self) -> None:
        # Hundreds of connections have one each: the default stacks are too large.
        threading.stack_size(STACK_BYTES)

    now = staticmethod(time.monotonic)
    wall_time = staticmethod(time.time)
    sleep = staticmethod(time.sleep)

    def queue(self) -> Queue:
        return queue.SimpleQueue()

    def event(self) -> Event:
        return threading.Event()

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        threading.Thread(target=target, args=args, name=name, daemon=True).start()


class ThreadPool:
    """A bounded set of routines that carry out calls; started when needed."""

    def __init__(self, runtime: Runtime, name: str, size: int) -> None:
        self._runtime = runtime
        self._name = name
        self._size = size
        self._started = 0
        self._idle = 0
        self._lock = threading.Lock()
        self._calls = runtime.queue()
        self._stopped = False

    def submit(self, call: Callable[..., None], *args: Any) -> None:
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
            # No more threads to be had. Whoever submits, often the core, goes on; the
            # call waits for a routine that there is, or for the next one's try.
            with self._lock:
                self._started -= 1
            log.warning("%s: no thread for another routine, %d run", self._name, number - 1)

    def stop(self) -> None:
        """Drop what waits; calls under way end by their timeouts."""
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
                # A routine of a pool serves others too: it goes on.
                log.exception("%s failed", self._name)


class RateLimiter:
    """Keeps calls below a rate with bursts of one second's worth."""

    def __init__(self, runtime: Runtime, rate: float) -> None:
        self._runtime = runtime
        self._rate = rate
        self._level = rate
        self._at = runtime.now()
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Take one call's worth, if there is any."""
        return self._wait_s() == 0.0

    def acquire(self) -> None:
        """Take one call's worth, waiting for it if need be."""
        while missing := self._wait_s():
            self._runtime.sleep(missing)

    def _wait_s(self) -> float:
        """0 with one call's worth taken, else how long it takes to come."""
        with self._lock:
            now = self._runtime.now()
            self._level = min(self._rate, self._level + (now - self._at) * self._rate)
            self._at = now
            # The level fills in floating point: it may miss 1 by a hair.
            if self._level >= 1.0 - 1e-9:
                self._level -= 1.0
                return 0.0
            return (1.0 - self._level) / self._rate
