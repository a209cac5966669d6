"""How much a node takes on at once, and how its duties share its processor.

Everything here follows from the node's own limits in the settings, or from how
long a duty just took: a controller with a quarter of a core does the same work
in larger batches with longer pauses, and one that falls behind does the less
pressing duties less often.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appleshift.protocol.settings import MachineLimits

EVENTS_A_CORE_S = 2000
"""Requests that a whole core answers in a second: 0.5 ms each, measured on
loopback with workers' reports."""
QUEUE_S = 2.0
"""Nobody is put in a queue that takes longer than this: users wait 5 s for an
answer and workers 4 s, and are better off with a prompt refusal."""
REST_S = 0.002
"""Pause of the core between two rounds, on a whole core."""
MOST_REST_S = 0.02
CONNECTION_MB = 0.1
"""Stack and buffers of a connection's routine; measured: half of this."""
CONNECTIONS_SHARE = 0.5
"""Of the memory, connections may take this much."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Bounds of one node."""

    connections: int
    """Open connections of workers and users."""
    peers: int
    """Open connections of siblings."""
    calls: int
    """Direct commands and probes under way at once."""
    clients: int
    """Workers to which connections are kept."""
    queued: int
    """Events that may wait for the core before users are refused."""
    rest_s: float
    """What arrives within this is handled in one round of the core."""

    @classmethod
    def of(cls, limits: MachineLimits) -> Capacity:
        by_memory = limits.memory_mb * CONNECTIONS_SHARE / CONNECTION_MB
        sockets = limits.max_sockets
        connections = max(8, int(min(sockets * 0.5, by_memory)))
        return cls(
            connections=connections,
            peers=max(8, int(sockets * 0.06)),
            calls=max(4, min(24, connections // 8)),
            clients=max(8, int(sockets * 0.3)),
            queued=max(64, int(QUEUE_S * EVENTS_A_CORE_S * min(1.0, limits.core_share))),
            rest_s=min(MOST_REST_S, REST_S / limits.core_share),
        )


class Pace:
    """Keeps a duty to a share of the time that passes.

    Time is measured as it passes for everybody: if the processor is short, a
    duty takes longer and so comes less often, which leaves more to the others.
    """

    def __init__(self, clock: Callable[[], float], share: float) -> None:
        self._clock = clock
        self._pause = 1.0 / share - 1.0
        self._next = 0.0
        self._began = 0.0

    def due(self) -> bool:
        return self._clock() >= self._next

    def __enter__(self) -> None:
        self._began = self._clock()

    def __exit__(self, *_: object) -> None:
        now = self._clock()
        self._next = now + (now - self._began) * self._pause
