"""Processes that crash and restart within a fraction of a second, repeatedly.

Faults that a slow restart hides: the earlier process's leader key and lease still exist under
the same node name, its requests arrive after the next process has started, and peers still
have its statuses.
"""

from __future__ import annotations

import errno
import threading
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from appleshift import cli
from appleshift.leader_election.leader_lease import LeaderLease
from tests.support.deployments import LARGE, SMALL, Site
from tests.support.fault_injection import end_faults, inject_faults
from tests.support.overlapping_failures import (
    check_single_leader,
    nodes_entitled_to_answer,
    unfinished,
)
from tests.support.simulated_world import Host, World
from tests.support.stand_ins import Reply


def schedule_crashes(world: World, until: float) -> dict[str, int]:
    """Schedule crashes of every kind; each process restarts after 0.05 to 0.5 s."""
    counts = dict.fromkeys(("one", "leader", "all", "ten", "taking over", "outage"), 0)

    def crash(host: Host) -> None:
        host.crash(world.rng.uniform(0.05, 0.5))

    def crash_new_leaders(left: int = 3) -> None:
        """Crash a newly elected node during its recovery or in its first second as leader."""
        for host in world.leaders():
            crash(host)
            left -= 1
        if left > 0:
            world.sim.after(world.rng.uniform(0.05, 0.6), partial(crash_new_leaders, left))

    def outage() -> None:
        """Stop the store, and restart nodes while the leader depends on lease votes."""
        world.store.unavailable = True
        world.sim.after(world.rng.uniform(3.0, 14.0), world.store.recover)
        for _ in range(world.rng.randint(1, 4)):
            name = world.rng.choice(world.site.nodes)
            world.sim.after(world.rng.uniform(0.0, 14.0), partial(crash, world.hosts[name]))

    def inject_fault() -> None:
        kind = world.rng.choice(list(counts))
        counts[kind] += 1
        if kind == "one":
            crash(world.hosts[world.rng.choice(world.site.nodes)])
        elif kind == "leader":
            for host in world.leaders():
                crash(host)
        elif kind == "all":
            for host in world.hosts.values():
                crash(host)
        elif kind == "ten":
            host = world.hosts[world.rng.choice(world.site.nodes)]
            for number in range(10):
                world.sim.after(0.1 * number, partial(host.crash, 0.05))
        elif kind == "taking over":
            crash_new_leaders()
        elif not world.store.unavailable:
            outage()

    at = 8.0
    while at < until:
        world.sim.after(at, inject_fault)
        at += world.rng.uniform(0.5, 7.0)
    return counts


@pytest.mark.slow(180)
def test_process_restarts_repeated_keep_invariants() -> None:
    total: Counter[str] = Counter()
    for seed, site in [*((seed, SMALL) for seed in range(6000, 6007)), (6100, LARGE)]:
        world = World(seed, site=site)
        check_single_leader(world)
        try:
            for _ in range(25):
                world.sim.after(world.rng.uniform(0.0, 70.0), world.submit)
            counts = schedule_crashes(world, 80.0)
            if seed % 2:
                inject_faults(world, 80.0, 15.0)
            world.sim.after(90.0, lambda world=world: end_faults(world))  # type: ignore[misc]
            world.run(190.0)
            assert world.invariants.starts > 20
            assert unfinished(world) == []
            total.update(counts)
        finally:
            world.close()
    assert min(total.values()) >= 5, total


def crash_between_commit_and_response(world: World, times: int) -> list[float]:
    """Crash leaders between a commit and its response: durable, but not reported to a user."""
    deliver, crashed_at = world._deliver, [0.0]

    def crash_after_commit(
        source: str,
        target: str,
        method: str,
        path: str,
        body: bytes | None,
        reply: Reply,
        *headers: Any,
    ) -> None:
        host = world.hosts.get(source)
        due = len(crashed_at) <= times and world.sim.now > crashed_at[-1] + 6.0
        if not (path == "/txn" and due and host in world.leaders() and world.sim.now > 15.0):
            deliver(source, target, method, path, body, reply, *headers)
            return
        assert host is not None
        crashed_at.append(world.sim.now)
        deliver(source, target, method, path, body, lambda status, answer: host.crash(0.1))

    world._deliver = crash_after_commit  # type: ignore[method-assign]
    return crashed_at


