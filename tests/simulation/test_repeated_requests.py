"""Requests of each kind that are carried out once more after their answer (docs/design.md)."""

from __future__ import annotations

import pytest

from appleshift.protocol import license_server, peers, sharding
from appleshift.protocol.operator import OperatorSettings
from tests.counted_resources import test_counted_resources_simulation as licences
from tests.heartbeat_ingest import test_heartbeat_ingest as relays
from tests.support.fault_injection import (
    cancel_now,
    crash_leader,
    end_faults,
    fail_tasks_of_machine,
    inject_faults,
    late_commands,
    quick_restarts,
    reclaim_spot_machines,
    repeated_requests,
)
from tests.support.overlapping_failures import SHARDED_OPERATOR, RunResult, play
from tests.support.planted_tokens import clear_under_the_token_of_the_start

FAULTS = (
    repeated_requests, repeated_requests, quick_restarts, cancel_now, late_commands,
    fail_tasks_of_machine, crash_leader, reclaim_spot_machines,
)  # fmt: skip
REPEATED = {
    "POST /do", "POST /agent/beat", "POST /txn", "POST /leases", "POST /leases/*/renew",
    "DELETE /leases/*", "POST /machines", "POST /machines/delete", "POST /submissions",
    "POST /submissions/*/abort", f"POST {peers.LEASE_VOTE_PATH}",
}  # fmt: skip
SHARE = 0.3


def play_with_repeats(seed: int, operator: OperatorSettings | None = None) -> RunResult:
    return play(seed, faults=FAULTS, operator=operator)


def repeated_kinds(days: list[RunResult]) -> set[str]:
    names = {name for day in days for name in day.event_counts}
    return {name.removeprefix("again: ") for name in names if name.startswith("again: ")}


@pytest.mark.slow(60)
def test_simulated_days_with_repeated_requests_of_all_kinds_keep_invariants() -> None:
    days = [play_with_repeats(seed) for seed in (9002, 9004, 9008)]
    assert [(day.seed, day.broken) for day in days if day.broken] == []
    assert repeated_kinds(days) >= REPEATED


@pytest.mark.slow(40)
def test_simulated_days_with_repeated_calls_between_shards_keep_invariants() -> None:
    days = [play_with_repeats(seed, SHARDED_OPERATOR) for seed in (9001, 9003)]
    assert [(day.seed, day.broken) for day in days if day.broken] == []
    assert f"POST {sharding.SHARD_CALL_PATH}" in repeated_kinds(days)


@pytest.mark.slow(20)
def test_relayed_heartbeats_that_arrive_again_keep_invariants() -> None:
    world = relays.crowded_world(4)
    try:
        world.repeater.share = SHARE
        world.sim.after(90.0, lambda: end_faults(world))
        for at in (30.0, 60.0):
            world.sim.after(at, lambda: [host.crash(0.2) for host in world.leaders()][:0])
        world.run(220.0)
        assert world.repeater.repeats[f"POST {peers.HEARTBEAT_BATCH_PATH}"]
        assert world.invariants.starts > 20
        assert relays.unfinished_arrays(world) == []
    finally:
        world.close()


@pytest.mark.slow(20)
def test_license_requests_that_arrive_again_use_no_unit_twice() -> None:
    world = licences.create_world(5)
    try:
        licences.submit_jobs(world, 30, 70.0)
        world.repeater.share = SHARE
        inject_faults(world, 90.0, 8.0, (quick_restarts, crash_leader, cancel_now))
        world.sim.after(100.0, lambda: end_faults(world))
        licences.end_services(world, 105.0)
        world.run(260.0)
        assert world.licences is not None
        assert world.repeater.repeats[f"POST {license_server.reservation_path('served')}"]
        assert world.licences.over_issued == []
        assert world.licences.refused_check_outs == []
        assert licences.unfinished_jobs(world) == []
    finally:
        world.close()


@pytest.mark.slow(20)
def test_planted_clear_under_the_token_of_the_start_is_detected_by_repeated_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clear_under_the_token_of_the_start(monkeypatch)
    assert any("ran_" in play_with_repeats(seed).broken for seed in range(9013, 9016))
