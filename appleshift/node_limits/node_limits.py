"""How many connections, threads and requests a node accepts at once.

All bounds follow from the node's own resources in the settings: a controller with a
quarter of a core does the same work in larger batches with longer pauses.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol.settings import MachineLimits

REQUESTS_PER_S_PER_CORE = 2000
"""Requests that a whole core answers in a second: 0.5 ms each, measured on
loopback with workers' heartbeats."""
MAX_QUEUE_DELAY_S = 2.0
"""Requests that would wait longer than this, in seconds, are refused: users wait 5 s for
an answer and workers 4 s, and are better off with a prompt refusal."""
ROUND_PAUSE_S = 0.004
"""Pause of the scheduler between two rounds, on a whole core. A round costs two thread
switches whatever it does; users accept answers within some hundred milliseconds."""
MAX_ROUND_PAUSE_S = 0.02
CONNECTION_MB = 0.1
"""Stack and buffers of a connection's thread, in MB; half of this was measured."""
CONNECTIONS_MEMORY_SHARE = 0.5
"""Share of the memory that connections may take."""
CONNECTIONS_SOCKET_SHARE = 0.55
"""Share of the sockets for connections; peers and calls to workers have the rest."""
SHARDED_CONNECTIONS_SOCKET_SHARE = 0.7
"""The same if the machines are divided among the nodes."""
MAX_OTHER_SOCKETS = 1000
"""Peers, calls to workers, the key-value store and the cloud never need more sockets:
beyond these, all sockets of a large node are for connections."""
MAX_CONNECTIONS = 6000
MAX_THREADS = 1400
"""Connections beyond these share the threads of a pool. A process may have 2,000 threads."""
POOL_THREADS = 200
"""Threads of that pool. Each is in use for as long as an answer waits for the scheduler,
the leader or the key-value store."""
MAX_PEERS = 200
"""Connections of peers: each has a thread of its own."""
PEERS_SOCKET_SHARE = 0.06
MAX_CALLS = 24
CONNECTIONS_PER_CALL = 8
MAX_CLIENTS = 600
CLIENTS_SOCKET_SHARE = 0.3
SHARDED_CLIENTS_SOCKET_SHARE = 0.15
MACHINES_SHARE = 0.9
"""Share of the connections for machines; users, a few to each node, get the rest."""


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Bounds of one node; all are numbers of things at once unless a unit is named."""

    connections: int
    """Open connections of workers and users."""
    threads: int
    """Connections that have a thread of their own."""
    machines: int
    """Machines whose connections fit beside those of users."""
    direct_machines: int
    """Machines that a leader serves itself before it sends others to relays."""
    peers: int
    """Open connections of peers."""
    worker_calls: int
    """Direct commands and probes under way at once."""
    worker_clients: int
    """Workers to which connections are kept."""
    max_queued_events: int
    """Events that may wait for the scheduler before users are refused."""
    round_pause_s: float
    """Seconds between rounds: what arrives meanwhile is handled in one round."""

    @classmethod
    def from_machine_limits(cls, limits: MachineLimits, sharded: bool = False) -> NodeLimits:
        """Derive the bounds from a node's resources.

        ``sharded``: the machines are divided among the nodes, so that this one commands only
        those that it serves and needs fewer connections of its own.
        """
        sockets = limits.max_sockets
        connections = _max_connections(limits, sharded)
        threads = min(connections, MAX_THREADS)
        machines = max(4, int(connections * MACHINES_SHARE))
        direct_machines = max(4, int(threads * MACHINES_SHARE))
        # After a failover each machine's first heartbeat may come at once. Those of many
        # machines must not count as so much work that users are refused.
        max_queued = int(MAX_QUEUE_DELAY_S * REQUESTS_PER_S_PER_CORE * min(1.0, limits.core_share))
        clients_share = SHARDED_CLIENTS_SOCKET_SHARE if sharded else CLIENTS_SOCKET_SHARE
        return cls(
            connections=connections,
            threads=threads,
            machines=machines,
            direct_machines=direct_machines,
            peers=max(8, min(MAX_PEERS, int(sockets * PEERS_SOCKET_SHARE))),
            worker_calls=max(4, min(MAX_CALLS, connections // CONNECTIONS_PER_CALL)),
            worker_clients=max(8, min(MAX_CLIENTS, int(sockets * clients_share))),
            max_queued_events=max(64, max_queued + machines - direct_machines),
            round_pause_s=min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S / limits.core_share),
        )


def _max_connections(limits: MachineLimits, sharded: bool) -> int:
    """The connections of workers and users that fit into the memory and sockets of a node."""
    by_memory = limits.memory_mb * CONNECTIONS_MEMORY_SHARE / CONNECTION_MB
    sockets = limits.max_sockets
    share = SHARDED_CONNECTIONS_SOCKET_SHARE if sharded else CONNECTIONS_SOCKET_SHARE
    by_sockets = max(sockets * share, sockets - MAX_OTHER_SOCKETS)
    return max(8, int(min(by_sockets, by_memory, MAX_CONNECTIONS)))
