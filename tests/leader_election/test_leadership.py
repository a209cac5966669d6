"""Leader lease and lease votes: when a node may answer, write or be a candidate."""

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

VOTE_DURATION_S, LEASE_S = 6.0, 2.0


def new_leader_lease(now: float = 0.0) -> LeaderLease:
    """Return the leader lease of a node that was elected at ``now``."""
    lease = LeaderLease(["b", "c"], VOTE_DURATION_S, now - 100.0)
    assert lease.begin_candidacy(now)
    lease.begin_term(3, now, LEASE_S)
    return lease


def test_leader_lease_counts_from_request_time() -> None:
    node = new_leader_lease()
    assert node.may_write(1.9)
    assert not node.may_write(2.0)
    node.record_renewal(sent_at=1.0, ttl_s=LEASE_S)
    assert node.may_write(2.9)
    assert not node.may_write(3.0)


def test_lease_votes_without_every_peer_do_not_extend_lease() -> None:
    node = new_leader_lease()
    node.record_vote("b", 1.0, 1.1)
    assert not node.may_answer(2.5)
    node = new_leader_lease()
    node.record_vote("b", 1.0, 1.1)
    node.record_vote("c", 1.2, 1.3)
    assert node.may_answer(6.5)
    assert not node.may_write(2.5)
    assert not node.may_answer(7.0)


def test_lease_vote_after_lease_expiry_does_not_count() -> None:
    node = new_leader_lease()
    node.record_vote("b", 1.0, 1.1)
    # The second vote arrives after the lease expired, when another node may lead.
    node.record_vote("c", 1.9, 2.1)
    assert not node.may_answer(2.2)


def test_peer_with_active_lease_vote_is_no_candidate() -> None:
    peer = LeaderLease(["a", "c"], VOTE_DURATION_S, -100.0)
    assert peer.grant_vote("a", 3, 1, VOTE_DURATION_S, 10.0)
    assert not peer.begin_candidacy(15.9)
    assert peer.begin_candidacy(16.1)


def test_candidate_or_unresolved_candidacy_grants_no_lease_vote() -> None:
    peer = LeaderLease(["a", "c"], VOTE_DURATION_S, -100.0)
    assert peer.begin_candidacy(0.0)
    assert not peer.grant_vote("a", 3, 1, VOTE_DURATION_S, 0.1)
    peer.end_candidacy(resolved=False)
    assert not peer.grant_vote("a", 3, 2, VOTE_DURATION_S, 0.2)
    peer.end_candidacy(resolved=True)
    assert peer.grant_vote("a", 3, 3, VOTE_DURATION_S, 0.3)


def test_lease_vote_late_request_is_refused() -> None:
    peer = LeaderLease(["a", "c"], VOTE_DURATION_S, -100.0)
    assert peer.grant_vote("a", 3, 5, VOTE_DURATION_S, 10.0)
    assert not peer.grant_vote("a", 3, 4, 0.0, 10.1), "a release that a newer request overtook"
    assert not peer.begin_candidacy(12.0)
    assert peer.grant_vote("a", 3, 6, 0.0, 12.0)
    assert peer.begin_candidacy(12.1)
    assert not peer.grant_vote("c", 2, 9, VOTE_DURATION_S, 12.2)


def test_restarted_node_waits_out_lease_vote_or_clears_it_with_all_peers() -> None:
    node = LeaderLease(["a", "c"], VOTE_DURATION_S, 50.0)
    assert not node.begin_candidacy(55.0)
    node.record_peer_not_leading("a")
    assert not node.begin_candidacy(55.0)
    node.record_peer_not_leading("c")
    assert node.begin_candidacy(55.0)
    assert LeaderLease(["a", "c"], VOTE_DURATION_S, 50.0).begin_candidacy(56.2)


def may_answer_after_late_vote(known_process: str, voting_process: str) -> bool:
    """Return whether a leader may answer if B votes in time and C after the lease expired."""
    node = new_leader_lease()
    node.record_peer_process("b", "b1", 1.0)
    node.record_peer_process("c", known_process, 1.0)
    node.record_vote("b", 1.0, 1.1, "b1")
    node.record_vote("c", 2.4, 2.5, voting_process)
    return node.may_answer(2.6)


def test_lease_votes_resume_after_expiry_only_from_same_processes() -> None:
    assert may_answer_after_late_vote("c1", "c1")
    assert not may_answer_after_late_vote("c1", "c2"), (
        "an earlier process of C may have been elected"
    )
    assert not may_answer_after_late_vote("", ""), "a node of an older version sends no process id"
    node = new_leader_lease()
    node.record_peer_process("b", "b1", 1.0)
    node.record_peer_process("c", "c1", 2.1)
    node.record_vote("b", 2.2, 2.3, "b1")
    node.record_vote("c", 2.2, 2.3, "c1")
    assert not node.may_answer(2.4), "C answered only after the lease had expired"
    node.end_term()
    node.record_vote("b", 2.5, 2.6, "b1")
    assert not node.may_answer(2.7)


def test_peer_elected_since_grants_no_lease_vote_for_older_fencing_token() -> None:
    peer = LeaderLease(["a", "c"], VOTE_DURATION_S, -100.0)
    assert peer.begin_candidacy(0.0)
    peer.begin_term(4, 0.0, LEASE_S)
    assert not peer.grant_vote("a", 3, 1, VOTE_DURATION_S, 0.5)
    peer.end_term()
    assert not peer.grant_vote("a", 3, 2, VOTE_DURATION_S, 5.0)


@pytest.mark.parametrize(("holder", "revoked_leases"), [("a", [7]), ("b", []), (None, [])])
def test_follower_revokes_lease_of_its_own_key_only(
    holder: str | None, revoked_leases: list[int]
) -> None:
    """A leader key listed as this node's own may be another node's when it is read again."""
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
            lease=new_leader_lease(),
            operator=OperatorSettings(),
            runtime=ThreadRuntime(),
            term_id_prefix="a.1",
        ),
        on_election_won=lambda term: None,
        on_leadership_lost=lambda: None,
    )
    election._follow_leader_key()
    assert revoked == revoked_leases
    assert election.leader_from_store is None
