"""Tests of the limits of a node, and of the order in which an overloaded node refuses."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from appleshift.api.router import RequestRouter, RouterDependencies
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.node_limits.load_monitor import LoadMonitor
from appleshift.node_limits.node_limits import POOL_THREADS, NodeLimits
from appleshift.node_limits.time_budget import TimeBudget
from appleshift.protocol.settings import MachineLimits
from appleshift.transport.concurrency import ThreadRuntime
from appleshift.transport.http_messages import Request
from tests.support.builders import submission


def test_node_limits_follow_processor_share_memory_and_sockets() -> None:
    small = NodeLimits.from_machine_limits(
        MachineLimits(core_share=0.05, memory_mb=64.0, max_sockets=300)
    )
    large = NodeLimits.from_machine_limits(
        MachineLimits(core_share=1.0, memory_mb=512.0, max_sockets=4000)
    )
    for name in ("connections", "peers", "worker_clients", "max_queued_events"):
        assert getattr(small, name) < getattr(large, name)
    assert small.round_pause_s > large.round_pause_s
    for node_limits, sockets in ((small, 300), (large, 4000)):
        assert (
            node_limits.connections
            + node_limits.peers
            + node_limits.worker_calls
            + node_limits.worker_clients
            < sockets
        )
    # A process may have 2,000 threads, independent of its sockets and memory. Without this
    # limit, connections to peers grew with the number of sockets.
    for sockets in (100, 1417, 1888, 4000, 20_000, 200_000):
        limits = MachineLimits(core_share=4.0, memory_mb=8000.0, max_sockets=sockets)
        for sharded in (False, True):
            node_limits = NodeLimits.from_machine_limits(limits, sharded)
            pool = POOL_THREADS if node_limits.threads < node_limits.connections else 0
            assert node_limits.threads + pool + node_limits.peers + node_limits.worker_calls < 1900


@pytest.mark.parametrize("sharded", [False, True])
@pytest.mark.parametrize("sockets", [1200, 1888, 2223, 2500, 3334, 4000, 6000, 9000])
def test_node_limits_many_sockets_leave_enough_for_other_connections(
    sockets: int, sharded: bool
) -> None:
    limits = MachineLimits(core_share=1.0, memory_mb=8000.0, max_sockets=sockets)
    node_limits = NodeLimits.from_machine_limits(limits, sharded)
    assert (
        node_limits.connections
        + node_limits.peers
        + node_limits.worker_calls
        + node_limits.worker_clients
        < sockets - 50
    )


def test_node_limits_few_sockets_give_each_connection_a_thread() -> None:
    """A leader uses all its connections before it redirects machines to relays."""
    for sockets, connections, clients in ((1200, 660, 360), (1417, 779, 425), (1888, 1038, 566)):
        node_limits = NodeLimits.from_machine_limits(
            MachineLimits(core_share=0.3, memory_mb=276.0, max_sockets=sockets)
        )
        assert (node_limits.connections, node_limits.threads, node_limits.worker_clients) == (
            connections,
            connections,
            clients,
        )
        assert node_limits.machines == node_limits.direct_machines == int(connections * 0.9)
        assert node_limits.max_queued_events == 1200


def test_node_limits_three_nodes_with_one_missing_serve_four_thousand_machines() -> None:
    node_limits = NodeLimits.from_machine_limits(
        MachineLimits(core_share=1.0, memory_mb=1200.0, max_sockets=6000)
    )
    # With one of the three nodes missing, there is one relay, which is counted as failed.
    assert relay_assignment.max_machines(node_limits.machines, 1) > 4400
    # Status queries are refused once the queue is three quarters full.
    assert node_limits.max_queued_events * 0.75 > 4400, (
        "the queue must hold one heartbeat of each machine"
    )
    # With both relays, no node needs the thread pool for connections.
    share = relay_assignment.next_relayed_fraction(4000, node_limits.direct_machines, 2, 0.0)
    assert 4000 * max(share / 2, 1 - share) < node_limits.threads


def test_node_load_short_of_processor_or_memory_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    limits = MachineLimits(core_share=0.25, memory_mb=100.0)
    load = LoadMonitor(limits, NodeLimits.from_machine_limits(limits), now=0.0)
    load.log_load(0.4, 50.0, 20)
    assert "short" not in caplog.text
    load.log_load(0.95, 50.0, 20)
    assert "short of processor" in caplog.text
    assert "short of memory" not in caplog.text
    load.log_load(0.4, 95.0, 20)
    assert "short of memory" in caplog.text
    caplog.clear()
    for second in range(29):
        load.record_round(second, second + 0.9, 3, 20)
    assert caplog.text == ""
    load.record_round(29.2, 30.1, 3, 20)
    assert "short of processor" in caplog.text
    caplog.clear()
    load.record_round(59.0, 59.1, 10_000, 20)
    load.record_round(60.0, 60.1, 3, 20)
    assert "short of processor" in caplog.text, "more requests at once than the queue may hold"


def test_time_budget_longer_run_is_scheduled_less_often() -> None:
    clock = SimpleNamespace(now=0.0)
    budget = TimeBudget(lambda: clock.now, share=0.25)
    for duration_s in (0.01, 0.4):
        assert budget.is_due()
        with budget:
            clock.now += duration_s
        clock.now += 2.9 * duration_s
        assert not budget.is_due()
        clock.now += 0.2 * duration_s


def test_admission_under_load_sheds_users_before_workers_with_retry_after() -> None:
    load = SimpleNamespace(factor=0.0)
    node: Any = SimpleNamespace(node_name="n0", current_leader=lambda: "n0", is_leader=True)
    node.fencing_token = 1
    node.may_answer = lambda now: True
    node.current_relayed_fraction = lambda: 0.0
    node.unchanged_response = lambda report, now: None

    def post(event: Any) -> None:
        event.reply_to.put((200, {}, 0))

    node.election = node.lease = node
    router = RequestRouter(
        RouterDependencies(
            replicas={0: node},
            peer_clients={},
            post_event=post,
            queue_load=lambda: load.factor,
            is_worker_reachable=lambda address: True,
            runtime=ThreadRuntime(),
            store=node,
        )
    )
    heartbeat = {"rig": "m", "addr": "a:1", "rig_kind": "t", "yard": "a", "loaners": False,
              "shift": 1, "tally": 1, "baton": 1, "pieces": []}  # fmt: skip
    requests = {
        "poll": Request("GET", "/submissions/job-000001", b""),
        "submit": Request("POST", "/submissions", msgspec.msgpack.encode(submission())),
        "cancel": Request("POST", "/submissions/job-000001/abort", b""),
        "heartbeat": Request("POST", "/agent/beat", msgspec.msgpack.encode(heartbeat)),
    }
    refused = []
    for load.factor in (0.5, 0.9, 1.2, 1.8, 2.5):
        answers = {name: router.handle_public(request) for name, request in requests.items()}
        refused.append({name for name, answer in answers.items() if answer.status == 503})
        for answer in answers.values():
            assert answer.status == 200 or answer.headers["Retry-After"] == "1"
    assert refused == [
        set(), {"poll"}, {"poll", "submit"}, {"poll", "submit", "cancel"}, set(requests),
    ]  # fmt: skip
