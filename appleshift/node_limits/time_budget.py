"""Keeps a recurring task to a share of the time."""

from __future__ import annotations

from collections.abc import Callable


class TimeBudget:
    """Limits a recurring task to a share of the time that passes.

    Wall-clock time counts: if the processor is short, the task takes longer and so runs
    less often, which leaves more to the others. A run is a ``with`` block.
    """

    def __init__(self, clock: Callable[[], float], share: float) -> None:
        """``clock`` gives seconds; ``share`` is between 0 and 1."""
        self._clock = clock
        self._pause_factor = 1.0 / share - 1.0
        self._next_run = 0.0
        self._started = 0.0

    def is_due(self) -> bool:
        """Whether the pause after the last run is over."""
        return self._clock() >= self._next_run

    def __enter__(self) -> None:
        """Start a run."""
        self._started = self._clock()

    def __exit__(self, *_: object) -> None:
        """End a run and start the pause that follows from its duration."""
        now = self._clock()
        self._next_run = now + (now - self._started) * self._pause_factor
