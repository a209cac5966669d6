"""Interfaces of a shard replica and of the shard map, as used by the endpoints."""

from __future__ import annotations

from typing import Any, Protocol

from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.read_leases import ReadLeases
from appleshift.protocol import workers


class ShardReplicaView(Protocol):
    """This node's replica of a shard."""

    @property
    def election(self) -> LeaderElection:
        """This node's part in the shard's leader election."""
        ...

    @property
    def lease(self) -> LeaderLease:
        """This node's information about the shard's leader lease; another node may hold it."""
        ...

    @property
    def read_leases(self) -> ReadLeases:
        """The read leases that this node has granted as the shard's leader."""
        ...

    def memory_view(self) -> dict[str, float] | None:
        """What the shard's state takes in memory; None unless this node leads the shard."""
        ...

    def has_machine(self, machine: str) -> bool:
        """Whether this node's scheduler of the shard has a machine of that name."""
        ...

    def unchanged_response(self, heartbeat: workers.HeartbeatHeader, now: float) -> bytes | None:
        """The response to a heartbeat that reports no change.

        None if the scheduler must process the heartbeat, or this node may not answer it.
        """
        ...

    def last_reported_state(self, job_id: str) -> str | None:
        """A job's final state, or PENDING if it has not ended; None if the job is unknown."""
        ...

    def view(self) -> dict[str, Any]:
        """The shard's row for operators, with the scheduler's figures if this node leads it."""
        ...


class ShardMapView(Protocol):
    """Maps jobs and machines to shards in a cluster with several shards."""

    def home_shards(self, job_id: str) -> list[int]:
        """Shards that may have a job of that id. A new job is submitted to the first."""
        ...

    def shard_of_machine(self, name: str, kind: str) -> int:
        """The shard responsible for a machine of that name and type."""
        ...

    @property
    def version(self) -> int:
        """Version of the shard map; it grows with each change."""
        ...

    @property
    def submission_shards(self) -> list[int]:
        """Shards that accept job submissions."""
        ...
