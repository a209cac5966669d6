"""Tests of the invariant checker: it reports a planted violation of each rule."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from tests.support.invariants import InvariantChecker, ObservedJob
from tests.support.starvation_check import WaitingCheck

MACHINE_A = {"name": "i-1", "type": "t", "zone": "a", "spot": False}
MACHINE_B = {"name": "i-2", "type": "t", "zone": "b", "spot": False}


def rules_with(**overrides: Any) -> InvariantChecker:
    spec = {
        "owner": "red", "shape": "array", "pieces": 2, "vcpus": 2.0, "cards": 0.0,
        "rig_kinds": None, "yard": None, "together": False, "spread": False, "loaners": False,
        **overrides,
    }  # fmt: skip
    rules = InvariantChecker(10.0, {"red": (3.0, 0.0)})
    rules.jobs["job-000001"] = ObservedJob(spec)
    return rules


def record_response(
    rules: InvariantChecker, now: float, call: str, status: int, state: str | None = None
) -> None:
    rules.record_response(now, now, "job-000001", call, status, state)


def violated_rules(rules: InvariantChecker) -> set[str]:
    return {breach.split(" ")[0] for breach in rules.violations}


def test_invariants_task_on_two_machines_is_reported_as_ran_twice_and_quota() -> None:
    rules = rules_with()
    rules.task_started(1.0, "job-000001/0", MACHINE_A)
    assert not rules.violations
    rules.task_started(2.0, "job-000001/0", MACHINE_B)
    assert violated_rules(rules) == {"ran_twice", "quota"}


@pytest.mark.parametrize(
    ("overrides", "machines"),
    [
        ({"rig_kinds": ["other"]}, [MACHINE_A]),
        ({"yard": "b"}, [MACHINE_A]),
        ({"together": True, "vcpus": 1.0}, [MACHINE_A, MACHINE_B]),
        ({"spread": True, "vcpus": 1.0}, [MACHINE_A, MACHINE_A]),
        ({}, [{**MACHINE_A, "spot": True}]),
    ],
)
def test_invariants_violated_constraint_is_reported_as_wrong_place(
    overrides: dict[str, Any], machines: list[dict[str, Any]]
) -> None:
    rules = rules_with(**overrides)
    for task, machine in enumerate(machines):
        rules.task_started(1.0, f"job-000001/{task}", machine)
    assert violated_rules(rules) == {"wrong_place"}


def test_invariants_task_running_after_cancel_timeout_is_reported_as_ran_cancelled() -> None:
    rules = rules_with()
    record_response(rules, 0.0, "submit", 201, "pending")
    rules.task_started(1.0, "job-000001/0", MACHINE_A)
    rules.jobs["job-000001"].tried_cancel = True
    record_response(rules, 2.0, "cancel", 200, "aborted")
    rules.step(11.9)
    assert not rules.violations
    rules.step(12.1)
    assert violated_rules(rules) == {"ran_cancelled"}


def test_invariants_accepted_job_unknown_later_is_reported_as_forgotten() -> None:
    for call, status in (("poll", 404), ("submit", 400), ("submit", 422)):
        rules = rules_with()
        record_response(rules, 0.0, "submit", 201, "pending")
        record_response(rules, 1.0, call, status)
        assert violated_rules(rules) == {"forgotten"}


def test_invariants_unsubmitted_or_unfinished_job_is_reported_as_invented_or_not_done() -> None:
    rules = rules_with()
    rules.record_response(0.0, 0.0, "job-000009", "poll", 200, "pending")
    record_response(rules, 1.0, "poll", 200, "done")
    assert violated_rules(rules) == {"invented", "not_done"}


def test_invariants_state_regression_is_reported_as_went_back() -> None:
    rules = rules_with()
    record_response(rules, 1.0, "poll", 200, "aborted")
    assert violated_rules(rules) == {"went_back"}
    rules = rules_with(pieces=0)
    record_response(rules, 1.0, "poll", 200, "done")
    record_response(rules, 2.0, "poll", 200, "running")
    assert violated_rules(rules) == {"went_back"}


def test_invariants_response_sent_after_newer_state_is_reported_as_went_back() -> None:
    rules = rules_with()
    rules.jobs["job-000001"].tried_cancel = True
    record_response(rules, 1.0, "submit", 201, "pending")
    record_response(rules, 2.0, "cancel", 200, "aborted")
    # The response was sent before the newer one: the network may reorder their delivery.
    rules.record_response(3.0, 1.5, "job-000001", "poll", 200, "running", 1.9)
    assert not rules.violations
    rules.record_response(3.0, 1.5, "job-000001", "poll", 200, "running", 2.1)
    assert violated_rules(rules) == {"went_back"}


@pytest.mark.parametrize(
    ("status", "broken"),
    [(201, {"accepted_invalid"}), (200, {"accepted_invalid"}), (422, {"wrong_refusal"}),
     (400, set()), (503, set())],
)  # fmt: skip
def test_invariants_wrong_status_for_invalid_submission_is_reported(
    status: int, broken: set[str]
) -> None:
    rules = rules_with()
    rules.jobs["job-000001"].expected_rejection = 400
    record_response(rules, 1.0, "submit", status, "pending")
    assert violated_rules(rules) == broken


def test_invariants_start_after_confirmed_cancellation_is_counted() -> None:
    rules = rules_with()
    rules.jobs["job-000001"].tried_cancel = True
    record_response(rules, 1.0, "submit", 201, "pending")
    record_response(rules, 2.0, "cancel", 200, "aborted")
    rules.task_started(3.0, "job-000001/0", MACHINE_A)
    assert rules.starts_after_cancellation == 1
    assert not rules.violations


@pytest.mark.parametrize(("started_count", "violation_count"), [(3, 0), (2, 0), (1, 2), (0, 4)])
def test_invariants_less_than_half_of_jobs_served_is_reported(
    started_count: int, violation_count: int
) -> None:
    """Four jobs of one class and team; the last one is the largest."""
    rules = InvariantChecker(10.0, {"red": (0.0, 0.0)})
    for number in range(4):
        spec = {"owner": "red", "workload": "c", "pieces": 1 + (number == 3)}
        job = rules.jobs[f"job-{number:06d}"] = ObservedJob(spec, accepted=True, accepted_at=1.0)
        job.started_at = 5.0 if number >= 4 - started_count else None
    assert len(rules.unserved_groups(30.0, 240.0)) == violation_count
    late = rules.jobs["job-000003"]
    late.started_at = 300.0
    assert any("begun late" in what for what in rules.unserved_groups(400.0, 240.0))


def worker(**overrides: Any) -> Any:
    kind = {"label": "t", "vcpus": 4.0, "cards": 0.0, "ram_gb": 16.0}
    rig = SimpleNamespace(kind=kind, zone="a", spot=False, **overrides)
    return SimpleNamespace(machine=rig, dead=False, paused=False, fails_tasks=False, tasks={})


@pytest.mark.parametrize(
    ("overrides", "stranded"),
    [
        ({}, True),
        ({"vcpus": 5.0}, False),
        ({"yard": "b"}, False),
        ({"shape": "ensemble", "pieces": 2}, True),
        ({"shape": "ensemble", "pieces": 3}, False),
        ({"owner": "blue"}, False),
    ],
)
def test_starvation_check_job_waiting_beside_free_capacity_is_reported(
    overrides: dict[str, Any], stranded: bool
) -> None:
    """The only machine has four free CPUs; the quota of team blue is one CPU."""
    spec = {
        "owner": "red", "shape": "array", "pieces": 2, "vcpus": 2.0, "cards": 0.0, "ram_gb": 2.0,
        "rig_kinds": None, "yard": None, "together": False, "spread": False, "loaners": False,
        **overrides,
    }  # fmt: skip
    rules = InvariantChecker(10.0, {"red": (0.0, 0.0), "blue": (1.0, 0.0)})
    rules.jobs["job-000001"] = ObservedJob(spec, accepted=True, accepted_at=1.0)
    check = WaitingCheck(rules, {"m": worker()})
    for second in range(100):
        check.step(float(second))
    assert not rules.violations, "reported although the faults are not over"
    rules.faults_ended_at = 100.0
    for second in range(100, 300):
        check.step(float(second))
    assert violated_rules(rules) == ({"stranded"} if stranded else set())
