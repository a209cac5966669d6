"""Threads, queues, events and clocks behind one small interface.

Everything in the package that blocks does so only through what is defined here. In
production these are the operating system's threads; a test passes its own runtime, which
runs the same functions one at a time on a virtual clock, so that any interleaving can be
replayed.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

THREAD_STACK_BYTES = 256 * 1024
"""Size of each thread's stack."""


class Queue(Protocol):
    """An unbounded first-in, first-out queue between threads."""

    def put(self, item: Any) -> None:
        """Append an item; never blocks."""
        ...

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        """Remove the first item; ``queue.Empty`` if none comes within ``timeout`` seconds."""
        ...

    def get_nowait(self) -> Any:
        """Remove the first item; ``queue.Empty`` if there is none."""
        ...

    def qsize(self) -> int:
        """Count the items that wait."""
        ...


class Event(Protocol):
    """A flag that threads can wait for."""

    def set(self) -> None:
        """Raise the flag and wake all who wait for it."""
        ...

    def clear(self) -> None:
        """Lower the flag."""
        ...

    def is_set(self) -> bool:
        """Whether the flag is raised."""
        ...

    def wait(self, timeout: float | None = None) -> bool:
        """Block until the flag is raised; False if it isn't after ``timeout`` seconds."""
        ...


class Runtime(Protocol):
    """The threads and clocks that a node runs on."""

    def now(self) -> float:
        """Seconds on a monotonic clock."""
        ...

    def wall_time(self) -> float:
        """Time of day in seconds since 1970."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        ...

    def queue(self) -> Queue:
        """Make an empty queue."""
        ...

    def event(self) -> Event:
        """Make an event that is not set."""
        ...

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        """Run ``target(*args)`` in a new thread; RuntimeError if there can be no more."""
        ...


class ThreadRuntime:
    """The operating system's threads and clocks."""

    def __init__(self) -> None:
        """Set the stack size of all threads that the process starts from now on."""
        # Hundreds of connections have a thread each: the default stacks are too large.
        threading.stack_size(THREAD_STACK_BYTES)

    now = staticmethod(time.monotonic)
    wall_time = staticmethod(time.time)
    sleep = staticmethod(time.sleep)

    def queue(self) -> Queue:
        """Make an empty queue."""
        return queue.SimpleQueue()

    def event(self) -> Event:
        """Make an event that is not set."""
        return threading.Event()

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        """Run ``target(*args)`` in a daemon thread; RuntimeError if there can be no more."""
        threading.Thread(target=target, args=args, name=name, daemon=True).start()
