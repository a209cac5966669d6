"""Capacity that the open jobs of a pool need, and the jobs expected to arrive soon."""

from __future__ import annotations

from collections.abc import Iterator

from appleshift.provisioning.pool_view import PoolView
from appleshift.state.entities import Job
from appleshift.state.states import OPEN

MIN_WAIT_BOOTS = 2.0
"""No capacity is rented in advance for jobs that may wait this many boot times or longer."""
MIN_WINDOW_DIVISOR = 3
"""Arrivals are averaged over at least the window divided by this value. Otherwise the jobs that
are open at the start of a term would count as a steady arrival rate."""
CPUS, GPUS = 0, 1
"""Indexes into a list of resources, ``[CPUs, GPUs, GB of memory]``."""


def required_capacity(pool: PoolView, now: float) -> tuple[float, float]:
    """Return the units that all shards require: in total, and on on-demand machines only."""
    unit = pool.cluster.types[pool.on_demand_type]
    total, on_demand_only = needed_resources(pool, now)
    sharding = pool.fleet.scheduler.sharding
    if sharding is not None:
        total, on_demand_only = sharding.needed_capacity(pool.has_gpus, (total, on_demand_only))
    unit_sizes = (unit.cpus, unit.gpus, unit.memory_gb)

    def in_units(sums: list[float]) -> float:
        return max(amount / size for amount, size in zip(sums, unit_sizes, strict=True) if size > 0)

    return in_units(total), in_units(on_demand_only)


def needed_resources(pool: PoolView, now: float) -> tuple[list[float], list[float]]:
    """Return the resources that the jobs of this shard need, as two lists.

    Each list is ``[CPUs, GPUs, GB of memory]``: for all jobs, and for the jobs that may not
    run on spot machines.
    """
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
    """Yield the pool's open jobs, each with the number of its tasks that may run at once."""
    cluster = pool.cluster
    counted = pool.fleet.scheduler.counted_resources
    caps = counted.capped_tasks(cluster.jobs.values()) if counted is not None else {}
    for job in cluster.jobs.values():
        spec = job.spec
        if job.status != OPEN or (spec.gpus > 0) != pool.has_gpus:
            continue
        # Tasks that wait for counted resources need no machine yet, and neither do replicas
        # that may run only in an unreachable zone.
        max_tasks = min(caps.get(job.index, spec.tasks), _max_spread_tasks(pool, job))
        tasks = min(job.remaining(), max_tasks)
        limits = cluster.teams[job.team].limits
        if spec.gpus > 0 and limits.gpus_max > 0:
            tasks = min(tasks, int(limits.gpus_max / spec.gpus))
        if spec.gpus <= 0 and limits.cpus_max > 0 and spec.cpus > 0:
            tasks = min(tasks, int(limits.cpus_max / spec.cpus))
        yield job, tasks


def _max_spread_tasks(pool: PoolView, job: Job) -> int:
    """Return how many tasks of a job its spread allows in the reachable zones.

    A zone may run half of the tasks of a spread job, rounded up. The result is all tasks if the
    job is not spread, and may exceed the number of tasks if it is.
    """
    if not job.spec.spread:
        return job.spec.tasks
    return pool.reachable_zones * ((job.spec.tasks + 1) // 2)


def _add_expected_arrivals(
    pool: PoolView, now: float, total: list[float], on_demand_only: list[float]
) -> None:
    """Add the resources of jobs expected to arrive while a machine boots.

    The expected arrival rate is the average rate of the recent arrivals.
    """
    operator, arrivals = pool.fleet.operator, pool.fleet.recent_submissions
    boot_s = pool.cluster.types[pool.on_demand_type].boot_s
    first_arrival = min((entry[0] for entry in arrivals), default=now)
    window_s = min(
        operator.warm_window_s,
        max(now - first_arrival, operator.warm_window_s / MIN_WINDOW_DIVISOR),
    )
    expected_fraction = boot_s * operator.headroom / window_s
    resource_index = GPUS if pool.has_gpus else CPUS
    for _, cpus, gpus, spot, accepted_wait_s in arrivals:
        # A machine for a job with a longer accepted wait can be rented when the job arrives.
        if (gpus > 0) == pool.has_gpus and accepted_wait_s < MIN_WAIT_BOOTS * boot_s:
            expected = (gpus if pool.has_gpus else cpus) * expected_fraction
            total[resource_index] += expected
            on_demand_only[resource_index] += 0.0 if spot else expected
