"""Partial network partitions: a node that reaches the workers and the store must lead."""

from __future__ import annotations

from functools import partial

import pytest

from appleshift.connectivity.connectivity_monitor import ConnectivityMonitor
from appleshift.connectivity.peer_reports import PeerReport, PeerReports
from appleshift.connectivity.worker_contacts import ContactSummary, WorkerContacts
from appleshift.leader_election.election import LeaderElection
from tests.support.deployments import LARGE, SMALL, Site
from tests.support.fault_injection import end_faults, inject_faults
from tests.support.overlapping_failures import (
    check_single_leader,
    nodes_entitled_to_answer,
    unfinished,
)
from tests.support.simulated_world import World
from tests.support.tokens import term_number

STATE = "10.2.0.1:2379"


def fleet(seed: int, site: Site) -> World:
    """A simulated cluster after 40 s, with services on its machines."""
    world = World(seed, site=site)
    check_single_leader(world)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    for _ in range(8):
        job = world.submit(
            shape="daemon", pieces=4, cards=0.0, rig_kinds=None, yard=None, together=False
        )
        # Prevents the simulated user from cancelling the job.
        world.invariants.jobs[job].tried_cancel = True
    world.run(40.0)
    assert len(world.workers) > 3
    return world


def until_led(world: World, nodes: set[str], max_s: float) -> float:
    """Run until one of these nodes holds a valid leader lease; returns the time in seconds.

    Fails after ``max_s`` seconds.
    """
    began = world.sim.now
    while not set(nodes_entitled_to_answer(world)) & nodes:
        world.run(world.sim.now + 0.05)
        assert world.sim.now - began < max_s, (
            f"not within {max_s} s: {nodes_entitled_to_answer(world)}"
        )
    return world.sim.now - began


def agent_epochs(world: World) -> set[int]:
    return {worker.agent_epoch for worker in world.workers.values()}


@pytest.mark.parametrize("site", [SMALL, LARGE], ids=["three", "five"])
@pytest.mark.slow(160)
def test_election_only_node_reachable_by_workers_leads_before_worker_leases_expire(
    site: Site,
) -> None:
    """Guards against electing nodes that workers cannot reach one after the other, for 35 s."""
    took_s = []
    for seed in range(8000, 8005):
        world = fleet(seed, site)
        try:
            if seed % 2:
                # A node that has led for only one second must not get more time than others.
                world.leaders()[0].crash(2.0)
                world.run(44.0)
            leader = nodes_entitled_to_answer(world)[0]
            # The next node that workers try: after a timeout of 4 s and a delay of 1 s their
            # leases of 8 s are still valid. With further unreachable nodes in between, the
            # leases would expire.
            reachable_node = site.nodes[(site.nodes.index(leader) + 1) % len(site.nodes)]
            world.nodes_without_workers = {*site.nodes} - {reachable_node}
            took_s.append(until_led(world, {reachable_node}, 8.0))
            token = world.hosts[reachable_node].node.lease.fencing_token  # type: ignore[union-attr]
            world.run(world.sim.now + 30.0)
            assert nodes_entitled_to_answer(world) == [reachable_node]
            # No other node was elected in between or afterwards.
            assert token == world.hosts[reachable_node].node.lease.fencing_token  # type: ignore[union-attr]
            assert term_number(token) == 2 + seed % 2
            if not seed % 2:
                assert agent_epochs(world) == {1}
            world.nodes_without_workers = set()
            world.run(world.sim.now + 20.0)
            assert nodes_entitled_to_answer(world) == [reachable_node], (
                "no hand-over to a node that reaches no more"
            )
        finally:
            world.close()
    print(sorted(took_s))
    assert sorted(took_s)[2] < 3.0
    assert max(took_s) < 5.0


