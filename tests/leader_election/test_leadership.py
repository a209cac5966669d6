"""Leader lease and lease votes: who may answer when, and who may stand when."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.protocol.kv import Item
from appleshift.protocol.operator import OperatorSettings
from appleshift.transport.concurrency import ThreadRuntime

VOTE_S, TTL_S = 6.0, 2.0


def leader(now: float = 0.0) -> LeaderLease:
    """Return the lease of a node that won its election at ``now``."""
    lease = LeaderLease(["b", "c"], VOTE_S, now - 100.0)
    assert lease.begin_candidacy(now)
    lease.begin_term(3, now, TTL_S)
    return lease


def test_leader_lease_counts_from_request_time() -> None:
    node = leader()
    assert node.may_write(1.9)
    assert not node.may_write(2.0)
    node.record_renewal(sent_at=1.0, ttl_s=TTL_S)
    assert node.may_write(2.9)
    assert not node.may_write(3.0)


def test_lease_votes_without_every_peer_do_not_extend_lease() -> None:
    node = leader()
    node.record_vote("b", 1.0, 1.1)
    assert not node.may_answer(2.5)
    node = leader()
    node.record_vote("b", 1.0, 1.1)
    node.record_vote("c", 1.2, 1.3)
    assert node.may_answer(6.5)
    assert not node.may_write(2.5)
    assert not node.may_answer(7.0)


def test_lease_vote_after_lease_expiry_does_not_count() -> None:
    node = leader()
    node.record_vote("b", 1.0, 1.1)
    # The other vote comes when the lease is over: another node may lead by then.
    node.record_vote("c", 1.9, 2.1)
    assert not node.may_answer(2.2)


def test_peer_with_active_lease_vote_does_not_stand() -> None:
    peer = LeaderLease(["a", "c"], VOTE_S, -100.0)
    assert peer.grant_vote("a", 3, 1, VOTE_S, 10.0)
    assert not peer.begin_candidacy(15.9)
    assert peer.begin_candidacy(16.1)


def test_peer_standing_or_unsettled_gives_no_lease_vote() -> None:
    peer = LeaderLease(["a", "c"], VOTE_S, -100.0)
    assert peer.begin_candidacy(0.0)
    assert not peer.grant_vote("a", 3, 1, VOTE_S, 0.1)
    peer.end_candidacy(resolved=False)
    assert not peer.grant_vote("a", 3, 2, VOTE_S, 0.2)
    peer.end_candidacy(resolved=True)
    assert peer.grant_vote("a", 3, 3, VOTE_S, 0.3)


def test_lease_vote_late_request_is_refused() -> None:
    peer = LeaderLease(["a", "c"], VOTE_S, -100.0)
    assert peer.grant_vote("a", 3, 5, VOTE_S, 10.0)
    assert not peer.grant_vote("a", 3, 4, 0.0, 10.1), "a release that was overtaken"
    assert not peer.begin_candidacy(12.0)
    assert peer.grant_vote("a", 3, 6, 0.0, 12.0)
    assert peer.begin_candidacy(12.1)
    assert not peer.grant_vote("c", 2, 9, VOTE_S, 12.2)


def test_restarted_node_waits_out_lease_vote_or_clears_it_with_all_peers() -> None:
    node = LeaderLease(["a", "c"], VOTE_S, 50.0)
    assert not node.begin_candidacy(55.0)
    node.record_peer_not_leading("a")
    assert not node.begin_candidacy(55.0)
    node.record_peer_not_leading("c")
    assert node.begin_candidacy(55.0)
    assert LeaderLease(["a", "c"], VOTE_S, 50.0).begin_candidacy(56.2)


def resumed(heard_process: str, voting_process: str) -> bool:
    """B votes in time and C only after the lease ended; return whether the leader goes on."""
    node = leader()
    node.record_peer_process("b", "b1", 1.0)
    node.record_peer_process("c", heard_process, 1.0)
    node.record_vote("b", 1.0, 1.1, "b1")
    node.record_vote("c", 2.4, 2.5, voting_process)
    return node.may_answer(2.6)


def test_lease_votes_resume_after_expiry_only_from_same_processes() -> None:
    assert resumed("c1", "c1")
    assert not resumed("c1", "c2"), "an earlier process of it may have been elected"
    assert not resumed("", ""), "an older version does not say"
    node = leader()
    node.record_peer_process("b", "b1", 1.0)
    node.record_peer_process("c", "c1", 2.1)
    node.record_vote("b", 2.2, 2.3, "b1")
    node.record_vote("c", 2.2, 2.3, "c1")
    assert not node.may_answer(2.4), "C was heard when the lease was over"
    node.end_term()
    node.record_vote("b", 2.5, 2.6, "b1")
    assert not node.may_answer(2.7)


def test_peer_elected_since_gives_no_lease_vote_for_older_fencing_token() -> None:
    peer = LeaderLease(["a", "c"], VOTE_S, -100.0)
    assert peer.begin_candidacy(0.0)
    peer.begin_term(4, 0.0, TTL_S)
    assert not peer.grant_vote("a", 3, 1, VOTE_S, 0.5)
    peer.end_term()
    assert not peer.grant_vote("a", 3, 2, VOTE_S, 5.0)


@pytest.mark.parametrize(("holder", "revoked_leases"), [("a", [7]), ("b", []), (None, [])])
def test_follower_drops_lease_of_its_own_key_only(
    holder: str | None, revoked_leases: list[int]
) -> None:
    """The key was this node's when it was listed; read again, it may be its successor's."""
    listed = Item("leader", {"name": "a", "token": 3}, 40)
    current = None if holder is None else Item("leader", {"name": holder, "token": 4}, 41, 7)
    revoked: list[int] = []
    store: Any = SimpleNamespace(
        read_page=lambda *by: SimpleNamespace(items=[listed], revision=41),
        get=lambda key: current,
        revoke_lease=revoked.append,
    )
    election = LeaderElection(
        ElectionDependencies(
            node_name="a",
            store=store,
            peer_clients={},
            lease=leader(),
            operator=OperatorSettings(),
            runtime=ThreadRuntime(),
            term_id_prefix="a.1",
        ),
        on_election_won=lambda term: None,
        on_leadership_lost=lambda: None,
    )
    election._follow()
    assert revoked == revoked_leases
    assert election.leader_from_store is None
