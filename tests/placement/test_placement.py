"""First-fit placement: eligible machines, gangs placed as a whole, preemption."""

from __future__ import annotations

import msgspec

from appleshift.objectives.objectives import Objectives
from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.placement.result import PlacementResult
from appleshift.protocol.settings import Objective, TeamLimits
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import TaskRun
from appleshift.state.states import RUNNING
from tests.support.builders import cluster, job, machine


def place(state: ClusterState, preempt: bool = False) -> PlacementResult:
    """Run a pass at 1 s; all machines have had a heartbeat recently enough."""
    return FirstFitPlacer(state, now=1.0, wall=1.0, min_last_heartbeat=-1.0).run(preempt)


def placed_tasks(result: PlacementResult) -> list[tuple[str, list[int]]]:
    """Return the machine name and the tasks of each placement."""
    return [(placement.machine.name, placement.tasks) for placement in result.placements]


def running(run: TaskRun, since: float) -> TaskRun:
    """Mark a task as running since a monotonic time and return it."""
    run.state, run.running_since = RUNNING, since
    return run


def test_first_fit_prefers_machine_with_cached_image() -> None:
    state = cluster([("small", "a", False), ("small", "a", False)])
    image_job = job(state, tasks=5)
    machine(state, "m1").cache_image(image_job.image, 1.0, 20.0)
    assert placed_tasks(place(state)) == [("m1", [0, 1, 2, 3]), ("m0", [4])]


def test_placement_respects_spot_type_and_zone_constraints() -> None:
    state = cluster([("small", "a", True), ("large", "a", False), ("small", "b", False)])
    job(state, spot=False, types=["small"])
    job(state, zone="a", types=["large"])
    assert sorted(placed_tasks(place(state))) == [("m1", [0]), ("m2", [0])]


def test_placement_spread_counts_every_attempt_that_may_still_run() -> None:
    state = cluster([("large", "a", False), ("large", "a", False)])
    spread = job(state, shape="daemon", tasks=3, spread=True, spot=False)
    result = place(state)
    assert sum(len(tasks) for _, tasks in placed_tasks(result)) == 2, "half of 3, rounded up"
    assert result.shortages[0].tasks == 1
    assert place(state).placements == []
    assert len(spread.runs) == 2


def test_gang_is_placed_whole_with_one_attempt_or_not_at_all() -> None:
    state = cluster([("small", "a", False), ("small", "b", False)])
    gang = job(state, shape="ensemble", tasks=2, cpus=4.0, together=True)
    assert place(state).placements == []
    state.add_machine("m9", "small", "b", False)
    extra = machine(state, "m9")
    extra.status, extra.agent_epoch = 1, 1
    placements = place(state).placements
    assert {placement.attempt for placement in placements} == {1}
    assert {run.machine.zone for run in gang.runs.values()} == {1}
    # No new attempt starts while a task of the old attempt may still be on a machine.
    state.free(gang.runs[0])
    assert place(state).placements == []


def test_team_limit_counts_every_attempt_that_may_still_run() -> None:
    state = cluster([("large", "a", False)], red=TeamLimits("red", cpus_max=3.0))
    job(state, tasks=5)
    assert placed_tasks(place(state)) == [("m0", [0, 1, 2])]
    assert place(state).placements == []


def test_preemption_stops_only_lower_priority_and_youngest_first() -> None:
    state = cluster([("small", "a", False)])
    low = job(state, tasks=3, priority="low")
    same = job(state, tasks=1, priority="high")
    place(state)
    for task, run in low.runs.items():
        running(run, since=10.0 + task)
    running(same.runs[0], since=50.0)
    job(state, priority="high", tasks=2)
    result = FirstFitPlacer(state, 20.0, 20.0, -1.0).run(True)
    assert [(run.job, run.task) for run in result.preempted] == [(low, 2), (low, 1)]
    # The tasks that are already stopping make enough room: no further task is stopped.
    assert FirstFitPlacer(state, 20.0, 20.0, -1.0).run(True).preempted == []


