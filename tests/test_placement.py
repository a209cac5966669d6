"""First fit: where tasks may go, gangs only whole, who may be stopped for whom."""

from __future__ import annotations

from appleshift.bookkeeping.tables import RUNNING, Run, Tables
from appleshift.coordination.placement import Pass, Placer
from appleshift.protocol.settings import TeamLimits
from tests.make import job, machine, tables


def place(made: Tables, preempt: bool = False) -> Pass:
    return Placer(made, now=1.0, wall=1.0, heard_after=-1.0).run(preempt)


def where(result: Pass) -> list[tuple[str, list[int]]]:
    return [(placement.machine.name, placement.tasks) for placement in result.placements]


def running(run: Run, since: float) -> Run:
    run.state, run.running_since = RUNNING, since
    return run


def test_first_fit_prefers_machines_that_have_the_image() -> None:
    made = tables([("small", "a", False), ("small", "a", False)])
    wanted = job(made, tasks=5)
    machine(made, "m1").remember_image(wanted.image, 1.0, 20.0)
    assert where(place(made)) == [("m1", [0, 1, 2, 3]), ("m0", [4])]


def test_spot_and_types_and_zone_are_kept() -> None:
    made = tables([("small", "a", True), ("large", "a", False), ("small", "b", False)])
    job(made, spot=False, types=["small"])
    job(made, zone="a", types=["large"])
    assert sorted(where(place(made))) == [("m1", [0]), ("m2", [0])]


def test_spread_counts_every_task_that_may_still_be_there() -> None:
    made = tables([("large", "a", False), ("large", "a", False)])
    spread = job(made, shape="daemon", tasks=3, spread=True, spot=False)
    result = place(made)
    assert sum(len(tasks) for _, tasks in where(result)) == 2, "half of 3, rounded up"
    assert result.shortages[0].tasks == 1
    assert place(made).placements == []
    assert len(spread.runs) == 2


def test_a_gang_starts_whole_with_one_attempt_or_not_at_all() -> None:
    made = tables([("small", "a", False), ("small", "b", False)])
    gang = job(made, shape="ensemble", tasks=2, cpus=4.0, together=True)
    assert place(made).placements == []
    made.add_machine("m9", "small", "b", False)
    extra = machine(made, "m9")
    extra.status, extra.session = 1, 1
    placements = place(made).placements
    assert {placement.attempt for placement in placements} == {1}
    assert {run.machine.zone for run in gang.runs.values()} == {1}
    # While a task of the old attempt may be somewhere, no new attempt begins.
    made.free(gang.runs[0])
    assert place(made).placements == []


def test_a_teams_limit_counts_what_may_be_running() -> None:
    made = tables([("large", "a", False)], red=TeamLimits("red", cpus_max=3.0))
    job(made, tasks=5)
    assert where(place(made)) == [("m0", [0, 1, 2])]
    assert place(made).placements == []


def test_only_less_urgent_work_is_stopped_and_the_youngest_first() -> None:
    made = tables([("small", "a", False)])
    low = job(made, tasks=3, priority="low")
    same = job(made, tasks=1, priority="high")
    place(made)
    for task, run in low.runs.items():
        running(run, since=10.0 + task)
    running(same.runs[0], since=50.0)
    job(made, priority="high", tasks=2)
    result = place(made, preempt=True)
    assert [(run.job, run.task) for run in result.victims] == [(low, 2), (low, 1)]
    # What is being stopped already makes the room: no further victims.
    assert place(made, preempt=True).victims == []


def test_a_guarantee_takes_back_what_others_borrowed() -> None:
    limits = {
        "red": TeamLimits("red", gpus=4.0, gpus_max=8.0),
        "blue": TeamLimits("blue", gpus=0.0, gpus_max=8.0),
    }
    made = tables([("cards", "a", False)], **limits)
    borrowed = job(made, team="blue", gpus=4.0, shape="ensemble", priority="standard")
    place(made)
    running(borrowed.runs[0], since=1.0)
    job(made, team="red", gpus=4.0, shape="ensemble", priority="low")
    assert [run.job for run in place(made, preempt=True).victims] == [borrowed]


def test_among_equals_the_least_work_that_can_be_in_time_goes_first() -> None:
    made = tables([("small", "a", False)])
    job(made, cpus=4.0, deadline_s=5.0)
    job(made, cpus=4.0, deadline_s=200.0, tasks=3)
    small = job(made, cpus=4.0, deadline_s=500.0)
    assert place(made).placements[0].job is small
    # Once its tasks turn out much longer than estimated it is too late as well.
    made = tables([("small", "a", False)])
    hopeless = job(made, cpus=4.0, deadline_s=30.0)
    other = job(made, cpus=4.0, deadline_s=500.0, tasks=3, job_class="d")
    for _ in range(200):
        made.ran(hopeless, 90.0)
    assert place(made).placements[0].job is other
