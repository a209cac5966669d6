"""The leader's core, event by event: what it orders, and what it waits for."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from appleshift.contracts.actions import (
    DeleteMachines,
    ProbeMachine,
    RentMachines,
    Reply,
    SendCommands,
)
from appleshift.counted_resources.audit_log import AuditLog
from appleshift.counted_resources.scheduler_part import build
from appleshift.protocol.cloud import decode_list
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import MachineLimits, Objective, Settings
from appleshift.protocol.workers import Heartbeat, HeartbeatHeader, TaskStatus
from appleshift.scheduler.scheduler import Scheduler
from appleshift.state.cluster_state import UP, ClusterState
from appleshift.storage import records
from appleshift.storage.records import LogReplayer
from appleshift.storage.write_ahead_log import LogHeader, WriteAheadLog
from tests.make import KINDS, cluster, job, submission
from tests.make import machine as machine_of
from tests.sites import CANCEL_S, LEASE_S, SMALL


class Always:
    def may_write(self, now: float) -> bool:
        return True

    def may_answer(self, now: float) -> bool:
        return True


class Bench:
    """A core whose records become durable when the test says so."""

    def __init__(
        self,
        history: list[list[Any]],
        settings: Settings | None = None,
        operator: OperatorSettings | None = None,
        token: int = 7,
    ) -> None:
        self.now = 100.0
        settings = settings or SMALL.settings_for("n0")
        operator = operator or OperatorSettings()
        replayer = LogReplayer(
            ClusterState(["a", "b"], SMALL.settings_for("n0").deployment.teams), AuditLog
        )
        replayer.apply(records.machine_type_records(KINDS))
        replayer.apply(history)
        write_ahead_log = WriteAheadLog(
            "leader", 1, f"t{token}", 100.0, 8192, 8, LogHeader(), 0, 1, now=100.0
        )
        self.seats = build(operator, replayer, write_ahead_log, token, 5000.0)
        self.log: list[list[Any]] = [*history]
        self.scheduler = Scheduler(
            settings, operator, Always(), token, replayer, write_ahead_log, lambda: self.now,
            5000.0, self.seats,
        )  # fmt: skip
        self.seq = 0

    def durable(self) -> None:
        while (txn := self.scheduler.write_ahead_log.next_transaction(self.now)) is not None:
            for change in txn.changes:
                self.log += change.get("v", {}).get("records", [])
            self.scheduler.commit_succeeded(9)

    def step(self, seconds: float) -> list[Any]:
        self.now += seconds
        self.scheduler.step(self.now, 5000.0 + self.now)
        return self.scheduler.take_actions()

    def report(
        self, *tasks: TaskStatus, token: int = 7, session: int = 1, machine: str = "m"
    ) -> list[dict[str, Any]]:
        """A machine reports; returns the orders it gets."""
        self.seq += 1
        self.scheduler.now = self.now
        addr = f"10.1.0.{len(machine)}:9000"
        report = Heartbeat(machine, addr, "large", "a", False, session, self.seq, token, [*tasks])
        self.scheduler.heartbeat_received(report, "slot")
        actions = self.scheduler.take_actions()
        known = self.scheduler.cluster.machine(machine)
        if known is not None and known.probe_in_flight:
            # Heard for the first time, or late: asked whether it hears, it answers.
            self.seq += 1
            self.scheduler.probe_answered(machine, msgspec.structs.replace(report, seq=self.seq))
            actions += self.scheduler.take_actions()
        replies = [action for action in actions if isinstance(action, Reply)]
        orders: list[dict[str, Any]] = replies[-1].body["orders"]
        return orders


def history(*more: list[Any]) -> list[list[Any]]:
    cluster = ClusterState([], [])
    job = cluster.add_job(0, submission(id="job-000000", tasks=2), 4990.0)
    machine = ["M", "m", "10.1.0.1:9000", "large", "a", False]
    return [records.job_record(job), machine, ["A", 0, 1, "m", 1, [0, 0]], *more]


def test_a_known_assignment_is_repeated_until_the_worker_shows_it() -> None:
    bench = Bench(history())
    assert [order["verb"] for order in bench.report(token=6)] == ["run"]
    orders = bench.report(TaskStatus("job-000000/0", 1, "running"))
    assert "job-000000/0" not in [order["piece"] for order in orders]


def test_nothing_is_started_of_a_job_that_was_cancelled_before_this_term() -> None:
    bench = Bench(history(["C", 0]))
    assert bench.report(token=6) == []
    assert bench.step(1.0) == []
    # The worker has seen this term's token and lists nothing: the task is gone.
    assert bench.scheduler.cluster.jobs
    bench.report(token=7)
    bench.durable()
    assert bench.scheduler.cluster.final_states == {"job-000000": 2}


def test_a_task_waits_for_proof_from_its_own_session() -> None:
    bench = Bench(history())
    runs = bench.scheduler.cluster.jobs[0].runs
    bench.step(LEASE_S - 1.0)
    assert 0 in runs, "whoever led before may have answered until our election"
    bench.step(2.0)
    assert 0 not in runs
    bench = Bench(history())
    bench.report(token=7, session=2)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def test_no_start_is_sent_before_its_assignment_is_durable() -> None:
    bench = Bench(history())
    bench.report(TaskStatus("job-000000/0", 1, "running"))
    bench.step(0.1)
    assert 1 in bench.scheduler.cluster.jobs[0].runs
    assert not [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    assert bench.report(TaskStatus("job-000000/0", 1, "running")) == []
    bench.durable()
    (push,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    assert [(order["verb"], order["piece"]) for order in push.commands] == [("run", "job-000000/1")]


def test_an_exit_is_cleared_only_when_it_is_durable_and_no_start_is_under_way() -> None:
    bench = Bench(history())
    exited = TaskStatus("job-000000/0", 1, "exited", "done")
    assert bench.report(exited) == []
    bench.durable()
    assert [order["verb"] for order in bench.report(exited)] == ["clear"]
    bench.step(0.1)
    bench.durable()
    (push,) = [action for action in bench.step(0.1) if isinstance(action, SendCommands)]
    bench.scheduler.commands.commands_sent("m", 1, push.starts, "unknown", None)
    second = TaskStatus("job-000000/1", 2, "exited", "done")
    bench.report(second)
    bench.durable()
    assert bench.report(second) == [], "the direct start may arrive again, much later"


def test_a_cancelled_task_that_does_not_end_costs_its_machine() -> None:
    bench = Bench(history())
    running = TaskStatus("job-000000/0", 1, "running")
    bench.report(running)
    bench.scheduler.job_requests.cancel("job-000000", "slot")
    assert not bench.scheduler.take_actions(), "told only once it is durable"
    bench.durable()
    deleted = False
    for _ in range(int(CANCEL_S / 2)):
        bench.report(running)
        deleted = deleted or any("Delete" in str(action) for action in bench.step(1.0))
        bench.now += 1.0
        if deleted:
            break
    assert deleted
    assert bench.now < 100.0 + CANCEL_S


def test_a_new_leader_knows_how_much_arrives_from_jobs_that_are_over() -> None:
    """Once it knew only the open ones, and returned what the next ones needed."""
    objective = Objective("wait", 0.9, "c", 5.0)
    settings = SMALL.settings_for("n0")
    deployment = msgspec.structs.replace(settings.deployment, objectives=[objective])
    settings = msgspec.structs.replace(settings, deployment=deployment)
    bench = Bench(history(["D", 0, [0, 1]], ["E", 0, 1]), settings)
    assert bench.scheduler.cluster.jobs == {}
    assert [entry[0] for entry in bench.scheduler.fleet.arrivals] == [100.0 - 10.0]


def test_a_slow_machine_is_told_from_long_work() -> None:
    bench = Bench(history())
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    slow, good = cluster.machine("m"), cluster.add_machine("g", "large", "a", False)
    assert slow is not None
    assert good is not None
    for number in range(1, 9):
        job = cluster.add_job(number, submission(id=f"job-{number:06d}"), 0.0)
        # Long work is long everywhere; on the slow machine it is three times as long.
        for _ in range(5):
            fleet.health.task_ran(good, job, 10.0 * number)
        fleet.health.task_ran(slow, job, 30.0 * number)
    assert slow.quarantined
    assert not good.quarantined


class Lapsing(Always):
    entitled = True

    def may_answer(self, now: float) -> bool:
        return self.entitled


def test_a_leader_that_was_cut_off_deletes_nothing() -> None:
    """Once 425 deletions waited in a cut network, and came when it was over."""
    bench = Bench(history())
    authority = bench.scheduler.lease = Lapsing()
    bench.report()
    authority.entitled = False
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    bench.scheduler.delete_machines([machine])
    for _ in range(60):
        assert not any(
            isinstance(action, DeleteMachines | RentMachines) for action in bench.step(1.0)
        )
    authority.entitled = True
    assert sum(isinstance(action, DeleteMachines) for action in bench.step(1.0)) == 1


def test_a_node_that_slept_judges_nothing_by_the_time_it_slept() -> None:
    bench = Bench(history())
    authority = bench.scheduler.lease = Lapsing()
    bench.report(TaskStatus("job-000000/0", 1, "running"))
    authority.entitled = False
    bench.step(90.0)
    assert 0 in bench.scheduler.cluster.jobs[0].runs, "whoever leads now may have renewed the lease"
    authority.entitled = True
    bench.step(1.0)
    assert 0 not in bench.scheduler.cluster.jobs[0].runs


def two_zones() -> tuple[Bench, dict[str, list[str]]]:
    """Six machines that are up in each of two zones."""
    bench = Bench(history())
    cluster = bench.scheduler.cluster
    names = {"a": [f"a{n}" for n in range(6)], "b": [f"b{n}" for n in range(6)]}
    for zone, some in names.items():
        for name in some:
            made = cluster.add_machine(name, "small", zone, False)
            assert made is not None
            made.status, made.agent_epoch, made.addr = UP, 1, "10.1.0.9:9000"
            made.lease_until = bench.now + LEASE_S
    return bench, names


def pass_by(bench: Bench, seconds: float, heard: list[str]) -> set[str]:
    """Only these machines are heard, no other answers; returns who is deleted."""
    deleted: set[str] = set()
    for _ in range(int(seconds / 0.5)):
        for name in heard:
            heard_one = machine_of(bench.scheduler.cluster, name)
            heard_one.last_heard = bench.now
            bench.scheduler.liveness.command_result(heard_one, True)
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            elif isinstance(action, DeleteMachines):
                deleted.update(action.machines)
    return deleted


def test_a_zone_that_falls_silent_is_cut_off_and_its_machines_are_kept() -> None:
    bench, names = two_zones()
    fleet, cluster = bench.scheduler.fleet, bench.scheduler.cluster
    replica = cluster.add_job(50, submission(id="job-000050", shape="daemon", spot=False), 0.0)
    cluster.assign(replica, 0, 1, cluster.machine("a0"), 1)  # type: ignore[arg-type]
    # Spread over both zones: the replica in this one may not start in the other.
    bound = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, bound, 0.0)
    cluster.assign(spread, 0, 1, cluster.machine("a1"), 1)  # type: ignore[arg-type]
    cluster.assign(spread, 1, 1, cluster.machine("b0"), 1)  # type: ignore[arg-type]
    deleted = pass_by(bench, 20.0, names["b"])
    assert list(fleet.health.unreachable_zones) == [cluster.zones.get("a")]
    # The replica's machine goes, which proves it gone; the others come back.
    assert deleted & set(names["a"]) == {"a0"}
    assert not fleet.may_rent(0, cluster.zones.get("a"), False)
    for name in names["a"][1:]:
        machine_of(cluster, name).last_heard = bench.now
        bench.scheduler.liveness.command_result(machine_of(cluster, name), True)
    bench.step(0.5)
    assert not fleet.health.unreachable_zones


def test_who_was_not_heard_in_a_dark_zone_gets_its_time_when_the_zone_is_back() -> None:
    """Once 41 machines were deleted in the second in which their zone came back."""
    bench, names = two_zones()
    cluster, health = bench.scheduler.cluster, bench.scheduler.fleet.health
    bound = submission(id="job-000051", shape="daemon", spot=False, spread=True, tasks=2)
    spread = cluster.add_job(51, bound, 0.0)
    for number, name in enumerate((names["a"][0], names["b"][0])):
        cluster.assign(spread, number, 1, cluster.machine(name), 1)  # type: ignore[arg-type]
    deleted = pass_by(bench, LEASE_S - 1.0, names["b"])
    assert health.unreachable_zones
    deleted |= pass_by(bench, 1.5, names["b"] + names["a"][1:])
    assert not health.unreachable_zones
    assert not deleted
    deleted |= pass_by(bench, 15.0, names["b"] + names["a"][1:])
    assert deleted - {"m"} == {names["a"][0]}, "silent for long after the others: it is lost"


def test_silence_everywhere_is_our_own() -> None:
    bench = Bench(history())
    for number in range(6):
        made = bench.scheduler.cluster.add_machine(f"x{number}", "small", "ab"[number % 2], False)
        assert made is not None
        made.status, made.agent_epoch, made.addr = UP, 1, "10.1.0.9:9000"
    for _ in range(60):
        for action in bench.step(0.5):
            if isinstance(action, ProbeMachine):
                bench.scheduler.probe_answered(action.machine, None)
            assert not isinstance(action, DeleteMachines)


def test_a_report_of_hundreds_of_strange_tasks_gets_an_answer_that_fits() -> None:
    bench = Bench(history())
    strange = [TaskStatus(f"job-{number:06d}/1", 1, "running") for number in range(100, 1000)]
    first = bench.report(*strange)
    assert len(msgspec.json.encode(first)) < 60 * 1024
    # What the first answer could not hold comes with the next one.
    ended = {command["piece"] for command in first}
    left = [task for task in strange if task.task not in ended]
    assert left
    assert {command["piece"] for command in bench.report(*left)} & {task.task for task in left}


def test_junk_in_the_clouds_list_hides_nothing_and_proves_nothing() -> None:
    rows = [
        {"name_id": f"i-{number:06d}", "rig_kind": "small", "yard": "a", "loaners": False,
         "status": "running", "age_s": 5.0, "addr": f"10.1.0.{number}:9000"}
        for number in range(200)
    ]  # fmt: skip
    page = decode_list(msgspec.msgpack.encode({"rigs": [*rows, 7, {"name_id": []}, None]}))
    assert len(page.machines) == 200
    assert not page.whole
    bench = Bench(history())
    bench.scheduler.fleet.machines_listed(page.machines, page.whole)
    assert len(bench.scheduler.cluster.machines) == 201
    machine = bench.scheduler.cluster.machine("i-000007")
    assert machine is not None
    for whole, gone in ((False, False), (True, True)):
        bench.now += 200.0
        bench.scheduler.now = bench.now
        bench.scheduler.fleet.machines_listed([], whole)
        assert machine.deletion_requested is gone


def test_an_unchanged_report_from_every_machine_leads_to_no_pass_and_no_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What a quiet deployment costs must not grow with passes over all of it."""
    bench = Bench(history())
    scheduler, cluster = bench.scheduler, bench.scheduler.cluster
    names = [f"u{number}" for number in range(200)]
    running = [TaskStatus("job-000000/0", 1, "running")]

    def report_all(seq: int) -> None:
        scheduler.now = bench.now
        bench.report(*running)
        for number, name in enumerate(names):
            scheduler.heartbeat_received(
                Heartbeat(name, f"10.1.1.{number}:9000", "small", "a", False, 1, seq, 7, []), "slot"
            )

    report_all(1)
    bench.durable()
    for _ in range(8):
        bench.step(0.5)
        bench.durable()
    passes: list[float] = []
    monkeypatch.setattr(scheduler, "_place", lambda: passes.append(bench.now))
    for round_ in range(2, 12):
        report_all(round_)
        assert scheduler.write_ahead_log.backlog() == 0
        # As late as reports come; after 1.4 s a machine is asked whether it is there.
        actions = bench.step(1.25)
        assert sum(isinstance(action, Reply) for action in actions) == len(names)
        assert not any(isinstance(action, SendCommands | ProbeMachine) for action in actions)
        # Reviews of the plan may note other groups.
        bench.durable()
    assert passes == []
    assert len(cluster.machines) == 201


