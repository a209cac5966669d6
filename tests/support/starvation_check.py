"""Checks that no job is_waiting for long while machines have free resources for it.

The free resources are computed from the tasks on the workers. A machine counts if it responds,
its type, zone and spot property are allowed for the job, and its free resources suffice for a
task. A gang needs free resources for all of its tasks at the same time. Machines that fail every
task and paused machines do not count.
"""

from __future__ import annotations

from collections import Counter

from tests.support.invariants import InvariantChecker, ObservedJob
from tests.support.stand_ins import FakeWorker

MAX_WAIT_S = 90.0
CHECK_INTERVAL_S = 1.0
RESOURCES = ("vcpus", "cards", "ram_gb")


def free_resources(worker: FakeWorker) -> dict[str, float]:
    """Return the free resources of a machine."""
    tasks = [task for task in worker.tasks.values() if task.status != "exited" and task.spec]
    return {
        name: worker.machine.kind[name] - sum(task.spec[name] for task in tasks)
        for name in RESOURCES
    }


def allows(job: ObservedJob, worker: FakeWorker) -> bool:
    """Return whether the job may run on the machine by its state, type, zone and spot property."""
    spec, machine = job.spec, worker.machine
    return (
        not (worker.dead or worker.paused or worker.fails_tasks)
        and (spec["rig_kinds"] is None or machine.kind["label"] in spec["rig_kinds"])
        and (spec["yard"] is None or machine.zone == spec["yard"])
        and (spec["loaners"] or not machine.spot)
    )


def fitting_tasks_by_zone(job: ObservedJob, workers: list[FakeWorker]) -> Counter[str]:
    """Return how many tasks of the job would fit on the machines, by zone."""
    found: Counter[str] = Counter()
    for worker in workers:
        if allows(job, worker):
            free = free_resources(worker)
            fits = [free[name] // job.spec[name] for name in RESOURCES if job.spec[name] > 0]
            found[worker.machine.zone] += max(0, int(min(fits)))
    return found


def has_room(job: ObservedJob, workers: list[FakeWorker]) -> bool:
    """Return whether one task of the job, or the whole gang, would fit now."""
    spec, by_zone = job.spec, fitting_tasks_by_zone(job, workers)
    wanted = spec["pieces"] if spec["shape"] == "ensemble" else 1
    if spec["together"]:
        return max(by_zone.values(), default=0) >= wanted
    max_per_zone = (spec["pieces"] + 1) // 2 if spec["spread"] else wanted
    return sum(min(max_per_zone, count) for count in by_zone.values()) >= wanted


class WaitingCheck:
    """Records a violation for each job that is_waiting over ``MAX_WAIT_S`` while it would fit.

    ``step`` is called after each step of the simulation and checks only after all faults ended.
    """

    def __init__(self, invariants: InvariantChecker, workers: dict[str, FakeWorker]) -> None:
        self._invariants = invariants
        self._workers = workers
        self._fits_since: dict[str, float] = {}
        self._next_check_at = 0.0

    def _is_within_quota(self, job: ObservedJob) -> bool:
        spec = job.spec
        wanted = spec["pieces"] if spec["shape"] == "ensemble" else 1
        used: Counter[str] = Counter()
        for worker in self._workers.values():
            for task in worker.tasks.values():
                if task.status != "exited" and task.spec.get("owner") == spec["owner"]:
                    used["cpus"] += task.spec["vcpus"]
                    used["gpus"] += task.spec["cards"]
        limits = self._invariants.teams[spec["owner"]]
        required = {"cpus": spec["vcpus"] * wanted, "gpus": spec["cards"] * wanted}
        return all(
            limit <= 0 or not required[name] or used[name] + required[name] <= limit + 1e-6
            for name, limit in zip(("cpus", "gpus"), limits, strict=True)
        )

    def _is_waiting(self, job: ObservedJob) -> bool:
        if not job.accepted or job.reported_state is not None or job.tried_cancel:
            return False
        return not any(job.machines_by_task.values()) and len(job.done) < job.spec["pieces"]

    def step(self, now: float) -> None:
        if self._invariants.faults_ended_at is None or now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        workers = list(self._workers.values())
        jobs_on_workers = {
            task.piece.split("/")[0] for each in workers for task in each.tasks.values()
        }
        for job_id, job in self._invariants.jobs.items():
            is_waiting = self._is_waiting(job) and job_id not in jobs_on_workers
            if not (is_waiting and has_room(job, workers) and self._is_within_quota(job)):
                self._fits_since.pop(job_id, None)
            elif now - self._fits_since.setdefault(job_id, now) > MAX_WAIT_S:
                self._invariants.violations.append(
                    f"stranded at {now:.3f}: {job_id} waits beside room"
                )
