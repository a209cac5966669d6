"""The election duty: stand for leadership, keep the lease, collect pledges."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.protocol import kv, peers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.storage.key_value_store import (
    CompareFailedError,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
)
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)

LEADER_KEY = "leader"
FENCING_TOKEN_KEY = "token"
WATCH_TIMEOUT_S = 5.0
VOTE_INTERVAL_S = 0.5
IDLE_S = 10.0
"""Without trouble, what asks for pledges only looks whether it is to end."""
PEER_STATUS_VALID_S = 2.0
"""What a sibling said of itself holds for this long: a few of its rounds, and
longer than a crashed leader's key outlives it."""
STORE_CHECK_TIMEOUT_S = 0.4
RELAYED_FRACTION_VALID_S = 10.0
"""A share outlives the leader that named it for so long."""
HAND_OVER_PAUSE_S = 1.5
"""Who handed over leaves its successor this long to take over."""


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """An election won."""

    fencing_token: int
    key_version: int
    term_id: str
    shard: int = 0
    extra_guards: tuple[tuple[str, int], ...] = ()
    """Other keys, with their versions, on which it rests."""


def holder_key(shard: int) -> str:
    return f"share/{shard:04d}/holder" if shard else LEADER_KEY


def _leader_value(item: kv.Item) -> dict[str, Any]:
    """What a leader's key says; empty if nobody can read it."""
    return item.value if isinstance(item.value, dict) else {}


