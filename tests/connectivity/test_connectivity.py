"""Cuts that leave some links up: who leads follows from who reaches what."""

from __future__ import annotations

from functools import partial

import pytest

from appleshift.connectivity.connectivity_monitor import ConnectivityMonitor
from appleshift.connectivity.peer_reports import PeerReport, PeerReports
from appleshift.connectivity.worker_contacts import ContactSummary, WorkerContacts
from appleshift.leader_election.election import LeaderElection
from tests.support.deployments import LARGE, SMALL, Site
from tests.support.fault_injection import heal, unleash
from tests.support.overlapping_failures import entitled, unfinished, watch
from tests.support.simulated_world import World

STATE = "10.2.0.1:2379"


def fleet(seed: int, site: Site) -> World:
    """A deployment with services on a dozen machines, 40 s old."""
    world = World(seed, site=site)
    watch(world)
    world.lossy = world.cloud.fail_boots = 0.0
    for _ in range(8):
        job = world.submit(
            shape="daemon", pieces=4, cards=0.0, rig_kinds=None, yard=None, together=False
        )
        # It stays to the end.
        world.rules.jobs[job].tried_cancel = True
    world.run(40.0)
    assert len(world.workers) > 3
    return world


def until_led(world: World, wanted: set[str], most: float) -> float:
    """Seconds until one of these is entitled."""
    began = world.sim.now
    while not set(entitled(world)) & wanted:
        world.run(world.sim.now + 0.05)
        assert world.sim.now - began < most, f"not within {most} s: {entitled(world)}"
    return world.sim.now - began


def sessions(world: World) -> set[int]:
    return {worker.session for worker in world.workers.values()}


@pytest.mark.parametrize("site", [SMALL, LARGE], ids=["three", "five"])
@pytest.mark.slow(160)
def test_election_only_node_reachable_by_workers_leads_before_worker_leases_expire(
    site: Site,
) -> None:
    """Once those cut off from them were elected one after the other, for 35 s."""
    took = []
    for seed in range(8000, 8005):
        world = fleet(seed, site)
        try:
            if seed % 2:
                # One that leads for a second only has no more time than others.
                world.leaders()[0].crash(2.0)
                world.run(44.0)
            leader = entitled(world)[0]
            # The next one that workers try: 4 s without an answer, 1 s, and their
            # leases of 8 s hold. Further away, or with more silent ones between, not.
            well = site.nodes[(site.nodes.index(leader) + 1) % len(site.nodes)]
            world.blind = {*site.nodes} - {well}
            took.append(until_led(world, {well}, 8.0))
            token = world.hosts[well].node.lease.fencing_token  # type: ignore[union-attr]
            world.run(world.sim.now + 30.0)
            assert entitled(world) == [well]
            # Nobody else stood in between, nor after it.
            assert token == world.hosts[well].node.lease.fencing_token  # type: ignore[union-attr]
            assert token == 2 + seed % 2
            if not seed % 2:
                assert sessions(world) == {1}
            world.blind = set()
            world.run(world.sim.now + 20.0)
            assert entitled(world) == [well], "nobody changes for a node that is no better"
        finally:
            world.close()
    print(sorted(took))
    assert sorted(took)[2] < 3.0
    assert max(took) < 5.0


def test_leader_stays_when_no_node_reaches_workers_or_links_flap() -> None:
    world = fleet(8100, SMALL)
    try:
        leader = entitled(world)[0]
        world.blind = {*SMALL.nodes}
        world.run(world.sim.now + 25.0)
        assert entitled(world) == [leader]
        world.blind = set()
        world.run(world.sim.now + 20.0)
        # All links come and go together, each 3 s: nobody is better than another.
        for _ in range(6):
            world.blind = {*SMALL.nodes}
            world.run(world.sim.now + 3.0)
            world.blind = set()
            world.run(world.sim.now + 3.0)
        assert entitled(world) == [leader]
        # One node's link alone: it is replaced once, and not chosen again.
        for _ in range(6):
            world.blind = {leader}
            world.run(world.sim.now + 3.0)
            world.blind = set()
            world.run(world.sim.now + 3.0)
        assert len(entitled(world)) == 1
        tokens = [host.node.lease.fencing_token for host in world.leaders() if host.node]
        assert tokens == [2] or tokens == [1]
    finally:
        world.close()


def test_leader_without_workers_hands_over_to_no_peer_without_store() -> None:
    """Nobody hands over to a node that could not be elected."""
    world = fleet(8200, SMALL)
    try:
        leader = entitled(world)[0]
        world.blind = {leader}
        for name in SMALL.nodes:
            if name != leader:
                world.blocked.add((name, STATE))
        world.run(world.sim.now + 20.0)
        assert entitled(world) == [leader]
        assert world.leaders()[0].node.lease.fencing_token == 1  # type: ignore[union-attr]
    finally:
        world.close()


