"""What the parts of the core may use of it and of each other.

The core owns its parts and hands itself to them. They depend on these small
protocols rather than on its class, so that imports go one way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from appleshift.bookkeeping.journal import Journal
from appleshift.bookkeeping.records import Record
from appleshift.bookkeeping.tables import Machine, Run, Tables
from appleshift.coordination.outgoing.effects import Effect
from appleshift.coordination.placing.aims import Aims
from appleshift.coordination.placing.counted import Seats
from appleshift.coordination.placing.placement import Shortage
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.protocol.workers import Report


class Authority(Protocol):
    """What this node may do right now, by its own clock."""

    def may_write(self, now: float) -> bool:
        """The leadership lease certainly holds."""
        ...

    def may_answer(self, now: float) -> bool:
        """No other node can lead: by the lease, or by every sibling's pledge."""
        ...


class Term(Protocol):
    """The core of one term, as its parts see it."""

    settings: Settings
    operator: OperatorSettings
    authority: Authority
    tables: Tables
    journal: Journal
    effects: deque[Effect]
    aims: Aims
    seats: Seats | None
    clock: Callable[[], float]
    now: float
    token: int
    worker_lease_s: float
    dirty: bool

    def write(self, some: list[Record], then: Callable[[], None] | None = None) -> None: ...

    def observe(self, machine: Machine, report: Report) -> None: ...

    def stop(self, run: Run, grace: float, reason: str) -> None: ...

    def stop_gang(self, job: Any, grace: float, reason: str) -> None: ...

    def delete(self, machines: list[Machine]) -> None: ...


class Trust(Protocol):
    """Which zones are to be trusted."""

    def counts(self, zone: int) -> bool: ...


class Machines(Protocol):
    """The fleet, as what looks at it and rents for it sees it."""

    core: Term
    tables: Tables
    operator: OperatorSettings
    shortages: list[Shortage]
    asked: dict[str, tuple[int, int, bool, int]]
    arrivals: deque[tuple[float, float, float, bool, float]]
    groups: set[tuple[int, int]]
    evicted: dict[tuple[int, int], float]
    required: dict[bool, deque[tuple[float, float]]]
    steady_spare: dict[bool, float]
    next_summary: float

    @property
    def trust(self) -> Trust: ...

    def crowded(self) -> bool: ...

    def gives(self, kind: int, zone: int, spot: bool) -> bool: ...

    def available(self, kind: int, zone: int, spot: bool) -> bool: ...

    def rent(self, kind: int, zone: int, spot: bool, count: int) -> None: ...

    def give_up(self, machine: Machine, reason: str) -> None: ...

    def evict(self, machine: Machine) -> None: ...

    def units(self, machine: Machine) -> float: ...
