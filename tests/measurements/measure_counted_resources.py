"""Measures the cost of counted resources and the utilization of their units.

    python -m tests.measurements.measure_counted_resources

Not a test: figures for docs/rounds.md. Only the scheduler code runs; the utilization is measured
in the seeded simulation of the tests.
"""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import replace
from typing import Any

from appleshift.counted_resources.allocator import Allocator
from appleshift.counted_resources.ledger import Ledger
from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.protocol.counted_resources import (
    CountedResourceDefinition,
    CountedResourceRules,
    LicenseServer,
)
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import TeamLimits
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import RUNNING, UP
from tests.support.builders import KINDS, job
from tests.support.deployments import SMALL
from tests.support.license_server import FakeLicenseServer
from tests.support.simulated_world import LICENCES, World

MACHINES, RESOURCES = 2000, 10


def create_state(with_units: bool, waiting: int, total: int) -> tuple[ClusterState, Ledger]:
    """2,000 mostly full machines, ten counted resources, and ``waiting`` jobs of eight tasks."""
    rng = random.Random(1)
    cluster = ClusterState(["a", "b"], [TeamLimits("red"), TeamLimits("blue")])
    cluster.update_machine_types(KINDS)
    ledger = Ledger(cluster)
    for number in range(RESOURCES):
        ledger.define(CountedResourceDefinition(f"r{number}", total), None)
    cluster.counted_resources = ledger
    for number in range(MACHINES):
        machine = cluster.add_machine(f"m{number}", "large", "ab"[number % 2], number % 3 == 0)
        assert machine is not None
        machine.status, machine.agent_epoch = UP, 1

    def add_job(tasks: int, **changes: Any) -> None:
        seats = dict.fromkeys((f"r{rng.randrange(RESOURCES)}" for _ in "ab"), 1)
        urgency, team = rng.choice(["critical", "high", "low"]), rng.choice(["red", "blue"])
        image = f"img-{rng.randrange(20)}"
        job(
            cluster, tasks=tasks, cpus=2.0, image=image, priority=urgency, team=team,
            seats=seats if with_units else None, **changes,
        )  # fmt: skip

    for _ in range(250):
        add_job(8)
    run_pass(cluster, ledger, with_units)
    for machine in cluster.machines.values():
        for each in machine.runs.values():
            each.state, each.running_since = RUNNING, 1.0
    for _ in range(waiting):
        add_job(8)
    return cluster, ledger


def run_pass(cluster: ClusterState, ledger: Ledger, with_units: bool) -> float:
    started = time.perf_counter()
    seats = Allocator(ledger, 5.0, 60.0) if with_units else None
    FirstFitPlacer(cluster, 5.0, 5.0, -1.0, None, seats).run(True)
    return time.perf_counter() - started


def print_pass_cost() -> None:
    for waiting, total, label in (
        (0, 10_000, "nothing waits"),
        (200, 10_000, "1,600 tasks are placed"),
        (3000, 10_000, "24,000 tasks wait, machines are full"),
        (200, 400, "seats bind for 1,600 tasks (other work is placed, no comparison)"),
    ):
        ratios, plain, counted = [], [], []
        for _ in range(7):
            # Alternates both variants on new state, because the machine's speed drifts.
            off = create_state(False, waiting, total)
            plain.append(run_pass(*off, False))
            on = create_state(True, waiting, total)
            counted.append(run_pass(*on, True))
            ratios.append(counted[-1] / plain[-1])
        print(
            f"pass, {MACHINES} machines, {RESOURCES} resources, {label}: "
            f"{statistics.median(plain) * 1e3:.2f} ms without, "
            f"{statistics.median(counted) * 1e3:.2f} ms with, "
            f"ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


def print_unit_utilization(served: bool, task_s: float) -> None:
    """Prints the utilization of 40 units by 400 jobs in a simulated day without faults."""
    server = LicenseServer(LICENCES, ask_s=1.0) if served else None
    operator = OperatorSettings(
        seats=(CountedResourceDefinition("lic", 40, (), server),), seat_rules=CountedResourceRules()
    )
    site = replace(SMALL, capacity={("large", "a", False): 8, ("large", "b", False): 8})
    world = World(5, operator, site)
    world.loss_share = 0.0
    world.cloud.boot_failure_share = 0.0
    world.invariants.unit_totals = {"lic": 40}
    world.licences = FakeLicenseServer(world.sim, {"lic": 40} if served else {}, ttl_s=60.0)
    for _ in range(400):
        job_id = world.submit(
            shape="array", pieces=1, vcpus=1.0, ram_gb=1.0, cards=0.0, rig_kinds=None, yard=None,
            together=False, urgency="standard", owner="red", seats={"lic": 1}, bundle="img-1",
        )  # fmt: skip
        world.run_times[job_id] = task_s
    samples: list[int] = []
    most = 0

    def sample() -> None:
        nonlocal most
        used = world.invariants.units_in_use["lic"]
        most = max(most, used)
        waiting = sum(
            1
            for seen in world.invariants.jobs.values()
            if not (seen.done or seen.tried_cancel or any(seen.machines_by_task.values()))
        )
        if most >= 36 and waiting > 0:
            samples.append(used)
        world.sim.after(0.1, sample)

    world.sim.after(1.0, sample)
    try:
        world.run(400.0)
        ended = sum(bool(seen.done) for seen in world.invariants.jobs.values())
        print(
            f"400 jobs of {task_s:.0f} s on 40 seats, {'with' if served else 'without'} a server: "
            f"{statistics.mean(samples) / 40:.3f} of the seats in use while work waits, "
            f"most {most}, {ended} ended, refused {len(world.licences.refused_check_outs)}"
        )
    finally:
        world.close()


if __name__ == "__main__":
    print_pass_cost()
    for task_s in (5.0, 20.0):
        print_unit_utilization(False, task_s)
        print_unit_utilization(True, task_s)
