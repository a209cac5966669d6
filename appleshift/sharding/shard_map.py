"""Which share a machine and a job's id belong to.

Both follow from the name, so that every node comes to the same answer without
asking. A machine never changes its share while it lives, nor an id its home:
what the map says of them was settled by the epoch in which they came. The map
itself is a key that only the first share's holder writes, and every other holder
guards its version with each of its writes (``keeper.py``).
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.sharding import ShardMapEpoch


class ShardMap:
    """The epochs, the newest last."""

    def __init__(
        self, epochs: list[ShardMapEpoch], changing: bool = False, version: int = 0
    ) -> None:
        if not epochs:
            raise ValueError("a map of shares without any epoch")
        self.epochs = epochs
        self.changing = changing
        self.version = version
        # Shares that are no longer given anything are held for what they know.
        self.shard_count = 1 + max(max(epoch.plain + epoch.homes) for epoch in epochs)

    @property
    def plain(self) -> list[int]:
        return self.epochs[-1].plain

    @property
    def submission_shards(self) -> list[int]:
        return self.epochs[-1].homes

    @property
    def cards(self) -> list[str]:
        return self.epochs[-1].cards

    def home_shards(self, job_id: str) -> list[int]:
        """The share that takes a job of this id, then those where it may be from before."""
        number = xxh3_64_intdigest(job_id.encode())
        found: list[int] = []
        for epoch in reversed(self.epochs):
            home = epoch.homes[number % len(epoch.homes)]
            if home not in found:
                found.append(home)
        return found

    def shard_of_machine(self, name: str, kind: str) -> int:
        """The share of a machine. Names come in the order of their creation
        (PROTOCOL, "Controller nodes -> cloud"), so the epoch follows from the name."""
        epoch = self.epochs[0]
        for later in reversed(self.epochs[1:]):
            if name > later.after:
                epoch = later
                break
        if kind in epoch.cards:
            return 0
        # Names end in a number: what one rental brings goes round in turn, which
        # divides it more evenly than any hash.
        digits = name[len(name.rstrip("0123456789")) :]
        number = int(digits) if digits else xxh3_64_intdigest(name.encode())
        return epoch.plain[number % len(epoch.plain)]


def is_pinned(team: TeamLimits) -> bool:
    """Is the team decided in the first share, so that one holder counts all it uses?

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

    ``busy`` shares have work from before: they go on getting machines for it, or
    what runs there and loses its machine could never start again.
    """
    first = 0 if count <= 1 or any(is_pinned(team) for team in teams) else 1
    homes = list(range(first, max(1, count)))
    return ShardMapEpoch(count, after, cards, sorted({*homes, *busy}), homes)
