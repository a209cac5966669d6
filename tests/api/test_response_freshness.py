"""A node that pauses before it sends a response must not send an outdated job state."""

from __future__ import annotations

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from appleshift.api import forwarding
from appleshift.api.forwarded_answers import leased_response, plain_response
from appleshift.api.freshness import VALID_FOR_HEADER, ResponseFreshness
from appleshift.api.responses import SchedulerReply
from appleshift.leader_election.read_leases import ReadLeases
from appleshift.scheduler.job_requests import JobRequests
from appleshift.transport.client import HttpResponse
from appleshift.transport.http_messages import Request
from tests.support.overlapping_failures import check_single_leader
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.simulated_world import ON_DEMAND_CPU_JOB, World

PAUSE_S = 6.0
ASKED_AT = 30.0


@pytest.fixture
def world() -> Iterator[World]:
    """A cluster without faults at ``ASKED_AT``, with one long-running job."""
    world = World(9000)
    check_single_leader(world)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    job_id = world.submit(**ON_DEMAND_CPU_JOB, shape="array", pieces=2)
    world.run_times[job_id] = 500.0
    world.run(ASKED_AT)
    assert any(world.invariants.jobs[job_id].machines_by_task.values())
    yield world
    world.close()


def ask(world: World, node: str, job_id: str) -> list[tuple[int, str | None]]:
    """Query a job's status at a node; the returned list receives (HTTP status, state)."""
    answers: list[tuple[int, str | None]] = []

    def reply(status: int, raw: bytes) -> None:
        answers.append((status, msgspec.msgpack.decode(raw).get("status")))

    world.serve_request(
        world.hosts[node], "public", Request("GET", f"/submissions/{job_id}", b""), reply
    )
    return answers


def cancel_through_successor(world: World, job_id: str) -> None:
    """Cancel the job at the successor that is elected during the pause; run past the pause."""
    world.run(ASKED_AT + PAUSE_S / 2)
    terms = [(host.node.lease.fencing_token, host.name) for host in world.leaders() if host.node]
    world._user(job_id, "cancel", node=max(terms)[1])
    world.run(ASKED_AT + PAUSE_S - 0.5)
    assert world.invariants.jobs[job_id].reported_state == "aborted"
    world.run(ASKED_AT + PAUSE_S + 1.0)


