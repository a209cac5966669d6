"""Capacity planner: finds the cheapest mix of on-demand machines and spot groups.

Capacity is measured in units: one unit is the capacity of one on-demand machine. A plan has
at least a minimum number of on-demand machines.

A plan with ``n`` on-demand machines has ``s`` spot groups. A spot group consists of the spot
machines of one market, a machine type in a zone. Each group holds Q = (R - n) / (s - f) units
of the required capacity R, so R is still available after the loss of any ``f`` groups.

A market that has refused machines is capped at the number it has provided. If the groups
then provide less than R - n units, on-demand machines make up the difference. Spare capacity
beyond R is bought at spot prices only.
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
    """Most machines that the market can provide, as far as is known."""


@dataclass(frozen=True, slots=True)
class CapacityPlan:
    """A number of on-demand machines, the spot groups, and the cost of both."""

    on_demand: int
    groups: tuple[tuple[SpotMarket, int], ...]
    """Each group's market and its number of machines."""
    cost: float


def machines_for(capacity: float, units: float) -> int:
    """Return how many machines of ``units`` units each provide ``capacity`` units.

    This is ``num(c, vm)`` of the paper.
    """
    if capacity <= EPSILON:
        return 0
    return math.ceil(capacity / units - EPSILON)


def break_even_price(
    required: float, on_demand: int, on_demand_price: float, groups: int, machines: int
) -> float:
    """Return the spot price up to which a plan costs no more than on-demand machines alone.

    The plan has ``groups`` groups of ``machines`` machines each. This is ``tb`` of the paper.
    """
    if machines < 1 or groups < 1:
        return math.inf
    all_on_demand_cost = machines_for(required, 1.0) * on_demand_price
    return (all_on_demand_cost - on_demand * on_demand_price) / (groups * machines)


def group_counts(current: int, others: int, spare: int, max_groups: int) -> range:
    """Return the numbers of groups that a plan may have; it keeps the ``current`` groups.

    ``others`` is the number of further markets, ``spare`` the number of groups that may be
    lost at the same time.
    """
    return range(max(current, spare + 1), min(current + others, max(max_groups, current)) + 1)


@dataclass(frozen=True, slots=True)
class CandidatePlans:
    """Builds plans for a required capacity, given a number of on-demand machines and groups."""

    required: float
    on_demand_price: float
    current: list[SpotMarket]
    """Markets of the current groups, which every plan keeps."""
    others: list[SpotMarket]
    """Markets without a group."""
    spare: int
    """How many groups may be lost while the rest provides the required capacity."""

    def group_capacity(self, on_demand: int, count: int) -> float:
        """Return the units that each of ``count`` groups provides."""
        return max(0.0, self.required - on_demand) / (count - self.spare)

    def plan_for(self, on_demand: int, count: int) -> CapacityPlan | None:
        """Return the plan with ``on_demand`` machines and ``count`` groups.

        Returns None if fewer than ``count`` markets are eligible. A market that is capped may
        provide less than a group needs; further on-demand machines make up the difference.
        """
        required, price = self.required, self.on_demand_price
        group_capacity = self.group_capacity(on_demand, count)
        eligible = []
        for market in self.others:
            machines = machines_for(group_capacity, market.units)
            if market.price <= break_even_price(required, on_demand, price, count, machines):
                eligible.append((machines * market.price, market.type_index, market.zone, market))
        new_groups = count - len(self.current)
        if len(eligible) < new_groups:
            return None
        eligible.sort(key=lambda entry: entry[:3])
        groups = []
        missing, cost = required - on_demand, on_demand * price
        for market in [*self.current, *(entry[3] for entry in eligible[:new_groups])]:
            machines = int(min(machines_for(group_capacity, market.units), market.max_machines))
            if machines:
                groups.append((market, machines))
            missing -= machines * market.units
            cost += machines * market.price
        extra = machines_for(missing, 1.0)
        return CapacityPlan(on_demand + extra, tuple(groups), cost + extra * price)

    def next_change(self, on_demand: int, count: int) -> int:
        """Return the next number of on-demand machines that may give a cheaper plan.

        A plan with ``count`` groups changes only where a group needs one machine less or a
        market is no longer eligible. Before that, one more on-demand machine saves at most
        one of the on-demand machines that make up for capped markets, so no plan in between
        is cheaper than the plan for ``on_demand``.
        """
        group_capacity = self.group_capacity(on_demand, count)
        changes = []
        for market in (*self.current, *self.others):
            machines = machines_for(group_capacity, market.units)
            if market in self.current and machines > market.max_machines:
                # The group keeps all machines of its market until it needs fewer.
                machines = int(market.max_machines) + 1
            if machines:
                covered = (machines - 1) * market.units * (count - self.spare)
                changes.append(self.required - covered)
        all_on_demand = machines_for(self.required, 1.0)
        for market in self.others if self.on_demand_price > 0 else ():
            cost = machines_for(group_capacity, market.units) * count * market.price
            ineligible_from = all_on_demand - cost / self.on_demand_price
            if cost and ineligible_from >= on_demand:
                changes.append(ineligible_from)
        # Round down slightly: a step that is too short costs time, but a step that is too
        # long skips a plan.
        return max(on_demand + 1, math.ceil(min(changes, default=all_on_demand + 1) - 1e-6))


def cost_lower_bound(
    required: float, on_demand: int, on_demand_price: float, markets: list[SpotMarket]
) -> float:
    """Return a lower bound of the cost of all plans with ``on_demand`` on-demand machines.

    The bound is the cost if machines were divisible and no spare capacity were needed.
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
    min_on_demand: int,
    on_demand_price: float,
    current: list[SpotMarket],
    others: list[SpotMarket],
    spare: int,
    max_groups: int,
) -> CapacityPlan:
    """Return the cheapest plan with at least ``min_on_demand`` on-demand machines.

    The plan has on-demand machines only if too few markets are eligible for spot groups.
    This is Algorithm 1 of the paper.
    """
    max_on_demand = max(machines_for(required, 1.0), min_on_demand)
    best: CapacityPlan | None = None
    markets = [*current, *others]
    candidates = CandidatePlans(required, on_demand_price, current, others, spare)
    # Number of groups -> next number of on-demand machines to try.
    next_on_demand = dict.fromkeys(
        group_counts(len(current), len(others), spare, max_groups), min_on_demand
    )
    on_demand = min_on_demand
    while next_on_demand and on_demand <= max_on_demand:
        lower_bound = cost_lower_bound(required, on_demand, on_demand_price, markets)
        if best is not None and best.cost <= lower_bound + EPSILON:
            # No plan with this many or more on-demand machines is cheaper: the bound never
            # falls, since each on-demand machine replaces spot capacity that costs no more.
            break
        for count in [count for count, at in next_on_demand.items() if at <= on_demand]:
            plan = candidates.plan_for(on_demand, count)
            if plan is not None and (best is None or plan.cost < best.cost - EPSILON):
                best = plan
            next_on_demand[count] = candidates.next_change(on_demand, count)
        on_demand = min(next_on_demand.values())
    return best or CapacityPlan(max_on_demand, (), max_on_demand * on_demand_price)
