"""No node sends a user an answer about a job after any node has sent a newer one.

The leader's answers to one other node are held on their way meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from appleshift.api import freshness
from appleshift.api.freshness import ResponseFreshness, all_unknown, job_version
from appleshift.api.responses import SchedulerReply, respond, unavailable
from appleshift.leader_election.leader_lease import CLOCK_DRIFT_RATIO
from appleshift.leader_election.read_leases import READ_LEASE_S, JobVersion, ReadLeases
from appleshift.protocol.operator import OperatorSettings
from appleshift.transport.http_messages import Request, Response
from tests.support.deployments import LARGE, REPORT_S, SMALL
from tests.support.invariants import ObservedJob
from tests.support.overlapping_failures import SHARDED_OPERATOR, check_single_leader
from tests.support.simulated_world import ON_DEMAND_CPU_JOB, World

STARTED_S = 30.0
MAX_START_S = 90.0
NEWER_AFTER_S = 0.3
"""Time between the request whose answer is held and the request that makes it outdated."""
WATCHED_S = 4.0


class AnswerLog:
    """Requests at the nodes of a simulated deployment, and the answers in the order sent."""

    def __init__(self, world: World, job_id: str) -> None:
        self.world, self.job_id = world, job_id
        self.answers: list[tuple[str, int, str | None]] = []

    def ask(self, node: str, call: str) -> None:
        path, method, body = f"/submissions/{self.job_id}", "GET", b""
        if call == "submit":
            spec = self.world.invariants.jobs[self.job_id].spec
            path, method, body = "/submissions", "POST", msgspec.msgpack.encode(spec)
        elif call == "cancel":
            path, method = path + "/abort", "POST"

        def reply(status: int, raw: bytes) -> None:
            state = msgspec.msgpack.decode(raw).get("status")
            self.answers.append((node, status, state))

        host = self.world.hosts[node]
        self.world.serve_request(host, "public", Request(method, path, body), reply)

    def ask_at(self, at: float, node: str, call: str) -> None:
        self.world.sim.after(at - self.world.sim.now, lambda: self.ask(node, call))

    def versions(self) -> list[JobVersion]:
        """The versions of the job that users were told, in the order in which they were told."""
        found = [job_version(status, state) for _, status, state in self.answers]
        return [version for version in found if version is not None]


def create_world(operator: OperatorSettings | None) -> World:
    world = World(9000, operator, site=LARGE if operator else SMALL)
    check_single_leader(world)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    return world


@pytest.fixture(params=[None, SHARDED_OPERATOR], ids=["one_shard", "three_shards"])
def world(request: pytest.FixtureRequest) -> Iterator[World]:
    """A cluster without faults that has been running for ``STARTED_S``."""
    world = create_world(request.param)
    world.run(STARTED_S)
    yield world
    world.close()


def deciding_shard(world: World, job_id: str) -> int:
    """The shard that has a job, or the home shard of a job that no shard has."""
    nodes = [host.node for host in world.hosts.values() if host.node is not None]
    for node in nodes:
        for shard, replica in node.replicas.items():
            scheduler = replica.scheduler
            if scheduler is not None and job_id in scheduler.cluster.job_by_id:
                return shard
    shard_map = nodes[0]._shard_map()
    return 0 if shard_map is None else shard_map.home_shards(job_id)[0]


def nodes_of(world: World, log: AnswerLog) -> tuple[str, str, str]:
    """The leader of the shard that decides about a job, and two other nodes."""
    shard = deciding_shard(world, log.job_id)
    leaders = [
        name
        for name, host in world.hosts.items()
        if host.node is not None and host.node.replicas[shard].lease.is_leader
    ]
    follower, third = [name for name in world.hosts if name not in leaders][:2]
    return leaders[0], follower, third


def describe_job(world: World, run_time_s: float = 500.0) -> AnswerLog:
    """A job whose only user is the test."""
    world.job_count += 1
    job_id = f"job-{world.job_count:06d}"
    world.run_times[job_id] = run_time_s
    spec = {
        "name_id": job_id, "workload": "array", "owner": "red", "shape": "array", "urgency": "high",
        "pieces": 1, "ram_gb": 4.0, "bundle": "img-1", "image_gb": 0.1, "expected_s": 8.0,
        "snapshot_cost_s": 0.0, "due_s": None, **ON_DEMAND_CPU_JOB,
    }  # fmt: skip
    world.invariants.jobs[job_id] = ObservedJob(spec)
    return AnswerLog(world, job_id)


def running_job(world: World, run_time_s: float = 500.0) -> AnswerLog:
    log = describe_job(world, run_time_s)
    log.ask(next(iter(world.hosts)), "submit")
    job = world.invariants.jobs[log.job_id]
    while not any(job.machines_by_task.values()):
        assert world.sim.now < MAX_START_S
        world.run(world.sim.now + 0.5)
    assert log.answers[0][1] == 201
    log.answers.clear()
    # By now the worker has reported its task.
    world.run(world.sim.now + REPORT_S * 1.25)
    return log


def ask_while_answers_are_held(
    world: World, log: AnswerLog, call: str, held_s: float, newer: list[tuple[str, str]]
) -> None:
    """Ask a follower, whose answer is held; then ask ``newer`` of the leader and a third node."""
    leader, follower, third = nodes_of(world, log)
    nodes = {"leader": leader, "third": third}
    start = world.sim.now
    world.peer_answer_delays[follower, leader] = held_s
    log.ask(follower, call)
    for number, (node, newer_call) in enumerate(newer):
        at = start + min(NEWER_AFTER_S, held_s / 2) + number * 0.2
        log.ask_at(at, nodes[node], newer_call)
    world.run(start + WATCHED_S)


# The rows: poll, submission or first submission, held for so long; what others ask meanwhile.
HELD_ANSWERS = [
    ("poll", 0.8, [("leader", "cancel")]),
    ("poll", 0.15, [("leader", "cancel")]),
    ("poll", 0.06, [("leader", "cancel")]),
    ("poll", 0.8, [("third", "cancel")]),
    ("submit", 0.8, [("leader", "cancel")]),
]


# Guards against review/3: a follower passed on "running" after the cancellation was confirmed.
@pytest.mark.parametrize(("call", "held_s", "newer"), HELD_ANSWERS)
def test_held_answer_about_a_running_job_is_not_sent_after_its_cancellation(
    world: World, call: str, held_s: float, newer: list[tuple[str, str]]
) -> None:
    log = running_job(world)
    ask_while_answers_are_held(world, log, call, held_s, newer)
    assert log.versions() == sorted(log.versions())
    assert [state for _, status, state in log.answers if status == 200].count("aborted") >= 1
    assert len(log.answers) == 1 + len(newer)


# Guards against a first answer (201) that was passed on 0.98 s after the cancellation.
def test_held_first_answer_to_a_submission_is_not_sent_after_the_cancellation(
    world: World,
) -> None:
    log = describe_job(world)
    newer = [("leader", "submit"), ("leader", "cancel")]
    ask_while_answers_are_held(world, log, "submit", 1.2, newer)
    assert log.versions() == sorted(log.versions())
    assert log.versions()[-1] is JobVersion.ENDED


# Guards against a 404 that was passed on after another user was told that the job is accepted.
def test_held_404_is_not_sent_after_the_job_was_accepted(world: World) -> None:
    log = describe_job(world)
    ask_while_answers_are_held(world, log, "poll", 0.8, [("leader", "submit")])
    assert log.versions() == sorted(log.versions())
    assert (201, "pending") in [answer[1:] for answer in log.answers]


# Guards against "running" that was passed on after the leader had called the job done.
def test_held_answers_about_a_job_are_not_sent_after_it_is_called_done(world: World) -> None:
    log = running_job(world, run_time_s=8.0)
    leader, follower, _ = nodes_of(world, log)
    world.peer_answer_delays[follower, leader] = 0.9
    start = world.sim.now
    for number in range(400):
        log.ask_at(start + number * 0.05, leader, "poll")
        log.ask_at(start + number * 0.05, follower, "poll")
    world.run(start + 22.0)
    assert log.versions() == sorted(log.versions())
    assert (leader, 200, "done") in log.answers
    assert (leader, 200, "running") in log.answers


def hand_over_while_an_answer_is_held(world: World, log: AnswerLog) -> None:
    """The answer is valid for longer than the hand-over and the cancellation at the successor."""
    leader, follower, third = nodes_of(world, log)
    world._delay = lambda: 0.005  # type: ignore[method-assign]
    world.peer_answer_delays[follower, leader] = 0.35
    start = world.sim.now
    log.ask(follower, "poll")
    node = world.hosts[leader].node
    assert node is not None
    world.sim.after(0.02, lambda: [each.start_hand_over() for each in node.replicas.values()])
    for number in range(60):
        log.ask_at(start + 0.02 + 0.01 * number, third, "cancel")
    world.run(start + WATCHED_S)


# Guards against a successor that does not wait for the read leases of its predecessor.
def test_held_answer_of_a_leader_that_hands_over_is_not_sent_after_its_successors(
    world: World,
) -> None:
    log = running_job(world)
    hand_over_while_an_answer_is_held(world, log)
    assert log.versions() == sorted(log.versions())
    assert log.versions()[-1] is JobVersion.ENDED


def test_planted_successor_without_wait_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: a new leader does not wait for the read leases of its predecessor."""
    monkeypatch.setattr(ReadLeases, "begin_term", lambda self, now: None)
    world = create_world(None)
    try:
        world.run(STARTED_S)
        log = running_job(world)
        hand_over_while_an_answer_is_held(world, log)
        assert log.versions() != sorted(log.versions())
    finally:
        world.close()


