"""Virtual time for simulations: threads of which exactly one runs at a time.

``Simulation`` resumes threads and calls callbacks in the order of their times, so a run depends on
its seed alone. Nodes run on ``SimulatedRuntime``, which has the interface of the real runtime.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import random
import threading
from collections import deque
from collections.abc import Callable
from typing import Any


class Killed(BaseException):
    """Ends a thread whose process was killed; ``except Exception`` does not catch it."""


class Simulation:
    """The virtual clock in seconds, the pending callbacks and the running thread."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._yielded = threading.Semaphore(0)
        self.current: SimulatedThread | None = None

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        heapq.heappush(self._heap, (self.now + max(0.0, delay), next(self._count), call))

    def run(self, until: float, after_each: Callable[[], None] | None = None) -> None:
        """Run all callbacks due until a time; call ``after_each`` after each of them."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
            if after_each is not None:
                after_each()
        self.now = until

    def resume(self, thread: SimulatedThread) -> None:
        """Let a thread run until it blocks or ends."""
        before, self.current = self.current, thread
        thread.may_run.release()
        self._yielded.acquire()
        self.current = before

    def yield_control(self) -> None:
        """Return control from the running thread to ``resume``."""
        self._yielded.release()


class SimulatedThread:
    """A thread of a simulated process; it runs only between ``resume`` and its next wait."""

    def __init__(
        self, sim: Simulation, owner: SimulatedRuntime, name: str, call: Callable[[], None]
    ) -> None:
        self.sim = sim
        self.owner = owner
        self.may_run = threading.Semaphore(0)
        self.ended = False
        self.wait_number = 0
        self.call = call
        self.thread = threading.Thread(target=self._main, name=name, daemon=True)
        self.thread.start()
        sim.after(0.0, lambda: self.wake(0))

    def _main(self) -> None:
        self.may_run.acquire()
        try:
            if not self.owner.dead:
                self.call()
        except Killed:
            pass
        except BaseException as error:
            self.owner.failures.append(error)
        finally:
            self.ended = True
            self.owner.threads.pop(self, None)
            self.sim.yield_control()

    def block(self) -> None:
        """Yield control until this thread is woken; raise ``Killed`` if its process was killed."""
        self.sim.yield_control()
        self.may_run.acquire()
        if self.owner.dead:
            raise Killed

    def wake(self, wait_number: int) -> None:
        """Resume the thread if it is still in the wait with this number."""
        if not self.ended and wait_number == self.wait_number:
            if self.owner.frozen_until > self.sim.now and not self.owner.dead:
                # A frozen process does not run, but clocks advance and messages arrive.
                left = self.owner.frozen_until - self.sim.now
                self.sim.after(left, lambda: self.wake(wait_number))
                return
            self.wait_number += 1
            self.sim.resume(self)


class SimulatedQueue:
    """The queue of a simulated process, with the interface of ``queue.SimpleQueue``."""

    def __init__(self, owner: SimulatedRuntime) -> None:
        self._owner = owner
        self._items: deque[Any] = deque()
        self._waiting: deque[tuple[SimulatedThread, int]] = deque()

    def put(self, item: Any) -> None:
        self._items.append(item)
        if self._waiting:
            thread, wait_number = self._waiting.popleft()
            self._owner.sim.after(0.0, lambda: thread.wake(wait_number))

    def get_nowait(self) -> Any:
        if not self._items:
            raise queue.Empty
        item = self._items.popleft()
        self._owner.use_processor()
        return item

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        deadline = None if timeout is None else self._owner.sim.now + timeout
        while not self._items:
            if not block or (deadline is not None and self._owner.sim.now >= deadline - 1e-9):
                raise queue.Empty
            entry = self._owner.prepare_wait(deadline)
            self._waiting.append(entry)
            entry[0].block()
            if entry in self._waiting:
                self._waiting.remove(entry)
        item = self._items.popleft()
        self._owner.use_processor()
        return item

    def qsize(self) -> int:
        return len(self._items)


class SimulatedEvent:
    """The event of a simulated process, with the interface of ``threading.Event``."""

    def __init__(self, owner: SimulatedRuntime) -> None:
        self._owner = owner
        self._set = False
        self._waiting: list[tuple[SimulatedThread, int]] = []

    def set(self) -> None:
        self._set = True
        for thread, wait_number in self._waiting:
            self._owner.sim.after(
                0.0, lambda thread=thread, wait_number=wait_number: thread.wake(wait_number)
            )
        self._waiting.clear()

    def clear(self) -> None:
        self._set = False

    def is_set(self) -> bool:
        return self._set

    def wait(self, timeout: float | None = None) -> bool:
        if not self._set:
            deadline = None if timeout is None else self._owner.sim.now + timeout
            entry = self._owner.prepare_wait(deadline)
            self._waiting.append(entry)
            entry[0].block()
            if entry in self._waiting:
                self._waiting.remove(entry)
            self._owner.use_processor()
        return self._set


class SimulatedRuntime:
    """The runtime of one simulated process. Its clock drifts by up to 0.05 percent."""

    def __init__(self, sim: Simulation, name: str) -> None:
        self.sim = sim
        self.name = name
        self.dead = False
        # Ordered by start, so that a kill ends the threads in a reproducible order.
        self.threads: dict[SimulatedThread, None] = {}
        self.failures: list[BaseException] = []
        # Seconds of the process's only processor that each step of a thread takes.
        self.step_cost_s = 0.0
        self._busy_until = 0.0
        self.frozen_until = 0.0
        self._rate = 1.0 + sim.rng.uniform(0.0, 0.0005)
        self._offset = sim.rng.uniform(0.0, 1000.0)
        self._wall_offset = sim.rng.uniform(-0.005, 0.005)

    def now(self) -> float:
        return self._offset + self.sim.now * self._rate

    def wall_time(self) -> float:
        return 1.7e9 + self.sim.now + self._wall_offset

    def mailbox_for_request(self) -> SimulatedQueue:
        """Return a queue for a response; a killed process must not send requests any more."""
        if self.dead:
            raise Killed
        return SimulatedQueue(self)

    def prepare_wait(self, deadline: float | None) -> tuple[SimulatedThread, int]:
        if self.dead:
            raise Killed
        thread = self.sim.current
        assert thread is not None, "only simulated threads may block"
        wait_number = thread.wait_number
        if deadline is not None:
            self.sim.after(deadline - self.sim.now, lambda: thread.wake(wait_number))
        return thread, wait_number

    def sleep(self, seconds: float) -> None:
        thread, _ = self.prepare_wait(self.sim.now + max(seconds, 1e-6))
        thread.block()
        self.use_processor()

    def use_processor(self) -> None:
        """Wait for the processor, in the order of the calls, and use it for one step."""
        if self.step_cost_s <= 0.0:
            return
        self._busy_until = max(self.sim.now, self._busy_until) + self.step_cost_s
        thread, _ = self.prepare_wait(self._busy_until)
        thread.block()

    def queue(self) -> SimulatedQueue:
        return SimulatedQueue(self)

    def event(self) -> SimulatedEvent:
        return SimulatedEvent(self)

    def spawn(self, name: str, target: Callable[..., None], *args: Any) -> None:
        if self.dead:
            raise Killed
        thread = SimulatedThread(self.sim, self, f"{self.name}-{name}", lambda: target(*args))
        self.threads[thread] = None

    def kill(self) -> None:
        """End the process; its threads get no chance to clean up."""
        self.dead = True
        for thread in list(self.threads):
            thread.wait_number += 1
            self.sim.resume(thread)