def test_leader_replaced_ends_its_term_when_a_peer_reports_it() -> None:
    world = fleet(8300, LARGE)
    try:
        old = entitled(world)[0]
        host = world.hosts[old]
        world.blocked.add((old, STATE))
        took = until_led(world, {*LARGE.nodes} - {old}, 6.0)
        world.run(world.sim.now + 1.6)
        assert host.node is not None
        assert not host.node.lease.is_leader
        assert host.node.scheduler is None
        print(took)
    finally:
        world.close()


@pytest.mark.parametrize("seed", range(8400, 8406))
@pytest.mark.slow(80)
def test_single_link_partitions_with_random_faults_keep_invariants(seed: int) -> None:
    site = SMALL if seed % 2 else LARGE
    world = World(seed, site=site)
    watch(world)
    rng = world.rng

    def cut() -> None:
        names = rng.sample(site.nodes, rng.randint(1, len(site.nodes)))
        held = rng.uniform(2.0, 35.0)
        if rng.random() < 0.6:
            world.blind |= {*names}
            world.sim.after(held, partial(world.blind.difference_update, names))
            return
        target = rng.choice([STATE, "10.2.0.2:8443", *site.nodes])
        pairs = {(name, target) for name in names}
        world.blocked |= pairs
        world.sim.after(held, partial(world.blocked.difference_update, pairs))

    def end() -> None:
        world.blind.clear()
        heal(world)

    try:
        for _ in range(25):
            world.sim.after(rng.uniform(0.0, 70.0), world.submit)
        at = 8.0
        while at < 85.0:
            world.sim.after(at, cut)
            at += rng.uniform(1.0, 12.0)
        unleash(world, 85.0, 14.0)
        world.sim.after(95.0, end)
        world.run(210.0)
        assert unfinished(world) == []
    finally:
        world.close()


def test_election_without_workers_does_not_wait_for_worker_contact() -> None:
    """Those that were named once are gone; to ask them cost 1.8 s."""
    world = World(8500, site=SMALL)
    world.lossy = world.cloud.fail_boots = 0.0
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
        sight = WorkerContacts()
        sight.set_sample(["a", "b", "c"])
        sight.contact(10.0)
        sight.probed("a", 9.9, 10.5, False)
        assert not sight.is_suspect(), "it was asked before the last contact"
        for at, address in ((11.0, "a"), (11.1, "b")):
            sight.probed(address, at, at + 0.6, False)
        sight.probed("c", 11.2, 25.0, False)
        assert not sight.is_lost(), "this node stood still"
        for at, address in ((25.0, "a"), (25.1, "a"), (25.2, "a")):
            sight.probed(address, at, at + 0.6, False)
        assert not sight.is_lost(), "one worker may be dead"
        sight.probed("b", 25.3, 25.9, False)
        assert sight.is_lost()
        for at in (25.9, 29.0, 33.0, 33.7):
            sight.heartbeat_received(at)
            assert sight.is_lost(), "held up since before the cut, or copies"
        for at in (35.0, 35.1, 35.2):
            sight.heartbeat_received(at)
        assert not sight.is_lost(), "reports flow"
        for address in ("a", "b", "c"):
            sight.probed(address, 35.3, 35.9, False)
        assert sight.is_lost()
        sight.contact(40.0)
        assert not sight.is_lost()
        assert sight.summary(41.0) == ContactSummary(1.0, 1.0)

    def test_peer_reaches_more_only_with_contact_after_own_last_contact(self) -> None:
        others = PeerReports()
        others.update("b", PeerReport(20.0, ContactSummary(1.0, 9.0), True))
        assert others.reaching_workers(20.5, 18.0) == ["b"]
        assert others.reaching_workers(20.5, 19.1) == [], "perhaps it is cut off as well"
        assert others.reaching_workers(22.5, 18.0) == [], "too long ago"
        others.update("b", PeerReport(21.0, ContactSummary(0.1, 1.0), True))
        assert others.reaching_workers(21.0, 18.0) == [], "its link comes and goes"
        others.update("b", PeerReport(21.0, ContactSummary(0.1, 9.0), False))
        assert others.reaching_workers(21.0, 18.0) == [], "it could not be elected"


class TestGuardsLeftOut:
    """Planted defects: what each guard is there for happens without it."""

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
        monkeypatch.setattr(LeaderElection, "store_answers", lambda self: True)
        with pytest.raises(AssertionError):
            test_leader_without_workers_hands_over_to_no_peer_without_store()
