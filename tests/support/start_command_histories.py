"""Seeded histories of starts that arrive late, while attempts are stopped, cleared and freed.

They drive real schedulers, one leader after the other, and two workers. A worker has one
heartbeat in flight and drops a response after 4 s; a direct command may arrive at any time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.contracts.actions import ProbeMachine, Reply, SendCommands
from appleshift.leader_election.fencing_tokens import first_token_after
from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, Heartbeat
from appleshift.state.cluster_state import ClusterState
from appleshift.storage import records
from tests.support.builders import submission
from tests.support.deployments import LEASE_S
from tests.support.model_worker import ModelWorker
from tests.support.scheduler_bench import SchedulerHarness

WORKERS = ("m0", "m1")
EVENTS_PER_HISTORY = 80
MAX_EXCHANGES = 100


@dataclass
class HeartbeatInFlight:
    """The heartbeat whose response a worker awaits; ``response`` is the body on its way."""

    heartbeat: Heartbeat
    sent_at: float
    response: Any = None


@dataclass
class DirectCommand:
    """A direct command on its way; ``awaited`` until its leader gives up the answer."""

    action: SendCommands
    term: int
    awaited: bool = True


class StartCommandHistory:
    """Random events of one seed; no task may be on two workers after any of them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self.term = 0.0, 0
        job = ClusterState([], []).add_job(0, submission(id="job-000000", tasks=3), 4990.0)
        self.log: list[list[Any]] = [records.job_record(job)]
        for name in WORKERS:
            self.log.append(["M", name, f"10.1.0.{name[1:]}:9000", "large", "a", False])
        self.workers = {name: ModelWorker(name, "a", 0.0) for name in WORKERS}
        self.heartbeats: dict[str, HeartbeatInFlight] = {}
        self.copies: list[Heartbeat] = []
        self.direct: list[DirectCommand] = []
        self.new_leader()
        for _ in WORKERS * 2:
            self.exchange_heartbeat()

    def run(self) -> None:
        """Run the history; AssertionError with the last events if a task runs twice."""
        weights = self.events()
        chosen = self.rng.choices([*weights], [*weights.values()], k=EVENTS_PER_HISTORY)
        for number, event in enumerate(chosen):
            event()
            self.check([each.__name__ for each in chosen[max(0, number - 9) : number + 1]])

    def events(self) -> dict[Callable[[], None], int]:
        """Return the events and their weights."""
        return {
            self.decide: 2, self.exchange_commands: 4, self.cross_commands: 3, self.stop_task: 4,
            self.end_task: 1, self.exchange_heartbeat: 3, self.deliver_response: 1,
            self.deliver_copy: 1, self.deliver_direct: 1, self.give_up_direct: 1,
            self.change_leader: 1,
        }  # fmt: skip

    def check(self, last: list[str]) -> None:
        """Check that no task is on two workers; ``last`` names the last events."""
        live = [task for worker in self.workers.values() for task, _ in worker.live_tasks()]
        assert len(live) == len(set(live)), f"ran twice: {live} after {last}"

    # -- the leader ----------------------------------------------------------------------

    def new_leader(self) -> None:
        """A leader recovers the durable log."""
        self.term = first_token_after(self.term)
        self.bench = SchedulerHarness(list(self.log), token=self.term)

    def change_leader(self) -> None:
        """At one time of four, another leader follows."""
        if self.rng.random() < 0.25:
            self.new_leader()

    def decide(self, seconds: float | None = None) -> None:
        """Time passes; the leader places tasks, commits and sends what is due."""
        seconds = seconds or self.rng.choice([0.05, 0.3, 1.2])
        self.now += seconds
        for worker in self.workers.values():
            if self.now - worker.lease_renewed_at > LEASE_S:
                worker.tasks.clear()
                worker.agent_epoch += 1
                worker.lease_renewed_at = self.now
        for part in (seconds, 0.0):
            self.act(self.bench.step(part))
            self.bench.commit_all()
        self.log = list(self.bench.log)

    def act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendCommands):
                self.direct.append(DirectCommand(action, self.term))
            elif isinstance(action, Reply) and action.reply_to in self.heartbeats:
                response = action.body if action.status == 200 else None
                self.heartbeats[action.reply_to].response = response
            elif isinstance(action, ProbeMachine):
                report = self.workers[action.machine].report()
                self.bench.scheduler.probe_answered(action.machine, report)

    def stop_task(self) -> None:
        """A task is preempted; its next attempt goes to the other machine or anywhere."""
        job = self.bench.scheduler.cluster.jobs.get(0)
        runs = [] if job is None else list(job.runs.values())
        if runs:
            run = self.rng.choice(runs)
            run.machine.avoid_until = self.bench.now + self.rng.choice([0.0, 2.0])
            self.bench.scheduler.stop_run(run, 0.0, "preempt")

    def exchange_commands(self) -> None:
        """The leader decides, and its direct commands are answered at once."""
        for _ in range(self.rng.randint(1, 3)):
            self.decide(0.05)
            for command in [each for each in self.direct if each.awaited]:
                self.deliver(command)

    # -- workers -------------------------------------------------------------------------

    def send_heartbeat(self, name: str) -> None:
        """Deliver a worker's next heartbeat, unless it awaits a response."""
        if name not in self.heartbeats:
            self.heartbeats[name] = HeartbeatInFlight(self.workers[name].report(), self.now)
            self.copies.append(self.heartbeats[name].heartbeat)
            if self.rng.random() < 0.95:
                self.receive(self.heartbeats[name].heartbeat, name)

    def receive(self, heartbeat: Heartbeat, reply_to: str) -> None:
        self.bench.scheduler.now = self.bench.now
        self.bench.scheduler.heartbeat_received(heartbeat, reply_to)
        self.act(self.bench.scheduler.take_actions())

    def cross_commands(self) -> None:
        """Heartbeats are answered while the leader's direct commands are on their way."""
        self.decide(0.05)
        for name in WORKERS:
            self.send_heartbeat(name)

    def deliver_copy(self) -> None:
        """A copy of one of the last heartbeats arrives; nobody reads its response."""
        self.receive(self.rng.choice(self.copies[-4:]), "copy")

    def deliver_response(self, name: str | None = None) -> None:
        """A response arrives, or the worker gives it up after 4 s."""
        name = name or self.rng.choice(WORKERS)
        in_flight = self.heartbeats.get(name)
        if in_flight is None:
            return
        late = self.now - in_flight.sent_at > HEARTBEAT_TIMEOUT_S
        response, worker = in_flight.response, self.workers[name]
        if response is None and not late:
            return
        del self.heartbeats[name]
        same_epoch = in_flight.heartbeat.agent_epoch == worker.agent_epoch
        if same_epoch and not late and response["baton"] >= worker.token:
            worker.lease_renewed_at = max(worker.lease_renewed_at, in_flight.sent_at)
            worker.execute(response["baton"], response["orders"], set())

    def exchange_heartbeat(self) -> None:
        """A response that is due arrives, and the next heartbeat is answered at once."""
        name = self.rng.choice(WORKERS)
        self.deliver_response(name)
        self.send_heartbeat(name)
        self.deliver_response(name)

    def deliver_direct(self) -> None:
        """A direct command arrives, perhaps after its leader gave it up."""
        if self.direct:
            self.deliver(self.rng.choice(self.direct))

    def deliver(self, command: DirectCommand) -> None:
        self.direct.remove(command)
        accepted = self.arrive(command.action)
        if command.awaited:
            report = self.workers[command.action.machine].report()
            self.command_answered(command, "done" if accepted else "refused", report)

    def arrive(self, action: SendCommands) -> bool:
        """Let a worker execute a direct command; returns whether it did."""
        worker = self.workers[action.machine]
        same_epoch = action.agent_epoch == worker.agent_epoch
        accepted = same_epoch and action.fencing_token >= worker.token
        if accepted:
            worker.execute(action.fencing_token, action.commands, set())
        return accepted

    def give_up_direct(self) -> None:
        """A leader gives up the answer to a direct command, which may still arrive."""
        awaited = [command for command in self.direct if command.awaited]
        if awaited:
            command = self.rng.choice(awaited)
            command.awaited = False
            self.command_answered(command, "unknown", None)

    def command_answered(
        self, command: DirectCommand, outcome: str, report: Heartbeat | None
    ) -> None:
        if command.term == self.term:
            action = command.action
            self.bench.scheduler.now = self.bench.now
            self.bench.scheduler.commands.commands_sent(
                action.machine, action.agent_epoch, outcome, report
            )
            self.act(self.bench.scheduler.take_actions())

    def end_task(self) -> None:
        """A task ends by itself, and its machine is not blamed."""
        live = [(worker, key) for worker in self.workers.values() for key in worker.live_tasks()]
        if live:
            worker, key = self.rng.choice(live)
            worker.tasks[key] = ["exited", "alone"]