# Guards against polls at followers that fail whenever answers are a little late.
def test_polls_at_a_follower_are_answered_under_jitter(world: World) -> None:
    log = running_job(world)
    _, follower, _ = nodes_of(world, log)
    world.extra_latency_s = 0.15
    start = world.sim.now
    for number in range(100):
        log.ask_at(start + 0.1 * number, follower, "poll")
    world.run(start + 14.0)
    assert [answer[1:] for answer in log.answers].count((200, "running")) >= 99


# -- read leases ---------------------------------------------------------------------------


def test_read_lease_delays_newer_versions_only() -> None:
    leases = ReadLeases()
    leases.grant("job-000001", JobVersion.ACCEPTED, 1.0, now=10.0)
    assert leases.remaining_s("job-000001", JobVersion.ENDED, 10.5) == pytest.approx(0.502)
    assert leases.remaining_s("job-000001", JobVersion.ACCEPTED, 10.5) == 0.0
    assert leases.remaining_s("job-000002", JobVersion.ENDED, 10.5) == 0.0
    assert leases.remaining_s("job-000001", JobVersion.ENDED, 10.0 + CLOCK_DRIFT_RATIO) == 0.0


def test_shorter_read_lease_does_not_end_a_longer_one() -> None:
    leases = ReadLeases()
    leases.grant("job-000001", JobVersion.UNKNOWN, 1.0, now=10.0)
    leases.grant("job-000001", JobVersion.UNKNOWN, 0.1, now=10.1)
    assert leases.remaining_s("job-000001", JobVersion.ACCEPTED, 10.5) == pytest.approx(0.502)


