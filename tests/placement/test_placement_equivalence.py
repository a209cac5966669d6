"""A placement pass with its shortcuts makes the same decisions as an exhaustive pass."""

from __future__ import annotations

import random
from typing import Any

import pytest

from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.placement.fit import PlacementFailures
from appleshift.placement.preemption import Preemption
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.states import ASSIGNED, EXITED, RUNNING
from tests.support.builders import cluster, job


class ExhaustivePreemption(Preemption):
    """Tries to make room for every job on every machine, regardless of earlier failures."""

    def _least_urgent_rank(self, with_gpus: bool) -> int:
        return 99

    def _cannot_succeed(self, job: Job, key: tuple[object, ...], missing: int) -> bool:
        return False


class NoPlacementFailures(PlacementFailures):
    """Reports no failure as known, so that every job is tried."""

    def covers(self, key: tuple[object, ...], spec: Submission, tasks: int = 1) -> bool:
        return False


class ExhaustivePlacer(FirstFitPlacer):
    """Tries every job on every machine, regardless of earlier failures."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        placement_pass = self.placement_pass
        placement_pass.machines.placement_failures = NoPlacementFailures()
        placement_pass.spare_gpu_machine_capacity.placement_failures = NoPlacementFailures()
        placement_pass.preemption = ExhaustivePreemption(
            placement_pass.cluster,
            placement_pass.machines,
            placement_pass.urgency,
            placement_pass.now,
        )


def random_cluster(seed: int) -> ClusterState:
    """Return a random cluster with running, exited and pending tasks."""
    rng = random.Random(seed)
    state = cluster(
        [
            (rng.choice(["small", "large", "cards"]), rng.choice("ab"), rng.random() < 0.4)
            for _ in range(rng.randint(3, 25))
        ],
        red=TeamLimits("red", gpus=8.0, gpus_max=40.0, cpus=10.0, cpus_max=120.0),
        blue=TeamLimits("blue", gpus=4.0, gpus_max=60.0, cpus=20.0),
    )
    for number in range(rng.randint(4, 40)):
        shape = rng.choice(["array", "array", "daemon", "ensemble"])
        with_gpus = rng.random() < 0.3
        job(
            state,
            shape=shape,
            team=rng.choice(["red", "blue"]),
            priority=rng.choice(["critical", "high", "standard", "low"]),
            tasks=rng.randint(1, 30 if shape == "array" else 5),
            cpus=rng.choice([1.0, 2.0, 3.5, 12.0]),
            gpus=rng.choice([1.0, 2.0, 4.0]) if with_gpus else 0.0,
            memory_gb=rng.choice([1.0, 4.0, 9.0]),
            image=f"img-{rng.randint(0, 3)}",
            spread=shape == "daemon" and rng.random() < 0.7,
            together=shape == "ensemble",
            zone=rng.choice([None, None, "a"]),
            spot=rng.random() < 0.6,
            deadline_s=rng.choice([None, 5.0, 100.0]),
        )
        if number == 10:
            run_pass(FirstFitPlacer, state)
            for machine in state.machines.values():
                for run in list(machine.runs.values()):
                    run.state = rng.choice([RUNNING, RUNNING, ASSIGNED])
                    run.running_since = rng.uniform(0.0, 9.0)
                    if rng.random() < 0.2:
                        state.free(run)
                        run.state = EXITED
    return state


def run_pass(placer_class: type[FirstFitPlacer], state: ClusterState) -> list[list[object]]:
    """Run a pass; returns its placements, shortages and preempted tasks."""
    result = placer_class(state, 10.0, 10.0, -1.0).run(preempt=True)
    return [
        [(p.job.index, p.machine.name, p.attempt, p.tasks) for p in result.placements],
        [(shortage.job.index, shortage.tasks) for shortage in result.shortages],
        [(run.name, run.machine.name) for run in result.preempted],
    ]


@pytest.mark.parametrize("seed", range(120))
def test_placement_pass_with_shortcuts_matches_exhaustive_pass(seed: int) -> None:
    assert run_pass(FirstFitPlacer, random_cluster(seed)) == run_pass(
        ExhaustivePlacer, random_cluster(seed)
    )


def test_placement_passes_compared_contain_placements_preemptions_and_shortages() -> None:
    """Guards against a vacuous comparison: each kind of decision occurs in enough passes."""
    results = [run_pass(FirstFitPlacer, random_cluster(seed)) for seed in range(120)]
    assert all(sum(1 for result in results if result[kind]) > 20 for kind in range(3))