def test_preemption_for_guaranteed_quota_reclaims_borrowed_capacity() -> None:
    limits = {
        "red": TeamLimits("red", gpus=4.0, gpus_max=8.0),
        "blue": TeamLimits("blue", gpus=0.0, gpus_max=8.0),
    }
    state = cluster([("cards", "a", False)], **limits)
    borrowed = job(state, team="blue", gpus=4.0, shape="ensemble", priority="standard")
    place(state)
    running(borrowed.runs[0], since=1.0)
    job(state, team="red", gpus=4.0, shape="ensemble", priority="low")
    assert [run.job for run in place(state, preempt=True).preempted] == [borrowed]


def test_placement_equal_priority_orders_least_remaining_feasible_work_first() -> None:
    state = cluster([("small", "a", False)])
    job(state, cpus=4.0, deadline_s=5.0)
    job(state, cpus=4.0, deadline_s=200.0, tasks=3)
    small = job(state, cpus=4.0, deadline_s=500.0)
    assert place(state).placements[0].job is small
    # Once a job's tasks run much longer than estimated, it can no longer meet its deadline.
    state = cluster([("small", "a", False)])
    late = job(state, cpus=4.0, deadline_s=30.0)
    other = job(state, cpus=4.0, deadline_s=500.0, tasks=3, job_class="d")
    for _ in range(200):
        state.record_run_time(late, 90.0)
    assert place(state).placements[0].job is other


def test_gang_large_is_not_starved_by_small_gangs() -> None:
    state = cluster([("cards", "a", False)] * 3 + [("cards", "b", False)] * 2)
    whole_machine_gang = {"shape": "ensemble", "gpus": 4.0, "together": True}
    for number in (1, 2, 3, 4):
        machine(state, f"m{number}").free_gpus = 0.0
    large = job(state, tasks=3, **whole_machine_gang)
    job(state, tasks=1, **whole_machine_gang)
    objectives = Objectives([Objective("wait", 0.9, "c", 100.0)])

    def placements_at(now: float) -> list[tuple[str, list[int]]]:
        return placed_tasks(FirstFitPlacer(state, now, now, -1.0, objectives).run(False))

    # The only free machine is reserved for the large gang, which can fit only in that zone.
    assert placements_at(60.0) == []
    machine(state, "m3").free_gpus = 4.0
    # The large gang can never fit in the other zone: nothing is reserved there.
    assert placements_at(60.0) == [("m3", [0])]
    job(state, tasks=1, **whole_machine_gang)
    # The large gang is late anyway: a gang that is not late takes precedence.
    assert placements_at(101.0) == [("m0", [0])]
    machine(state, "m0").free_gpus = 4.0
    job(state, tasks=1, **whole_machine_gang)
    assert placements_at(201.0) == []
    machine(state, "m1").free_gpus = machine(state, "m2").free_gpus = 4.0
    assert placements_at(202.0) == [("m0", [0]), ("m1", [1]), ("m2", [2])]
    assert len(large.runs) == 3


def test_gang_is_placed_by_best_fit() -> None:
    state = cluster([("cards", "a", False)] * 3 + [("cards", "b", False)])
    job(state, shape="ensemble", gpus=4.0, together=True)
    assert placed_tasks(place(state)) == [("m3", [0])]


def test_preemption_of_gangs_is_whole_and_at_least_cost() -> None:
    limits = {
        "red": TeamLimits("red", gpus=12.0, gpus_max=12.0),
        "blue": TeamLimits("blue", gpus=0.0, gpus_max=40.0),
    }
    state = cluster([("cards", "a", False)] * 2 + [("cards", "b", False)] * 2, **limits)
    whole_machine_gang = {"shape": "ensemble", "gpus": 4.0, "together": True}
    old = job(state, team="blue", tasks=2, **whole_machine_gang)
    place(state)
    young = job(state, team="blue", tasks=2, **whole_machine_gang)
    place(state)
    for run in old.runs.values():
        running(run, since=0.1)
    for run in young.runs.values():
        running(run, since=0.9)
    job(state, team="red", tasks=3, **whole_machine_gang)
    assert place(state, preempt=True).preempted == [], "no zone has room for three tasks"
    job(state, team="red", tasks=2, **whole_machine_gang)
    assert {run.job.index for run in place(state, preempt=True).preempted} == {young.index}


