"""A worker's report crosses the command that starts a task, and its answer is slow to arrive."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
import links  # noqa: E402

from tests.support.stand_ins import FakeWorker  # noqa: E402

ANSWER_DELAY_S = 3.0
"""How long the answer to the report is on its way; a worker drops it after 4 s."""

EARLIEST_S, LATEST_S = 0.76 * harness.REPORT_S, 0.85 * harness.REPORT_S
"""How long after its last report the machine gets the command; its next report is due then."""


class CrossingDeployment(harness.Deployment):
    """A deployment in which the reports of each worker pass a proxy."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Start without proxies; workers use them once they are there."""
        self.report_links: dict[tuple[str, str], links.Link] = {}
        self.crossed: str | None = None
        self.crossing_task = ""
        self.slow = False
        super().__init__(*args, **options)

    def report_address(self, worker: FakeWorker, name: str) -> harness.Address:
        """Return the address of the proxy between a worker and a controller."""
        key = (worker.machine.name, name)
        if key not in self.report_links:
            self.report_links[key] = links.Link(harness.HOST, self.public[name])
        return self.report_links[key].address

    def before_commands(self, worker: FakeWorker, body: Any) -> None:
        """Send the worker's periodic report just before the task is started."""
        started = {order["piece"] for order in body["orders"] if order["verb"] == "run"}
        if self.crossed is not None or self.crossing_task not in started:
            return
        self.crossed = worker.machine.name
        delay_s = ANSWER_DELAY_S if self.slow else 0.0
        for (machine, _), link in list(self.report_links.items()):
            if machine == self.crossed:
                link.interrupt_after(b"POST /agent/beat", delay_s, answers_only=True)
        with self.clock.lock:
            self.report_due.add(self.crossed)
        until = time.monotonic() + 1.0
        while time.monotonic() < until and not self.report_passed():
            time.sleep(0.002)
        # Long enough for the controller to have worked out its answer to the report.
        time.sleep(0.05)
        self.note(f"{self.crossed} sent a report, and now gets the command of {self.crossing_task}")

    def report_passed(self) -> bool:
        """Return whether the crossing report is on its way."""
        return any(link.interrupted_at is not None for link in self.report_links.values())


def machine_of(deployment: harness.Deployment, job: str) -> str | None:
    """Return the machine that the task of a job is on."""
    return next(iter(deployment.jobs[job].on_machines.get(0, ())), None)


def wait_for_start(deployment: harness.Deployment, job: str, for_s: float = 20.0) -> str:
    """Wait until the task of a job is on a machine; return the machine."""
    deployment.wait_for(f"{job} starts", lambda: machine_of(deployment, job) is not None, for_s)
    return str(machine_of(deployment, job))


def case(deployment: harness.Deployment, trouble: bool) -> bool:
    """Return whether no task started on a machine while it was on another."""
    assert isinstance(deployment, CrossingDeployment)
    deployment.slow = trouble
    deployment.start()
    deployment.leader()
    deployment.run_time_s = lambda piece: 300.0
    # Each task takes half of a machine, so that these three leave half of one machine.
    others = [
        deployment.job(number, urgency="critical", vcpus=2.0, expected_s=300.0)
        for number in (1, 2, 3)
    ]
    for other in others:
        deployment.submit(other)
        wait_for_start(deployment, other)
    time.sleep(6.0)
    task = deployment.job(4, workload="reminder-send", urgency="low", vcpus=2.0, expected_s=300.0)
    deployment.crossing_task = f"{task}/0"
    half_full = machine_of(deployment, others[2])
    if half_full is None:
        raise harness.CannotRunError("a task has left its machine")
    deployment.reports_late.add(half_full)
    deployment.wait_for(
        "a report is about to be due",
        lambda: EARLIEST_S < time.monotonic() - deployment.report_sent_at[half_full] < LATEST_S,
        10,
    )
    deployment.submit(task)
    machine = wait_for_start(deployment, task)
    if deployment.crossed != machine or not deployment.report_passed():
        raise harness.CannotRunError("no report crossed the command that starts the task")
    # An urgent job takes the task's place, another job's end gives it one on the other machine,
    # and the urgent job is called off.
    urgent = deployment.job(5, urgency="critical", vcpus=2.0, expected_s=300.0)
    deployment.submit(urgent)
    if wait_for_start(deployment, urgent, 2.0) != machine:
        raise harness.CannotRunError("the urgent job did not take the task's place")
    elsewhere = next(job for job in others if machine_of(deployment, job) != machine)
    deployment.until_answered("POST", f"/submissions/{elsewhere}/abort")
    if wait_for_start(deployment, task, 2.0) == machine:
        raise harness.CannotRunError("the task did not move to the other machine")
    deployment.until_answered("POST", f"/submissions/{urgent}/abort")
    time.sleep(8.0)
    for violation in deployment.violations:
        deployment.note(violation)
    return not deployment.violations


if __name__ == "__main__":
    sys.exit(harness.main(HERE / "record.txt", case, CrossingDeployment))
