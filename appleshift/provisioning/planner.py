"""The capacity planner: on-demand machines above a floor, the rest as spot groups.

Capacity is measured in on-demand machines (units). A plan has ``n`` on-demand machines and
``s`` spot groups, each of one market (a type in a zone); every group alone holds the quota
Q = (R - n) / (s - f) of the required capacity R, so that any f groups may vanish and R still
stands. A market that has refused machines is capped at what it has given. What the groups
then lack of R itself is made up by on-demand machines; spare capacity is only ever bought at
spot prices.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

EPSILON = 1e-9
"""Differences of capacity or cost below this are rounding errors."""


@dataclass(frozen=True, slots=True)
class SpotMarket:
    """The spot machines of one type in one zone."""

    type_index: int
    zone: int
    units: float
    """Capacity of one machine, in on-demand machines."""
    price: float
    max_machines: float = math.inf
    """How many machines it is known to give."""


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """A mix of on-demand machines and spot groups, and its price."""

    on_demand: int
    groups: tuple[tuple[SpotMarket, int], ...]
    """Each group's market and its number of machines."""
    cost: float


def machines_for(capacity: float, units: float) -> int:
    """How many machines of ``units`` each hold a capacity; ``num(c, vm)`` of the paper."""
    if capacity <= EPSILON:
        return 0
    return math.ceil(capacity / units - EPSILON)


def highest_price(
    required: float, on_demand: int, on_demand_price: float, groups: int, machines: int
) -> float:
    """The price at which a group costs no more than on-demand machines; ``tb`` of the paper."""
    if machines < 1 or groups < 1:
        return math.inf
    all_on_demand_cost = machines_for(required, 1.0) * on_demand_price
    return (all_on_demand_cost - on_demand * on_demand_price) / (groups * machines)


def group_counts(current: int, others: int, spare: int, max_groups: int) -> range:
    """How many groups a plan may have; the current ones stay."""
    return range(max(current, spare + 1), min(current + others, max(max_groups, current)) + 1)


@dataclass(frozen=True, slots=True)
class GroupMixes:
    """The input from which plans for a required capacity are made."""

    required: float
    on_demand_price: float
    current: list[SpotMarket]
    """Markets of the current groups, which stay."""
    others: list[SpotMarket]
    spare: int
    """How many groups may vanish while the rest holds the required capacity."""

    def quota(self, on_demand: int, count: int) -> float:
        """The units that each of ``count`` groups holds."""
        return max(0.0, self.required - on_demand) / (count - self.spare)

    def mix(self, on_demand: int, count: int) -> CapacityPlan | None:
        """The plan with so many on-demand machines and groups; None if too few are eligible."""
        required, price = self.required, self.on_demand_price
        quota = self.quota(on_demand, count)
        eligible = []
        for market in self.others:
            machines = machines_for(quota, market.units)
            if market.price <= highest_price(required, on_demand, price, count, machines):
                eligible.append((machines * market.price, market.type_index, market.zone, market))
        wanted = count - len(self.current)
        if len(eligible) < wanted:
            return None
        eligible.sort(key=lambda entry: entry[:3])
        groups = []
        missing, cost = required - on_demand, on_demand * price
        for market in [*self.current, *(entry[3] for entry in eligible[:wanted])]:
            machines = int(min(machines_for(quota, market.units), market.max_machines))
            if machines:
                groups.append((market, machines))
            missing -= machines * market.units
            cost += machines * market.price
        extra = machines_for(missing, 1.0)
        return CapacityPlan(on_demand + extra, tuple(groups), cost + extra * price)

    def same_until(self, on_demand: int, count: int) -> int:
        """The next number of on-demand machines at which a mix of so many groups changes.

        Until a group loses a machine or a market its eligibility, one more on-demand machine
        saves at most the one that makes up what the groups lack: no plan in between is
        cheaper than the first.
        """
        quota = self.quota(on_demand, count)
        changes = []
        for market in (*self.current, *self.others):
            machines = machines_for(quota, market.units)
            if market in self.current and machines > market.max_machines:
                # It holds what its market gives, until the quota is below that.
                machines = int(market.max_machines) + 1
            if machines:
                covered = (machines - 1) * market.units * (count - self.spare)
                changes.append(self.required - covered)
        all_on_demand = machines_for(self.required, 1.0)
        for market in self.others if self.on_demand_price > 0 else ():
            cost = machines_for(quota, market.units) * count * market.price
            ineligible_from = all_on_demand - cost / self.on_demand_price
            if cost and ineligible_from >= on_demand:
                changes.append(ineligible_from)
        # Rounded down a little: a step too short costs time, one too long skips a plan.
        return max(on_demand + 1, math.ceil(min(changes, default=all_on_demand + 1) - 1e-6))


def least_cost(
    required: float, on_demand: int, on_demand_price: float, markets: list[SpotMarket]
) -> float:
    """A lower bound of the cost of plans with so many on-demand machines.

    Machines are not divisible and groups hold spare capacity, so a plan costs at least what
    dividing the markets' machines freely would.
    """
    cost = on_demand * on_demand_price
    missing = max(0.0, required - on_demand)
    for market in sorted(markets, key=lambda market: market.price / market.units):
        if missing <= 0 or market.price >= on_demand_price * market.units:
            break
        covered = min(missing, market.max_machines * market.units)
        cost += covered / market.units * market.price
        missing -= covered
    return cost + missing * on_demand_price


def find_plan(
    required: float,
    floor: int,
    on_demand_price: float,
    current: list[SpotMarket],
    others: list[SpotMarket],
    spare: int,
    max_groups: int,
) -> CapacityPlan:
    """The cheapest plan with at least ``floor`` on-demand machines (Algorithm 1 of the paper).

    Without an eligible mix it has on-demand machines only.
    """
    max_on_demand = max(machines_for(required, 1.0), floor)
    best: CapacityPlan | None = None
    markets = [*current, *others]
    mixes = GroupMixes(required, on_demand_price, current, others, spare)
    # By number of groups: the next number of on-demand machines to try.
    next_tries = dict.fromkeys(group_counts(len(current), len(others), spare, max_groups), floor)
    on_demand = floor
    while next_tries and on_demand <= max_on_demand:
        lower_bound = least_cost(required, on_demand, on_demand_price, markets)
        if best is not None and best.cost <= lower_bound + EPSILON:
            # Neither this number nor a larger one can be cheaper: the bound only grows,
            # since an on-demand machine replaces what costs no more.
            break
        for count in [count for count, at in next_tries.items() if at <= on_demand]:
            plan = mixes.mix(on_demand, count)
            if plan is not None and (best is None or plan.cost < best.cost - EPSILON):
                best = plan
            next_tries[count] = mixes.same_until(on_demand, count)
        on_demand = min(next_tries.values())
    return best or CapacityPlan(max_on_demand, (), max_on_demand * on_demand_price)
