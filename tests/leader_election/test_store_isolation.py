"""The gap: the state service refuses the leader alone, then everybody.

Another node may be elected in between and confirm cancellations, while workers go on
reporting to the old leader. Whatever the order: the tasks of those jobs are gone within
``cancel_s`` of the confirmation, and nobody renews a lease who doesn't know of it
(``Rules.renewed`` checks that for every answer that a worker takes).
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
from tests.support.overlapping_failures import entitled, watch
from tests.support.simulated_world import Host, World

REFUSED_AT = 30.0
LONG_S = 500.0


@dataclass
class Gap:
    """A world in which the gap begins at ``REFUSED_AT``, with jobs that run for long."""

    world: World
    old: Host
    jobs: list[str]
    reported: int = 0
    """Reports to the old leader after the first confirmation through another."""

    def confirmed_elsewhere(self) -> list[str]:
        jobs = self.world.rules.jobs
        return [name for name in self.jobs if jobs[name].confirmed_at is not None]

    def renewed(self) -> bool:
        return {worker.session for worker in self.world.workers.values()} == {1}


def begin(seed: int, site: Site) -> Gap:
    """A quiet day with arrays, gangs and services that all run, and its leader."""
    world = World(seed, site=site)
    watch(world)
    world.lossy = world.cloud.fail_boots = 0.0
    jobs = []
    for number in range(12):
        job = world.submit(
            shape=["daemon", "array", "ensemble"][number % 3], pieces=2, vcpus=1.0, cards=0.0,
            rig_kinds=None, yard=None, together=False, spread=False, loaners=False,
            snapshot_every_s=0.0,
        )  # fmt: skip
        world.times[job] = LONG_S
        jobs.append(job)
    world.run(REFUSED_AT)
    running = [job for job in jobs if any(world.rules.jobs[job].places.values())]
    running = [job for job in running if not world.rules.jobs[job].tried_cancel]
    made = Gap(world, world.leaders()[0], running)
    ask: Callable[..., None] = world.ask

    def counted(host: Host, kind: str, request: Request, *answer: Any) -> None:
        if host is made.old and request.path == "/agent/beat" and made.confirmed_elsewhere():
            made.reported += 1
        ask(host, kind, request, *answer)

    world.ask = counted  # type: ignore[method-assign]
    return made


def others(made: Gap) -> list[str]:
    return [name for name in made.world.site.nodes if name != made.old.name]


def both_ways(some: list[str], name: str) -> set[tuple[str, str]]:
    return {pair for other in some for pair in ((other, name), (name, other))}


def only_the_old_one_hears_workers(made: Gap) -> None:
    for address in made.world.workers:
        made.world.blocked |= both_ways(others(made), address)


def alone_with_its_workers(made: Gap) -> None:
    made.world.blocked |= both_ways(others(made), made.old.name)


def cancel_all(made: Gap, within_s: float) -> None:
    for job in made.jobs:
        delay = made.world.rng.uniform(1.0, within_s)
        made.world.sim.after(delay, lambda job=job: made.world._user(job, "cancel"))


@pytest.mark.parametrize(
    ("seed", "site", "alone_s", "all_s", "cuts"),
    [
        (7000, SMALL, 3.0, 1.5 * CANCEL_S, []),
        (7001, LARGE, 3.5, 1.5 * CANCEL_S, []),
        (7002, SMALL, 6.0, 1.2 * CANCEL_S, [only_the_old_one_hears_workers]),
        (7003, LARGE, 6.0, 2.0 * LEASE_S, [alone_with_its_workers]),
        (7004, SMALL, 4.0, 1.2 * CANCEL_S, [alone_with_its_workers]),
        (7005, LARGE, 6.0, CANCEL_S, [only_the_old_one_hears_workers, alone_with_its_workers]),
    ],
)
def test_cancellation_confirmed_by_successor_ends_tasks_of_isolated_leader(
    seed: int, site: Site, alone_s: float, all_s: float, cuts: list[Callable[[Gap], None]]
) -> None:
    made = begin(seed, site)
    world = made.world
    try:
        for cut in cuts:
            cut(made)
        store_refuses_leader_then_all(world, alone_s, all_s)
        cancel_all(made, alone_s)
        world.run(REFUSED_AT + alone_s)
        assert world.leaders() != [made.old]
        world.run(REFUSED_AT + alone_s + all_s)
        confirmed = made.confirmed_elsewhere()
        assert confirmed, "the meeting did not come about"
        if cuts:
            assert made.reported, "nobody reported to the old leader"
        assert not [job for job in confirmed if any(world.rules.jobs[job].places.values())]
        # Ended by an order, or by the lease that ran when it was confirmed; not later.
        assert world.rules.last_gone_s < LEASE_S + 0.5 < CANCEL_S
        world.blocked.clear()
        world.run(REFUSED_AT + alone_s + all_s + CANCEL_S + 5.0)
        assert {world.rules.jobs[job].told for job in confirmed} == {"aborted"}
    finally:
        world.close()


@pytest.mark.parametrize("seed", range(7100, 7108))
@pytest.mark.slow(60)
def test_leader_isolated_from_store_for_any_time_breaks_no_invariant(seed: int) -> None:
    made = begin(seed, LARGE if seed % 4 == 0 else SMALL)
    world = made.world
    try:
        for cut in (only_the_old_one_hears_workers, alone_with_its_workers):
            if world.rng.random() < 0.3:
                cut(made)
        at = world.rng.choice([0.4, 1.2, 1.6, 2.0, 3.0])
        store_refuses_leader_then_all(world, at, world.rng.choice([0.5, 1.0, 1.6]) * CANCEL_S)
        cancel_all(made, at + 2.0)
        # Somebody falls or stands still in it, and is back within a moment or seconds.
        for _ in range(world.rng.randint(0, 3)):
            host = world.hosts[world.rng.choice(world.site.nodes)]
            delay = world.rng.uniform(0.0, at + 10.0)
            if world.rng.random() < 0.5:
                down = world.rng.choice([0.1, 0.5, 5.0])
                world.sim.after(delay, lambda host=host, down=down: host.crash(down))
            else:
                world.sim.after(delay, lambda host=host: world.freeze(host.name, 6.0))
        world.run(REFUSED_AT + 45.0)
        world.blocked.clear()
        world.run(REFUSED_AT + 110.0)
        gone = made.confirmed_elsewhere()
        assert not [job for job in gone if any(world.rules.jobs[job].places.values())]
        # Nothing outlives its confirmation by more than the lease that ran then.
        assert world.rules.last_gone_s < LEASE_S + 0.5
    finally:
        world.close()


@pytest.mark.parametrize("alone_s", [0.6, 1.0, 1.4])
@pytest.mark.parametrize("site", [SMALL, LARGE])
def test_leader_isolation_that_becomes_store_outage_ends_no_task(
    site: Site, alone_s: float
) -> None:
    """Nobody was elected yet when it began: the leader goes on, its lease over or not."""
    made = begin(7200, site)
    world = made.world
    try:
        store_refuses_leader_then_all(world, alone_s, 3 * LEASE_S)
        world.run(REFUSED_AT + 1.0 + LEASE_S)
        assert entitled(world) == [made.old.name]
        world.run(REFUSED_AT + alone_s + 3 * LEASE_S)
        assert made.renewed()
        world.run(REFUSED_AT + alone_s + 5 * LEASE_S)
        assert made.renewed()
    finally:
        world.close()


def elected_and_started_anew(seed: int) -> Gap:
    """Another is elected and confirms, which neither the old leader nor the third hears of;
    its process ends in the outage, and the next one knows nothing."""
    made = begin(seed, SMALL)
    world = made.world
    only_the_old_one_hears_workers(made)
    links = both_ways(others(made), made.old.name)
    world.blocked |= links
    # Nodes that reach no workers leave the key free for some seconds.
    store_refuses_leader_then_all(world, 9.0, 2 * CANCEL_S)
    cancel_all(made, 8.5)
    world.run(REFUSED_AT + 9.2)
    new = next(host for host in world.leaders() if host is not made.old)
    assert made.confirmed_elsewhere()
    new.crash(0.05)
    world.blocked -= links
    return made


def test_restarted_successor_without_memory_lets_no_leader_continue() -> None:
    made = elected_and_started_anew(7300)
    try:
        made.world.run(REFUSED_AT + 25.0)
        assert made.reported
        assert entitled(made.world) == []
    finally:
        made.world.close()


def test_planted_lease_vote_of_any_process_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: the chain of promises goes on whoever gave them."""
    whole = LeaderLease.record_vote

    def any_process(
        self: LeaderLease, peer: str, sent: float, now: float, process: str = ""
    ) -> None:
        whole(self, peer, sent, now, self._peer_processes.get(peer, ""))

    monkeypatch.setattr(LeaderLease, "record_vote", any_process)
    made = elected_and_started_anew(7300)
    try:
        with pytest.raises(AssertionError, match=r"went_back|renewed_unknowing"):
            made.world.run(REFUSED_AT + 25.0)
    finally:
        made.world.close()


def test_planted_lease_vote_of_electable_peers_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted: siblings promise though the state service answers them. Then nobody can write,
    and users' cancellations are not confirmed while only the leader is refused."""
    monkeypatch.setattr(LeaderElection, "store_answers", lambda self: False)
    made = begin(7400, SMALL)
    try:
        store_refuses_leader_then_all(made.world, 4.0, CANCEL_S)
        cancel_all(made, 2.0)
        made.world.run(REFUSED_AT + 4.0)
        assert not made.confirmed_elsewhere()
    finally:
        made.world.close()