def test_what_waits_for_the_log_is_measured_by_the_time_it_takes() -> None:
    """A flood is refused before its answers would come too late, at any rate of writes."""
    for write_rps, value_kb in ((13.5, 8), (40.0, 16)):
        bench = Bench(history())
        write_ahead_log = bench.scheduler.write_ahead_log
        write_ahead_log.write_rps, write_ahead_log.value_bytes = write_rps, value_kb * 1024
        for number in range(20_000):
            bench.scheduler.job_requests.submit(
                submission(id=f"job-1{number:05d}"), f"slot{number}", 5000.0
            )
        refused = [e.status for e in bench.scheduler.take_actions() if isinstance(e, Reply)]
        assert set(refused) == {503}
        taken = 20_000 - len(refused)
        waiting = taken * len(
            msgspec.json.encode(records.job_record(bench.scheduler.cluster.jobs[9]))
        )
        assert 1.5 < waiting / (write_rps * value_kb * 1024) < 2.5
        while write_ahead_log.backlog():
            bench.now += 1.0
            bench.durable()
        assert write_ahead_log.lag_s() == 0.0


def test_no_more_is_rented_than_can_be_heard_and_nothing_is_rented_without_end() -> None:
    """Three times the fleet once rented 8,677 machines where 1,830 could be: what
    was up and found no place was given up, and others rented in its stead."""
    settings = SMALL.settings_for("n0")
    limits = MachineLimits(core_share=1.0, memory_mb=256.0, max_sockets=55)
    deployment = msgspec.structs.replace(settings.deployment, machine_limits=limits)
    bench = Bench(history(), msgspec.structs.replace(settings, deployment=deployment))
    fleet = bench.scheduler.fleet
    fleet.list_seen = True
    for number in range(1, 40):
        spec = submission(id=f"job-{number:06d}", tasks=40, cpus=4.0, spot=False)
        bench.scheduler.job_requests.submit(spec, "user", 5000.0)
    asked: set[str] = set()
    rented: list[str] = []
    for _ in range(240):
        bench.durable()
        for action in bench.step(0.5):
            if isinstance(action, RentMachines):
                names = [f"i-{len(rented) + n}" for n in range(action.count)]
                rented += names
                fleet.rental_answered(action.request, names, False)
            elif isinstance(action, ProbeMachine):
                # It is up, though its reports find no place.
                asked.add(action.machine)
                machine = bench.scheduler.cluster.machine(action.machine)
                assert machine is not None
                kind = bench.scheduler.cluster.types[machine.type].name
                report = Heartbeat(
                    action.machine, "10.1.0.9:1", kind, "a", False, 1, machine.seq + 1, 7, []
                )
                bench.scheduler.probe_answered(action.machine, report)
            elif isinstance(action, DeleteMachines):
                bench.scheduler.deletion_answered(action.machines, True)
        rows = [
            {"name_id": name, "addr": "10.1.0.9:1", "rig_kind": "small", "yard": "a",
             "loaners": False, "status": "running", "age_s": 1.0}
            for name in rented
        ]  # fmt: skip
        listed = decode_list(msgspec.msgpack.encode({"rigs": rows, "truncated": False}))
        fleet.machines_listed(listed.machines, False)
    assert fleet.max_machines == 27
    assert len(rented) == fleet.max_machines - 1, "one machine was there before"
    assert len(asked) >= len(rented), "a late boot is asked before it is given up"


