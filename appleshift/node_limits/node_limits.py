"""Limits of a node's connections, threads and queued requests.

All limits are derived from the node's resources in the settings. A node with a quarter of a
core does the same work in larger batches with longer pauses.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol.settings import MachineLimits

REQUESTS_PER_S_PER_CORE = 2000
"""Requests per second that a whole core answers: a heartbeat over loopback takes 0.5 ms."""
MAX_QUEUE_DELAY_S = 2.0
"""A request that would wait longer than this, in seconds, is refused: users have a timeout of
5 s and workers of 4 s, and a prompt refusal is better for them than a timeout."""
ROUND_PAUSE_S = 0.004
"""Pause of the scheduler between two rounds on a whole core, in seconds. Each round costs two
thread switches whatever it does, and users accept delays of some hundred milliseconds."""
MAX_ROUND_PAUSE_S = 0.02
"""Largest pause between two rounds on a small share of a core, in seconds."""
CONNECTION_MB = 0.1
"""Memory for the stack and buffers of a connection's thread, in MB: twice the actual use."""
CONNECTIONS_MEMORY_SHARE = 0.5
"""Share of the memory for connections."""
PROCESS_MB = 40.0
"""Memory of a node without state and connections, in MB."""
STATE_MEMORY_SHARE = 0.75
"""Share of the memory that program and connections leave over which state may fill."""
MIN_STATE_MEMORY_SHARE = 0.1
"""Share of the memory that state may fill in any case."""
BYTES_PER_MB = 1e6
CONNECTIONS_SOCKET_SHARE = 0.55
"""Share of the sockets for connections of workers and users; the rest is for connections of
peers and for calls to workers."""
SHARDED_CONNECTIONS_SOCKET_SHARE = 0.7
"""Share of the sockets for connections of workers and users if there are several shards."""
MAX_OTHER_SOCKETS = 1000
"""Largest number of sockets that peers, calls to workers, the key-value store and the cloud
need together; all other sockets of a large node are for connections of workers and users."""
MAX_CONNECTIONS = 6000
"""Largest number of connections of workers and users."""
MAX_THREADS = 1400
"""Largest number of connections with a thread of their own; the others share a thread pool.
A process may have 2,000 threads."""
POOL_THREADS = 200
"""Threads of the pool that the other connections share. Each one is in use while a request
waits for the scheduler, the leader or the key-value store."""
MAX_PEERS = 200
"""Largest number of connections of peers; each has a thread of its own."""
PEERS_SOCKET_SHARE = 0.06
"""Share of the sockets for connections of peers."""
MAX_WORKER_CALLS = 24
"""Largest number of concurrent calls to workers."""
CONNECTIONS_PER_WORKER_CALL = 8
"""Connections of workers and users for each concurrent call to a worker."""
MAX_WORKER_CLIENTS = 600
"""Largest number of workers to which connections are kept open."""
WORKER_CLIENTS_SOCKET_SHARE = 0.3
"""Share of the sockets for connections that are kept open to workers."""
SHARDED_WORKER_CLIENTS_SOCKET_SHARE = 0.15
"""Share of the sockets for connections to workers if there are several shards."""
MACHINES_SHARE = 0.9
"""Share of the connections for machines; the rest is for users, of which each node has few."""


@dataclass(frozen=True, slots=True)
class NodeLimits:
    """Limits of one node; the numbers are of simultaneous connections, threads or calls."""

    connections: int
    """Connections of workers and users."""
    threads: int
    """Connections of workers and users that have a thread of their own."""
    machines: int
    """Machines whose connections fit next to the connections of users."""
    direct_machines: int
    """Machines that a leader serves directly before it redirects further ones to relays."""
    peers: int
    """Connections of peers."""
    worker_calls: int
    """Concurrent direct commands and probes."""
    worker_clients: int
    """Workers to which connections are kept open."""
    max_queued_events: int
    """Events that may wait for the scheduler before requests of users are refused."""
    round_pause_s: float
    """Seconds between two rounds of the scheduler; a round handles all events since the last."""

    @classmethod
    def from_machine_limits(cls, limits: MachineLimits, sharded: bool = False) -> NodeLimits:
        """Derive the limits from a node's resources.

        ``sharded``: there are several shards, so that the node sends commands only to the
        machines that it serves and opens fewer connections to workers.
        """
        sockets = limits.max_sockets
        connections = _max_connections(limits, sharded)
        threads = min(connections, MAX_THREADS)
        machines = max(4, int(connections * MACHINES_SHARE))
        direct_machines = max(4, int(threads * MACHINES_SHARE))
        # After a failover, the first heartbeats of all machines may arrive at the same time.
        # They must not fill the queue, or requests of users would be refused.
        max_queued = int(MAX_QUEUE_DELAY_S * REQUESTS_PER_S_PER_CORE * min(1.0, limits.core_share))
        worker_clients_share = (
            SHARDED_WORKER_CLIENTS_SOCKET_SHARE if sharded else WORKER_CLIENTS_SOCKET_SHARE
        )
        return cls(
            connections=connections,
            threads=threads,
            machines=machines,
            direct_machines=direct_machines,
            peers=max(8, min(MAX_PEERS, int(sockets * PEERS_SOCKET_SHARE))),
            worker_calls=max(4, min(MAX_WORKER_CALLS, connections // CONNECTIONS_PER_WORKER_CALL)),
            worker_clients=max(8, min(MAX_WORKER_CLIENTS, int(sockets * worker_clients_share))),
            max_queued_events=max(64, max_queued + machines - direct_machines),
            round_pause_s=min(MAX_ROUND_PAUSE_S, ROUND_PAUSE_S / limits.core_share),
        )


def state_budget_bytes(limits: MachineLimits) -> float:
    """Return how many bytes the state of all shards may take in a node.

    The rest is for the program, its connections, and requests and snapshots in progress.
    """
    connections_mb = CONNECTION_MB * _max_connections(limits, sharded=True)
    free_mb = limits.memory_mb - PROCESS_MB - connections_mb
    state_mb = max(STATE_MEMORY_SHARE * free_mb, MIN_STATE_MEMORY_SHARE * limits.memory_mb)
    return state_mb * BYTES_PER_MB


def _max_connections(limits: MachineLimits, sharded: bool) -> int:
    """Return how many connections of workers and users a node's memory and sockets allow."""
    by_memory = limits.memory_mb * CONNECTIONS_MEMORY_SHARE / CONNECTION_MB
    sockets = limits.max_sockets
    share = SHARDED_CONNECTIONS_SOCKET_SHARE if sharded else CONNECTIONS_SOCKET_SHARE
    by_sockets = max(sockets * share, sockets - MAX_OTHER_SOCKETS)
    return max(8, int(min(by_sockets, by_memory, MAX_CONNECTIONS)))
