"""Tests of the capacity planner: formulas of the paper and where the planner differs."""

from __future__ import annotations

import math
import random

import pytest

from appleshift.provisioning.planner import (
    CandidatePlans,
    CapacityPlan,
    SpotMarket,
    break_even_price,
    find_plan,
    group_counts,
    machines_for,
)

MARKETS = [
    SpotMarket(type_index, 0, 1.0, price) for type_index, price in enumerate([0.25, 0.3, 0.35, 0.9])
]


def test_capacity_plan_losing_any_one_spot_group_still_meets_demand() -> None:
    plan = CandidatePlans(12.0, 1.0, [], MARKETS[:3], spare=1).plan_for(0, 3)
    assert plan is not None
    # Q = 12 / (3 - 1) = 6: any two of the three groups provide the required 12 units.
    assert [machines for _, machines in plan.groups] == [6, 6, 6]
    assert plan.on_demand == 0


def test_capacity_plan_break_even_price_never_costs_more_than_on_demand() -> None:
    assert break_even_price(12.0, 4, 1.0, groups=2, machines=8) == pytest.approx(8.0 / 16.0)
    expensive = [SpotMarket(type_index, 0, 1.0, 0.7) for type_index in range(3)]
    assert find_plan(12.0, 0, 1.0, [], expensive, 1, 3).groups == ()


def test_capacity_plan_without_eligible_groups_is_all_on_demand() -> None:
    plan = find_plan(5.5, 0, 1.0, [], MARKETS[:1], spare=1, max_groups=4)
    assert (plan.on_demand, plan.groups) == (6, ())


def test_capacity_plan_keeps_current_spot_groups() -> None:
    current = [MARKETS[2]]
    plan = find_plan(8.0, 0, 1.0, current, MARKETS[:2], 1, 4)
    assert MARKETS[2] in [market for market, _ in plan.groups]


def test_capacity_plan_keeps_on_demand_minimum() -> None:
    assert find_plan(8.0, 3, 1.0, [], MARKETS[:3], 1, 3).on_demand >= 3
    assert find_plan(0.0, 2, 1.0, [], MARKETS[:3], 1, 3).on_demand == 2


def test_capacity_plan_on_demand_machines_make_up_for_capped_spot_markets() -> None:
    capped = [
        SpotMarket(0, 0, 1.0, 0.25, max_machines=2),
        SpotMarket(1, 0, 1.0, 0.25, max_machines=1),
    ]
    plan = find_plan(6.0, 0, 1.0, [], capped, 1, 4)
    assert plan.on_demand + sum(machines for _, machines in plan.groups) >= 6
    assert sum(machines for _, machines in plan.groups) == 3


@pytest.mark.parametrize("required", [0.3, 1.0, 7.7, 40.0])
@pytest.mark.parametrize("spare", [0, 1, 2])
def test_capacity_plan_with_uncapped_markets_survives_loss_of_spare_groups(
    required: float, spare: int
) -> None:
    plan = find_plan(required, 0, 1.0, [], MARKETS, spare, 4)
    group_units = sorted((m.units * count for m, count in plan.groups), reverse=True)
    assert plan.on_demand + sum(group_units[spare:]) >= required - 1e-6 or not plan.groups


def random_markets(rng: random.Random) -> list[SpotMarket]:
    return [
        SpotMarket(
            type_index, zone, rng.choice([0.5, 1.0, 4.0, 16.0]), rng.uniform(0.1, 3.0), max_machines
        )
        for type_index in range(3)
        for zone in range(2)
        for max_machines in [rng.choice([math.inf, math.inf, 3, 9])]
    ]


@pytest.mark.parametrize("seed", range(300))
def test_capacity_plan_pruned_search_matches_exhaustive_search(seed: int) -> None:
    rng = random.Random(seed)
    required, spare, max_groups = rng.uniform(0.0, 90.0), rng.randint(0, 2), rng.randint(3, 6)
    markets = random_markets(rng)
    current_count = rng.randint(0, 5)
    current, others = markets[:current_count], markets[current_count:]
    min_on_demand, price = rng.randint(0, 5), rng.choice([1.0, 0.7, 2.3])
    max_on_demand = max(machines_for(required, 1.0), min_on_demand)
    best: CapacityPlan | None = None
    for on_demand in range(min_on_demand, max_on_demand + 1):
        for count in group_counts(len(current), len(others), spare, max_groups):
            plan = CandidatePlans(required, price, current, others, spare).plan_for(
                on_demand, count
            )
            if plan is not None and (best is None or plan.cost < best.cost - 1e-9):
                best = plan
    found_plan = find_plan(required, min_on_demand, price, current, others, spare, max_groups)
    assert found_plan == (best or CapacityPlan(max_on_demand, (), max_on_demand * price))


@pytest.mark.parametrize(("max_machines", "max_plans"), [(math.inf, 150), (50.0, 40)])
def test_capacity_plan_for_large_deployment_builds_few_plans(
    monkeypatch: pytest.MonkeyPatch, max_machines: float, max_plans: int
) -> None:
    """The search once built 360 and 904 plans here, which was most of the leader's work."""
    built = []
    plan_for = CandidatePlans.plan_for

    def recorded_plan_for(self: CandidatePlans, on_demand: int, count: int) -> CapacityPlan | None:
        built.append((on_demand, count))
        return plan_for(self, on_demand, count)

    monkeypatch.setattr(CandidatePlans, "plan_for", recorded_plan_for)
    sizes, prices = (1.0, 16.0), (0.06, 0.9)
    markets = [
        SpotMarket(k, z, sizes[k], prices[k], max_machines) for k in (0, 1) for z in range(4)
    ]
    find_plan(1260.0, 200, 0.2, markets[:5], markets[5:], 1, 8)
    assert 0 < len(built) < max_plans