def test_preemption_for_new_job_waits_briefly_for_free_capacity() -> None:
    state = cluster([("small", "a", False)])
    low = job(state, priority="low", cpus=4.0)
    place(state)
    running(low.runs[0], since=0.0)
    objectives = Objectives([Objective("wait", 0.9, "c", 2.0)])
    job(state, priority="high")
    assert FirstFitPlacer(state, 0.2, 0.2, -1.0, objectives).run(True).preempted == []
    # Stopping and starting a task takes longer than the wait limit: no time to wait.
    strict_objectives = Objectives([Objective("wait", 0.9, "c", 1.0)])
    assert strict_objectives.preemption_delay_s(low) == 0.0
    assert FirstFitPlacer(state, 0.6, 0.6, -1.0, objectives).run(True).preempted == [low.runs[0]]


def test_placement_job_past_first_deadline_still_pursues_later_objective() -> None:
    state = cluster([("small", "a", False)])
    objectives = Objectives(
        [Objective("deadline", 0.9, "c", times=factor) for factor in (1.0, 2.0)]
    )
    job(state, cpus=4.0, deadline_s=10.0)
    second = job(state, cpus=4.0, deadline_s=20.0, tasks=2)
    # At 25 s the first job misses both of its deadline objectives, the second only one.
    result = FirstFitPlacer(state, 25.0, 25.0, -1.0, objectives).run(False)
    assert result.placements[0].job is second


def test_placement_cpu_work_on_gpu_machine_leaves_room_for_gpu_jobs() -> None:
    state = cluster([("cards", "a", False), ("cards", "a", False)])
    job(state, shape="ensemble", gpus=4.0, cpus=12.0, memory_gb=50.0, together=True)
    assert placed_tasks(place(state)) == [("m0", [0])]
    job(state, shape="daemon", spot=False)
    array = job(state, tasks=9, cpus=2.0, memory_gb=3.0)
    # The GPU job needs 12 of 16 CPUs. The idle GPU machine gets no CPU task, and the
    # replica may not use GPU machines.
    assert placed_tasks(place(state)) == [("m0", [0, 1])]
    assert place(state).placements == []
    state.free(array.runs[0])
    assert placed_tasks(place(state)) == [("m0", [0])]


def test_placement_finite_work_may_use_unclaimed_gpu_spot_machines() -> None:
    state = cluster([("cards", "a", True), ("cards", "a", False)])
    array = job(state, tasks=40, cpus=1.0, memory_gb=1.0)
    # No job with GPUs has been submitted yet.
    assert place(state).placements == []
    job(state, shape="ensemble", gpus=4.0, cpus=12.0, memory_gb=50.0, spot=False)
    job(state, shape="daemon")
    job(state, tasks=3, spot=False)
    assert [(name, len(tasks)) for name, tasks in placed_tasks(place(state))] == [
        ("m0", 16),
        ("m1", 1),
    ]
    for run in list(array.runs.values()):
        state.free(run)
    assert len(array.pending) == 40
    job(state, gpus=1.0, cpus=12.0, memory_gb=50.0, spot=True)
    placed = [(each.job, each.machine.name) for each in place(state).placements]
    assert (array, "m0") not in placed


def test_runtime_estimate_is_corrected_by_observed_task_runtimes() -> None:
    state = cluster([("small", "a", False)])
    misestimated = job(state, estimate_s=10.0)
    assert state.expected_run_s(misestimated) == 10.0
    misestimated.completed_run_s, misestimated.completed_runs = 27 * 40.0, 27
    assert 36.0 < state.expected_run_s(misestimated) < 40.0


