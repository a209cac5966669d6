"""The election duty: stand for leadership, keep the lease, collect pledges."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.leader_election.leader_lease import Leadership
from appleshift.protocol import kv, peers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.storage.key_value_store import (
    CompareFailedError,
    KeyValueStore,
    LeaseExpiredError,
    StoreError,
)
from appleshift.transport.client import Caller, ClientError
from appleshift.transport.concurrency import Routines

log = logging.getLogger(__name__)

LEADER_KEY = "leader"
TOKEN_KEY = "token"
WATCH_S = 5.0
PLEDGE_GAP_S = 0.5
IDLE_S = 10.0
"""Without trouble, what asks for pledges only looks whether it is to end."""
HEARD_S = 2.0
"""What a sibling said of itself holds for this long: a few of its rounds, and
longer than a crashed leader's key outlives it."""
CHECK_S = 0.4
KEPT_S = 10.0
"""A share outlives the leader that named it for so long."""
HANDED_S = 1.5
"""Who handed over leaves its successor this long to take over."""


@dataclass(frozen=True, slots=True)
class Term:
    """An election won."""

    token: int
    version: int
    mark: str
    share: int = 0
    also: tuple[tuple[str, int], ...] = ()
    """Other keys, with their versions, on which it rests."""


def holder_key(share: int) -> str:
    return f"share/{share:04d}/holder" if share else LEADER_KEY


def _named(item: kv.Item) -> dict[str, Any]:
    """What a leader's key says; empty if nobody can read it."""
    return item.value if isinstance(item.value, dict) else {}