def test_new_term_delays_all_answers_for_one_read_lease() -> None:
    leases = ReadLeases()
    leases.begin_term(now=10.0)
    for version in JobVersion:
        remaining_s = leases.remaining_s("job-000001", version, 10.0)
        assert remaining_s == pytest.approx(READ_LEASE_S * CLOCK_DRIFT_RATIO)


def test_expired_read_leases_are_removed() -> None:
    leases = ReadLeases()
    for number in range(10_000):
        leases.grant(f"job-{number:06d}", JobVersion.UNKNOWN, 0.5, now=number * 0.01)
    assert len(leases) < 60


# -- answers of several shards ----------------------------------------------------------------


class LeaderStandIn:
    """A clock that ``sleep`` advances, and the replica of a leader with one known job."""

    def __init__(self) -> None:
        self.time = 5.0
        self.state: str | None = "pending"
        self.slept_s = 0.0
        self.replica: Any = SimpleNamespace(
            last_reported_state=lambda job_id: self.state,
            lease=SimpleNamespace(valid_for_s=lambda now: 1.0, fencing_token=1),
            read_leases=ReadLeases(),
        )
        runtime = SimpleNamespace(now=lambda: self.time, sleep=self._sleep)
        context: Any = SimpleNamespace(runtime=runtime)
        self.freshness = ResponseFreshness(context)

    def _sleep(self, seconds: float) -> None:
        self.slept_s += seconds
        self.time += seconds

    def answer(self, status: int, body: dict[str, Any], forwarded: bool = True) -> Response:
        request = self.freshness.received(self.replica, "job-000001", forwarded)
        return self.freshness.revalidated_before_sending(SchedulerReply(status, body), request)


