"""Read leases: how long other nodes may send a leader's answers about jobs to users.

A node that does not lead asks the leader and passes the answer on. Meanwhile the leader may tell
the user something newer on another connection. The leader therefore grants a read lease with
each answer that may become outdated, and the other node sends the answer only while the lease
is valid. Before the leader tells anyone a newer version of the job, it waits until all read
leases for older versions have expired. It grants no lease for a version once it knows a newer
one, so it waits for ``READ_LEASE_S`` at most.

The other node counts the lease from when it asked, and the leader from when it answered, which
is later. No clocks are compared. A successor does not know the leases of its predecessor, which
granted the last one before the successor was elected: it waits for the longest one first.
"""

from __future__ import annotations

import enum
import threading

from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO, SAFETY_MARGIN_S

READ_LEASE_S = 0.5
"""Duration of the read lease of another node, as the leader counts it. An answer that is longer
on its way is useless, and a newer version of the job may have to wait for so long."""
OWN_READ_LEASE_S = SAFETY_MARGIN_S
"""Duration of the read lease for an answer that the leader itself sends: time passes between
its last check and the sending."""
MAX_REMOVED_PER_GRANT = 4
"""Expired leases that are removed with each new one, so that their number stays bounded."""


class JobVersion(enum.IntEnum):
    """What users know about a job; a user who was told one version is told no older one."""

    UNKNOWN = 0
    """The job was never submitted."""
    ACCEPTED = 1
    """The job is accepted and has not ended."""
    ENDED = 2
    """The job is done or cancelled."""


class ReadLeases:
    """The read leases that one node has granted as the leader of a shard. Thread-safe."""

    def __init__(self) -> None:
        """Start without leases."""
        self._lock = threading.Lock()
        # Oldest grant first. Values are times on this node's clock.
        self._expiry: dict[tuple[str, JobVersion], float] = {}
        self._predecessor_expiry = 0.0

    def __len__(self) -> int:
        """Return the number of leases that are kept, expired ones included."""
        return len(self._expiry)

    def begin_term(self, now: float) -> None:
        """Wait for the leases of the leader before this node, which was elected before ``now``."""
        self._predecessor_expiry = now + READ_LEASE_S * CLOCK_DRIFT_RATIO

    def grant(self, job_id: str, version: JobVersion, duration_s: float, now: float) -> None:
        """Grant a lease for ``duration_s`` seconds from ``now``.

        The caller checks afterwards that it still knows no newer version; the lease covers no
        answer otherwise.
        """
        key = (job_id, version)
        with self._lock:
            earlier = self._expiry.pop(key, 0.0)
            self._remove_expired(now)
            self._expiry[key] = max(earlier, now + duration_s * CLOCK_DRIFT_RATIO)

    def remaining_s(self, job_id: str, version: JobVersion, now: float) -> float:
        """Return for how long a version of a job must not be told yet; 0 if it may be told."""
        with self._lock:
            expiry = max(
                (self._expiry.get((job_id, older), 0.0) for older in JobVersion if older < version),
                default=0.0,
            )
        return max(0.0, expiry - now, self._predecessor_expiry - now)

    def _remove_expired(self, now: float) -> None:
        for _ in range(MAX_REMOVED_PER_GRANT):
            oldest = next(iter(self._expiry), None)
            if oldest is None or self._expiry[oldest] > now:
                return
            del self._expiry[oldest]