def test_leader_stays_when_no_node_reaches_workers_or_links_flap() -> None:
    world = fleet(8100, SMALL)
    try:
        leader = nodes_entitled_to_answer(world)[0]
        world.nodes_without_workers = {*SMALL.nodes}
        world.run(world.sim.now + 25.0)
        assert nodes_entitled_to_answer(world) == [leader]
        world.nodes_without_workers = set()
        world.run(world.sim.now + 20.0)
        # All links flap together, every 3 s: all nodes reach the same workers.
        for _ in range(6):
            world.nodes_without_workers = {*SMALL.nodes}
            world.run(world.sim.now + 3.0)
            world.nodes_without_workers = set()
            world.run(world.sim.now + 3.0)
        assert nodes_entitled_to_answer(world) == [leader]
        # Only the leader's link flaps: the leader is replaced once and not elected again.
        for _ in range(6):
            world.nodes_without_workers = {leader}
            world.run(world.sim.now + 3.0)
            world.nodes_without_workers = set()
            world.run(world.sim.now + 3.0)
        assert len(nodes_entitled_to_answer(world)) == 1
        leaders = [host.node for host in world.leaders() if host.node]
        terms = [term_number(node.lease.fencing_token) for node in leaders]
        assert terms == [2] or terms == [1]
    finally:
        world.close()


def test_leader_without_workers_hands_over_to_no_peer_without_store() -> None:
    """A leader must not hand over to a peer that cannot reach the key-value store."""
    world = fleet(8200, SMALL)
    try:
        leader = nodes_entitled_to_answer(world)[0]
        world.nodes_without_workers = {leader}
        for name in SMALL.nodes:
            if name != leader:
                world.blocked_links.add((name, STATE))
        world.run(world.sim.now + 20.0)
        assert nodes_entitled_to_answer(world) == [leader]
        (node,) = [host.node for host in world.leaders() if host.node]
        assert term_number(node.lease.fencing_token) == 1
    finally:
        world.close()


def test_leader_replaced_ends_its_term_when_a_peer_reports_it() -> None:
    world = fleet(8300, LARGE)
    try:
        old_leader = nodes_entitled_to_answer(world)[0]
        host = world.hosts[old_leader]
        world.blocked_links.add((old_leader, STATE))
        took_s = until_led(world, {*LARGE.nodes} - {old_leader}, 6.0)
        world.run(world.sim.now + 1.6)
        assert host.node is not None
        assert not host.node.lease.is_leader
        assert host.node.scheduler is None
        print(took_s)
    finally:
        world.close()


@pytest.mark.parametrize("seed", range(8400, 8406))
@pytest.mark.slow(80)
def test_single_link_partitions_with_random_faults_keep_invariants(seed: int) -> None:
    site = SMALL if seed % 2 else LARGE
    world = World(seed, site=site)
    check_single_leader(world)
    rng = world.rng

    def partition() -> None:
        names = rng.sample(site.nodes, rng.randint(1, len(site.nodes)))
        duration_s = rng.uniform(2.0, 35.0)
        if rng.random() < 0.6:
            world.nodes_without_workers |= {*names}
            world.sim.after(
                duration_s, partial(world.nodes_without_workers.difference_update, names)
            )
            return
        target = rng.choice([STATE, "10.2.0.2:8443", *site.nodes])
        pairs = {(name, target) for name in names}
        world.blocked_links |= pairs
        world.sim.after(duration_s, partial(world.blocked_links.difference_update, pairs))

    def heal_all() -> None:
        world.nodes_without_workers.clear()
        end_faults(world)

    try:
        for _ in range(25):
            world.sim.after(rng.uniform(0.0, 70.0), world.submit)
        at = 8.0
        while at < 85.0:
            world.sim.after(at, partition)
            at += rng.uniform(1.0, 12.0)
        inject_faults(world, 85.0, 14.0)
        world.sim.after(95.0, heal_all)
        world.run(210.0)
        assert unfinished(world) == []
    finally:
        world.close()


