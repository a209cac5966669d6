"""Seeded days on which answers between nodes are up to 2 s late and users ask at all nodes."""

from __future__ import annotations

import pytest

from appleshift.leader_election.read_leases import ReadLeases
from tests.support.overlapping_failures import play_all_faults

PLANTED_SEEDS = (21001, 21006)


# Guards against answers that are passed on after a newer one (review/3), among all other faults.
@pytest.mark.parametrize("sharded", [False, True])
@pytest.mark.parametrize("seed", [21001, 21005])
@pytest.mark.slow(40)
def test_slow_answers_between_nodes_keep_invariants(seed: int, sharded: bool) -> None:
    result = play_all_faults(seed, sharded=sharded, with_slow_peer_answers=True)
    assert result.broken == ""
    assert result.event_counts["slow answer between nodes"] >= 5


@pytest.mark.slow(40)
def test_planted_leader_that_waits_for_no_read_lease_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ReadLeases, "remaining_s", lambda *arguments: 0.0)
    results = [play_all_faults(seed, with_slow_peer_answers=True) for seed in PLANTED_SEEDS]
    assert any("went_back" in result.broken for result in results)
