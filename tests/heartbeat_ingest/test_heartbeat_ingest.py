"""Heartbeat relays: their assignment, and that faults of relays lose no task or machine."""

from __future__ import annotations

from functools import partial

import msgspec
import pytest

from appleshift.heartbeat_ingest import relay_assignment
from appleshift.transport.http_messages import Request
from tests.support.deployments import FEW_CONNECTIONS
from tests.support.fault_injection import end_faults, inject_faults
from tests.support.simulated_world import World


def test_heartbeat_routing_node_removed_moves_only_its_machines() -> None:
    names = [f"i-{number:06d}" for number in range(6000)]
    before = {name: relay_assignment.relay_for(name, 0.75, ["n1", "n2", "n3"]) for name in names}
    counts = [sum(node == each for node in before.values()) for each in (None, "n1", "n2", "n3")]
    assert all(1300 < count < 1700 for count in counts)
    after = {name: relay_assignment.relay_for(name, 0.75, ["n1", "n3"]) for name in names}
    moved = {name for name in names if before[name] != after[name]}
    assert moved == {name for name in names if before[name] == "n2"}


def test_heartbeat_offload_ratio_follows_fleet_size_with_hysteresis() -> None:
    assert relay_assignment.next_relayed_fraction(600, 849, 4, 0.0) == 0.0
    fractions = [
        relay_assignment.next_relayed_fraction(machines, 849, 4, 0.0)
        for machines in (850, 1200, 1830, 9000)
    ]
    assert fractions == sorted(fractions)
    assert 0.5 < fractions[2] < 0.7
    assert fractions[3] <= 13 / 16, "all nodes are equally full"
    current = relay_assignment.next_relayed_fraction(1830, 849, 4, 0.0)
    assert relay_assignment.next_relayed_fraction(1790, 849, 4, current) == current
    assert relay_assignment.next_relayed_fraction(5000, 849, 0, current) == 0.0
    assert (
        relay_assignment.max_machines(849, 4),
        relay_assignment.max_machines(849, 1),
        relay_assignment.max_machines(849, 0),
    ) == (
        3396,
        849,
        849,
    )


def crowded_world(seed: int, jobs: int = 40) -> World:
    """A simulated cluster with more machines than one node has connections for."""
    world = World(seed, site=FEW_CONNECTIONS)
    for _ in range(jobs):
        world.sim.after(world.rng.uniform(0.0, 50.0), world.submit)
    return world


def relay_nodes(world: World) -> set[str]:
    """Names of the nodes other than the leader to which workers send heartbeats."""
    leaders = {host.name for host in world.leaders()}
    return {world.site.nodes[number] for number in world.node_index_by_worker.values()} - leaders


def unfinished_arrays(world: World) -> list[str]:
    """Accepted job arrays for which no final state has been reported to the user."""
    return [
        job_id
        for job_id, job in world.invariants.jobs.items()
        if job.spec["shape"] == "array" and job.accepted and job.reported_state is None
    ]


@pytest.mark.slow(40)
def test_heartbeats_of_fleet_beyond_one_node_arrive_through_all_nodes() -> None:
    world = crowded_world(1)
    world.loss_share = 0.0
    try:
        world.run(60.0)
        assert len(world.workers) > 10
        assert len(relay_nodes(world)) >= 2
        leader = world.leaders()[0]
        by_node = [
            sum(world.site.nodes[number] == name
                for address, number in world.node_index_by_worker.items()
                if address in world.workers)
            for name in world.site.nodes
        ]  # fmt: skip
        assert by_node[world.site.nodes.index(leader.name)] <= 9
        assert all(worker.agent_epoch == 1 for worker in world.workers.values())
        world.run(140.0)
        assert unfinished_arrays(world) == []
    finally:
        world.close()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.slow(60)
def test_heartbeat_relay_under_random_faults_keeps_invariants(seed: int) -> None:
    world = crowded_world(seed)
    try:
        inject_faults(world, 80.0, 8.0)
        world.sim.after(90.0, lambda: end_faults(world))
        world.run(220.0)
        assert world.invariants.starts > 20
        assert unfinished_arrays(world) == []
    finally:
        world.close()


@pytest.mark.parametrize("fault", ["falls", "freezes", "leader falls", "siblings refuse"])
def test_heartbeat_relay_with_faulty_relay_node_keeps_invariants(fault: str) -> None:
    world = crowded_world(20)
    try:

        def inject_fault() -> None:
            relays = sorted(relay_nodes(world))
            leader = world.leaders()[0].name if world.leaders() else ""
            for name in relays[:1]:
                if fault == "falls":
                    world.hosts[name].crash(8.0)
                elif fault == "freezes":
                    # Pauses once the leader's responses arrive and forwards them 20 s later.
                    world.freeze_before_request[name] = ("/peer/reports", 20.0)
                elif fault == "leader falls":
                    world.hosts[leader].crash(8.0)
                else:
                    pair = {(name, leader), (leader, name)}
                    world.blocked_links |= pair
                    world.sim.after(15.0, partial(world.blocked_links.difference_update, pair))

        for at in (30.0, 60.0, 90.0):
            world.sim.after(at, inject_fault)
        world.run(220.0)
        assert unfinished_arrays(world) == []
    finally:
        world.close()


def test_late_heartbeat_through_another_node_changes_nothing() -> None:
    """A delayed heartbeat arrives at each node after newer heartbeats were processed."""
    world = crowded_world(3)
    world.loss_share = 0.0
    try:
        world.run(50.0)
        reports = {address: worker.report() for address, worker in world.workers.items()}
        world.run(60.0)
        address = min(address for address in reports if address in world.workers)
        old = msgspec.msgpack.encode(reports[address])
        leader = world.leaders()[0]
        assert leader.node is not None
        assert leader.node.scheduler is not None
        machine = leader.node.scheduler.cluster.machine(world.workers[address].machine.name)
        assert machine is not None
        processed = (machine.agent_epoch, machine.seq)
        statuses: list[int] = []
        for host in world.hosts.values():
            request = Request("POST", "/agent/beat", old)
            world.serve_request(host, "public", request, lambda status, _: statuses.append(status))
        world.run(63.0)
        assert (machine.agent_epoch, machine.seq) >= processed
        assert len(statuses) == len(world.hosts)
    finally:
        world.close()
