"""How much capacity the jobs of a pool need, and those that will arrive soon."""

from __future__ import annotations

from collections.abc import Iterator

from appleshift.provisioning.pool_view import PoolView
from appleshift.state.entities import Job
from appleshift.state.states import OPEN

PROMPT_BOOTS = 2.0
"""Jobs that may wait for this many boots can be rented for when they arrive."""
MIN_WINDOW_DIVISOR = 3
"""Arrivals are averaged over at least the window divided by this, or the jobs that are there
when a term starts would look like a stream."""
CPUS, GPUS = 0, 1
"""Positions in a sum of resources, which is ``[CPUs, GPUs, GB of memory]``."""


def required_capacity(pool: PoolView, now: float) -> tuple[float, float]:
    """The required units, and the part that may not be spot machines, over all shards."""
    unit = pool.cluster.types[pool.on_demand_type]
    total, on_demand_only = needed_resources(pool, now)
    sharding = pool.fleet.scheduler.sharding
    if sharding is not None:
        total, on_demand_only = sharding.needed_capacity(pool.gpus, (total, on_demand_only))
    unit_sizes = (unit.cpus, unit.gpus, unit.memory_gb)

    def in_units(sums: list[float]) -> float:
        return max(amount / size for amount, size in zip(sums, unit_sizes, strict=True) if size > 0)

    return in_units(total), in_units(on_demand_only)


def needed_resources(pool: PoolView, now: float) -> tuple[list[float], list[float]]:
    """CPUs, GPUs and GB that this shard's jobs need: all, and without spot machines."""
    total = [0.0, 0.0, 0.0]
    on_demand_only = [0.0, 0.0, 0.0]
    if pool.on_demand_type < 0:
        return total, on_demand_only
    for job, tasks in _needed_tasks(pool):
        spec = job.spec
        for sums in (total, on_demand_only) if not spec.spot else (total,):
            sums[0] += tasks * spec.cpus
            sums[1] += tasks * spec.gpus
            sums[2] += tasks * spec.memory_gb
    _add_expected_arrivals(pool, now, total, on_demand_only)
    return total, on_demand_only


def _needed_tasks(pool: PoolView) -> Iterator[tuple[Job, int]]:
    """The pool's open jobs, each with the tasks that may run at once."""
    cluster = pool.cluster
    counted = pool.fleet.scheduler.counted_resources
    caps = counted.capped_tasks(cluster.jobs.values()) if counted is not None else {}
    for job in cluster.jobs.values():
        spec = job.spec
        if job.status != OPEN or (spec.gpus > 0) != pool.gpus:
            continue
        # Tasks that wait for counted resources need no machine yet, nor do replicas that
        # may run nowhere but in an unreachable zone.
        max_tasks = min(caps.get(job.index, spec.tasks), _max_spread_tasks(pool, job))
        tasks = min(job.remaining(), max_tasks)
        limits = cluster.teams[job.team].limits
        if spec.gpus > 0 and limits.gpus_max > 0:
            tasks = min(tasks, int(limits.gpus_max / spec.gpus))
        if spec.gpus <= 0 and limits.cpus_max > 0 and spec.cpus > 0:
            tasks = min(tasks, int(limits.cpus_max / spec.cpus))
        yield job, tasks


def _max_spread_tasks(pool: PoolView, job: Job) -> int:
    """How many of a job's tasks the reachable zones may take."""
    if not job.spec.spread:
        return job.spec.tasks
    return pool.reachable_zones * ((job.spec.tasks + 1) // 2)


def _add_expected_arrivals(
    pool: PoolView, now: float, total: list[float], on_demand_only: list[float]
) -> None:
    """Add what will arrive while a machine boots, as much as arrived lately."""
    operator, arrivals = pool.fleet.operator, pool.fleet.arrivals
    boot_s = pool.cluster.types[pool.on_demand_type].boot_s
    first = min((entry[0] for entry in arrivals), default=now)
    window_s = min(
        operator.warm_window_s, max(now - first, operator.warm_window_s / MIN_WINDOW_DIVISOR)
    )
    share = boot_s * operator.headroom / window_s
    position = GPUS if pool.gpus else CPUS
    for _, cpus, gpus, spot, accepted_wait_s in arrivals:
        # Jobs that may wait longer than machines take to boot need none in advance.
        if (gpus > 0) == pool.gpus and accepted_wait_s < PROMPT_BOOTS * boot_s:
            expected = (gpus if pool.gpus else cpus) * share
            total[position] += expected
            on_demand_only[position] += 0.0 if spot else expected
