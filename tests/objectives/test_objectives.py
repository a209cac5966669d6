"""Achieved objectives of classes and teams, and the precedence of teams that are behind."""

from __future__ import annotations

from dataclasses import replace

import pytest

from appleshift.objectives import achieved_objectives
from appleshift.objectives.achieved_objectives import AchievedObjectives
from appleshift.objectives.objectives import Objectives
from appleshift.objectives.sliding_ratio import WINDOW_S, SlidingRatio
from appleshift.protocol.settings import Objective, TeamLimits
from appleshift.state.states import CANCELLED, FINISHED
from tests.support import builders
from tests.support.deployments import SMALL
from tests.support.simulated_world import World

OBJECTIVES = [
    Objective("wait", 0.9, "c", within_s=5.0),
    Objective("wait", 0.9, "c", within_s=20.0),
    Objective("deadline", 0.9, "c", times=1.0),
]


def test_objectives_count_each_job_once_per_objective_and_team() -> None:
    cluster = builders.cluster(
        [("large", "a", False)], red=TeamLimits("red"), blue=TeamLimits("blue")
    )
    objectives = Objectives(OBJECTIVES)
    outcomes = AchievedObjectives(cluster, objectives, 0.0, 1000.0)
    machine = builders.machine(cluster, "m0")
    for number in range(30):
        job = builders.job(cluster, team="red" if number % 2 else "blue", deadline_s=30.0)
        job.submitted = 1000.0
        if number < 20:
            run = cluster.assign(job, 0, 1, machine, 1)
            # The first 10 jobs start within 5 s, the next 10 within 20 s.
            run.running_since = 4.0 if number < 10 else 15.0
    for second in range(1, 18):
        outcomes.step(float(second), 1000.0 + second)
    done = list(cluster.jobs.values())
    for job in done[:15]:
        job.status = FINISHED
        cluster.remove_job(job)
    for job in done[15:18]:
        job.status = CANCELLED
        cluster.remove_job(job)
    for second in range(18, 60):
        outcomes.step(float(second), 1000.0 + second)
    assert outcomes.ratios() == {
        ("class", "c", "started 5 s"): (10 / 30, 30),
        ("class", "c", "started 20 s"): (20 / 30, 30),
        # The 3 cancelled jobs are not counted; the other 12 missed their deadline.
        ("class", "c", "deadline 1x"): (15 / 27, 27),
        ("team", "red"): (7 / 13, 13),
        ("team", "blue"): (8 / 14, 14),
    }


def test_sliding_ratio_forgets_old_entries_and_stays_bounded() -> None:
    ratios = SlidingRatio(0.0)
    for at in range(0, 4000, 10):
        ratios.rotate(float(at))
        ratios.record(("team", "red"), at < 2000)
        total = next(iter(ratios.all()))[2]
        assert total <= 2 * WINDOW_S / 10
    assert next(iter(ratios.all()))[1] == 0.0


def day_of_two_teams(seed: int) -> dict[str, float]:
    """Simulate a day on which red submits many small arrays and blue fewer, larger ones.

    All arrays have deadlines. Returns for each team the fraction of jobs that finished in time.
    """
    world = World(seed, site=replace(SMALL, teams=[{"name": "red"}, {"name": "blue"}]))
    world.loss_share = 0.0
    submitted: dict[str, float] = {}
    ended: dict[str, float] = {}
    answered = world.invariants.record_response

    def record_end_and_answer(
        now: float, sent: float, job: str, call: str, status: int, state: object, given: float
    ) -> None:
        if state == "done":
            ended.setdefault(job, now)
        answered(now, sent, job, call, status, state, given)  # type: ignore[arg-type]

    world.invariants.record_response = record_end_and_answer  # type: ignore[method-assign]

    def submit_array(team: str, pieces: int) -> None:
        job = world.submit(
            shape="array", urgency="standard", owner=team, pieces=pieces, vcpus=2.0, cards=0.0,
            ram_gb=1.0, rig_kinds=None, yard=None, together=False, spread=False, due_s=45.0,
            bundle="img-1", image_gb=0.1, workload="array",
        )  # fmt: skip
        world.run_times[job] = 8.0
        submitted[job] = world.sim.now

    try:
        for number in range(128):
            world.sim.after(5.0 + number * 1.85, lambda: submit_array("red", 16))
        for number in range(40):
            world.sim.after(6.0 + number * 6.0, lambda: submit_array("blue", 24))
        world.run(320.0)
    finally:
        world.close()
    fractions = {}
    for team in ("red", "blue"):
        jobs = [job for job in submitted if world.invariants.jobs[job].spec["owner"] == team]
        # The first jobs end before there are ratios to act on; the last jobs have the
        # machines to themselves.
        jobs = [job for job in jobs if 50.0 < submitted[job] < 230.0]
        in_time = [job for job in jobs if ended.get(job, 1e9) - submitted[job] <= 50.0]
        fractions[team] = len(in_time) / len(jobs)
    return fractions


@pytest.mark.slow(380)
def test_team_with_largest_jobs_still_meets_its_objectives() -> None:
    """Guards against starving the team with the largest jobs by placing the least work first.

    About 30 jobs of a team per day are a small sample: over eight seeds the fraction of jobs
    in time is 0.47 to 0.77, with a mean of 0.59. So the mean of four days must exceed one half
    and each single day may be slightly below it. The test below covers days without the
    safeguard, which must be far lower.
    """
    fractions_by_day = [day_of_two_teams(seed) for seed in range(7000, 7004)]
    for team in ("red", "blue"):
        assert sum(day[team] for day in fractions_by_day) / len(fractions_by_day) >= 0.53
    assert min(min(day.values()) for day in fractions_by_day) >= 0.42


@pytest.mark.parametrize("seed", [7000, 7001])
@pytest.mark.slow(100)
def test_planted_unweighted_deficit_starves_team_with_largest_jobs(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planted defect: teams that are behind get no precedence."""
    monkeypatch.setattr(achieved_objectives, "BEHIND_BELOW", -1.0)
    day = day_of_two_teams(seed)
    assert day["blue"] < 0.35