def pause_before_sending(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> list[tuple[int, str | None]]:
    """Query the job at the leader, which pauses between preparing and sending its response."""
    (job_id,) = world.invariants.jobs
    leader = world.leaders()[0]
    original = JobRequests.status

    def status(self: JobRequests, *args: Any) -> None:
        original(self, *args)
        monkeypatch.setattr(JobRequests, "status", original)
        world.freeze(leader.name, PAUSE_S)

    monkeypatch.setattr(JobRequests, "status", status)
    answers = ask(world, leader.name, job_id)
    cancel_through_successor(world, job_id)
    return answers


def pause_before_forwarding(world: World) -> list[tuple[int, str | None]]:
    """Query the job at a follower, which pauses before it receives the leader's response.

    Then the leader crashes.
    """
    (job_id,) = world.invariants.jobs
    leader = world.leaders()[0]
    follower = next(host for host in world.hosts.values() if host is not leader)
    answers = ask(world, follower.name, job_id)
    world.run(ASKED_AT + 1e-6)
    world.freeze(follower.name, PAUSE_S)
    world.run(ASKED_AT + 0.8)
    leader.crash(PAUSE_S)
    cancel_through_successor(world, job_id)
    return answers


def test_leader_paused_before_sending_answers_503(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert pause_before_sending(world, monkeypatch) == [(503, None)]


def test_follower_paused_before_forwarding_answers_503(world: World) -> None:
    assert pause_before_forwarding(world) == [(503, None)]


def test_planted_send_without_freshness_check_is_detected(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planted: a prepared response is sent without validating it again."""
    monkeypatch.setattr(
        ResponseFreshness,
        "revalidated_before_sending",
        lambda self, answer, *args: answer.response(),
    )
    assert pause_before_sending(world, monkeypatch) == [(200, "running")]


def test_planted_forward_without_freshness_check_is_detected(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planted: a leader's response is forwarded without checking that it is still valid."""
    monkeypatch.setattr(forwarding, "leased_response", lambda answer, *_: plain_response(answer))
    assert pause_before_forwarding(world) == [(200, "running")]


def freshness(now: float) -> ResponseFreshness:
    context: Any = SimpleNamespace(runtime=SimpleNamespace(now=lambda: now))
    return ResponseFreshness(context)


@pytest.mark.parametrize(
    ("status", "prepared_state", "reported_state", "entitled_s", "sent_status", "sent_state"),
    [
        (200, "running", "pending", 1.0, 200, "running"),
        (200, "running", "aborted", 1.0, 200, "aborted"),
        (200, "pending", "done", 0.0, 200, "done"),
        (200, "running", "pending", 0.0, 503, None),
        (200, "done", "done", 0.0, 200, "done"),
        (201, "pending", "pending", 1.0, 201, "pending"),
        (201, "pending", "pending", 0.0, 503, None),
        (201, "pending", "aborted", 1.0, 200, "aborted"),
        (404, None, None, 1.0, 404, None),
        (404, None, "pending", 1.0, 503, None),
        (404, None, None, 0.0, 503, None),
        (422, None, None, 0.0, 422, None),
    ],
)
def test_freshness_check_before_send_returns_current_state(
    status: int,
    prepared_state: str | None,
    reported_state: str | None,
    entitled_s: float,
    sent_status: int,
    sent_state: str | None,
) -> None:
    lease = SimpleNamespace(valid_for_s=lambda now: entitled_s, fencing_token=1)
    replica: Any = SimpleNamespace(
        last_reported_state=lambda job_id: reported_state, lease=lease, read_leases=ReadLeases()
    )
    body = {"status": prepared_state} if prepared_state else {"error": "no"}
    checked = freshness(5.0)
    request = checked.received(replica, "job-000001", forwarded=False)
    response = checked.revalidated_before_sending(
        SchedulerReply(status, body), request
    ).revalidated()
    assert response.status == sent_status
    assert msgspec.msgpack.decode(response.body).get("status") == sent_state


@pytest.mark.parametrize(
    ("status", "state", "valid_for_ms", "age_s", "sent_status"),
    [
        (200, "running", "1000", 0.9, 200),
        (200, "running", "1000", 1.0, 503),
        (404, None, "1000", 1.0, 503),
        (201, "pending", "1000", 1.0, 503),
        (200, "running", "junk", 0.0, 503),
        (200, "done", "junk", 0.0, 503),
        (200, "running", "-5", 0.0, 503),
        (200, "running", "\u00b2", 0.0, 503),
        (200, "running", "9" * 5000, 0.0, 503),
        (200, "running", None, 0.0, 503),
        (404, None, None, 0.0, 503),
        (200, "done", None, 9.0, 200),
        (200, "aborted", None, 9.0, 200),
        (201, "pending", None, 9.0, 201),
        (422, None, None, 9.0, 422),
        (503, None, None, 9.0, 503),
    ],
)
def test_forwarded_answer_without_valid_read_lease_answers_503(
    status: int, state: str | None, valid_for_ms: str | None, age_s: float, sent_status: int
) -> None:
    body = msgspec.msgpack.encode({"status": state})
    answer = HttpResponse(status, body, valid_for_ms=valid_for_ms)
    times = [5.0, 5.0, 5.0 + age_s]
    response = leased_response(answer, 5.0, lambda: times.pop(0) if times[1:] else times[0])
    assert response is not None
    assert response.revalidated().status == sent_status
    assert VALID_FOR_HEADER not in response.headers


def test_forwarded_answer_outdated_on_arrival_is_not_returned() -> None:
    answer = HttpResponse(200, b"\x80", valid_for_ms="1000")
    assert leased_response(answer, 5.0, lambda: 6.0) is None


def test_freshness_check_reads_no_collection_the_scheduler_changes() -> None:
    """The check runs on a connection's thread: iterating over a dict that changes would fail."""
    scheduler = SchedulerHarness(initial_records()).scheduler
    scheduler.cluster.jobs[0].runs = None  # type: ignore[assignment]
    assert scheduler.job_requests.last_reported_state("job-000000") == "pending"
    scheduler.cluster.jobs[0].cancel_durable = True
    assert scheduler.job_requests.last_reported_state("job-000000") == "aborted"
    assert scheduler.job_requests.last_reported_state("job-000009") is None
