"""Measures what one more machine, task, job, report or record costs the deciding core.

    python -m tests.measurements.measure_slopes [--machines 500] [--repeat 3]

Not a test: slopes for docs/CAPACITY.md. Processor time of this process in microseconds, and
bytes held; sockets, threads and HTTP are not in it. The size changes one thing at a time.
"""

from __future__ import annotations

import argparse
import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from tabulate import tabulate

from appleshift.contracts.actions import Reply, SendCommands
from appleshift.placement.first_fit import FirstFitPlacer
from appleshift.protocol import users, workers
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.wire import encode
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import RUNNING, UP
from appleshift.storage import records
from appleshift.storage.records import LogReplayer
from tests.support.builders import KINDS, job, submission
from tests.support.scheduler_bench import SchedulerHarness

TASKS_A_MACHINE = 4
WARM_UP_REPORTS = 2
MICRO = 1e6


@dataclass
class Slope:
    """One repetition: how often a thing was done, and the processor time of all of it."""

    name: str
    count: int
    seconds: float


class Core:
    """A core with machines that are up, and work that is sent through all its stages."""

    def __init__(self, machines: int) -> None:
        self.names = [f"i-{number:06d}" for number in range(machines)]
        self.bench = SchedulerHarness(
            [["M", name, "10.1.0.1:1", "large", "a", False] for name in self.names]
        )
        self.scheduler = self.bench.scheduler
        self.scheduler.now = self.bench.now
        self.seq = 0
        self.slopes: list[Slope] = []
        for _ in range(WARM_UP_REPORTS):
            self.report_all()

    def timed(self, name: str, count: int, call: Callable[[], Any]) -> None:
        gc.collect()
        gc.disable()
        began = time.process_time()
        call()
        took = time.process_time() - began
        gc.enable()
        self.slopes.append(Slope(name, count, took))

    def bodies(self, state: str | None, cause: str | None = None) -> list[bytes]:
        """A report of every machine, all its tasks in one state; None: no tasks."""
        self.seq += 1
        found = []
        for name in self.names:
            machine = self.scheduler.cluster.machine(name)
            runs = [] if machine is None or state is None else machine.runs.values()
            tasks = [
                {"piece": run.name, "try": run.attempt, "status": state, "cause": cause}
                for run in runs
            ]
            body = {
                "rig": name, "addr": "10.1.0.1:1", "rig_kind": "large", "yard": "a",
                "loaners": False, "shift": 1, "tally": self.seq, "baton": 7,
                "recall_in_s": None, "pieces": tasks,
            }  # fmt: skip
            found.append(msgspec.msgpack.encode(body))
        return found

    def handle(self, bodies: list[bytes]) -> None:
        """As the connections and the core do: decode, take in, encode the answer."""
        for body in bodies:
            glance = workers.decode_heartbeat_header(body)
            self.scheduler.heartbeat_received(
                workers.decode_heartbeat(body), "slot", bytes(glance.tasks)
            )
            for action in self.scheduler.take_actions():
                if isinstance(action, Reply):
                    encode(action.body)

    def report_all(self, state: str | None = None) -> None:
        self.bench.now += 1.0
        self.scheduler.now = self.bench.now
        self.handle(self.bodies(state))

    def answer_unchanged(self, bodies: list[bytes]) -> None:
        for body in bodies:
            assert (
                self.scheduler.fast_path.response_to(
                    workers.decode_heartbeat_header(body), self.bench.now
                )
                is not None
            )

    def submit(self, bodies: list[bytes]) -> None:
        for body in bodies:
            self.scheduler.job_requests.submit(users.decode_submission(body), object(), 5000.0)

    def query(self, ids: list[str]) -> None:
        for job_id in ids:
            self.scheduler.job_requests.status(job_id, object())
            for action in self.scheduler.take_actions():
                if isinstance(action, Reply):
                    encode(action.body)

    def commit(self) -> None:
        """Every record is made durable, as bytes that a transaction would send."""
        write_ahead_log = self.scheduler.write_ahead_log
        while True:
            self.bench.now += 0.1
            txn = write_ahead_log.next_transaction(self.bench.now)
            if txn is None:
                return
            encode({"guards": txn.guards, "then": txn.changes})
            self.scheduler.commit_succeeded(9)

    def push(self) -> None:
        self.scheduler.now = self.bench.now
        self.scheduler.commands.send_due()
        for action in self.scheduler.take_actions():
            if isinstance(action, SendCommands):
                encode(
                    workers.direct_command_body(
                        action.fencing_token, action.agent_epoch, action.commands
                    )
                )

    def run_all(self) -> None:
        """Jobs of one task, from their submission to their end, stage by stage."""
        machines, tasks = len(self.names), len(self.names) * TASKS_A_MACHINE
        ids = [f"job-{number:06d}" for number in range(tasks)]
        bodies = [
            msgspec.msgpack.encode(submission(id=name, team="blue", cpus=4.0, spot=False))
            for name in ids
        ]
        self.timed("a submission, to its record", tasks, lambda: self.submit(bodies))
        self.timed("a submission's commit", tasks, self.commit)
        for _ in range(WARM_UP_REPORTS):
            self.report_all()
        self.timed("a start, in a pass", tasks, self.scheduler._place)
        placed = sum(len(machine.runs) for machine in self.scheduler.cluster.machines.values())
        assert placed == tasks, f"{placed} of {tasks} were placed"
        self.timed("a start's commit", tasks, self.commit)
        self.timed("a start, sent", tasks, self.push)
        self.scheduler.now = self.bench.now = self.bench.now + 1.0
        for name in self.names:
            # The direct command was answered.
            self.scheduler.commands.commands_sent(name, 1, (), "done", None)
        running = self.bodies("running")
        self.timed("a report in which all tasks changed", machines, lambda: self.handle(running))
        self.report_all("running")
        self.report_all("running")
        self.bench.now += 1.0
        again = self.bodies("running")
        unchanged = "a report in which nothing changed"
        self.timed(unchanged, machines, lambda: self.answer_unchanged(again))
        self.timed("a query", tasks, lambda: self.query(ids))
        self.bench.now += 1.0
        self.scheduler.now = self.bench.now
        ended = self.bodies("exited", "done")
        self.timed("a report in which all tasks ended", machines, lambda: self.handle(ended))
        self.timed("an end's commit", tasks, self.commit)


