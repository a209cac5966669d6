"""A leader isolated from the key-value store, which then refuses every node.

In between, another node may be elected and confirm cancellations while workers still send
heartbeats to the old leader. In any order of these events, the tasks of the cancelled jobs
end within ``cancel_s`` of the confirmation. No node without the confirmation renews a
worker's lease; ``InvariantChecker.record_lease_renewal`` checks this for every response
that a worker accepts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.transport.http_messages import Request
from tests.support.deployments import CANCEL_S, LARGE, LEASE_S, SMALL, Site
from tests.support.fault_injection import store_refuses_leader_then_all
from tests.support.overlapping_failures import check_single_leader, nodes_entitled_to_answer
from tests.support.simulated_world import Host, World

REFUSED_AT = 30.0
LONG_S = 500.0


@dataclass
class IsolatedLeader:
    """A world with long-running jobs whose store refuses the leader from ``REFUSED_AT`` on."""

    world: World
    old_leader: Host
    jobs: list[str]
    heartbeats_to_old_leader: int = 0
    """Number of heartbeats to the old leader after the first confirmed cancellation."""

    def confirmed_jobs(self) -> list[str]:
        """Return the jobs whose cancellation was confirmed."""
        jobs = self.world.invariants.jobs
        return [name for name in self.jobs if jobs[name].confirmed_at is not None]

    def all_leases_renewed(self) -> bool:
        """Return whether no worker's lease expired: all are in their first agent epoch."""
        return {worker.agent_epoch for worker in self.world.workers.values()} == {1}


def run_until_isolation(seed: int, site: Site) -> IsolatedLeader:
    """Run arrays, gangs and services without faults until ``REFUSED_AT``."""
    world = World(seed, site=site)
    check_single_leader(world)
    world.loss_share = world.cloud.boot_failure_share = 0.0
    jobs = []
    for number in range(12):
        job = world.submit(
            shape=["daemon", "array", "ensemble"][number % 3], pieces=2, vcpus=1.0, cards=0.0,
            rig_kinds=None, yard=None, together=False, spread=False, loaners=False,
            snapshot_every_s=0.0,
        )  # fmt: skip
        world.run_times[job] = LONG_S
        jobs.append(job)
    world.run(REFUSED_AT)
    running = [job for job in jobs if any(world.invariants.jobs[job].machines_by_task.values())]
    running = [job for job in running if not world.invariants.jobs[job].tried_cancel]
    scenario = IsolatedLeader(world, world.leaders()[0], running)
    ask: Callable[..., None] = world.serve_request

    def count_and_ask(host: Host, kind: str, request: Request, *answer: Any) -> None:
        if (
            host is scenario.old_leader
            and request.path == "/agent/beat"
            and scenario.confirmed_jobs()
        ):
            scenario.heartbeats_to_old_leader += 1
        ask(host, kind, request, *answer)

    world.serve_request = count_and_ask  # type: ignore[method-assign]
    return scenario


def others(scenario: IsolatedLeader) -> list[str]:
    """Return the names of all nodes except the old leader."""
    return [name for name in scenario.world.site.nodes if name != scenario.old_leader.name]


def links_both_ways(names: list[str], name: str) -> set[tuple[str, str]]:
    """Return the links between ``name`` and each of ``names``, in both directions."""
    return {pair for other in names for pair in ((other, name), (name, other))}


def cut_workers_from_successors(scenario: IsolatedLeader) -> None:
    """Block all links of workers except to the old leader."""
    for address in scenario.world.workers:
        scenario.world.blocked_links |= links_both_ways(others(scenario), address)


def cut_old_leader_from_peers(scenario: IsolatedLeader) -> None:
    """Block all links between the old leader and its peers."""
    scenario.world.blocked_links |= links_both_ways(others(scenario), scenario.old_leader.name)


