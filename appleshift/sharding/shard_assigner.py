"""Decides which controller should lead which shard, after a failure and for balance.

Advisory only: the leader is elected by a write to the shard's leader key. If two nodes
disagree, both become candidates and one is elected. A deposed leader may still request
moves, but its peers follow the leader with the highest fencing token and ignore them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

CANDIDACY_STEP_S = 0.3
"""Seconds that each candidate for a shard waits longer than the candidate ranked before it."""
STARTUP_CANDIDACY_STEP_S = 1.0
"""As ``CANDIDACY_STEP_S``, while nodes may still be starting and reading the shard map."""
MIN_REACHABLE_S = 8.0
"""Seconds for which a controller must be reachable before shards move to it."""
MIN_MOVE_INTERVAL_S = 5.0
"""Seconds from the end of a move to the next one; only one shard moves at a time."""
MOVE_TIMEOUT_S = 4.0
"""Seconds after which an unfinished move is abandoned."""


@dataclass(frozen=True, slots=True)
class ControllerLoad:
    """A reachable controller and its load, as observed by the node that ranks controllers."""

    name: str
    held_shards: int
    """Number of shards that the controller leads."""
    reachable_s: float
    """Seconds for which the controller has been reachable without interruption."""
    is_full: bool = False
    """The controller cannot lead another shard."""


def rank_candidates(shard: int, controllers: Sequence[ControllerLoad]) -> list[str]:
    """Names of the controllers in the order in which they may become candidates for a shard.

    The controller that leads the fewest shards comes first, full ones last. Ties are broken by
    a rotation that starts at another controller for each shard, so that the shards of a failed
    controller spread over the others.
    """
    names = sorted(each.name for each in controllers)
    by_name = {each.name: each for each in controllers}
    rotation = [names[(shard + step) % len(names)] for step in range(len(names))]
    return sorted(rotation, key=lambda name: (by_name[name].is_full, by_name[name].held_shards))


class ShardAssigner:
    """Requests moves of shards so that all controllers lead about equally many.

    Used by the leader of the first shard. A move interrupts a shard for some hundred
    milliseconds. A shard moves only if its controller leads at least two shards more than the
    target; such a move cannot invert the difference, so moves do not oscillate.
    """

    def __init__(self, now: float) -> None:
        """``now`` is in monotonic seconds; the first move is requested ``MIN_REACHABLE_S`` later
        at the earliest."""
        self.move_count = 0
        self._requested_move: tuple[int, str] | None = None
        self._requested_at = now
        self._next_move_at = now + MIN_REACHABLE_S

    def step(
        self, now: float, holders: Mapping[int, str | None], controllers: Sequence[ControllerLoad]
    ) -> tuple[int, str] | None:
        """The move requested at ``now``, as (shard, target node); None if target_reachable is none.

        ``holders`` maps each shard to its leader, None while it has none.
        """
        requested = self._requested_move
        if requested is not None:
            shard, target = requested
            target_reachable = any(each.name == target for each in controllers)
            if (
                holders.get(shard) == target
                or not target_reachable
                or now - self._requested_at > MOVE_TIMEOUT_S
            ):
                self._requested_move = None
                self._next_move_at = now + MIN_MOVE_INTERVAL_S
            return self._requested_move
        if now < self._next_move_at or any(holder is None for holder in holders.values()):
            return None
        self._requested_move = self._choose_move(holders, controllers)
        if self._requested_move is not None:
            self._requested_at = now
            self.move_count += 1
        return self._requested_move

    @staticmethod
    def _choose_move(
        holders: Mapping[int, str | None], controllers: Sequence[ControllerLoad]
    ) -> tuple[int, str] | None:
        shard_counts = {each.name: 0 for each in controllers}
        for holder in holders.values():
            if holder in shard_counts:
                shard_counts[holder] += 1
        targets = [
            each.name
            for each in controllers
            if each.reachable_s >= MIN_REACHABLE_S and not each.is_full
        ]
        if not targets:
            return None
        target = min(targets, key=lambda name: (shard_counts[name], name))
        source = max(shard_counts, key=lambda name: (shard_counts[name], name))
        if shard_counts[source] - shard_counts[target] < 2:
            return None
        # Never shard 0: that would change the leader of the cluster without need.
        movable = [shard for shard, holder in holders.items() if holder == source and shard]
        return (max(movable), target) if movable else None