def pass_cost(machines: int, waiting: int) -> float:
    """Seconds of a pass that finds no room: full machines, jobs of eight tasks that wait."""
    made = ClusterState(["a", "b"], [TeamLimits("red"), TeamLimits("blue")])
    made.update_machine_types(KINDS)
    for number in range(machines):
        machine = made.add_machine(f"m{number}", "large", "ab"[number % 2], False)
        assert machine is not None
        machine.status, machine.agent_epoch = UP, 1
    job(made, tasks=machines, cpus=16.0)
    FirstFitPlacer(made, 5.0, 5.0, -1.0).run(True)
    for machine in made.machines.values():
        for run in machine.runs.values():
            run.state, run.running_since = RUNNING, 1.0
    for number in range(waiting):
        job(made, tasks=8, cpus=2.0, image=f"img-{number % 20}")
    gc.collect()
    began = time.process_time()
    FirstFitPlacer(made, 5.0, 5.0, -1.0).run(True)
    return time.process_time() - began


def held(make: Callable[[int], Any], count: int) -> float:
    """Bytes that one more of something holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make(count)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / count


def tables_with(machines: int = 0, jobs: int = 0, finals: int = 0, tasks: int = 0) -> ClusterState:
    made = ClusterState(["a", "b"], [TeamLimits("red")])
    made.update_machine_types(KINDS)
    for number in range(machines):
        made.add_machine(f"i-{number:06d}", "large", "a", False)
    for number in range(jobs):
        made.add_job(number, submission(id=f"job-{number:06d}"), 0.0)
    for number in range(finals):
        made.final_states[f"job-{number:06d}"] = 1
    if tasks:
        large = made.add_job(0, submission(tasks=tasks), 0.0)
        machine = made.add_machine("i-1", "large", "a", False)
        assert machine is not None
        for task in range(tasks):
            made.assign(large, task, 1, machine, 1)
    return made


def recovery(count: int) -> float:
    """Seconds for that many jobs, each with its start."""
    source = ClusterState(["a"], [TeamLimits("red")])
    log: list[list[Any]] = [["M", "m", "10.1.0.1:1", "large", "a", False]]
    for number in range(count):
        made = source.add_job(number, submission(id=f"job-{number:06d}"), 0.0)
        log += [records.job_record(made), ["A", number, 1, "m", 1, [0, 0]]]
    replayer = LogReplayer(ClusterState(["a"], [TeamLimits("red")]))
    replayer.apply(records.machine_type_records(KINDS))
    began = time.process_time()
    replayer.apply(log)
    return time.process_time() - began


def processor_rows(machines: int, repeat: int) -> list[list[Any]]:
    by_name: dict[str, list[float]] = {}
    for _ in range(repeat):
        scheduler = Core(machines)
        scheduler.run_all()
        for slope in scheduler.slopes:
            by_name.setdefault(slope.name, []).append(slope.seconds * MICRO / slope.count)
        by_machine = pass_cost(4000, 50) - pass_cost(2000, 50)
        by_job = pass_cost(2000, 2000) - pass_cost(2000, 1000)
        for name, seconds, count in (
            ("a record, in recovery", recovery(4000), 8000),
            ("a machine, in a pass that finds no room", by_machine, 2000),
            ("a waiting job, in such a pass", by_job, 1000),
        ):
            by_name.setdefault(name, []).append(seconds * MICRO / count)
    return [[name, statistics.median(some), min(some), max(some)] for name, some in by_name.items()]


def memory_rows() -> list[list[Any]]:
    return [
        ["a machine", held(lambda count: tables_with(machines=count), 5000)],
        ["a job of one task", held(lambda count: tables_with(jobs=count), 5000)],
        ["a task on a machine", held(lambda count: tables_with(tasks=count), 5000)],
        ["a final state", held(lambda count: tables_with(finals=count), 50_000)],
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=500)
    parser.add_argument("--repeat", type=int, default=3)
    options = parser.parse_args()
    if options.machines < 1 or options.repeat < 1:
        parser.error("--machines and --repeat take positive numbers")
    rows = processor_rows(options.machines, options.repeat)
    print(tabulate(rows, ["processor time of", "us, median", "least", "most"], floatfmt=".1f"))
    print()
    print(tabulate(memory_rows(), ["memory of", "bytes"], floatfmt=".0f"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
