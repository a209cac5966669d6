"""The paper's planner: steady machines above a floor, the rest as spot groups.

Capacity is measured in steady machines. A plan has ``n`` steady machines and
``s`` spot groups, each of one market (a type in a zone); every group alone
holds the quota Q = (R - n) / (s - f), so that any f groups may vanish and R
still stands. A market that has refused machines is capped at what it has given.
What the groups then lack of R itself is made up by steady machines; spare
capacity is only ever bought at spot prices.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SpotMarket:
    """A type in a zone; ``units``: one machine in steady machines."""

    kind: int
    zone: int
    units: float
    price: float
    max_machines: float = math.inf
    """Machines that it is known to give."""


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    on_demand: int
    groups: tuple[tuple[SpotMarket, int], ...]
    """Each group's market and its machines."""
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
    if machines < 1 or groups < 1:
        return math.inf
    all_steady = machines_for(required, 1.0) * steady_price
    return (all_steady - steady * steady_price) / (groups * machines)


def group_counts(current: int, others: int, spare: int, max_groups: int) -> range:
    """How many groups a plan may have; those there are stay."""
    return range(max(current, spare + 1), min(current + others, max(max_groups, current)) + 1)


@dataclass(frozen=True, slots=True)
class GroupMixes:
    """All that plans for a required capacity are made of."""

    required: float
    steady_price: float
    current: list[SpotMarket]
    """Groups there are, which stay."""
    others: list[SpotMarket]
    spare: int

    def quota(self, steady: int, count: int) -> float:
        return max(0.0, self.required - steady) / (count - self.spare)

    def mix(self, steady: int, count: int) -> CapacityPlan | None:
        """A given number of steady machines and of groups, if so many are eligible."""
        required, price = self.required, self.steady_price
        quota = self.quota(steady, count)
        eligible = []
        for market in self.others:
            machines = machines_for(quota, market.units)
            if market.price <= highest_price(required, steady, price, count, machines):
                eligible.append((machines * market.price, market.kind, market.zone, market))
        wanted = count - len(self.current)
        if len(eligible) < wanted:
            return None
        eligible.sort(key=lambda entry: entry[:3])
        groups = []
        missing, cost = required - steady, steady * price
        for market in [*self.current, *(entry[3] for entry in eligible[:wanted])]:
            machines = int(min(machines_for(quota, market.units), market.max_machines))
            if machines:
                groups.append((market, machines))
            missing -= machines * market.units
            cost += machines * market.price
        extra = machines_for(missing, 1.0)
        return CapacityPlan(steady + extra, tuple(groups), cost + extra * price)

    def same_until(self, steady: int, count: int) -> int:
        """The next number of steady machines at which a mix of so many groups changes.

        Until a group loses a machine or a market its eligibility, one more steady
        machine saves at most the one that makes up what the groups lack: no plan
        in between is cheaper than the first.
        """
        quota = self.quota(steady, count)
        changes = []
        for market in (*self.current, *self.others):
            machines = machines_for(quota, market.units)
            if market in self.current and machines > market.max_machines:
                # It holds what its market gives, until the quota is below that.
                machines = int(market.max_machines) + 1
            if machines:
                left = (machines - 1) * market.units * (count - self.spare)
                changes.append(self.required - left)
        every = machines_for(self.required, 1.0)
        for market in self.others if self.steady_price > 0 else ():
            taken = machines_for(quota, market.units) * count * market.price
            dear_from = every - taken / self.steady_price
            if taken and dear_from >= steady:
                changes.append(dear_from)
        # Rounded down by a hair: a step too short costs time, one too long a plan.
        return max(steady + 1, math.ceil(min(changes, default=every + 1) - 1e-6))


def least_cost(
    required: float, steady: int, steady_price: float, markets: list[SpotMarket]
) -> float:
    """What no plan with that many steady machines can undercut.

    Machines are not divisible and groups hold spares, so a real plan costs at
    least what dividing the markets' machines freely would.
    """
    cost = steady * steady_price
    missing = max(0.0, required - steady)
    for market in sorted(markets, key=lambda market: market.price / market.units):
        if missing <= 0 or market.price >= steady_price * market.units:
            break
        taken = min(missing, market.max_machines * market.units)
        cost += taken / market.units * market.price
        missing -= taken
    return cost + missing * steady_price


def find_plan(
    required: float,
    floor: int,
    steady_price: float,
    current: list[SpotMarket],
    others: list[SpotMarket],
    spare: int,
    max_groups: int,
) -> CapacityPlan:
    """The cheapest plan with at least ``floor`` steady machines (Algorithm 1).

    With no eligible mix it is steady machines only.
    """
    every = max(machines_for(required, 1.0), floor)
    best: CapacityPlan | None = None
    markets = [*current, *others]
    mixes = GroupMixes(required, steady_price, current, others, spare)
    due = dict.fromkeys(group_counts(len(current), len(others), spare, max_groups), floor)
    steady = floor
    while due and steady <= every:
        least = least_cost(required, steady, steady_price, markets)
        if best is not None and best.cost <= least + 1e-9:
            # Neither this count nor a larger one can be cheaper: the bound
            # only grows, since a steady machine replaces what costs no more.
            break
        for count in [count for count, at in due.items() if at <= steady]:
            plan = mixes.mix(steady, count)
            if plan is not None and (best is None or plan.cost < best.cost - 1e-9):
                best = plan
            due[count] = mixes.same_until(steady, count)
        steady = min(due.values())
    return best or CapacityPlan(every, (), every * steady_price)
