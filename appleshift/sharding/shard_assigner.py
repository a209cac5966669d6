"""Which controller should lead which shard, after a failure and for balance.

Advisory only: the leader key of a shard decides. Two nodes that disagree both become
candidates, and one is elected. A deposed leader may still ask for moves, but its peers
follow the leader with the highest fencing token and ignore them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

CANDIDACY_STEP_S = 0.3
"""Seconds that each next candidate for a shard waits longer than the one before it."""
STARTUP_CANDIDACY_STEP_S = 1.0
"""The same while nodes may still be starting and reading the shard map."""
MIN_REACHABLE_S = 8.0
"""Seconds that a restarted controller must stay up before shards move to it."""
MIN_MOVE_INTERVAL_S = 5.0
"""Seconds between two moves; only one shard moves at a time."""
MOVE_TIMEOUT_S = 4.0
"""Seconds after which a move that was not made is abandoned."""


@dataclass(frozen=True, slots=True)
class ControllerLoad:
    """A reachable controller, as one of its peers sees it."""

    name: str
    held_shards: int
    """Number of shards that it leads."""
    reachable_s: float
    """Seconds for which it has been reachable without a gap."""
    is_full: bool = False
    """It cannot take another shard."""


def rank_candidates(shard: int, controllers: Sequence[ControllerLoad]) -> list[str]:
    """The controllers that may become candidates for a shard without a leader, in this order.

    The least loaded first. Ties are broken by a rotation that starts at another controller
    for each shard, so that the shards of a failed controller spread over the others.
    """
    names = sorted(each.name for each in controllers)
    by_name = {each.name: each for each in controllers}
    rotation = [names[(shard + step) % len(names)] for step in range(len(names))]
    return sorted(rotation, key=lambda name: (by_name[name].is_full, by_name[name].held_shards))


class ShardAssigner:
    """Used by the leader: asks for moves so that all nodes lead about as many shards.

    A move interrupts a shard for some hundred milliseconds. One is made only for a
    difference of two shards or more, which a move cannot invert, so moves do not oscillate.
    """

    def __init__(self, now: float) -> None:
        """``now`` in seconds of the steady clock; the first move is asked for ``MIN_REACHABLE_S``
        later."""
        self.move_count = 0
        self._wanted_move: tuple[int, str] | None = None
        self._since = now
        self._next = now + MIN_REACHABLE_S

    def step(
        self, now: float, holders: Mapping[int, str | None], controllers: Sequence[ControllerLoad]
    ) -> tuple[int, str] | None:
        """The move that is wanted now, as (share, node)."""
        wanted = self._wanted_move
        if wanted is not None:
            shard, target = wanted
            there = any(each.name == target for each in controllers)
            if holders.get(shard) == target or not there or now - self._since > MOVE_TIMEOUT_S:
                self._wanted_move = None
                self._next = now + MIN_MOVE_INTERVAL_S
            return self._wanted_move
        if now < self._next or any(holder is None for holder in holders.values()):
            return None
        self._wanted_move = self._choose(holders, controllers)
        if self._wanted_move is not None:
            self._since = now
            self.move_count += 1
        return self._wanted_move

    @staticmethod
    def _choose(
        holders: Mapping[int, str | None], controllers: Sequence[ControllerLoad]
    ) -> tuple[int, str] | None:
        count = {each.name: 0 for each in controllers}
        for holder in holders.values():
            if holder in count:
                count[holder] += 1
        targets = [
            each.name
            for each in controllers
            if each.reachable_s >= MIN_REACHABLE_S and not each.is_full
        ]
        if not targets:
            return None
        target = min(targets, key=lambda name: (count[name], name))
        source = max(count, key=lambda name: (count[name], name))
        if count[source] - count[target] < 2:
            return None
        # Never shard 0: that would change the leader of the cluster for nothing.
        moved = [shard for shard, holder in holders.items() if holder == source and shard]
        return (max(moved), target) if moved else None