class Election:
    """One routine that stands and renews, and one for each sibling's pledge."""

    def __init__(
        self,
        name: str,
        store: KeyValueStore,
        siblings: dict[str, Caller],
        leadership: Leadership,
        operator: OperatorSettings,
        on_won: Callable[[Term], None],
        on_lost: Callable[[], None],
        mark: str,
        routines: Routines,
        share: int = 0,
        guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple,
        hold_back: Callable[[], float] = float,
        process: str = "",
    ) -> None:
        """``guards``: what else must hold for an election, None if it cannot;
        ``hold_back``: for how long others go first when the key is free; ``process``:
        tells this process from others of the same node."""
        self.name = name
        self.process = process
        self.share = share
        self.key = holder_key(share)
        self._guards = guards
        self._hold_back = hold_back
        self._free_since: float | None = None
        # Who held it last, by the key.
        self.former: str | None = None
        self.store = store
        self.siblings = siblings
        self.leadership = leadership
        self.operator = operator
        self.leader: str | None = None
        self._on_won = on_won
        self._on_lost = on_lost
        self._mark = mark
        # What siblings said of themselves: when, whether entitled, their token.
        self._heard: dict[str, tuple[float, bool, int]] = {}
        # When a sibling said last that it relays, and what share a leader sends away.
        self._relays: dict[str, float] = {}
        self._last_share = (float("-inf"), 0.0)
        self.share_sent = 0.0
        self._handed = routines.flag()
        self._stand_after = routines.now()
        self._leader_since = routines.now()
        self._leader_token = 0
        self._attempt = 0
        self._lease = 0
        self._stale_lease: int | None = None
        self._routines = routines
        self._now = routines.now
        self._trouble = routines.flag()
        self._stop = routines.flag()
        self._deposed = routines.flag()

    def start(self) -> None:
        suffix = f"-{self.share}" if self.share else ""
        self._routines.spawn(f"election{suffix}", self._run)
        for sibling in self.siblings:
            self._routines.spawn(f"pledge-{sibling}{suffix}", self._pledges, sibling)

    def stop(self) -> None:
        """Give up leadership at once, so that another node need not wait."""
        self._stop.set()
        if self.leadership.leading:
            self.leadership.lost()
            self.store.revoke_lease(self._lease)

    def depose(self) -> None:
        """A guarded write failed: somebody else leads, or nobody does."""
        self._deposed.set()

    # -- what others may ask ------------------------------------------------------

    def current_leader(self) -> str | None:
        """Who leads, by what siblings say of themselves, else by the leader key.

        A node that the state service alone refuses cannot read the key, and its
        watch stays silent; the siblings still tell it where to send users.
        """
        now = self._now()
        claims = [
            (token, name)
            for name, (at, entitled, token) in list(self._heard.items())
            if entitled and now - at < HEARD_S
        ]
        leader = self.leader
        if leader is not None:
            # The key may say it first: what a leader that just crashed said of
            # itself must not hide its successor.
            claims.append((self._leader_token, leader))
        return max(claims)[1] if claims else None

    def serves(self) -> bool:
        """Can this node answer users, itself or by asking the leader?

        While nobody leads it can as well as any other. If somebody does and
        cannot be reached from here, users are better off at another node.
        """
        now = self._now()
        leader = self.current_leader()
        if leader is None or self.leadership.may_answer(now) or leader == self.name:
            return True
        at = self._heard.get(leader, (self._leader_since, False, 0))[0]
        return now - max(at, self._leader_since) < HEARD_S

    def can_relay(self) -> bool:
        """Does this node, which does not lead, reach the one that does?"""
        leader = self.current_leader()
        if leader is None or leader == self.name or self.leadership.leading:
            return False
        now = self._now()
        if leader == self.leader and now - self._leader_since < HEARD_S:
            # Just elected, by the key: it is asked before it has said so itself.
            return True
        at, entitled, _ = self._heard.get(leader, (float("-inf"), False, 0))
        return entitled and now - at < HEARD_S

    def relays(self) -> list[str]:
        """Nodes other than the leader that pass reports on to it, as far as is known."""
        now = self._now()
        leader = self.current_leader()
        found = [
            name for name, at in list(self._relays.items()) if now - at < HEARD_S and name != leader
        ]
        if self.can_relay():
            found.append(self.name)
        return sorted(found)

    def sent_away(self) -> float:
        """The share of the machines that the leader sends to relays."""
        leader = self.current_leader()
        if leader == self.name or self.leadership.leading:
            return self.share_sent
        return self.last_share()

    def last_share(self) -> float:
        """What a leader sent away a moment ago. A takeover does not make the fleet
        smaller: if all of it turned to the new leader, most would find no place."""
        at, share = self._last_share
        return share if self._now() - at < KEPT_S else 0.0

    def hand_over(self) -> None:
        """Leave the share to the node that is to hold it."""
        self._stand_after = self._now() + HANDED_S
        self._handed.set()
        self._deposed.set()

    def pledge(self, request: peers.LeaseVoteRequest) -> bool:
        """A leader asks for a promise not to stand; False: it does not get one."""
        if request.duration_s > 0 and self.state_answers():
            # Only the asker is refused: its lease runs out, and a node that can
            # write is to lead. A promise would keep everybody from it.
            return False
        return self.leadership.give_pledge(
            request.leader,
            request.fencing_token,
            request.seq,
            request.duration_s,
            self._now(),
            request.process_id,
        )

    def state_answers(self) -> bool:
        """Does the state service answer this node right now?"""
        try:
            self.store.get(self.key, CHECK_S)
        except (StoreError, ProtocolError):
            return False
        return True

    # -- the election routine ----------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self.leadership.leading:
                    self._renew()
                else:
                    self._follow()
            except StoreError as error:
                log.debug("state service: %s", error)
                if not self.leadership.leading and self.leader is not None:
                    # What the key said may be over; siblings say what is.
                    self.leader = None
                self._stop.wait(0.2)
            except ProtocolError as error:
                log.error("unreadable record in the state service: %s", error.reason)
                self._stop.wait(1.0)

    def _follow(self) -> None:
        if self._stale_lease is not None:
            self._settle()
        # Read as a page, which says the service's revision. A watch from the
        # key's own is refused once enough other changes have followed: then
        # every follower of a long term asked as fast as its rate allowed.
        page = self.store.read_page(self.key, "", 1)
        if not page.items:
            self.leader = None
            now = self._now()
            if self._free_since is None:
                self._free_since = now
            if now - self._free_since < self._hold_back() or not self._stand():
                self._stop.wait(0.15)
            return
        self._free_since = None
        value = _named(page.items[0])
        leader, token = str(value.get("name", "")), value.get("token")
        self._leader_token = token if isinstance(token, int) else 0
        self.former = leader
        if leader != self.leader:
            self.leader, self._leader_since = leader, self._now()
        if self.leader == self.name:
            self.leader = None
            self._drop_left_key()
            self._stop.wait(0.1)
            return
        changes = self.store.watch(self.key, page.revision, WATCH_S)
        if changes is None:
            self._stop.wait(0.1)
        elif any(change.get("remove") for change in changes.news):
            self.leader = None

    def _drop_left_key(self) -> None:
        """End the lease of a key that an attempt of ours, or this node before its restart, left.

        The key may be another node's by now. Its lease was once ended here, and a second
        leader elected while the first one counted on it.
        """
        item = self.store.get(self.key)
        if item is None or _named(item).get("name") != self.name:
            return
        if isinstance(item.lease, int):
            self.store.revoke_lease(item.lease)

    def _settle(self) -> None:
        """An attempt without an answer may yet be applied, until its lease ends."""
        assert self._stale_lease is not None
        if self.store.revoke_lease(self._stale_lease):
            self._stale_lease = None
            self.leadership.end_standing(settled=True)

    def _stand(self) -> bool:
        """Try to be elected; true if there is a leader now, whoever it is."""
        also = self._guards()
        if self._now() < self._stand_after or also is None:
            return False
        if self.leadership.unsettled() or not self.leadership.begin_standing(self._now()):
            return False
        settled = True
        lease: int | None = None
        try:
            sent = self._now()
            lease = self.store.grant_lease(self.operator.leader_lease_s)
            item = self.store.get(TOKEN_KEY)
            version = 0 if item is None else item.version
            token = 1 if item is None else int(item.value["token"]) + 1
            token = max(token, self.leadership.seen_token + 1)
            self._attempt += 1
            mark = f"{self._mark}.{self._attempt}"
            value = {"name": self.name, "token": token, "mark": mark}
            guards = [
                kv.guard(self.key, 0),
                kv.guard(TOKEN_KEY, version),
                *(kv.guard(*each) for each in also),
            ]
            changes = [
                kv.put(self.key, value, lease),
                kv.put(TOKEN_KEY, {"token": token}),
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
            self._lease = lease
            self._deposed.clear()
            self._trouble.clear()
            self.leadership.won(token, sent, self.operator.leader_lease_s)
            self.leader, self._leader_token = self.name, token
            settled = True
            self._free_since = None
            held = f" to share {self.share}" if self.share else ""
            log.info("elected%s with token %d", held, token)
            self._on_won(Term(token, revision, mark, self.share, also))
            return True
        finally:
            if not self.leadership.leading:
                if not settled:
                    self._stale_lease = lease
                elif lease is not None:
                    self.store.revoke_lease(lease)
                self.leadership.end_standing(settled)

    def _renew(self) -> None:
        if self._deposed.is_set():
            self._lose("handed over" if self._handed.is_set() else "deposed")
            return
        sent = self._now()
        try:
            timeout = max(0.3, self.operator.leader_lease_s / 2)
            self.store.renew_lease(self._lease, timeout)
        except LeaseExpiredError:
            self._lose("the lease ended")
            return
        except StoreError as error:
            if not self._trouble.is_set():
                log.info("renewal failed, asking the siblings for pledges: %s", error)
            self._trouble.set()
            self._stop.wait(0.2)
            return
        self.leadership.renewed(sent, self.operator.leader_lease_s)
        if self._trouble.is_set():
            log.info("renewed again")
            self._trouble.clear()
        self._deposed.wait(self.operator.renew_s)

    def _lose(self, reason: str) -> None:
        held = f"share {self.share}" if self.share else "leadership"
        log.info("%s lost: %s", held, reason)
        self.leadership.lost()
        self.leader = None
        self._deposed.clear()
        self._handed.clear()
        self._trouble.clear()
        self._on_lost()
        self.store.revoke_lease(self._lease)

    # -- one routine for each sibling ------------------------------------------------

    def restarted(self, sibling: str, ended: str) -> None:
        """A sibling's process is another one: what the one before said of itself is over."""
        self.leadership.process_ended(ended)
        self._heard.pop(sibling, None)
        self._relays.pop(sibling, None)

    def told(self, sibling: str, hello: peers.PeerStatus, held: peers.HeldShard | None) -> None:
        """A sibling says what it holds, of this share (None: it does not)."""
        now = self._now()
        self.leadership.heard(sibling, hello.process_id, now)
        self._heard[sibling] = (
            now,
            held is not None and held.entitled,
            0 if held is None else held.fencing_token,
        )
        if held is None:
            self.leadership.sibling_cleared(sibling)
        elif self.leadership.leading and held.fencing_token > self.leadership.token:
            # It could only be elected once our key was gone. Cut off from the state
            # service, a leader that was replaced once went on for 39 s.
            log.info(
                "%s was elected with token %d since: this term is over", sibling, held.fencing_token
            )
            self.depose()
        if self.share:
            return
        if hello.entitled:
            self._last_share = (now, hello.relayed_fraction)
        if hello.is_relay:
            self._relays[sibling] = now
        else:
            self._relays.pop(sibling, None)

    def _pledges(self, sibling: str) -> None:
        client = self.siblings[sibling]
        seq = 0
        while not self._stop.is_set():
            if not self._trouble.wait(IDLE_S):
                continue
            asked = False
            while self._trouble.is_set() and self.leadership.leading:
                sent = self._now()
                seq += 1
                process = self._ask(client, seq, self.operator.pledge_s)
                if process is not None:
                    asked = True
                    self.leadership.pledged_by(sibling, sent, self._now(), process)
                self._stop.wait(PLEDGE_GAP_S)
            if asked:
                # First stop counting on the promise, then give it back.
                self.leadership.release_pledges()
                seq += 1
                self._ask(client, seq, 0.0)

    def _ask(self, client: Caller, seq: int, for_s: float) -> str | None:
        """Ask for a promise; which process gave it, None: none did."""
        token = self.leadership.token
        request = peers.LeaseVoteRequest(self.name, token, seq, for_s, self.share, self.process)
        try:
            status, body = client.request("POST", peers.LEASE_VOTE_PATH, encode(request), 1.0)
            return peers.decode_lease_vote(body).process_id if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("pledge: %s", error)
            return None
