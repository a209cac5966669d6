"""Measures what counted resources cost and how well seats are used.

    python -m tests.measurements.measure_counted_resources

Not a test: figures for docs/rounds.md, from this code alone (no machines are
simulated but by the seeded world of these tests).
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
from appleshift.protocol.counted_resources import CountedResourceDefinition, CountedResourceRules
from appleshift.protocol.counted_resources import LicenseServer as Server
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import TeamLimits
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import RUNNING, UP
from tests.support.builders import KINDS, job
from tests.support.deployments import SMALL
from tests.support.license_server import FakeLicenseServer
from tests.support.simulated_world import LICENCES, World

MACHINES, RESOURCES = 2000, 10


def pass_tables(seated: bool, waiting: int, total: int) -> tuple[ClusterState, Ledger]:
    """2,000 machines mostly full, ten resources, and work that waits."""
    rng = random.Random(1)
    made = ClusterState(["a", "b"], [TeamLimits("red"), TeamLimits("blue")])
    made.update_machine_types(KINDS)
    book = Ledger(made)
    for number in range(RESOURCES):
        book.define(CountedResourceDefinition(f"r{number}", total), None)
    made.counted_resources = book
    for number in range(MACHINES):
        machine = made.add_machine(f"m{number}", "large", "ab"[number % 2], number % 3 == 0)
        assert machine is not None
        machine.status, machine.agent_epoch = UP, 1

    def some(tasks: int, **changes: Any) -> None:
        seats = dict.fromkeys((f"r{rng.randrange(RESOURCES)}" for _ in "ab"), 1)
        urgency, team = rng.choice(["critical", "high", "low"]), rng.choice(["red", "blue"])
        image = f"img-{rng.randrange(20)}"
        job(
            made, tasks=tasks, cpus=2.0, image=image, priority=urgency, team=team,
            seats=seats if seated else None, **changes,
        )  # fmt: skip

    for _ in range(250):
        some(8)
    run(made, book, seated)
    for machine in made.machines.values():
        for each in machine.runs.values():
            each.state, each.running_since = RUNNING, 1.0
    for _ in range(waiting):
        some(8)
    return made, book


def run(made: ClusterState, book: Ledger, seated: bool) -> float:
    began = time.perf_counter()
    seats = Allocator(book, 5.0, 60.0) if seated else None
    FirstFitPlacer(made, 5.0, 5.0, -1.0, None, seats).run(True)
    return time.perf_counter() - began


def pass_cost() -> None:
    for waiting, total, what in (
        (0, 10_000, "nothing waits"),
        (200, 10_000, "1,600 tasks are placed"),
        (3000, 10_000, "24,000 tasks wait, machines are full"),
        (200, 400, "seats bind for 1,600 tasks (other work is placed, no comparison)"),
    ):
        ratios, plain, counted = [], [], []
        for _ in range(7):
            # In turn, in one run, on fresh tables: the machine's speed drifts.
            off = pass_tables(False, waiting, total)
            plain.append(run(*off, False))
            on = pass_tables(True, waiting, total)
            counted.append(run(*on, True))
            ratios.append(counted[-1] / plain[-1])
        print(
            f"pass, {MACHINES} machines, {RESOURCES} resources, {what}: "
            f"{statistics.median(plain) * 1e3:.2f} ms without, "
            f"{statistics.median(counted) * 1e3:.2f} ms with, "
            f"ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


def use_of_seats(served: bool, task_s: float) -> None:
    """400 jobs on 40 seats, on a quiet day of the seeded world."""
    server = Server(LICENCES, ask_s=1.0) if served else None
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

    def look() -> None:
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
        world.sim.after(0.1, look)

    world.sim.after(1.0, look)
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
    pass_cost()
    for task_s in (5.0, 20.0):
        use_of_seats(False, task_s)
        use_of_seats(True, task_s)