class LeaderElection:
    """One routine that stands and renews, and one for each sibling's pledge."""

    def __init__(
        self,
        name: str,
        store: KeyValueStore,
        peer_clients: dict[str, HttpCaller],
        lease: LeaderLease,
        operator: OperatorSettings,
        on_won: Callable[[LeaderTerm], None],
        on_lost: Callable[[], None],
        process_mark: str,
        runtime: Runtime,
        shard: int = 0,
        extra_guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple,
        candidacy_delay_s: Callable[[], float] = float,
        process_id: str = "",
    ) -> None:
        """``guards``: what else must hold for an election, None if it cannot;
        ``hold_back``: for how long others go first when the key is free; ``process``:
        tells this process from others of the same node."""
        self.name = name
        self.process_id = process_id
        self.shard = shard
        self.key = holder_key(shard)
        self._extra_guards = extra_guards
        self._candidacy_delay_s = candidacy_delay_s
        self._key_free_since: float | None = None
        # Who held it last, by the key.
        self.last_holder: str | None = None
        self.store = store
        self.peer_clients = peer_clients
        self.lease = lease
        self.operator = operator
        self.leader: str | None = None
        self._on_won = on_won
        self._on_lost = on_lost
        self._process_mark = process_mark
        # What siblings said of themselves: when, whether entitled, their token.
        self._peer_claims: dict[str, tuple[float, bool, int]] = {}
        # When a sibling said last that it relays, and what share a leader sends away.
        self._relays_seen_at: dict[str, float] = {}
        self._last_relayed_fraction = (float("-inf"), 0.0)
        self.relayed_fraction = 0.0
        self._handing_over = runtime.event()
        self._candidate_after = runtime.now()
        self._leader_since = runtime.now()
        self._leader_token = 0
        self._attempt = 0
        self._lease_id = 0
        self._unresolved_lease_id: int | None = None
        self._runtime = runtime
        self._now = runtime.now
        self._renewal_failing = runtime.event()
        self._stop = runtime.event()
        self._fenced = runtime.event()

    def start(self) -> None:
        suffix = f"-{self.shard}" if self.shard else ""
        self._runtime.spawn(f"election{suffix}", self._run)
        for peer in self.peer_clients:
            self._runtime.spawn(f"pledge-{peer}{suffix}", self._collect_votes, peer)

    def stop(self) -> None:
        """Give up leadership at once, so that another node need not wait."""
        self._stop.set()
        if self.lease.is_leader:
            self.lease.lost()
            self.store.revoke_lease(self._lease_id)

    def step_down(self) -> None:
        """A guarded write failed: somebody else leads, or nobody does."""
        self._fenced.set()

    # -- what others may ask ------------------------------------------------------

    def current_leader(self) -> str | None:
        """Who leads, by what siblings say of themselves, else by the leader key.

        A node that the state service alone refuses cannot read the key, and its
        watch stays silent; the siblings still tell it where to send users.
        """
        now = self._now()
        claims = [
            (token, name)
            for name, (at, entitled, token) in list(self._peer_claims.items())
            if entitled and now - at < PEER_STATUS_VALID_S
        ]
        leader = self.leader
        if leader is not None:
            # The key may say it first: what a leader that just crashed said of
            # itself must not hide its successor.
            claims.append((self._leader_token, leader))
        return max(claims)[1] if claims else None

    def can_serve_users(self) -> bool:
        """Can this node answer users, itself or by asking the leader?

        While nobody leads it can as well as any other. If somebody does and
        cannot be reached from here, users are better off at another node.
        """
        now = self._now()
        leader = self.current_leader()
        if leader is None or self.lease.may_answer(now) or leader == self.name:
            return True
        at = self._peer_claims.get(leader, (self._leader_since, False, 0))[0]
        return now - max(at, self._leader_since) < PEER_STATUS_VALID_S

    def can_relay(self) -> bool:
        """Does this node, which does not lead, reach the one that does?"""
        leader = self.current_leader()
        if leader is None or leader == self.name or self.lease.is_leader:
            return False
        now = self._now()
        if leader == self.leader and now - self._leader_since < PEER_STATUS_VALID_S:
            # Just elected, by the key: it is asked before it has said so itself.
            return True
        at, entitled, _ = self._peer_claims.get(leader, (float("-inf"), False, 0))
        return entitled and now - at < PEER_STATUS_VALID_S

    def relays(self) -> list[str]:
        """Nodes other than the leader that pass reports on to it, as far as is known."""
        now = self._now()
        leader = self.current_leader()
        found = [
            name
            for name, at in list(self._relays_seen_at.items())
            if now - at < PEER_STATUS_VALID_S and name != leader
        ]
        if self.can_relay():
            found.append(self.name)
        return sorted(found)

    def current_relayed_fraction(self) -> float:
        """The share of the machines that the leader sends to relays."""
        leader = self.current_leader()
        if leader == self.name or self.lease.is_leader:
            return self.relayed_fraction
        return self.recent_relayed_fraction()

    def recent_relayed_fraction(self) -> float:
        """What a leader sent away a moment ago. A takeover does not make the fleet
        smaller: if all of it turned to the new leader, most would find no place."""
        at, share = self._last_relayed_fraction
        return share if self._now() - at < RELAYED_FRACTION_VALID_S else 0.0

    def hand_over(self) -> None:
        """Leave the share to the node that is to hold it."""
        self._candidate_after = self._now() + HAND_OVER_PAUSE_S
        self._handing_over.set()
        self._fenced.set()

    def grant_vote(self, request: peers.LeaseVoteRequest) -> bool:
        """A leader asks for a promise not to stand; False: it does not get one."""
        if request.duration_s > 0 and self.store_answers():
            # Only the asker is refused: its lease runs out, and a node that can
            # write is to lead. A promise would keep everybody from it.
            return False
        return self.lease.grant_vote(
            request.leader,
            request.fencing_token,
            request.seq,
            request.duration_s,
            self._now(),
            request.process_id,
        )

    def store_answers(self) -> bool:
        """Does the state service answer this node right now?"""
        try:
            self.store.get(self.key, STORE_CHECK_TIMEOUT_S)
        except (StoreError, ProtocolError):
            return False
        return True

    # -- the election routine ----------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self.lease.is_leader:
                    self._renew()
                else:
                    self._follow()
            except StoreError as error:
                log.debug("state service: %s", error)
                if not self.lease.is_leader and self.leader is not None:
                    # What the key said may be over; siblings say what is.
                    self.leader = None
                self._stop.wait(0.2)
            except ProtocolError as error:
                log.error("unreadable record in the state service: %s", error.reason)
                self._stop.wait(1.0)

    def _follow(self) -> None:
        if self._unresolved_lease_id is not None:
            self._resolve_candidacy()
        # Read as a page, which says the service's revision. A watch from the
        # key's own is refused once enough other changes have followed: then
        # every follower of a long term asked as fast as its rate allowed.
        page = self.store.read_page(self.key, "", 1)
        if not page.items:
            self.leader = None
            now = self._now()
            if self._key_free_since is None:
                self._key_free_since = now
            if now - self._key_free_since < self._candidacy_delay_s() or not self._campaign():
                self._stop.wait(0.15)
            return
        self._key_free_since = None
        value = _leader_value(page.items[0])
        leader, token = str(value.get("name", "")), value.get("token")
        self._leader_token = token if isinstance(token, int) else 0
        self.last_holder = leader
        if leader != self.leader:
            self.leader, self._leader_since = leader, self._now()
        if self.leader == self.name:
            self.leader = None
            self._release_own_stale_key()
            self._stop.wait(0.1)
            return
        changes = self.store.watch(self.key, page.revision, WATCH_TIMEOUT_S)
        if changes is None:
            self._stop.wait(0.1)
        elif any(change.get("remove") for change in changes.changes):
            self.leader = None

    def _release_own_stale_key(self) -> None:
        """End the lease of a key that an attempt of ours, or this node before its restart, left.

        The key may be another node's by now. Its lease was once ended here, and a second
        leader elected while the first one counted on it.
        """
        item = self.store.get(self.key)
        if item is None or _leader_value(item).get("name") != self.name:
            return
        if isinstance(item.lease, int):
            self.store.revoke_lease(item.lease)

    def _resolve_candidacy(self) -> None:
        """An attempt without an answer may yet be applied, until its lease ends."""
        assert self._unresolved_lease_id is not None
        if self.store.revoke_lease(self._unresolved_lease_id):
            self._unresolved_lease_id = None
            self.lease.end_candidacy(resolved=True)

    def _campaign(self) -> bool:
        """Try to be elected; true if there is a leader now, whoever it is."""
        also = self._extra_guards()
        if self._now() < self._candidate_after or also is None:
            return False
        if self.lease.candidacy_unresolved() or not self.lease.begin_candidacy(self._now()):
            return False
        settled = True
        lease: int | None = None
        try:
            sent = self._now()
            lease = self.store.grant_lease(self.operator.leader_lease_s)
            item = self.store.get(FENCING_TOKEN_KEY)
            version = 0 if item is None else item.version
            token = 1 if item is None else int(item.value["token"]) + 1
            token = max(token, self.lease.highest_seen_token + 1)
            self._attempt += 1
            mark = f"{self._process_mark}.{self._attempt}"
            value = {"name": self.name, "token": token, "mark": mark}
            guards = [
                kv.guard(self.key, 0),
                kv.guard(FENCING_TOKEN_KEY, version),
                *(kv.guard(*each) for each in also),
            ]
            changes = [
                kv.put(self.key, value, lease),
                kv.put(FENCING_TOKEN_KEY, {"token": token}),
            ]
            settled = False
            try:
                revision = self.store.compare_and_swap(guards, changes)
            except (CompareFailedError, LeaseExpiredError) as error:
                settled = True
                log.debug("not elected: %s", error)
                # Somebody else was: see who, without a pause.
                lapsed = {key for key, _ in also}
                return isinstance(error, CompareFailedError) and not lapsed & {*error.failed}
            except StoreError as error:
                settled = error.refused
                raise
            self._lease_id = lease
            self._fenced.clear()
            self._renewal_failing.clear()
            self.lease.won(token, sent, self.operator.leader_lease_s)
            self.leader, self._leader_token = self.name, token
            settled = True
            self._key_free_since = None
            held = f" to share {self.shard}" if self.shard else ""
            log.info("elected%s with token %d", held, token)
            self._on_won(LeaderTerm(token, revision, mark, self.shard, also))
            return True
        finally:
            if not self.lease.is_leader:
                if not settled:
                    self._unresolved_lease_id = lease
                elif lease is not None:
                    self.store.revoke_lease(lease)
                self.lease.end_candidacy(settled)

    def _renew(self) -> None:
        if self._fenced.is_set():
            self._lose_leadership("handed over" if self._handing_over.is_set() else "deposed")
            return
        sent = self._now()
        try:
            timeout = max(0.3, self.operator.leader_lease_s / 2)
            self.store.renew_lease(self._lease_id, timeout)
        except LeaseExpiredError:
            self._lose_leadership("the lease ended")
            return
        except StoreError as error:
            if not self._renewal_failing.is_set():
                log.info("renewal failed, asking the siblings for pledges: %s", error)
            self._renewal_failing.set()
            self._stop.wait(0.2)
            return
        self.lease.renewed(sent, self.operator.leader_lease_s)
        if self._renewal_failing.is_set():
            log.info("renewed again")
            self._renewal_failing.clear()
        self._fenced.wait(self.operator.renew_s)

    def _lose_leadership(self, reason: str) -> None:
        held = f"share {self.shard}" if self.shard else "leadership"
        log.info("%s lost: %s", held, reason)
        self.lease.lost()
        self.leader = None
        self._fenced.clear()
        self._handing_over.clear()
        self._renewal_failing.clear()
        self._on_lost()
        self.store.revoke_lease(self._lease_id)

    # -- one routine for each sibling ------------------------------------------------

    def peer_restarted(self, peer: str, ended: str) -> None:
        """A sibling's process is another one: what the one before said of itself is over."""
        self.lease.process_ended(ended)
        self._peer_claims.pop(peer, None)
        self._relays_seen_at.pop(peer, None)

    def peer_status_received(
        self, peer: str, hello: peers.PeerStatus, held: peers.HeldShard | None
    ) -> None:
        """A sibling says what it holds, of this share (None: it does not)."""
        now = self._now()
        self.lease.peer_heard(peer, hello.process_id, now)
        self._peer_claims[peer] = (
            now,
            held is not None and held.entitled,
            0 if held is None else held.fencing_token,
        )
        if held is None:
            self.lease.peer_does_not_lead(peer)
        elif self.lease.is_leader and held.fencing_token > self.lease.fencing_token:
            # It could only be elected once our key was gone. Cut off from the state
            # service, a leader that was replaced once went on for 39 s.
            log.info(
                "%s was elected with token %d since: this term is over", peer, held.fencing_token
            )
            self.step_down()
        if self.shard:
            return
        if hello.entitled:
            self._last_relayed_fraction = (now, hello.relayed_fraction)
        if hello.is_relay:
            self._relays_seen_at[peer] = now
        else:
            self._relays_seen_at.pop(peer, None)

    def _collect_votes(self, peer: str) -> None:
        client = self.peer_clients[peer]
        seq = 0
        while not self._stop.is_set():
            if not self._renewal_failing.wait(IDLE_S):
                continue
            asked = False
            while self._renewal_failing.is_set() and self.lease.is_leader:
                sent = self._now()
                seq += 1
                process = self._request_vote(client, seq, self.operator.pledge_s)
                if process is not None:
                    asked = True
                    self.lease.record_vote(peer, sent, self._now(), process)
                self._stop.wait(VOTE_INTERVAL_S)
            if asked:
                # First stop counting on the promise, then give it back.
                self.lease.release_votes()
                seq += 1
                self._request_vote(client, seq, 0.0)

    def _request_vote(self, client: HttpCaller, seq: int, for_s: float) -> str | None:
        """Ask for a promise; which process gave it, None: none did."""
        token = self.lease.fencing_token
        request = peers.LeaseVoteRequest(self.name, token, seq, for_s, self.shard, self.process_id)
        try:
            status, body = client.request("POST", peers.LEASE_VOTE_PATH, encode(request), 1.0)
            return peers.decode_lease_vote(body).process_id if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("pledge: %s", error)
            return None