@pytest.mark.slow(12)
def test_leader_crash_between_commit_and_response_loses_nothing() -> None:
    world = World(6200)
    check_single_leader(world)
    try:
        for _ in range(25):
            world.sim.after(world.rng.uniform(0.0, 70.0), world.submit)
        crashed_at = crash_between_commit_and_response(world, times=8)
        world.run(180.0)
        assert len(crashed_at) > 8
        assert unfinished(world) == []
    finally:
        world.close()


def seconds_to_first_submission(world: World, crash: Callable[[], None]) -> float:
    """Crash nodes, and return the seconds until a node accepts a submission."""
    accepted_at: list[float] = []
    answered = world.invariants.record_response

    def record_answer(
        now: float, sent: float, job: str, call: str, status: int, state: Any, given: float
    ) -> None:
        if call == "submit" and status == 201:
            accepted_at.append(now)
        answered(now, sent, job, call, status, state, given)

    world.invariants.record_response = record_answer  # type: ignore[method-assign]
    crash()
    began = world.sim.now
    while not accepted_at and world.sim.now < began + 20.0:
        world.submit(shape="array", cards=0.0, pieces=1, rig_kinds=None, yard=None)
        world.run(world.sim.now + 0.1)
    world.invariants.record_response = answered  # type: ignore[method-assign]
    return accepted_at[0] - began