# Guards against a 404 of the home shard that is sent after the deciding shard accepted the job.
def test_redirect_to_the_deciding_shard_waits_for_read_leases_of_the_home_shard() -> None:
    leader = LeaderStandIn()
    leader.replica.read_leases.grant("job-000001", JobVersion.UNKNOWN, 0.4, leader.time)
    assert leader.answer(421, {"share": 2}).status == 421
    assert leader.slept_s == pytest.approx(0.4, rel=0.01)


def test_answer_of_an_earlier_term_is_not_sent() -> None:
    leader = LeaderStandIn()
    response = leader.answer(200, {"status": "running"})
    leader.replica.lease.fencing_token = 2
    assert response.revalidated().status == 503


def test_final_answer_prepared_while_a_read_lease_is_valid_waits_for_it() -> None:
    leader = LeaderStandIn()
    running = leader.answer(200, {"status": "running"}).revalidated()
    valid_for_ms = int(running.headers[freshness.VALID_FOR_HEADER])
    leader.state = "aborted"
    assert leader.answer(200, {"status": "aborted"}).revalidated().status == 200
    assert leader.slept_s > valid_for_ms / 1000


def test_time_in_the_scheduler_does_not_shorten_the_read_lease() -> None:
    leader = LeaderStandIn()
    response = leader.answer(200, {"status": "running"})
    leader.time += 0.7
    valid_for_ms = int(response.revalidated().headers[freshness.VALID_FOR_HEADER])
    assert 1000 < valid_for_ms < (0.7 + READ_LEASE_S) * 1000


@pytest.mark.parametrize("leader_rate", [0.9995, 1.0005])
@pytest.mark.parametrize("follower_rate", [0.9995, 1.0005])
@pytest.mark.parametrize("in_scheduler_s", [0.0, 4.0])
def test_read_lease_ends_at_the_follower_before_the_leader_tells_newer_states(
    leader_rate: float, follower_rate: float, in_scheduler_s: float
) -> None:
    """Both count from different events on clocks that drift apart."""
    leader = LeaderStandIn()
    response = leader.answer(200, {"status": "running"})
    leader.time += in_scheduler_s * leader_rate
    valid_for_s = int(response.revalidated().headers[freshness.VALID_FOR_HEADER]) / 1000
    held_s = leader.replica.read_leases.remaining_s("job-000001", JobVersion.ENDED, leader.time)
    sent_until = valid_for_s / CLOCK_DRIFT_RATIO / follower_rate
    assert sent_until < in_scheduler_s + held_s / leader_rate


def outdated(_: Response) -> Response:
    return unavailable()


@pytest.mark.parametrize(
    ("first", "sent_status"),
    [(None, 404), (outdated, 503), (lambda _: respond(200, {"status": "done"}), 200)],
)
def test_404_of_several_shards_is_sent_only_while_each_of_them_is_valid(
    first: Callable[[Response], Response] | None, sent_status: int
) -> None:
    responses = [Response(404, revalidate=first), Response(404)]
    assert all_unknown(responses).revalidated().status == sent_status
