"""Limits a recurring task to a share of the time."""

from __future__ import annotations

from collections.abc import Callable


class TimeBudget:
    """Limits a recurring task to a share of wall-clock time.

    After each run, the task pauses in proportion to the run's duration. If the processor is
    overloaded, runs take longer and thus become rarer, which leaves more time to other tasks.
    Each run of the task is a ``with`` block on this object.
    """

    def __init__(self, clock: Callable[[], float], share: float) -> None:
        """``clock`` returns seconds; ``share`` is above 0 and at most 1."""
        self._clock = clock
        self._pause_factor = 1.0 / share - 1.0
        self._next_run_at = 0.0
        self._started_at = 0.0

    def is_due(self) -> bool:
        """Return whether the pause after the last run is over."""
        return self._clock() >= self._next_run_at

    def __enter__(self) -> None:
        """Start a run of the task."""
        self._started_at = self._clock()

    def __exit__(self, *_: object) -> None:
        """End a run and start a pause in proportion to its duration."""
        now = self._clock()
        self._next_run_at = now + (now - self._started_at) * self._pause_factor
