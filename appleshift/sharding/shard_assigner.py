"""Which controller holds which share: who follows one that fell, and what is moved.

Only advice: a holder's key decides. Two nodes with different ideas of it both
stand, and one is elected; a leader that is none any more asks for moves that its
siblings, who follow the highest token, do not carry out.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

CANDIDACY_STEP_S = 0.3
"""So much longer waits each next heir of a share before it stands."""
STARTUP_CANDIDACY_STEP_S = 1.0
"""As long as nodes may still be starting, and learning of the map."""
SETTLED_S = 8.0
"""A controller that came back is given shares once it has stayed so long."""
MOVE_GAP_S = 5.0
"""At most one share moves at a time, and then none for so long."""
PATIENCE_S = 4.0
"""A move that was not made by then is called off."""


@dataclass(frozen=True, slots=True)
class ControllerLoad:
    """A node that is there, as another sees it."""

    name: str
    held_shards: int
    """Shares that it holds."""
    since_s: float
    """For how long it has been there without a gap."""
    crowded: bool = False
    """It cannot take more than it has."""


def candidates(share: int, controllers: Sequence[ControllerLoad]) -> list[str]:
    """Who is to stand for a share that nobody holds, in this order.

    The least loaded first; of equals the next in a turn that begins elsewhere for
    each share, so that several shares of one that fell go to several nodes.
    """
    names = sorted(each.name for each in controllers)
    by_name = {each.name: each for each in controllers}
    turn = [names[(share + step) % len(names)] for step in range(len(names))]
    return sorted(turn, key=lambda name: (by_name[name].crowded, by_name[name].held_shards))


class ShardAssigner:
    """The leader's part: asks for moves so that all nodes hold about as many shares.

    A move costs the share some hundred milliseconds of service, so none is made
    for less than two shares' difference, which a move cannot turn round: nothing
    swings.
    """

    def __init__(self, now: float) -> None:
        self.moves = 0
        self._wanted_move: tuple[int, str] | None = None
        self._since = now
        self._next = now + SETTLED_S

    def step(
        self, now: float, holders: Mapping[int, str | None], controllers: Sequence[ControllerLoad]
    ) -> tuple[int, str] | None:
        """The move that is wanted now, as (share, node)."""
        wanted = self._wanted_move
        if wanted is not None:
            share, target = wanted
            there = any(each.name == target for each in controllers)
            if holders.get(share) == target or not there or now - self._since > PATIENCE_S:
                self._wanted_move = None
                self._next = now + MOVE_GAP_S
            return self._wanted_move
        if now < self._next or any(holder is None for holder in holders.values()):
            return None
        self._wanted_move = self._choose(holders, controllers)
        if self._wanted_move is not None:
            self._since = now
            self.moves += 1
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
            each.name for each in controllers if each.since_s >= SETTLED_S and not each.crowded
        ]
        if not targets:
            return None
        target = min(targets, key=lambda name: (count[name], name))
        source = max(count, key=lambda name: (count[name], name))
        if count[source] - count[target] < 2:
            return None
        # Never the leader's own: that would change the leader for nothing.
        moved = [share for share, holder in holders.items() if holder == source and share]
        return (max(moved), target) if moved else None
