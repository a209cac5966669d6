"""Blocks of fencing tokens: no token belongs to two terms, also beside older versions."""

from __future__ import annotations

import itertools
import random

from appleshift.leader_election.fencing_tokens import first_token_after, last_token_of_term
from tests.support.simulated_world import World

SEEDS = 50
ELECTIONS = 40


def test_tokens_of_terms_never_overlap_also_beside_versions_with_one_token_a_term() -> None:
    for seed in range(SEEDS):
        rng = random.Random(seed)
        stored = rng.randrange(20)
        terms: list[tuple[int, int]] = []
        for _ in range(ELECTIONS):
            if rng.random() < 0.5:
                first = stored + 1
                assert last_token_of_term(first) == first, "taken for the first of a block"
            else:
                first = first_token_after(stored)
                assert last_token_of_term(first) > first + 1_000_000
            terms.append((first, last_token_of_term(first)))
            stored = terms[-1][1]
        for before, after in itertools.pairwise(terms):
            assert before[1] < after[0]


def test_each_token_of_a_term_has_the_same_last_one() -> None:
    first = first_token_after(8)
    last = last_token_of_term(first)
    assert {last_token_of_term(token) for token in (first, first + 1, last - 1, last)} == {last}
    assert first_token_after(first) == first_token_after(last) > last


def test_leader_whose_tokens_are_used_up_hands_over() -> None:
    world = World(8500)
    try:
        for at in range(20):
            world.sim.after(at, world.submit)
        world.run(20.0)
        (leader,) = [host.node for host in world.leaders() if host.node]
        token = leader.lease.fencing_token
        scheduler = leader.replicas[0].scheduler
        assert scheduler is not None
        scheduler.needs_new_term = True
        world.run(40.0)
        (leader,) = [host.node for host in world.leaders() if host.node]
        assert leader.lease.fencing_token == first_token_after(token)
        assert {worker.agent_epoch for worker in world.workers.values()} == {1}
    finally:
        world.close()
