"""A short run of random users, failures and repeated requests on real node processes."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.random_cluster import run_random_cluster

SECONDS = 45.0


@pytest.mark.slow(70)
def test_random_cluster_with_kills_and_repeated_requests_keeps_rules(tmp_path: Path) -> None:
    summary = run_random_cluster(tmp_path, seed=7, seconds=SECONDS)
    assert summary.broken == []
    assert summary.kills >= SECONDS // 10
    assert summary.starts > summary.jobs > summary.cancelled > 0
    assert summary.holds >= SECONDS // 2
    assert summary.watched[200] > summary.jobs
    assert summary.repeats["POST /do"]
    assert summary.repeats["POST /agent/beat"]
