"""How much capacity work with objectives needed lately."""

from __future__ import annotations

from collections import deque

SAMPLE_INTERVAL_S = 1.0
WINDOW_S = 60.0


class RecentDemand:
    """What work with aims needed lately, in CPUs; of one term."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()

    def sample_due(self, now: float) -> bool:
        return not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_S

    def record(self, now: float, cpus: float) -> None:
        self._samples.append((now, cpus))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def expected_cpus(self) -> float:
        """Between what it needed on average and at most: for the average, guests would
        have the room of each second peak; for the most, much would lie idle."""
        amounts = [cpus for _, cpus in self._samples]
        return (sum(amounts) / len(amounts) + max(amounts)) / 2 if amounts else 0.0
