"""A node's part in sharing: the map, who is to hold what, and calls between holders.

The map is a key of the state service. Only the first share's holder writes it,
guarded by its own key; every other holder is elected under one version of it and
guards that version with each write. So a holder that goes by an older map can
write nothing, and what it only *says* rests on what was durable under its map.

A change of the map is made in two steps, for machines are divided by when they
came: first it is marked as changing, from when on no other holder can write or be
elected; then the logs of all shares say which machines were in use, and whatever
is named later goes by the new epoch. A leader that falls between leaves the mark,
and the next one goes on from there.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import msgspec

from appleshift.contracts import events
from appleshift.contracts.actions import CallShard
from appleshift.leader_election.election import PEER_STATUS_VALID_S, LeaderTerm
from appleshift.leader_election.peer_monitor import PeerMonitor
from appleshift.node_limits.node_limits import NodeLimits
from appleshift.protocol import kv, peers
from appleshift.protocol.sharding import (
    MAP_KEY,
    SHARE_PATH,
    Epoch,
    MapValue,
    ShareCall,
    decode_answer,
    map_value,
)
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.shard_replica import Holding, House
from appleshift.sharding import shard_assigner
from appleshift.sharding.shard_assigner import Controller, Steward
from appleshift.sharding.shard_map import ShareMap, epoch
from appleshift.sharding.sharding import Sharing
from appleshift.state.cluster_state import ClusterState
from appleshift.storage.key_value_store import CompareFailedError, StoreError, recover
from appleshift.storage.records import LogReplayer
from appleshift.storage.write_ahead_log import shard_prefix
from appleshift.transport.client import ClientError
from appleshift.transport.concurrency import Pool

log = logging.getLogger(__name__)

CALLS = 4
CALL_S = 2.0
READ_GAP_S = 0.5
STEP_S = 0.25
CLOSED = 1.5
"""Machines heard for each place where connections are closed between reports."""
GATHERING_S = 5.0
"""After a start all siblings count as there: they may be a moment later."""


class Keeper:
    """One for each node that goes by a map of shares."""

    def __init__(
        self,
        house: House,
        holdings: Mapping[int, Holding],
        neighbours: PeerMonitor,
        grow: Callable[[Holding], None],
    ) -> None:
        self.house = house
        self.map: ShareMap | None = None
        self.version = 0
        self._holdings = holdings
        self._neighbours = neighbours
        self._grow = grow
        self._pool = Pool(house.routines, "share-call", CALLS)
        self._now = house.routines.now
        self._began = self._now()
        self._next_step = 0.0
        self._steward: Steward | None = None
        self._move: tuple[int, str] | None = None

    def start(self) -> None:
        self.house.routines.spawn("shares", self._read)

    def stop(self) -> None:
        self._pool.stop()

    # -- the map ---------------------------------------------------------------------

    def _read(self) -> None:
        """Learn of the map once there is one, and whenever a sibling has a newer."""
        while not self.house.stop.is_set():
            try:
                if self.map is None or self._neighbours.shard_map_version > self.version:
                    self._adopt(*self._look())
            except (StoreError, ProtocolError) as error:
                log.debug("map of shares: %s", error)
            self.house.stop.wait(READ_GAP_S)

    def _look(self) -> tuple[MapValue | None, int]:
        item = self.house.store.get(MAP_KEY)
        return (None, 0) if item is None else (map_value(item.value), item.version)

    def _adopt(self, value: MapValue | None, version: int) -> None:
        if value is None or version <= self.version:
            return
        known = ShareMap(value.epochs, value.changing, version)
        self.map, self.version = known, version
        for share in range(1, known.shares):
            if share not in self._holdings:
                self._grow(
                    Holding(
                        self.house,
                        share,
                        self._guards,
                        partial(self._hold_back, share),
                    )
                )

    def _guards(self) -> tuple[tuple[str, int], ...] | None:
        """Under which map a share other than the first may be held."""
        known, version = self.map, self.version
        return None if known is None or known.changing else ((MAP_KEY, version),)

    def sharing(self, term: LeaderTerm, replay: LogReplayer) -> Sharing | None:
        """What a share's new core has to do with the others; None with one share.

        Raises StoreError, ClientError or ProtocolError to be asked again, and
        TxnFailedError if the term is over.
        """
        if not term.shard:
            self._settle(term, replay)
        elif term.extra_guards != ((MAP_KEY, self.version),):
            # Elected under a map that is not in force: nothing could be written.
            raise CompareFailedError([MAP_KEY])
        if self.map is None:
            return None
        return Sharing(term.shard, self.map, self.house.settings.deployment.teams)

    def _settle(self, term: LeaderTerm, replay: LogReplayer) -> None:
        """The leader makes the map what the operators want it to be."""
        value, version = self._look()
        wanted = self.house.operator.shares
        if value is None and wanted <= 1:
            return
        last = Epoch(1) if value is None else value.epochs[-1]
        wanted = wanted or last.count
        if value is not None and not value.changing and wanted == last.count:
            leaving = {*last.plain} - {*last.homes}
            if not leaving or leaving & self._busy(replay, leaving):
                self._adopt(value, version)
                return
        kinds = replay.cluster.types or self.house.cloud.machine_types()
        cards = sorted(kind.name for kind in kinds if kind.gpus > 0)
        teams = self.house.settings.deployment.teams
        epochs: list[Epoch] = [] if value is None else value.epochs
        if value is not None:
            version = self._write(term, MapValue(epochs, changing=True), version)
        others = self._others(replay, ShareMap(epochs or [last]).shares)
        names = {name for cluster in others.values() for name in _names(cluster)}
        busy = {share for share, cluster in others.items() if cluster.jobs and share in last.plain}
        if value is None and (names or replay.cluster.jobs or replay.cluster.final_states):
            epochs = [last]
        new = epoch(wanted, max(names, default=""), cards, teams, busy)
        epochs = [*epochs, new]
        version = self._write(term, MapValue(epochs), version)
        log.info("map of shares, version %d: %s", version, msgspec.json.encode(epochs).decode())
        self._adopt(MapValue(epochs), version)

    def _write(self, term: LeaderTerm, value: MapValue, version: int) -> int:
        """Put the map in the place of that version; returns its own."""
        value = msgspec.structs.replace(value, mark=term.term_id)
        guards = [
            kv.guard(self._holdings[0].election.key, term.key_version),
            kv.guard(MAP_KEY, version),
        ]
        put = kv.put(MAP_KEY, msgspec.to_builtins(value))
        try:
            return self.house.store.compare_and_swap(guards, [put])
        except CompareFailedError:
            # An earlier copy whose answer was lost may have got through.
            found, version = self._look()
            if found == value:
                return version
            raise

    def _others(self, replay: LogReplayer, shares: int) -> dict[int, ClusterState]:
        """What the logs of all shares say; the first one's is recovered already."""
        deployment = self.house.settings.deployment
        found = {0: replay.cluster}
        for share in range(1, shares):
            other = LogReplayer(ClusterState(deployment.zones, deployment.teams))
            recover(self.house.store, other, shard_prefix(share))
            found[share] = other.cluster
        return found

    def _busy(self, replay: LogReplayer, shares: set[int]) -> set[int]:
        """Which of these shares have work."""
        cluster = self._others(replay, max(shares) + 1)
        return {share for share in shares if cluster[share].jobs}

    # -- who holds what ------------------------------------------------------------------

    def controllers(self, now: float) -> list[Controller]:
        """Who is there, this node included."""
        name = self.house.settings.name
        held = sum(holding.leadership.is_leader for holding in [*self._holdings.values()])
        found = [Controller(name, held, now - self._began)]
        for sibling in self.house.siblings:
            at, hello = self._neighbours.last_status.get(sibling, (float("-inf"), None))
            if hello is not None and now - at < PEER_STATUS_VALID_S and hello.shard_map_version:
                count = len(hello.held_shards) + hello.leading
                since = self._neighbours.reachable_since.get(sibling, now)
                found.append(Controller(sibling, count, now - since))
            elif now - self._began < GATHERING_S:
                found.append(Controller(sibling, 0, 0.0))
        return found

    def wanted(self, now: float) -> tuple[int, str] | None:
        """The move that the leader wants, as (share, node)."""
        if self._holdings[0].leadership.may_answer(now):
            return self._move
        best: tuple[int, peers.PeerStatus] | None = None
        for at, hello in list(self._neighbours.last_status.values()):
            if (
                hello.entitled
                and now - at < PEER_STATUS_VALID_S
                and (best is None or hello.fencing_token > best[0])
            ):
                best = (hello.fencing_token, hello)
        if best is None:
            return None
        return next(
            ((share, name) for share, name in enumerate(best[1].preferred_holders) if name), None
        )

    def _hold_back(self, share: int) -> float:
        """How long others go first in standing for a share that is free."""
        now = self._now()
        name = self.house.settings.name
        controllers = self.controllers(now)
        move = self.wanted(now)
        ahead = 0
        if move is not None and move[0] == share:
            if move[1] == name:
                return 0.0
            ahead = any(each.name == move[1] for each in controllers)
        # Who held it is gone, though what it said of itself is not old yet.
        former = self._holdings[share].election.last_holder
        there = [each for each in controllers if each.name == name or each.name != former]
        rank = shard_assigner.heirs(share, there).index(name)
        starting = now - self._began < GATHERING_S
        return (rank + ahead) * (shard_assigner.FIRST_RANK_S if starting else shard_assigner.RANK_S)

    def step(self, now: float) -> None:
        """Called by the cores' routine: ask for moves, or carry one out."""
        if now < self._next_step or self.map is None:
            return
        self._next_step = now + STEP_S
        if self._holdings[0].leadership.may_answer(now):
            if self._steward is None:
                self._steward = Steward(now)
            holders = {
                share: holding.election.current_leader()
                for share, holding in [*self._holdings.items()]
            }
            self._hear(len(holders))
            move = self._steward.step(now, holders, self.controllers(now))
            if move is not None and move != self._move:
                log.info("share %d is to move from %s to %s", move[0], holders[move[0]], move[1])
            self._move = move
        else:
            self._steward, self._move = None, None
        move = self.wanted(now)
        if move is not None and move[1] != self.house.settings.name:
            holding = self._holdings.get(move[0])
            there = any(each.name == move[1] for each in self.controllers(now))
            if holding is not None and holding.leadership.may_write(now) and there:
                holding.hand_over()

    def _hear(self, shares: int) -> None:
        """How many machines may be rented: so many that each node hears its part.

        Beyond its places a node closes connections between reports, so that the
        machines that report at the same time need one, not all that there are.
        """
        core = self._holdings[0].core
        if core is not None:
            limits = self.house.settings.deployment.machine_limits
            places = NodeLimits.from_machine_limits(limits, shared=True).machines
            nodes = min(len(self.house.siblings) + 1, shares)
            core.fleet.set_max_machines(int(places * nodes * CLOSED))

    def hello(self, hello: peers.PeerStatus, now: float) -> peers.PeerStatus:
        """What this node says of itself, with its shares."""
        shares = [
            peers.HeldShard(
                share, holding.leadership.fencing_token, holding.leadership.may_answer(now)
            )
            for share, holding in sorted([*self._holdings.items()])
            if share and holding.leadership.is_leader
        ]
        wanted: list[str] = []
        move = self._move
        if move is not None and hello.entitled:
            wanted = [""] * move[0] + [move[1]]
        return msgspec.structs.replace(
            hello, shares=shares, map_version=self.version, wanted=wanted
        )

    # -- calls between holders ---------------------------------------------------------------

    def call(self, effect: CallShard, term: Any) -> None:
        self._pool.submit(self._call, effect, term)

    def _call(self, effect: CallShard, term: Any) -> None:
        back = _Back(self.house.post, term, effect.shard)
        holding = self._holdings.get(effect.shard)
        holder = None if holding is None else holding.election.current_leader()
        if holder == self.house.settings.name:
            self.house.post(events.ShardRequestReceived(effect.shard, back, effect.message))
            return
        client = self.house.siblings.get(holder or "")
        answer = None
        try:
            if client is not None:
                body = encode(ShareCall(effect.shard, effect.message))
                status, raw = client.request("POST", SHARE_PATH, body, CALL_S)
                answer = decode_answer(raw) if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("call to share %d: %s", effect.shard, error)
        back.put((200 if answer is not None else 503, answer, 0))


def _names(cluster: ClusterState) -> set[str]:
    """Machines that were ever in use."""
    return {*cluster.machine_names.names, *cluster.deleted_machines}


class _Back:
    """Where an answer goes that nobody waits for: it becomes an event of the term."""

    def __init__(self, post: Callable[[events.Event], None], term: Any, share: int) -> None:
        self._post, self._term, self._share = post, term, share

    def put(self, answer: tuple[int, Any, int]) -> None:
        status, body, _ = answer
        self._post(
            events.ShardReplyReceived(self._term, self._share, body if status == 200 else None)
        )