def test_election_without_workers_does_not_wait_for_worker_contact() -> None:
    """Probing a former sample whose workers no longer exist delayed an election by 1.8 s."""
    world = World(8500, site=SMALL)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    try:
        for _ in range(3):
            world.submit(shape="array", cards=0.0, pieces=4, rig_kinds=None, yard=None)
        world.run(20.0)
        assert all(host.node.connectivity.worker_contacts.sample for host in world.hosts.values())  # type: ignore[union-attr]
        world.run(150.0)
        assert not world.workers
        assert not any(
            host.node.connectivity.worker_contacts.sample for host in world.hosts.values()
        )  # type: ignore[union-attr]
        world.leaders()[0].crash(30.0)
        assert until_led(world, {*SMALL.nodes}, 5.0) < 2.6
    finally:
        world.close()


class TestConnectivityMonitor:
    def test_missed_probes_count_since_last_contact_and_process_pause_resets_them(self) -> None:
        contacts = WorkerContacts()
        contacts.set_sample(["a", "b", "c"])
        contacts.record_contact(10.0)
        contacts.record_probe("a", 9.9, 10.5, False)
        assert not contacts.has_unanswered_probes(), "it was probed before the last contact"
        for at, address in ((11.0, "a"), (11.1, "b")):
            contacts.record_probe(address, at, at + 0.6, False)
        contacts.record_probe("c", 11.2, 25.0, False)
        assert not contacts.workers_unreachable(), "this node was paused"
        for at, address in ((25.0, "a"), (25.1, "a"), (25.2, "a")):
            contacts.record_probe(address, at, at + 0.6, False)
        assert not contacts.workers_unreachable(), "one worker may be dead"
        contacts.record_probe("b", 25.3, 25.9, False)
        assert contacts.workers_unreachable()
        for at in (25.9, 29.0, 33.0, 33.7):
            contacts.heartbeat_received(at)
            assert contacts.workers_unreachable(), "delayed since before the partition, or copies"
        for at in (35.0, 35.1, 35.2):
            contacts.heartbeat_received(at)
        assert not contacts.workers_unreachable(), "heartbeats flow"
        for address in ("a", "b", "c"):
            contacts.record_probe(address, 35.3, 35.9, False)
        assert contacts.workers_unreachable()
        contacts.record_contact(40.0)
        assert not contacts.workers_unreachable()
        assert contacts.summary(41.0) == ContactSummary(1.0, 1.0)

    def test_peer_reaches_more_only_with_contact_after_own_last_contact(self) -> None:
        reports = PeerReports()
        reports.update("b", PeerReport(20.0, ContactSummary(1.0, 9.0), True))
        assert reports.reaching_workers(20.5, 18.0) == ["b"]
        assert reports.reaching_workers(20.5, 19.1) == [], "it may be cut off as well"
        assert reports.reaching_workers(22.5, 18.0) == [], "too long ago"
        reports.update("b", PeerReport(21.0, ContactSummary(0.1, 1.0), True))
        assert reports.reaching_workers(21.0, 18.0) == [], "its link flaps"
        reports.update("b", PeerReport(21.0, ContactSummary(0.1, 9.0), False))
        assert reports.reaching_workers(21.0, 18.0) == [], "it could not be elected"


class TestGuardsLeftOut:
    """Planted defects: without each safeguard, a test above must fail."""

    def test_candidacy_without_hold_back_is_detected(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(ConnectivityMonitor, "candidacy_delay_s", lambda self: 0.0)
        with pytest.raises(AssertionError):
            test_election_only_node_reachable_by_workers_leads_before_worker_leases_expire(LARGE)

    def test_leader_without_connectivity_hand_over_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ConnectivityMonitor, "_check_hand_over", lambda self: None)
        with pytest.raises(AssertionError):
            test_election_only_node_reachable_by_workers_leads_before_worker_leases_expire(SMALL)

    def test_hand_over_without_store_check_is_detected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(LeaderElection, "is_store_reachable", lambda self: True)
        with pytest.raises(AssertionError):
            test_leader_without_workers_hands_over_to_no_peer_without_store()
