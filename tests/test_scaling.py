"""The planner against the paper's formulas, and where the users' world differs."""

from __future__ import annotations

import math
import random

import pytest

from appleshift.coordination.scaling import (
    Market,
    find_plan,
    highest_price,
    machines_for,
    plan_with,
)

MARKETS = [Market(kind, 0, 1.0, price) for kind, price in enumerate([0.25, 0.3, 0.35, 0.9])]


def test_each_group_alone_holds_the_quota() -> None:
    plan = plan_with(12.0, 0, 1.0, [], MARKETS[:3], spare=1, max_groups=3)
    assert plan is not None
    # Q = 12 / (3 - 1): any one of three groups of 6 may vanish.
    assert [machines for _, machines in plan.groups] == [6, 6, 6]
    assert plan.steady == 0


def test_highest_price_never_costs_more_than_all_steady() -> None:
    assert highest_price(12.0, 4, 1.0, groups=2, machines=8) == pytest.approx(8.0 / 16.0)
    dear = [Market(kind, 0, 1.0, 0.7) for kind in range(3)]
    assert find_plan(12.0, 0, 1.0, [], dear, 1, 3).groups == ()


def test_no_eligible_mix_means_all_steady() -> None:
    plan = find_plan(5.5, 0, 1.0, [], MARKETS[:1], spare=1, max_groups=4)
    assert (plan.steady, plan.groups) == (6, ())


def test_current_groups_stay() -> None:
    current = [MARKETS[2]]
    plan = find_plan(8.0, 0, 1.0, current, MARKETS[:2], 1, 4)
    assert MARKETS[2] in [market for market, _ in plan.groups]


def test_the_floor_holds() -> None:
    assert find_plan(8.0, 3, 1.0, [], MARKETS[:3], 1, 3).steady >= 3
    assert find_plan(0.0, 2, 1.0, [], MARKETS[:3], 1, 3).steady == 2


def test_what_a_market_does_not_give_is_made_up_by_steady_machines() -> None:
    capped = [Market(0, 0, 1.0, 0.25, most=2), Market(1, 0, 1.0, 0.25, most=1)]
    plan = find_plan(6.0, 0, 1.0, [], capped, 1, 4)
    assert plan.steady + sum(machines for _, machines in plan.groups) >= 6
    assert sum(machines for _, machines in plan.groups) == 3


@pytest.mark.parametrize("required", [0.3, 1.0, 7.7, 40.0])
@pytest.mark.parametrize("spare", [0, 1, 2])
def test_safe_whenever_markets_are_not_capped(required: float, spare: int) -> None:
    plan = find_plan(required, 0, 1.0, [], MARKETS, spare, 4)
    held = sorted((m.units * count for m, count in plan.groups), reverse=True)
    assert plan.steady + sum(held[spare:]) >= required - 1e-6 or not plan.groups


@pytest.mark.parametrize("seed", range(60))
def test_stopping_at_the_bound_finds_what_trying_every_count_finds(seed: int) -> None:
    rng = random.Random(seed)
    required, spare, most = rng.uniform(0.0, 90.0), rng.randint(0, 2), rng.randint(3, 6)
    markets = [
        Market(kind, zone, rng.choice([0.5, 1.0, 4.0]), rng.uniform(0.1, 3.0), cap)
        for kind in range(3)
        for zone in range(2)
        for cap in [rng.choice([math.inf, math.inf, 3, 9])]
    ]
    current, others = markets[: rng.randint(0, 2)], markets[2:]
    floor = rng.randint(0, 5)
    every = max(machines_for(required, 1.0), floor)
    plans = [
        plan_with(required, steady, 1.0, current, others, spare, most)
        for steady in range(floor, every + 1)
    ]
    costs = [plan.cost for plan in plans if plan is not None]
    found = find_plan(required, floor, 1.0, current, others, spare, most)
    assert found.cost == pytest.approx(min(costs, default=every * 1.0))