def cancel_all(scenario: IsolatedLeader, within_s: float) -> None:
    """Cancel each job at a random time after the isolation began."""
    for job in scenario.jobs:
        delay = scenario.world.rng.uniform(1.0, within_s)
        scenario.world.sim.after(delay, lambda job=job: scenario.world._user(job, "cancel"))


@pytest.mark.parametrize(
    ("seed", "site", "isolated_s", "outage_s", "cuts"),
    [
        (7000, SMALL, 3.0, 1.5 * CANCEL_S, []),
        (7001, LARGE, 3.5, 1.5 * CANCEL_S, []),
        (7002, SMALL, 6.0, 1.2 * CANCEL_S, [cut_workers_from_successors]),
        (7003, LARGE, 6.0, 2.0 * LEASE_S, [cut_old_leader_from_peers]),
        (7004, SMALL, 4.0, 1.2 * CANCEL_S, [cut_old_leader_from_peers]),
        (7005, LARGE, 6.0, CANCEL_S, [cut_workers_from_successors, cut_old_leader_from_peers]),
    ],
)
def test_cancellation_confirmed_by_successor_ends_tasks_of_isolated_leader(
    seed: int,
    site: Site,
    isolated_s: float,
    outage_s: float,
    cuts: list[Callable[[IsolatedLeader], None]],
) -> None:
    scenario = run_until_isolation(seed, site)
    world = scenario.world
    try:
        for cut in cuts:
            cut(scenario)
        store_refuses_leader_then_all(world, isolated_s, outage_s)
        cancel_all(scenario, isolated_s)
        world.run(REFUSED_AT + isolated_s)
        assert world.leaders() != [scenario.old_leader]
        world.run(REFUSED_AT + isolated_s + outage_s)
        confirmed = scenario.confirmed_jobs()
        assert confirmed, "no cancellation was confirmed while the leader was isolated"
        if cuts:
            assert scenario.heartbeats_to_old_leader, "no worker sent a heartbeat to the old leader"
        assert not [
            job for job in confirmed if any(world.invariants.jobs[job].machines_by_task.values())
        ]
        # A command or the expiry of the worker's lease, valid at the confirmation, ends a task.
        assert world.invariants.max_end_after_cancel_s < LEASE_S + 0.5 < CANCEL_S
        world.blocked_links.clear()
        world.run(REFUSED_AT + isolated_s + outage_s + CANCEL_S + 5.0)
        assert {world.invariants.jobs[job].reported_state for job in confirmed} == {"aborted"}
    finally:
        world.close()


@pytest.mark.parametrize("seed", range(7100, 7108))
@pytest.mark.slow(60)
def test_leader_isolated_from_store_for_any_time_breaks_no_invariant(seed: int) -> None:
    scenario = run_until_isolation(seed, LARGE if seed % 4 == 0 else SMALL)
    world = scenario.world
    try:
        for cut in (cut_workers_from_successors, cut_old_leader_from_peers):
            if world.rng.random() < 0.3:
                cut(scenario)
        at = world.rng.choice([0.4, 1.2, 1.6, 2.0, 3.0])
        store_refuses_leader_then_all(world, at, world.rng.choice([0.5, 1.0, 1.6]) * CANCEL_S)
        cancel_all(scenario, at + 2.0)
        # Nodes crash or freeze meanwhile, for 0.1 to 6 s.
        for _ in range(world.rng.randint(0, 3)):
            host = world.hosts[world.rng.choice(world.site.nodes)]
            delay = world.rng.uniform(0.0, at + 10.0)
            if world.rng.random() < 0.5:
                down = world.rng.choice([0.1, 0.5, 5.0])
                world.sim.after(delay, lambda host=host, down=down: host.crash(down))
            else:
                world.sim.after(delay, lambda host=host: world.freeze(host.name, 6.0))
        world.run(REFUSED_AT + 45.0)
        world.blocked_links.clear()
        world.run(REFUSED_AT + 110.0)
        gone = scenario.confirmed_jobs()
        assert not [
            job for job in gone if any(world.invariants.jobs[job].machines_by_task.values())
        ]
        # No task outlives its job's confirmation by more than a worker's lease.
        assert world.invariants.max_end_after_cancel_s < LEASE_S + 0.5
    finally:
        world.close()


