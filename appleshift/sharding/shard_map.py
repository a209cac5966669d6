"""Which shard a machine or a job id belongs to.

The name alone determines the shard, so all nodes compute the same shard without
communication. A machine keeps the epoch in which it appeared and therefore its
shard; a job id is also looked up in the shards of earlier epochs. The map is one
key of the key-value store: only the leader of the first shard writes it, and the
leaders of all other shards guard its version with each write
(``shard_map_follower.py``).
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.sharding import ShardMapEpoch


class ShardMap:
    """One version of the shard map.

    ``epochs`` holds the newest epoch last. While ``changing``, only the first shard may have
    a leader.
    """

    def __init__(
        self, epochs: list[ShardMapEpoch], changing: bool = False, version: int = 0
    ) -> None:
        """``version`` is the version of the key in the store; ValueError if there is no epoch."""
        if not epochs:
            raise ValueError("shard map without epochs")
        self.epochs = epochs
        self.changing = changing
        self.version = version
        # A shard that gets no new machines or jobs still needs a leader: its jobs are stored
        # there.
        self.shard_count = 1 + max(max(epoch.plain + epoch.homes) for epoch in epochs)

    @property
    def cpu_machine_shards(self) -> list[int]:
        """Shards that the newest epoch gives machines without GPUs."""
        return self.epochs[-1].plain

    @property
    def submission_shards(self) -> list[int]:
        """Shards that accept new jobs in the newest epoch."""
        return self.epochs[-1].homes

    @property
    def gpu_types(self) -> list[str]:
        """Names of the machine types with GPUs in the newest epoch; the first shard owns all
        machines of these types."""
        return self.epochs[-1].cards

    def home_shards(self, job_id: str) -> list[int]:
        """The shard that accepts a new job of this id, followed by the shards that may have
        accepted it in an earlier epoch."""
        number = xxh3_64_intdigest(job_id.encode())
        found: list[int] = []
        for epoch in reversed(self.epochs):
            home = epoch.homes[number % len(epoch.homes)]
            if home not in found:
                found.append(home)
        return found

    def shard_of_machine(self, name: str, type_name: str) -> int:
        """The shard of a machine.

        The cloud assigns names in ascending order (PROTOCOL, "Controller nodes -> cloud"), so
        the name determines the epoch.
        """
        epoch = self.epochs[0]
        for later in reversed(self.epochs[1:]):
            if name > later.after:
                epoch = later
                break
        if type_name in epoch.cards:
            return 0
        # Names end in a number. Taking it modulo the number of shards spreads the machines
        # of one rental in rotation, which is more even than any hash.
        digits = name[len(name.rstrip("0123456789")) :]
        number = int(digits) if digits else xxh3_64_intdigest(name.encode())
        return epoch.plain[number % len(epoch.plain)]


def is_pinned_to_first_shard(team: TeamLimits) -> bool:
    """Whether the first shard decides on all jobs of the team, so that one leader counts its
    usage.

    This applies to teams with a CPU limit. GPU limits need no pinning, as the first shard
    owns all machines with GPUs.
    """
    return team.cpus > 0 or team.cpus_max > 0


def new_epoch(
    count: int,
    after: str,
    cards: list[str],
    teams: list[TeamLimits],
    busy: Iterable[int] = (),
) -> ShardMapEpoch:
    """Create an epoch with ``count`` shards for machines whose names are larger than ``after``.

    ``cards`` are the machine types with GPUs. ``busy`` shards have unfinished work of earlier
    epochs. They keep getting machines, or a task there that loses its machine could never
    start again.
    """
    first = 0 if count <= 1 or any(is_pinned_to_first_shard(team) for team in teams) else 1
    homes = list(range(first, max(1, count)))
    return ShardMapEpoch(count, after, cards, sorted({*homes, *busy}), homes)
