"""How much capacity work with objectives needed lately."""

from __future__ import annotations

from collections import deque

SAMPLE_INTERVAL_S = 1.0
WINDOW_S = 60.0
"""Older samples are dropped."""


class RecentDemand:
    """CPUs that work with objectives needed in the last minute of a leader term."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[tuple[float, float]] = deque()

    def sample_due(self, now: float) -> bool:
        """Whether the last sample is older than the sample interval."""
        return not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_S

    def record(self, now: float, cpus: float) -> None:
        """Add a sample at monotonic time ``now`` in seconds."""
        self._samples.append((now, cpus))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def expected_cpus(self) -> float:
        """CPUs to keep for work with objectives: between their average and their peak.

        With the average, best-effort work would occupy the room of each second peak;
        with the peak, much would lie idle.
        """
        samples = [cpus for _, cpus in self._samples]
        return (sum(samples) / len(samples) + max(samples)) / 2 if samples else 0.0