@pytest.mark.parametrize("isolated_s", [0.6, 1.0, 1.4])
@pytest.mark.parametrize(("seed", "site"), [(7200, SMALL), (7205, LARGE)])
def test_leader_isolation_that_becomes_store_outage_ends_no_task(
    seed: int, site: Site, isolated_s: float
) -> None:
    """If no node was elected before the outage, the leader continues after its lease expired."""
    scenario = run_until_isolation(seed, site)
    world, term = scenario.world, scenario.world.term
    try:
        store_refuses_leader_then_all(world, isolated_s, 3 * LEASE_S)
        world.run(REFUSED_AT + isolated_s)
        assert world.term == term, "another node was elected before the outage"
        world.run(REFUSED_AT + 1.0 + LEASE_S)
        assert nodes_entitled_to_answer(world) == [scenario.old_leader.name]
        world.run(REFUSED_AT + isolated_s + 3 * LEASE_S)
        assert scenario.all_leases_renewed()
        world.run(REFUSED_AT + isolated_s + 5 * LEASE_S)
        assert scenario.all_leases_renewed()
    finally:
        world.close()


def restart_successor_in_outage(seed: int) -> IsolatedLeader:
    """Restart a successor in the outage; no other node has the cancellations it confirmed."""
    scenario = run_until_isolation(seed, SMALL)
    world = scenario.world
    cut_workers_from_successors(scenario)
    links = links_both_ways(others(scenario), scenario.old_leader.name)
    world.blocked_links |= links
    # Nodes that reach no workers leave the leader key free for some seconds.
    store_refuses_leader_then_all(world, 9.0, 2 * CANCEL_S)
    cancel_all(scenario, 8.5)
    world.run(REFUSED_AT + 9.2)
    new = next(host for host in world.leaders() if host is not scenario.old_leader)
    assert scenario.confirmed_jobs()
    new.crash(0.05)
    world.blocked_links -= links
    return scenario


@pytest.mark.parametrize("seed", [7300, 7304])
def test_restarted_successor_without_state_lets_no_leader_continue(seed: int) -> None:
    scenario = restart_successor_in_outage(seed)
    try:
        scenario.world.run(REFUSED_AT + 25.0)
        assert scenario.heartbeats_to_old_leader
        assert nodes_entitled_to_answer(scenario.world) == []
    finally:
        scenario.world.close()


def test_planted_lease_vote_of_any_process_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: a vote after the lease expired counts, whichever process granted it."""
    record_vote = LeaderLease.record_vote

    def record_vote_of_any_process(
        self: LeaderLease, peer: str, sent: float, now: float, process: str = ""
    ) -> None:
        record_vote(self, peer, sent, now, self._peer_processes.get(peer, ""))

    monkeypatch.setattr(LeaderLease, "record_vote", record_vote_of_any_process)
    scenario = restart_successor_in_outage(7304)
    try:
        with pytest.raises(AssertionError, match=r"went_back|renewed_unknowing"):
            scenario.world.run(REFUSED_AT + 25.0)
    finally:
        scenario.world.close()


def test_planted_lease_vote_of_electable_peers_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted: peers grant votes though the store answers them.

    Then no node is elected that can write, and no cancellation is confirmed while the store
    refuses only the leader.
    """
    monkeypatch.setattr(LeaderElection, "is_store_reachable", lambda self: False)
    scenario = run_until_isolation(7400, SMALL)
    try:
        store_refuses_leader_then_all(scenario.world, 4.0, CANCEL_S)
        cancel_all(scenario, 2.0)
        scenario.world.run(REFUSED_AT + 4.0)
        assert not scenario.confirmed_jobs()
    finally:
        scenario.world.close()
