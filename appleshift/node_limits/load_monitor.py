"""Logs a node's load, and warns if the node is short of processor time or memory."""

from __future__ import annotations

import logging
import resource
import threading

from appleshift.node_limits.node_limits import NodeLimits
from appleshift.protocol.settings import MachineLimits

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 30.0
OVERLOAD_SHARE = 0.85
"""Share of the time or of the memory above which a node logs that it is short of it."""


class LoadMonitor:
    """Logs a node's load, at most once per ``LOG_INTERVAL_S``.

    A node counts as busy while its scheduler runs a round. Wall-clock time is used, because
    the same work takes longer on a small share of a core; processor time is no measure of load
    if the share is enforced from outside.
    """

    def __init__(self, limits: MachineLimits, node_limits: NodeLimits, now: float) -> None:
        """``limits`` are the node's resources, ``node_limits`` the limits derived from them."""
        self._limits = limits
        self._node_limits = node_limits
        self._last_log_at = now
        self._busy_s = 0.0
        self._max_events = 0

    def record_round(self, started: float, now: float, events: int, connections: int) -> None:
        """Record a round of the scheduler that ran from ``started`` to ``now``, in seconds.

        ``events`` is the number of events handled in it, ``connections`` the number of open
        connections.
        """
        self._busy_s += now - started
        self._max_events = max(self._max_events, events)
        if now - self._last_log_at < LOG_INTERVAL_S:
            return
        memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
        self.log_load(self._busy_s / (now - self._last_log_at), memory_mb, connections)
        self._last_log_at, self._busy_s, self._max_events = now, 0.0, 0

    def log_load(self, busy: float, memory_mb: float, connections: int) -> None:
        """Log the load, and warn if the node is short of processor time or memory.

        ``busy`` is the busy share of the time, between 0 and 1; ``memory_mb`` is the most
        memory that the process has used so far.
        """
        limits, node_limits = self._limits, self._node_limits
        log.info(
            "node load busy_percent=%.0f memory_mb=%.0f memory_limit_mb=%.0f connections=%d"
            " max_connections=%d requests_at_once=%d max_requests_at_once=%d threads=%d",
            busy * 100,
            memory_mb,
            limits.memory_mb,
            connections,
            node_limits.connections,
            self._max_events,
            node_limits.max_queued_events,
            threading.active_count(),
        )
        if busy > OVERLOAD_SHARE or self._max_events > node_limits.max_queued_events:
            log.warning(
                "short of processor busy_percent=%.0f requests_at_once=%d",
                busy * 100,
                self._max_events,
            )
        if memory_mb > OVERLOAD_SHARE * limits.memory_mb:
            log.warning(
                "short of memory memory_mb=%.0f memory_limit_mb=%.0f", memory_mb, limits.memory_mb
            )
