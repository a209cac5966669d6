"""The checker itself: a planted breach of each rule is caught."""

from __future__ import annotations

from typing import Any

import pytest

from tests.rules import Rules, Seen

A = {"name": "i-1", "type": "t", "zone": "a", "spot": False}
B = {"name": "i-2", "type": "t", "zone": "b", "spot": False}


def rules_with(**changes: Any) -> Rules:
    spec = {
        "owner": "red", "shape": "array", "pieces": 2, "vcpus": 2.0, "cards": 0.0,
        "rig_kinds": None, "yard": None, "together": False, "spread": False, "loaners": False,
        **changes,
    }  # fmt: skip
    rules = Rules(10.0, {"red": (3.0, 0.0)})
    rules.jobs["job-000001"] = Seen(spec)
    return rules


def answer(rules: Rules, now: float, call: str, status: int, state: str | None = None) -> None:
    rules.answered(now, now, "job-000001", call, status, state)


def rule(rules: Rules) -> set[str]:
    return {breach.split(" ")[0] for breach in rules.broken}


def test_ran_twice_and_quota() -> None:
    rules = rules_with()
    rules.on_machine(1.0, "job-000001/0", A)
    assert not rules.broken
    rules.on_machine(2.0, "job-000001/0", B)
    assert rule(rules) == {"ran_twice", "quota"}


@pytest.mark.parametrize(
    ("changes", "machines"),
    [
        ({"rig_kinds": ["other"]}, [A]),
        ({"yard": "b"}, [A]),
        ({"together": True, "vcpus": 1.0}, [A, B]),
        ({"spread": True, "vcpus": 1.0}, [A, A]),
        ({}, [{**A, "spot": True}]),
    ],
)
def test_wrong_place(changes: dict[str, Any], machines: list[dict[str, Any]]) -> None:
    rules = rules_with(**changes)
    for task, machine in enumerate(machines):
        rules.on_machine(1.0, f"job-000001/{task}", machine)
    assert rule(rules) == {"wrong_place"}


def test_ran_cancelled() -> None:
    rules = rules_with()
    answer(rules, 0.0, "submit", 201, "pending")
    rules.on_machine(1.0, "job-000001/0", A)
    rules.jobs["job-000001"].tried_cancel = True
    answer(rules, 2.0, "cancel", 200, "aborted")
    rules.step(11.9)
    assert not rules.broken
    rules.step(12.1)
    assert rule(rules) == {"ran_cancelled"}


def test_forgotten() -> None:
    for call, status in (("poll", 404), ("submit", 400), ("submit", 422)):
        rules = rules_with()
        answer(rules, 0.0, "submit", 201, "pending")
        answer(rules, 1.0, call, status)
        assert rule(rules) == {"forgotten"}


def test_invented_and_not_done() -> None:
    rules = rules_with()
    rules.answered(0.0, 0.0, "job-000009", "poll", 200, "pending")
    answer(rules, 1.0, "poll", 200, "done")
    assert rule(rules) == {"invented", "not_done"}


def test_went_back() -> None:
    rules = rules_with()
    answer(rules, 1.0, "poll", 200, "aborted")
    assert rule(rules) == {"went_back"}
    rules = rules_with(pieces=0)
    answer(rules, 1.0, "poll", 200, "done")
    answer(rules, 2.0, "poll", 200, "running")
    assert rule(rules) == {"went_back"}