@pytest.mark.slow(40)
def test_submissions_after_restart_are_accepted_again_within_seconds() -> None:
    """The next process of a crashed leader's node removes its leader key before it expires.

    A vote granted before the start no longer binds once all peers have sent their status.
    """
    durations: dict[str, list[float]] = {"leader": [], "all": []}
    world = World(6300, site=LARGE)
    world.loss_share = 0.0
    try:
        for number in range(12):
            world.run(world.sim.now + 8.0)
            hosts = world.leaders() if number % 2 else [*world.hosts.values()]

            def crash(hosts: list[Host] = hosts) -> None:
                for host in hosts:
                    host.crash(0.2)

            durations["leader" if number % 2 else "all"].append(
                seconds_to_first_submission(world, crash)
            )
        print({name: sorted(times) for name, times in durations.items()})
        for times in durations.values():
            assert sorted(times)[len(times) // 2] < 1.5, durations
            assert max(times) < 3.0, durations
    finally:
        world.close()


class TestLeaseVotes:
    """Lease votes of its peers keep a leader entitled without the key-value store."""

    @staticmethod
    def cut_off(world: World) -> tuple[Host, list[Host]]:
        """Cut all nodes off from the store, which then expires the leader's lease."""
        world.loss_share = 0.0
        world.run(10.0)
        leader = world.leaders()[0]
        world.store.unavailable_for |= {*world.hosts}
        world.run(14.0)
        assert nodes_entitled_to_answer(world) == [leader.name]
        assert "leader" not in world.store.rows
        return leader, [host for host in world.hosts.values() if host is not leader]

    def elect_after_voter_restarts(self, seeds: range) -> None:
        for seed in seeds:
            self.elect_after_voter_restart(World(seed))

    def elect_after_voter_restart(self, world: World) -> None:
        """Restart a peer that granted a vote; afterwards it alone reaches the store."""
        check_single_leader(world)
        try:
            leader, others = self.cut_off(world)
            # The leader's requests, which would renew the vote, are blocked.
            world.blocked_links.add((leader.name, others[0].name))
            others[0].crash(0.05)
            world.run(14.3)
            world.store.unavailable_for.discard(others[0].name)
            world.run(30.0)
            assert nodes_entitled_to_answer(world) == [others[0].name]
        finally:
            world.close()

    @pytest.mark.slow(13)
    def test_lease_vote_granted_before_restart_binds_next_process(self) -> None:
        self.elect_after_voter_restarts(range(6400, 6406))

    def test_planted_loss_of_lease_vote_on_restart_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(LeaderLease, "startup_hold_expired", lambda self, now: True)
        with pytest.raises(AssertionError, match="two are entitled"):
            self.elect_after_voter_restarts(range(6400, 6406))

    def seconds_to_next_leader(self, seed: int) -> float:
        """Restart a leader without the store; return the seconds until another is elected."""
        world = World(seed)
        check_single_leader(world)
        try:
            leader, others = self.cut_off(world)
            leader.crash(0.05)
            world.store.unavailable_for -= {host.name for host in others}
            began = world.sim.now
            while not nodes_entitled_to_answer(world):
                world.run(world.sim.now + 0.05)
                assert world.sim.now < began + 10.0
            return world.sim.now - began
        finally:
            world.close()

    @pytest.mark.slow(15)
    def test_lease_vote_for_ended_process_binds_no_peer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Peers once waited up to 4 s for such votes, though the next process had answered."""
        durations = sorted(self.seconds_to_next_leader(seed) for seed in range(6500, 6507))
        monkeypatch.setattr(LeaderLease, "record_process_ended", lambda self, process: None)
        before = sorted(self.seconds_to_next_leader(seed) for seed in range(6500, 6507))
        print(durations, before)
        assert max(durations) < 2.0
        assert min(before) > 2.5

    def test_lease_vote_late_request_of_ended_process_is_refused(self) -> None:
        peer = LeaderLease(["a", "c"], 4.0, -100.0)
        assert peer.grant_vote("a", 3, 1, 4.0, 10.0, "a.1")
        peer.record_process_ended("a.1")
        assert not peer.grant_vote("a", 3, 2, 4.0, 10.1, "a.1"), (
            "the request was in transit when its process ended"
        )
        assert peer.begin_candidacy(10.2)
        peer.end_candidacy(resolved=True)
        assert peer.grant_vote("a", 4, 1, 4.0, 10.3, "a.2")
        # Nodes of an older version send no process id.
        peer.record_process_ended("")
        peer.grant_vote("a", 4, 2, 0.0, 10.4, "a.2")
        assert peer.grant_vote("c", 5, 1, 4.0, 10.5, "")


def run_with_remaining_nodes(site: Site, left: int, seed: int) -> None:
    """Cut all nodes but ``left`` off; those serve as many machines as they have capacity for."""
    world = World(seed, site=site)
    check_single_leader(world)
    world.loss_share = 0.0
    try:
        for _ in range(30):
            world.submit(shape="array", cards=0.0, pieces=8, rig_kinds=None, yard=None)
        world.run(40.0)
        assert len(world.workers) > 9 * left
        away = [host.name for host in world.hosts.values()][: len(site.nodes) - left]
        world.isolated_ends |= {*away}
        world.run(75.0)
        world.isolated_ends -= {*away}
        world.run(240.0)
        assert unfinished(world) == []
    finally:
        world.close()


@pytest.mark.parametrize(("left", "seed"), [(1, 6600), (2, 6601)])
@pytest.mark.slow(50)
def test_fleet_beyond_capacity_of_remaining_nodes_keeps_invariants(left: int, seed: int) -> None:
    from tests.support.deployments import FEW_CONNECTIONS

    run_with_remaining_nodes(FEW_CONNECTIONS, left, seed)


class TestListenAddresses:
    """Startup of a process while its listen addresses are still in use."""

    class NodeWithBusyAddresses:
        """A node whose ``listen`` fails once with each of the given error numbers."""

        def __init__(self, numbers: list[int]) -> None:
            self.numbers = numbers

        def listen(self) -> None:
            if self.numbers:
                raise OSError(self.numbers.pop(0), "planted")

    def test_listen_address_in_use_is_retried(self, caplog: pytest.LogCaptureFixture) -> None:
        node: Any = self.NodeWithBusyAddresses([errno.EADDRINUSE] * 3)
        assert cli._bind_addresses(node, threading.Event())
        assert node.numbers == []
        assert caplog.text.count("waiting for an address") == 1

    def test_listen_address_in_use_stops_retrying_on_shutdown(self) -> None:
        ended = threading.Event()
        ended.set()
        node: Any = self.NodeWithBusyAddresses([errno.EADDRINUSE])
        assert not cli._bind_addresses(node, ended)

    def test_listen_address_not_available_raises_error(self) -> None:
        node: Any = self.NodeWithBusyAddresses([errno.EADDRNOTAVAIL])
        with pytest.raises(OSError, match="planted"):
            cli._bind_addresses(node, threading.Event())
