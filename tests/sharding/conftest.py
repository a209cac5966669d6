"""Fixtures of the tests of sharding."""

from __future__ import annotations

import pytest

from appleshift.sharding import array_partitions


@pytest.fixture
def divide_small_arrays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let arrays of a few tasks be divided, as those of the models are."""
    monkeypatch.setattr(array_partitions, "MIN_TASKS_PER_SHARD", 2)