def test_first_fit_without_cached_image_prefers_fastest_fetch() -> None:
    state = cluster([("small", "a", False), ("large", "a", False)])
    fast = msgspec.structs.replace(state.types[1], fetch_gb_per_s=2.0)
    state.update_machine_types([state.types[0], fast, state.types[2]])
    image_job = job(state, shape="daemon", spot=False)
    assert placed_tasks(place(state)) == [("m1", [0])]
    machine(state, "m0").cache_image(image_job.image, 1.0, 20.0)
    job(state, shape="daemon", spot=False)
    assert placed_tasks(place(state)) == [("m0", [0])]


def test_preemption_for_gpu_work_stops_no_cpu_work_that_frees_no_gpu() -> None:
    """Guards against an incident: a leader used a whole CPU core to consider such tasks."""
    state = cluster([("cards", "a", False)])
    whole_machine_gang = {
        "shape": "ensemble",
        "gpus": 4.0,
        "cpus": 12.0,
        "memory_gb": 50.0,
        "priority": "high",
    }
    running(
        job(state, **whole_machine_gang).runs.get(0) or place(state).placements[0].job.runs[0],
        since=0.1,
    )
    low = job(state, tasks=2, cpus=2.0, priority="low")
    place(state)
    for run in low.runs.values():
        running(run, since=0.5)
    job(state, **whole_machine_gang)
    assert len(low.runs) == 2
    assert place(state, preempt=True).preempted == []


def test_replica_waits_briefly_for_room_on_machine_with_cached_image() -> None:
    """Fetching the image on another machine made the replica unavailable for seconds."""
    state = cluster([("small", "a", False), ("large", "a", False)])
    low = job(state, tasks=4, priority="low")
    for task in range(4):
        running(state.assign(low, task, 1, machine(state, "m0"), 1), since=0.5)
    replica = job(state, shape="daemon", priority="critical", job_class="desk", cpus=2.0)
    machine(state, "m0").cache_image(replica.image, 1.0, 20.0)
    objectives = Objectives([Objective("wait", 0.9, "desk", 1.0)])

    def at(now: float) -> PlacementResult:
        return FirstFitPlacer(state, now, now, -1.0, objectives).run(preempt=True)

    result = at(1.0)
    assert (
        result.replicas_waiting_for_preemption,
        placed_tasks(result),
        len(result.preempted),
    ) == (
        1,
        [],
        2,
    )
    # The chosen tasks are stopping: no other task is chosen, and no shortage is reported.
    result = at(1.5)
    assert (
        result.replicas_waiting_for_preemption,
        placed_tasks(result),
        result.preempted,
        result.shortages,
    ) == (
        1,
        [],
        [],
        [],
    )
    for run in [run for run in list(low.runs.values()) if run.stop_grace_s is not None]:
        state.free(run)
    at(1.6)
    assert replica.runs[0].machine.name == "m0"


def test_replica_stops_waiting_for_cached_image_after_timeout() -> None:
    state = cluster([("small", "a", False), ("large", "a", False)])
    low = job(state, tasks=4, priority="low")
    for task in range(4):
        running(state.assign(low, task, 1, machine(state, "m0"), 1), since=0.5)
    replica = job(state, shape="daemon", priority="critical", job_class="desk", cpus=2.0)
    machine(state, "m0").cache_image(replica.image, 1.0, 20.0)
    objectives = Objectives([Objective("wait", 0.9, "desk", 1.0)])
    assert (
        FirstFitPlacer(state, 1.0, 1.0, -1.0, objectives)
        .run(preempt=True)
        .replicas_waiting_for_preemption
        == 1
    )
    assert placed_tasks(FirstFitPlacer(state, 3.0, 3.0, -1.0, objectives).run(preempt=True)) == [
        ("m1", [0])
    ]
