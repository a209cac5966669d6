"""Which shard a machine or a job id belongs to.

Both follow from the name, so that every node comes to the same answer without
asking. The epoch in which a machine or an id appeared decides, so neither ever
changes its shard. The map is one key of the key-value store: only the leader of
the first shard writes it, and the leaders of all other shards guard its version
with each write (``shard_map_follower.py``).
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.sharding import ShardMapEpoch


class ShardMap:
    """One version of the shard map: its epochs, the newest last."""

    def __init__(
        self, epochs: list[ShardMapEpoch], changing: bool = False, version: int = 0
    ) -> None:
        """``version`` is that of the key; ValueError without any epoch."""
        if not epochs:
            raise ValueError("a map of shares without any epoch")
        self.epochs = epochs
        self.changing = changing
        self.version = version
        # Shards that get nothing new any more still need a leader: they know jobs.
        self.shard_count = 1 + max(max(epoch.plain + epoch.homes) for epoch in epochs)

    @property
    def cpu_machine_shards(self) -> list[int]:
        """Shards that get machines without GPUs, in the newest epoch."""
        return self.epochs[-1].plain

    @property
    def submission_shards(self) -> list[int]:
        """Shards that accept new jobs, in the newest epoch."""
        return self.epochs[-1].homes

    @property
    def gpu_types(self) -> list[str]:
        """Names of machine types with GPUs, which belong to the first shard, in the newest
        epoch."""
        return self.epochs[-1].cards

    def home_shards(self, job_id: str) -> list[int]:
        """The shard that takes a job of this id, then those where it may be from before."""
        number = xxh3_64_intdigest(job_id.encode())
        found: list[int] = []
        for epoch in reversed(self.epochs):
            home = epoch.homes[number % len(epoch.homes)]
            if home not in found:
                found.append(home)
        return found

    def shard_of_machine(self, name: str, type_name: str) -> int:
        """The share of a machine. Names come in the order of their creation
        (PROTOCOL, "Controller nodes -> cloud"), so the epoch follows from the name."""
        epoch = self.epochs[0]
        for later in reversed(self.epochs[1:]):
            if name > later.after:
                epoch = later
                break
        if type_name in epoch.cards:
            return 0
        # Names end in a number: what one rental brings goes round in turn, which
        # divides it more evenly than any hash.
        digits = name[len(name.rstrip("0123456789")) :]
        number = int(digits) if digits else xxh3_64_intdigest(name.encode())
        return epoch.plain[number % len(epoch.plain)]


def is_pinned_to_first_shard(team: TeamLimits) -> bool:
    """Is the team decided in the first shard, so that one holder counts all it uses?

    That holds for whatever limits it beyond machines with GPUs, which are there
    anyway.
    """
    return team.cpus > 0 or team.cpus_max > 0


def new_epoch(
    count: int,
    after: str,
    cards: list[str],
    teams: list[TeamLimits],
    busy: Iterable[int] = (),
) -> ShardMapEpoch:
    """The division of whatever comes after a machine's name.

    ``busy`` shards have work from before: they go on getting machines for it, or
    what runs there and loses its machine could never start again.
    """
    first = 0 if count <= 1 or any(is_pinned_to_first_shard(team) for team in teams) else 1
    homes = list(range(first, max(1, count)))
    return ShardMapEpoch(count, after, cards, sorted({*homes, *busy}), homes)
