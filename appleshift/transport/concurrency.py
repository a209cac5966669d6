"""Interface to threads, queues, events and clocks.

Nodes start threads, sleep and wait for events only through this interface. Production uses
threads of the operating system. Tests use a runtime that runs the same functions one at a time
on a virtual clock, so that every interleaving can be reproduced.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

THREAD_STACK_BYTES = 256 * 1024
"""Stack size of each thread, in bytes."""


class Queue(Protocol):
    """An unbounded FIFO queue between threads."""

    def put(self, item: Any) -> None:
        """Append an item; never blocks."""
        ...

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        """Remove and return the first item.

        Raises ``queue.Empty`` if there is none within ``timeout`` seconds, or at once if
        ``block`` is false.
        """
        ...

    def get_nowait(self) -> Any:
        """Remove and return the first item; ``queue.Empty`` if there is none."""
        ...

    def qsize(self) -> int:
        """Return the number of queued items."""
        ...


class Event(Protocol):
    """A flag; threads can wait until it is set."""

    def set(self) -> None:
        """Set the flag and wake all waiting threads."""
        ...

    def clear(self) -> None:
        """Clear the flag."""
        ...

    def is_set(self) -> bool:
        """Whether the flag is set."""
        ...

    def wait(self, timeout: float | None = None) -> bool:
        """Block until the flag is set; False if it is not set within ``timeout`` seconds."""
        ...


class Runtime(Protocol):
    """Threads, queues, events and clocks used by a node."""

    def now(self) -> float:
        """Return seconds of a monotonic clock."""
        ...

    def wall_time(self) -> float:
        """Return the Unix time in seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for a number of seconds."""
        ...

    def queue(self) -> Queue:
        """Create an empty queue."""
        ...

    def event(self) -> Event:
        """Create an event that is not set."""
        ...

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        """Run ``target(*args)`` in a new thread; RuntimeError if no thread can be started."""
        ...


class ThreadRuntime:
    """Runtime of a real process: threads and clocks of the operating system."""

    def __init__(self) -> None:
        """Set the stack size of all threads that the process starts later."""
        # Hundreds of connections have one thread each; with the default stack size those
        # threads would need too much memory.
        threading.stack_size(THREAD_STACK_BYTES)

    now = staticmethod(time.monotonic)
    wall_time = staticmethod(time.time)
    sleep = staticmethod(time.sleep)

    def queue(self) -> Queue:
        """Create an empty queue."""
        return queue.SimpleQueue()

    def event(self) -> Event:
        """Create an event that is not set."""
        return threading.Event()

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        """Run ``target(*args)`` in a daemon thread; RuntimeError if no thread can be started."""
        threading.Thread(target=target, args=args, name=name, daemon=True).start()