class RepeatedCommandHistory(StartCommandHistory):
    """A history in which direct commands that were answered arrive again, at any later time.

    In some histories the job is cancelled; then no task may be on a worker once it has ended.
    """

    CANCELLED_SHARE = 0.3

    def __init__(self, seed: int) -> None:
        self.answered: list[DirectCommand] = []
        self.cancels_left = 0
        super().__init__(seed)
        self.cancels_left = int(self.rng.random() < self.CANCELLED_SHARE)

    def events(self) -> dict[Callable[[], None], int]:
        return {**super().events(), self.deliver_again: 3, self.cancel_job: 1}

    def deliver(self, command: DirectCommand) -> None:
        super().deliver(command)
        self.answered.append(command)

    def deliver_again(self) -> None:
        """A copy of a direct command that was answered arrives; nobody reads its response."""
        if self.answered:
            self.arrive(self.rng.choice(self.answered[-8:]).action)

    def cancel_job(self) -> None:
        """The user cancels the job, at most once in a history."""
        if self.cancels_left:
            self.cancels_left -= 1
            self.bench.scheduler.now = self.bench.now
            self.bench.scheduler.job_requests.cancel("job-000000", "user")

    def worker_with(self, key: tuple[str, int]) -> ModelWorker:
        """Return the worker that has a task attempt."""
        return next(worker for worker in self.workers.values() if key in worker.tasks)

    def exchange_until(self, reached: Callable[[], bool]) -> None:
        """Exchange commands and heartbeats until a state is reached; AssertionError if never."""
        for _ in range(MAX_EXCHANGES):
            if reached():
                return
            self.exchange_commands()
            for name in WORKERS:
                self.send_heartbeat(name)
                self.deliver_response(name)
        raise AssertionError("the state is never reached")

    def check(self, last: list[str]) -> None:
        super().check(last)
        live = [task for worker in self.workers.values() for task, _ in worker.live_tasks()]
        ended = "job-000000" not in self.bench.scheduler.cluster.job_by_id
        assert not (ended and live), f"ran after the cancellation: {live} after {last}"
