"""Tracks the CPUs that jobs with objectives needed recently."""

from __future__ import annotations

from collections import deque

SAMPLE_INTERVAL_S = 1.0
WINDOW_S = 60.0
"""Samples older than this are dropped."""


class RecentDemand:
    """Samples of the CPUs that jobs with objectives needed during the last ``WINDOW_S``.

    Samples are kept for one leader term.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[tuple[float, float]] = deque()

    def sample_due(self, now: float) -> bool:
        """Return whether a sample is due at monotonic time ``now`` in seconds."""
        return not self._samples or now - self._samples[-1][0] >= SAMPLE_INTERVAL_S

    def record(self, now: float, cpus: float) -> None:
        """Add a sample at monotonic time ``now`` in seconds."""
        self._samples.append((now, cpus))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def expected_cpus(self) -> float:
        """Return the CPUs to keep free for jobs with objectives.

        This is the mean of the average and the peak of the samples. With the average alone,
        best-effort jobs would occupy the CPUs needed at every second peak; with the peak
        alone, many CPUs would stay idle.
        """
        samples = [cpus for _, cpus in self._samples]
        return (sum(samples) / len(samples) + max(samples)) / 2 if samples else 0.0
