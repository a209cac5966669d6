"""The election of one shard's leader: follow the holder key, stand for it, keep its lease."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.leader_election.candidacy import Candidacy, WonElection
from appleshift.leader_election.dependencies import CandidacyConditions, ElectionDependencies
from appleshift.leader_election.leader_term import LeaderRecord, LeaderTerm
from appleshift.leader_election.leader_tracker import LeaderTracker, PeerClaim
from appleshift.leader_election.relay_tracker import RelayTracker
from appleshift.leader_election.vote_collector import VoteCollector
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError
from appleshift.storage.key_value_store import LeaseExpiredError, StoreError

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 5.0
STORE_CHECK_TIMEOUT_S = 0.4
MIN_RENEWAL_TIMEOUT_S = 0.3
HAND_OVER_PAUSE_S = 1.5
"""A node that handed over leaves its successor so long to be elected."""
FOLLOW_RETRY_S = 0.1
CANDIDACY_RETRY_S = 0.15
STORE_RETRY_S = 0.2
UNREADABLE_RECORD_RETRY_S = 1.0


class LeaderElection:
    """One routine that stands and renews, and one for each peer's lease votes."""

    def __init__(
        self,
        dependencies: ElectionDependencies,
        on_election_won: Callable[[LeaderTerm], None],
        on_leadership_lost: Callable[[], None],
        conditions: CandidacyConditions | None = None,
    ) -> None:
        """``on_election_won`` and ``on_leadership_lost`` are called by the election's routine."""
        self.node_name = dependencies.node_name
        self.process_id = dependencies.process_id
        self.shard = dependencies.shard
        self.leader_key = dependencies.leader_key
        self.lease = dependencies.lease
        self._dependencies = dependencies
        self._conditions = conditions or CandidacyConditions()
        self._store = dependencies.store
        self._operator = dependencies.operator
        self._on_election_won = on_election_won
        self._on_leadership_lost = on_leadership_lost
        runtime = dependencies.runtime
        self._now = runtime.now
        self._handing_over = runtime.event()
        self._renewal_failing = runtime.event()
        self._stop = runtime.event()
        self._fenced = runtime.event()
        self._candidate_after = runtime.now()
        self._key_free_since: float | None = None
        self._lease_id = 0
        self._leaders = LeaderTracker(dependencies)
        self._relays = RelayTracker(dependencies, self._leaders)
        self._candidacy = Candidacy(dependencies, self._begin_leading)
        self._vote_collector = VoteCollector(dependencies, self._renewal_failing, self._stop)

    def start(self) -> None:
        """Start the routines."""
        name = self._dependencies.thread_name("election")
        self._dependencies.runtime.spawn(name, self._run)
        self._vote_collector.start()

    def stop(self) -> None:
        """Give up leadership at once, so that another node need not wait."""
        self._stop.set()
        if self.lease.is_leader:
            self.lease.end_term()
            self._store.revoke_lease(self._lease_id)

    def step_down(self) -> None:
        """End the term: a guarded write failed, so another node leads, or none does."""
        self._fenced.set()

    def hand_over(self) -> None:
        """End the term, and leave the shard to another node for a moment."""
        self._candidate_after = self._now() + HAND_OVER_PAUSE_S
        self._handing_over.set()
        self._fenced.set()

    # -- who leads and who relays ---------------------------------------------------

    @property
    def leader_from_store(self) -> str | None:
        """The leader by the holder key alone; None if there is none or it can't be read."""
        return self._leaders.leader_from_store

    @property
    def last_leader_from_store(self) -> str | None:
        """The last node that the holder key named."""
        return self._leaders.last_leader_from_store

    def current_leader(self) -> str | None:
        """Return who leads, by what peers say of themselves, else by the holder key."""
        return self._leaders.current_leader()

    def can_serve_users(self) -> bool:
        """Return whether this node can answer users, itself or by asking the leader."""
        return self._leaders.can_serve_users()

    def can_relay(self) -> bool:
        """Return whether this node does not lead and reaches the node that does."""
        return self._leaders.can_relay()

    def relays(self) -> list[str]:
        """Return the nodes known to relay heartbeats to the leader, without the leader."""
        return self._relays.relays()

    @property
    def relayed_fraction(self) -> float:
        """While this node leads: the fraction of the machines that it sends to relays."""
        return self._relays.relayed_fraction

    @relayed_fraction.setter
    def relayed_fraction(self, fraction: float) -> None:
        self._relays.relayed_fraction = fraction

    def current_relayed_fraction(self) -> float:
        """Return the fraction of the machines that the leader sends to relays."""
        return self._relays.current_relayed_fraction()

    def recent_relayed_fraction(self) -> float:
        """Return the fraction that a leader sent to relays within the last seconds."""
        return self._relays.recent_relayed_fraction()

    # -- requests and statuses of peers ---------------------------------------------

    def grant_vote(self, request: peers.LeaseVoteRequest) -> bool:
        """Promise a leader not to stand for a while; return False if that is refused."""
        if request.duration_s > 0 and self.is_store_reachable():
            # The store refuses the leader alone: its lease is to run out, and a node that
            # can write is to lead. A vote would keep every node from being elected.
            return False
        return self.lease.grant_vote(
            request.leader,
            request.fencing_token,
            request.seq,
            request.duration_s,
            self._now(),
            request.process_id,
        )

    def is_store_reachable(self) -> bool:
        """Ask the key-value store; return whether it answers this node right now."""
        try:
            self._store.get(self.leader_key, STORE_CHECK_TIMEOUT_S)
        except (StoreError, ProtocolError):
            return False
        return True

    def peer_restarted(self, peer: str, ended_process_id: str) -> None:
        """Drop what a peer's earlier process said of itself, and what it was promised."""
        self.lease.record_process_ended(ended_process_id)
        self._leaders.forget_peer(peer)
        self._relays.forget_peer(peer)

    def peer_status_received(
        self, peer: str, status: peers.PeerStatus, held: peers.HeldShard | None
    ) -> None:
        """Record a peer's status; ``held`` is its claim to this shard, None if it has none."""
        now = self._now()
        self.lease.record_peer_process(peer, status.process_id, now)
        entitled = held is not None and held.entitled
        token = 0 if held is None else held.fencing_token
        self._leaders.record_claim(peer, PeerClaim(now, entitled, token))
        if held is None:
            self.lease.record_peer_not_leading(peer)
        elif self.lease.is_leader and token > self.lease.fencing_token:
            # It could only be elected once our key was gone. Cut off from the key-value
            # store, a leader that was replaced once went on for 39 s.
            log.info("leadership superseded shard=%d leader=%s token=%d", self.shard, peer, token)
            self.step_down()
        if not self.shard:
            self._relays.record_status(peer, status, now)

    # -- the election's routine -----------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self.lease.is_leader:
                    self._renew()
                else:
                    self._follow()
            except StoreError as error:
                log.debug("store call failed shard=%d error=%s", self.shard, error)
                if not self.lease.is_leader and self.leader_from_store is not None:
                    # What the key said may be over; the statuses of peers are newer.
                    self._leaders.clear_leader()
                self._stop.wait(STORE_RETRY_S)
            except ProtocolError as error:
                self._log_unreadable_record(error)
                self._stop.wait(UNREADABLE_RECORD_RETRY_S)

    def _log_unreadable_record(self, error: ProtocolError) -> None:
        # Without the trace, which says nothing about a record that another version wrote.
        log.error("unreadable record in the store shard=%d reason=%s", self.shard, error.reason)

    def _follow(self) -> None:
        """Read the holder key; stand for it while it is free, else wait until it changes."""
        self._candidacy.revoke_unresolved_lease()
        # Read as a page, which has the store's revision. A watch from the key's own
        # revision is refused once enough other changes have followed: then every
        # follower of a long term asked as fast as its rate limit allowed.
        page = self._store.read_page(self.leader_key, "", 1)
        if not page.items:
            self._leaders.clear_leader()
            if not self._stand_for_free_key():
                self._stop.wait(CANDIDACY_RETRY_S)
            return
        self._key_free_since = None
        self._leaders.record_leader_key(LeaderRecord.from_item(page.items[0]))
        if self.leader_from_store == self.node_name:
            self._leaders.clear_leader()
            self._release_own_stale_key()
            self._stop.wait(FOLLOW_RETRY_S)
            return
        feed = self._store.watch(self.leader_key, page.revision, WATCH_TIMEOUT_S)
        if feed is None:
            self._stop.wait(FOLLOW_RETRY_S)
        elif any(change.get("remove") for change in feed.changes):
            self._leaders.clear_leader()

    def _release_own_stale_key(self) -> None:
        """End the lease of a key that a failed attempt, or this node before a restart, left.

        The key may be another node's by now. Its lease was once ended here, and a second
        leader elected while the first one counted on it.
        """
        item = self._store.get(self.leader_key)
        if item is None or LeaderRecord.from_item(item).node_name != self.node_name:
            return
        if isinstance(item.lease, int):
            self._store.revoke_lease(item.lease)

    def _stand_for_free_key(self) -> bool:
        """Stand unless the key is left to other nodes; return whether there is a leader now."""
        now = self._now()
        if self._key_free_since is None:
            self._key_free_since = now
        if now - self._key_free_since < self._conditions.candidacy_delay_s():
            return False
        return self._campaign()

    def _campaign(self) -> bool:
        """Try to be elected; return whether there is a leader now, whoever it is."""
        extra_guards = self._conditions.extra_guards()
        if self._now() < self._candidate_after or extra_guards is None:
            return False
        return self._candidacy.attempt_election(extra_guards)

    def _begin_leading(self, won: WonElection) -> None:
        token = won.term.fencing_token
        self._lease_id = won.lease_id
        self._fenced.clear()
        self._renewal_failing.clear()
        self.lease.begin_term(token, won.lease_requested_at, self._operator.leader_lease_s)
        self._leaders.record_own_election(token)
        self._key_free_since = None
        log.info("election won shard=%d token=%d", self.shard, token)
        self._on_election_won(won.term)

    def _renew(self) -> None:
        if self._fenced.is_set():
            self._lose_leadership("handed_over" if self._handing_over.is_set() else "fenced")
            return
        sent_at = self._now()
        try:
            timeout_s = max(MIN_RENEWAL_TIMEOUT_S, self._operator.leader_lease_s / 2)
            self._store.renew_lease(self._lease_id, timeout_s)
        except LeaseExpiredError:
            self._lose_leadership("lease_expired")
            return
        except StoreError as error:
            if not self._renewal_failing.is_set():
                log.info(
                    "lease renewal failed, requesting votes of peers shard=%d error=%s",
                    self.shard,
                    error,
                )
            self._renewal_failing.set()
            self._stop.wait(STORE_RETRY_S)
            return
        self.lease.record_renewal(sent_at, self._operator.leader_lease_s)
        if self._renewal_failing.is_set():
            log.info("lease renewed again shard=%d", self.shard)
            self._renewal_failing.clear()
        self._fenced.wait(self._operator.renew_s)

    def _lose_leadership(self, reason: str) -> None:
        log.info("leadership lost shard=%d reason=%s", self.shard, reason)
        self.lease.end_term()
        self._leaders.clear_leader()
        self._fenced.clear()
        self._handing_over.clear()
        self._renewal_failing.clear()
        self._on_leadership_lost()
        self._store.revoke_lease(self._lease_id)
