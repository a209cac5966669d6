"""The paper's planner: steady machines above a floor, the rest as spot groups.

Capacity is measured in steady machines. A plan has ``n`` steady machines and
``s`` spot groups of a single type each; every group alone holds the quota
Q = (R - n) / (s - f), so that any f groups may vanish and R still stands.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SpotType:
    """A type that may form a spot group; ``units``: one machine in steady machines."""

    index: int
    units: float
    price: float


@dataclass(frozen=True, slots=True)
class Plan:
    steady: int
    groups: tuple[tuple[int, int], ...]
    """(type, machines) of each spot group."""
    cost: float


def machines_for(capacity: float, units: float) -> int:
    """The paper's num(c, vm): machines of a type that hold a capacity."""
    if capacity <= 1e-9:
        return 0
    return math.ceil(capacity / units - 1e-9)


def highest_price(
    required: float, steady: int, steady_price: float, groups: int, machines: int
) -> float:
    """tb: the price at which a group costs no more than steady machines would."""
    all_steady = machines_for(required, 1.0) * steady_price
    if machines < 1 or groups < 1:
        return math.inf
    return (all_steady - steady * steady_price) / (groups * machines)


def plan_with(
    required: float,
    steady: int,
    steady_price: float,
    current: list[SpotType],
    others: list[SpotType],
    spare: int,
    max_groups: int,
) -> Plan | None:
    """The cheapest plan with a given number of steady machines (Algorithm 2)."""
    best: Plan | None = None
    fewest = max(len(current), spare + 1)
    most = min(len(current) + len(others), max(max_groups, len(current)))
    for count in range(fewest, most + 1):
        quota = max(0.0, required - steady) / (count - spare)
        eligible = []
        for kind in others:
            machines = machines_for(quota, kind.units)
            if kind.price <= highest_price(required, steady, steady_price, count, machines):
                eligible.append((machines * kind.price, kind.index, kind))
        wanted = count - len(current)
        if len(eligible) < wanted:
            continue
        eligible.sort(key=lambda entry: entry[:2])
        chosen = [*current, *(kind for _, _, kind in eligible[:wanted])]
        groups = tuple((kind.index, machines_for(quota, kind.units)) for kind in chosen)
        cost = steady * steady_price + sum(
            machines * kind.price for kind, (_, machines) in zip(chosen, groups, strict=True)
        )
        if best is None or cost < best.cost - 1e-9:
            best = Plan(steady, groups, cost)
    return best


def find_plan(
    required: float,
    floor: int,
    steady_price: float,
    current: list[SpotType],
    others: list[SpotType],
    spare: int,
    max_groups: int,
) -> Plan:
    """The cheapest plan with at least ``floor`` steady machines (Algorithm 1).

    With no eligible mix it is steady machines only.
    """
    every = machines_for(required, 1.0)
    best = Plan(max(every, floor), (), max(every, floor) * steady_price)
    found = False
    for steady in range(min(floor, every), every + 1):
        plan = plan_with(required, steady, steady_price, current, others, spare, max_groups)
        if plan is not None and (not found or plan.cost < best.cost - 1e-9):
            best, found = plan, True
    if best.steady < floor:
        best = Plan(floor, best.groups, best.cost)
    return best
