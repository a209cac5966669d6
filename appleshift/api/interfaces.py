"""What the endpoints need of a shard's replica and of the shard map."""

from __future__ import annotations

from typing import Any, Protocol

from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.protocol import workers


class ShardReplicaView(Protocol):
    """This node's replica of a shard."""

    @property
    def election(self) -> LeaderElection:
        """The shard's leader election, as this node takes part in it."""
        ...

    @property
    def lease(self) -> LeaderLease:
        """The leader lease; it may be another node's."""
        ...

    def has_machine(self, machine: str) -> bool:
        """Whether the scheduler of the shard has that machine."""
        ...

    def unchanged_response(self, heartbeat: workers.HeartbeatHeader, now: float) -> bytes | None:
        """The response to a heartbeat without changes; None: the scheduler must process it."""
        ...

    def last_reported_state(self, job_id: str) -> str | None:
        """The state of a job that users may have been told, as far as this node knows."""
        ...

    def view(self) -> dict[str, Any]:
        """For operators: what the shard's scheduler holds, if this node leads the shard."""
        ...


class ShardMapView(Protocol):
    """Which shard is responsible for what, where there are several."""

    def home_shards(self, job_id: str) -> list[int]:
        """Shards that may know a job of that id; a new one belongs to the first."""
        ...

    def shard_of_machine(self, name: str, kind: str) -> int:
        """The shard of a machine of that name and type."""
        ...

    @property
    def version(self) -> int:
        """Version of the map; it grows with each change."""
        ...

    @property
    def submission_shards(self) -> list[int]:
        """Shards that accept users' submissions."""
        ...
