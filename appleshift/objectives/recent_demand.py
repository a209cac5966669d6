"""How much capacity work with objectives needed lately."""

from __future__ import annotations

from collections import deque

LOOK_S = 1.0
KEPT_S = 60.0


class Spare:
    """What work with aims needed lately, in CPUs; of one term."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, float]] = deque()

    def due(self, now: float) -> bool:
        return not self._seen or now - self._seen[-1][0] >= LOOK_S

    def note(self, now: float, cpus: float) -> None:
        self._seen.append((now, cpus))
        while self._seen[0][0] < now - KEPT_S:
            self._seen.popleft()

    def needed(self) -> float:
        """Between what it needed on average and at most: for the average, guests would
        have the room of each second peak; for the most, much would lie idle."""
        amounts = [cpus for _, cpus in self._seen]
        return (sum(amounts) / len(amounts) + max(amounts)) / 2 if amounts else 0.0
