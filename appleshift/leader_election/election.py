"""Leader election of one shard: watch the leader key, attempt election, renew the lease."""

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
"""Time after a hand-over during which this node is no candidate, so that another is elected."""
FOLLOW_RETRY_S = 0.1
CANDIDACY_RETRY_S = 0.15
STORE_RETRY_S = 0.2
UNREADABLE_RECORD_RETRY_S = 1.0


class LeaderElection:
    """Runs one thread that attempts election and renews the lease, and one per peer for votes."""

    def __init__(
        self,
        dependencies: ElectionDependencies,
        on_election_won: Callable[[LeaderTerm], None],
        on_leadership_lost: Callable[[], None],
        conditions: CandidacyConditions | None = None,
    ) -> None:
        """Call ``on_election_won`` and ``on_leadership_lost`` from the election's thread."""
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
        self._term_ending = runtime.event()
        self._no_candidacy_until = runtime.now()
        self._key_free_since: float | None = None
        self._lease_id = 0
        self._leader_tracker = LeaderTracker(dependencies)
        self._relay_tracker = RelayTracker(dependencies, self._leader_tracker)
        self._candidacy = Candidacy(dependencies, self._begin_leading)
        self._vote_collector = VoteCollector(dependencies, self._renewal_failing, self._stop)

    def start(self) -> None:
        """Start the election's threads."""
        name = self._dependencies.thread_name("election")
        self._dependencies.runtime.spawn(name, self._run)
        self._vote_collector.start()

    def stop(self) -> None:
        """Stop the threads and revoke the lease, so that another node can lead at once."""
        self._stop.set()
        if self.lease.is_leader:
            self.lease.end_term()
            self._store.revoke_lease(self._lease_id)

    def step_down(self) -> None:
        """End the term, e.g. after a guarded write failed: another node may lead."""
        self._term_ending.set()

    def hand_over(self) -> None:
        """End the term, and attempt no election for ``HAND_OVER_PAUSE_S``."""
        self._no_candidacy_until = self._now() + HAND_OVER_PAUSE_S
        self._handing_over.set()
        self._term_ending.set()

    # -- leader and relays ---------------------------------------------------

    @property
    def leader_from_store(self) -> str | None:
        """The node that the leader key names; None if the key is missing or unreadable."""
        return self._leader_tracker.leader_from_store

    @property
    def last_leader_from_store(self) -> str | None:
        """The last node that the leader key named."""
        return self._leader_tracker.last_leader_from_store

    def current_leader(self) -> str | None:
        """Return the leader by the claims of peers and the leader key; None if unknown."""
        return self._leader_tracker.current_leader()

    def can_serve_users(self) -> bool:
        """Return whether this node can answer users, itself or by forwarding to the leader."""
        return self._leader_tracker.can_serve_users()

    def can_relay(self) -> bool:
        """Return whether another node leads and this node can reach it."""
        return self._leader_tracker.can_relay()

    def relays(self) -> list[str]:
        """Return the nodes known to relay heartbeats to the leader, without the leader."""
        return self._relay_tracker.relays()

    @property
    def relayed_fraction(self) -> float:
        """Fraction of the machines that this node, as leader, redirects to relays."""
        return self._relay_tracker.relayed_fraction

    @relayed_fraction.setter
    def relayed_fraction(self, fraction: float) -> None:
        self._relay_tracker.relayed_fraction = fraction

    def current_relayed_fraction(self) -> float:
        """Return the fraction of the machines that the leader redirects to relays."""
        return self._relay_tracker.current_relayed_fraction()

    def recent_relayed_fraction(self) -> float:
        """Return the fraction that a leader recently redirected to relays; 0.0 if none did."""
        return self._relay_tracker.recent_relayed_fraction()

    # -- requests and statuses of peers ---------------------------------------------

    def grant_vote(self, request: peers.LeaseVoteRequest) -> bool:
        """Grant a leader a vote not to be a candidate for a while; return False if refused."""
        if request.duration_s > 0 and self.is_store_reachable():
            # The store answers this node but not the leader. The leader's lease must expire so
            # that a node that can write is elected; a vote would prevent any election.
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
        """Return whether the key-value store answers a read by this node right now."""
        try:
            self._store.get(self.leader_key, STORE_CHECK_TIMEOUT_S)
        except (StoreError, ProtocolError):
            return False
        return True

    def peer_restarted(self, peer: str, ended_process_id: str) -> None:
        """Discard the statuses of a peer's ended process, and void the vote granted to it."""
        self.lease.record_process_ended(ended_process_id)
        self._leader_tracker.forget_peer(peer)
        self._relay_tracker.forget_peer(peer)

    def peer_status_received(
        self, peer: str, status: peers.PeerStatus, held: peers.HeldShard | None
    ) -> None:
        """Record a peer's status; ``held`` is its claim to this shard, None if it does not lead."""
        now = self._now()
        self.lease.record_peer_process(peer, status.process_id, now)
        entitled = held is not None and held.entitled
        token = 0 if held is None else held.fencing_token
        self._leader_tracker.record_claim(peer, PeerClaim(now, entitled, token))
        if held is None:
            self.lease.record_peer_not_leading(peer)
        elif self.lease.is_leader and token > self.lease.fencing_token:
            # The peer can only have been elected after this node's leader key was removed. A
            # replaced leader without the key-value store once stayed leader for 39 s.
            log.info("leadership superseded shard=%d leader=%s token=%d", self.shard, peer, token)
            self.step_down()
        if not self.shard:
            self._relay_tracker.record_status(peer, status, now)

    # -- the election's thread -----------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self.lease.is_leader:
                    self._renew()
                else:
                    self._follow_leader_key()
            except StoreError as error:
                log.debug("store call failed shard=%d error=%s", self.shard, error)
                if not self.lease.is_leader and self.leader_from_store is not None:
                    # The key may have changed since it was read; statuses of peers are newer.
                    self._leader_tracker.clear_leader()
                self._stop.wait(STORE_RETRY_S)
            except ProtocolError as error:
                self._log_unreadable_record(error)
                self._stop.wait(UNREADABLE_RECORD_RETRY_S)

    def _log_unreadable_record(self, error: ProtocolError) -> None:
        # No stack trace: it does not help with a record that another version wrote.
        log.error("unreadable record in the store shard=%d reason=%s", self.shard, error.reason)

    def _follow_leader_key(self) -> None:
        """Read the leader key; attempt election while it is free, else wait until it changes."""
        self._candidacy.revoke_unresolved_lease()
        # Read as a page, since a page contains the store's revision. The store refuses a watch
        # from the key's own revision once enough other changes have followed; in a long term
        # every follower then repeated the request as fast as its rate limit allowed.
        page = self._store.read_page(self.leader_key, "", 1)
        if not page.items:
            self._leader_tracker.clear_leader()
            if not self._attempt_election_after_delay():
                self._stop.wait(CANDIDACY_RETRY_S)
            return
        self._key_free_since = None
        self._leader_tracker.record_leader_key(LeaderRecord.from_item(page.items[0]))
        if self.leader_from_store == self.node_name:
            self._leader_tracker.clear_leader()
            self._release_own_stale_key()
            self._stop.wait(FOLLOW_RETRY_S)
            return
        feed = self._store.watch(self.leader_key, page.revision, WATCH_TIMEOUT_S)
        if feed is None:
            self._stop.wait(FOLLOW_RETRY_S)
        elif any(change.get("remove") for change in feed.changes):
            self._leader_tracker.clear_leader()

    def _release_own_stale_key(self) -> None:
        """Revoke the lease of a leader key left by a failed attempt or an earlier process.

        The key is read again, as it may belong to another node by now. Without that, the lease
        of a valid leader was once revoked here and a second leader was elected.
        """
        item = self._store.get(self.leader_key)
        if item is None or LeaderRecord.from_item(item).node_name != self.node_name:
            return
        if isinstance(item.lease, int):
            self._store.revoke_lease(item.lease)

    def _attempt_election_after_delay(self) -> bool:
        """Attempt election after the candidacy delay; return whether there is a leader now."""
        now = self._now()
        if self._key_free_since is None:
            self._key_free_since = now
        if now - self._key_free_since < self._conditions.candidacy_delay_s():
            return False
        return self._attempt_election()

    def _attempt_election(self) -> bool:
        """Attempt election if the conditions allow it; return whether any node leads now."""
        extra_guards = self._conditions.extra_guards()
        if self._now() < self._no_candidacy_until or extra_guards is None:
            return False
        return self._candidacy.attempt_election(extra_guards)

    def _begin_leading(self, won: WonElection) -> None:
        token = won.term.fencing_token
        self._lease_id = won.lease_id
        self._term_ending.clear()
        self._renewal_failing.clear()
        self.lease.begin_term(token, won.lease_requested_at, self._operator.leader_lease_s)
        self._leader_tracker.record_own_election(token)
        self._key_free_since = None
        log.info("election won shard=%d token=%d", self.shard, token)
        self._on_election_won(won.term)

    def _renew(self) -> None:
        if self._term_ending.is_set():
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
        self._term_ending.wait(self._operator.renew_s)

    def _lose_leadership(self, reason: str) -> None:
        log.info("leadership lost shard=%d reason=%s", self.shard, reason)
        self.lease.end_term()
        self._leader_tracker.clear_leader()
        self._term_ending.clear()
        self._handing_over.clear()
        self._renewal_failing.clear()
        self._on_leadership_lost()
        self._store.revoke_lease(self._lease_id)
