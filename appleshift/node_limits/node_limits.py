"""How much a node takes on at once, and how its duties share its processor.

Everything here follows from the node's own limits in the settings, or from how
long a duty just took: a controller with a quarter of a core does the same work
in larger batches with longer pauses, and one that falls behind does the less
pressing duties less often.
"""

from __future__ import annotations

import logging
import resource
import threading
from collections.abc import Callable
from dataclasses import dataclass

from appleshift.protocol.settings import MachineLimits

log = logging.getLogger(__name__)

EVENTS_A_CORE_S = 2000
"""Requests that a whole core answers in a second: 0.5 ms each, measured on
loopback with workers' reports."""
MAX_QUEUE_S = 2.0
"""Nobody is put in a queue that takes longer than this: users wait 5 s for an
answer and workers 4 s, and are better off with a prompt refusal."""
ROUND_PAUSE_S = 0.004
"""Pause of the core between two rounds, on a whole core. A round costs two switches of
routines whatever it does; users accept answers within some hundred milliseconds."""
MAX_ROUND_PAUSE_S = 0.02
CONNECTION_MB = 0.1
"""Stack and buffers of a connection's routine; measured: half of this."""
CONNECTIONS_SHARE = 0.5
"""Of the memory, connections may take this much."""
SOCKETS_SHARE = 0.55
"""Of the sockets; siblings and connections to workers have the rest."""
SHARED_SOCKETS = 0.7
OTHER_SOCKETS = 1000
"""Siblings, connections to workers, the state service and the cloud never need more:
beyond these, all sockets of a large node are for connections."""
MOST_CONNECTIONS = 6000
MOST_THREADS = 1400
"""Connections beyond these share the threads of a pool. A process may have 2,000 threads."""
POOL_THREADS = 200
"""Of that pool. Each is taken for as long as an answer waits for the core, for the leader
or for the state service."""
MOST_PEERS = 200
"""Each has a thread of its own."""
MOST_CLIENTS = 600
MACHINES_SHARE = 0.9
"""Of the connections; users, a few to each node, get the rest."""
LOG_INTERVAL_S = 30.0
OVERLOAD_SHARE = 0.85
"""Of its time or memory; above it, a node says that it is short."""


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Bounds of one node."""

    connections: int
    """Open connections of workers and users."""
    threads: int
    """Connections that have a thread of their own."""
    machines: int
    """Machines whose reports find a place beside the users."""
    direct_machines: int
    """Machines that a leader hears itself before it sends others to relays."""
    peers: int
    """Open connections of siblings."""
    calls: int
    """Direct commands and probes under way at once."""
    clients: int
    """Workers to which connections are kept."""
    max_queued: int
    """Events that may wait for the core before users are refused."""
    round_pause_s: float
    """What arrives within this is handled in one round of the core."""

    @classmethod
    def from_machine_limits(cls, limits: MachineLimits, shared: bool = False) -> NodeLimits:
        """``shared``: the machines are divided among the nodes, so that this one
        commands only those that it hears and needs fewer connections of its own."""
        by_memory = limits.memory_mb * CONNECTIONS_SHARE / CONNECTION_MB
        sockets = limits.max_sockets
        share = SHARED_SOCKETS if shared else SOCKETS_SHARE
        by_sockets = max(sockets * share, sockets - OTHER_SOCKETS)
        connections = max(8, int(min(by_sockets, by_memory, MOST_CONNECTIONS)))
        threads = min(connections, MOST_THREADS)
        machines = max(4, int(connections * MACHINES_SHARE))
        direct_machines = max(4, int(threads * MACHINES_SHARE))
        # After a takeover each machine's first report may come at once. A large fleet's
        # must not count as so much work that users are refused.
        queued = int(MAX_QUEUE_S * EVENTS_A_CORE_S * min(1.0, limits.core_share))
        return cls(
            connections=connections,
            threads=threads,
            machines=machines,
            direct_machines=direct_machines,
            peers=max(8, min(MOST_PEERS, int(sockets * 0.06))),
            calls=max(4, min(24, connections // 8)),
            clients=max(8, min(MOST_CLIENTS, int(sockets * (0.15 if shared else 0.3)))),
            max_queued=max(64, queued + machines - direct_machines),
            round_pause_s=min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S / limits.core_share),
        )


class TimeBudget:
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


class LoadMonitor:
    """Says in the log, twice a minute at most, whether a node is short of something.

    How busy a node is, is measured as the time that its core is at work: on a
    small share of a core the same work takes longer. (The processor time that
    the system counts says little if the share is enforced from outside.)
    """

    def __init__(self, limits: MachineLimits, capacity: NodeLimits, now: float) -> None:
        self._limits = limits
        self._capacity = capacity
        self._at = now
        self._busy_s = 0.0
        self._most_queued = 0

    def round_finished(self, began: float, now: float, handled: int, connections: int) -> None:
        """One round of the core is over."""
        self._busy_s += now - began
        self._most_queued = max(self._most_queued, handled)
        if now - self._at < LOG_INTERVAL_S:
            return
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
        self.log_load(self._busy_s / (now - self._at), memory, connections)
        self._at, self._busy_s, self._most_queued = now, 0.0, 0

    def log_load(self, busy: float, memory_mb: float, connections: int) -> None:
        limits, most = self._limits, self._capacity
        log.info(
            "load: at work %.0f %% of the time, %.0f of %.0f MB, %d of %d connections,"
            " at most %d of %d requests at once, %d threads",
            *(busy * 100, memory_mb, limits.memory_mb, connections, most.connections),
            *(self._most_queued, most.max_queued, threading.active_count()),
        )
        if busy > OVERLOAD_SHARE or self._most_queued > most.max_queued:
            log.warning("short of processor: answers and placement come late")
        if memory_mb > OVERLOAD_SHARE * limits.memory_mb:
            log.warning("short of memory: close to being ended for it")
