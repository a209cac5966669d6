"""What a node takes on, by its own limits, and what it sheds first."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from appleshift.api.router import RequestRouter
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.node_limits.node_limits import POOL_THREADS, LoadMonitor, NodeLimits, TimeBudget
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
    for name in ("connections", "peers", "clients", "max_queued"):
        assert getattr(small, name) < getattr(large, name)
    assert small.round_pause_s > large.round_pause_s
    for each, sockets in ((small, 300), (large, 4000)):
        assert each.connections + each.peers + each.calls + each.clients < sockets
    # A process may have 2,000 threads, however many sockets and however much memory:
    # siblings' places once followed from the sockets alone.
    for sockets in (100, 1417, 1888, 4000, 20_000, 200_000):
        limits = MachineLimits(core_share=4.0, memory_mb=8000.0, max_sockets=sockets)
        for shared in (False, True):
            most = NodeLimits.from_machine_limits(limits, shared)
            pool = POOL_THREADS if most.threads < most.connections else 0
            assert most.threads + pool + most.peers + most.calls < 1900


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("sockets", [1200, 1888, 2223, 2500, 3334, 4000, 6000, 9000])
def test_a_large_node_leaves_sockets_for_all_its_other_connections(
    sockets: int, shared: bool
) -> None:
    limits = MachineLimits(core_share=1.0, memory_mb=8000.0, max_sockets=sockets)
    most = NodeLimits.from_machine_limits(limits, shared)
    assert most.connections + most.peers + most.calls + most.clients < sockets - 50


def test_a_node_of_today_has_the_places_that_it_had() -> None:
    """Each of its connections a thread, and a leader fills all its places before it relays."""
    for sockets, connections, clients in ((1200, 660, 360), (1417, 779, 425), (1888, 1038, 566)):
        most = NodeLimits.from_machine_limits(
            MachineLimits(core_share=0.3, memory_mb=276.0, max_sockets=sockets)
        )
        assert (most.connections, most.threads, most.clients) == (connections, connections, clients)
        assert most.machines == most.direct_machines == int(connections * 0.9)
        assert most.max_queued == 1200


def test_three_nodes_hear_four_thousand_machines_while_one_is_away() -> None:
    most = NodeLimits.from_machine_limits(
        MachineLimits(core_share=1.0, memory_mb=1200.0, max_sockets=6000)
    )
    # The leader and one relay, of which the reserve counts one as fallen.
    assert relay_assignment.max_machines(most.machines, 1) > 4400
    # Users' questions are refused from three quarters of what may wait.
    assert most.max_queued * 0.75 > 4400, "a report of each machine at once"
    # With both relays no node needs the pool, as before there was one.
    share = relay_assignment.next_relayed_fraction(4000, most.direct_machines, 2, 0.0)
    assert 4000 * max(share / 2, 1 - share) < most.threads


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
        load.round_finished(second, second + 0.9, 3, 20)
    assert caplog.text == ""
    load.round_finished(29.2, 30.1, 3, 20)
    assert "short of processor" in caplog.text
    caplog.clear()
    load.round_finished(59.0, 59.1, 10_000, 20)
    load.round_finished(60.0, 60.1, 3, 20)
    assert "short of processor" in caplog.text, "more waited than may"


def test_time_budget_longer_run_is_scheduled_less_often() -> None:
    clock = SimpleNamespace(now=0.0)
    pace = TimeBudget(lambda: clock.now, share=0.25)
    for took in (0.01, 0.4):
        assert pace.due()
        with pace:
            clock.now += took
        clock.now += 2.9 * took
        assert not pace.due()
        clock.now += 0.2 * took


def test_admission_under_load_sheds_users_before_workers_with_retry_after() -> None:
    load = SimpleNamespace(now=0.0)
    node: Any = SimpleNamespace(name="n0", current_leader=lambda: "n0", is_leader=True)
    node.may_answer = lambda now: True
    node.current_relayed_fraction = lambda: 0.0
    node.unchanged_response = lambda report, now: None

    def scheduler(event: Any) -> None:
        event.reply_to.put((200, {}, 0))

    node.election = node.lease = node
    router = RequestRouter(
        {0: node}, {}, scheduler, lambda: load.now, lambda addr: True, ThreadRuntime(), node
    )
    report = {"rig": "m", "addr": "a:1", "rig_kind": "t", "yard": "a", "loaners": False,
              "shift": 1, "tally": 1, "baton": 1, "pieces": []}  # fmt: skip
    requests = {
        "poll": Request("GET", "/submissions/job-000001", b""),
        "submit": Request("POST", "/submissions", msgspec.msgpack.encode(submission())),
        "cancel": Request("POST", "/submissions/job-000001/abort", b""),
        "report": Request("POST", "/agent/beat", msgspec.msgpack.encode(report)),
    }
    shed = []
    for load.now in (0.5, 0.9, 1.2, 1.8, 2.5):
        answers = {name: router.public(request) for name, request in requests.items()}
        shed.append({name for name, answer in answers.items() if answer.status == 503})
        for answer in answers.values():
            assert answer.status == 200 or answer.headers["Retry-After"] == "1"
    assert shed == [
        set(), {"poll"}, {"poll", "submit"}, {"poll", "submit", "cancel"}, set(requests),
    ]  # fmt: skip