def test_a_lease_renewed_without_the_core_counts_whatever_else_was_heard() -> None:
    """A direct command's answer is later than the report's time, and renews nothing.

    Unless the renewal counted all the same, tasks ran in two places.
    """
    bench = Bench([records.job_record(job(cluster([]), tasks=1))])
    bench.report()
    bench.step(0.5)
    bench.durable()
    running = TaskStatus("job-000000/0", 1, "running")
    bench.step(0.5)
    raw = msgspec.msgpack.encode([{"piece": "job-000000/0", "try": 1, "status": "running"}])
    for _ in range(int(2.5 * LEASE_S)):
        bench.now += 1.0
        bench.seq += 1
        bench.scheduler.now = bench.now
        report = Heartbeat("m", "10.1.0.1:9000", "large", "a", False, 1, bench.seq, 7, [running])
        glance = HeartbeatHeader("m", "large", 1, bench.seq, 7, msgspec.Raw(raw))
        if bench.scheduler.fast_path.response_to(glance, bench.now) is None:
            bench.scheduler.heartbeat_received(report, "slot", raw)
        # Before the core looks, a command is answered.
        bench.seq += 1
        bench.scheduler.now = bench.now + 0.01
        bench.scheduler.reconcile(
            bench.scheduler.cluster.machine("m"),  # type: ignore[arg-type]
            msgspec.structs.replace(report, seq=bench.seq),
        )
        bench.step(0.3)
    assert bench.scheduler.fast_path.entries["m"].last_answered[0] > bench.now - 2.0, (
        "it was not used at all"
    )
    assert [run.name for run in bench.scheduler.cluster.jobs[0].runs.values()] == ["job-000000/0"]
    machine = bench.scheduler.cluster.machine("m")
    assert machine is not None
    assert machine.lease_until > bench.now
