"""A node's part in sharing: the map, who is to hold what, and calls between holders.

The map is a key of the key-value store. Only the first shard's holder writes it,
guarded by its own key; every other holder is elected under one version of it and
guards that version with each write. So a holder that goes by an older map can
write nothing, and what it only *says* rests on what was durable under its map.

A change of the map is made in two steps, for machines are divided by when they
came: first it is marked as changing, from when on no other holder can write or be
elected; then the logs of all shards say which machines were in use, and whatever
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
from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.leader_election.leader_tracker import PEER_STATUS_VALID_S
from appleshift.leader_election.peer_monitor import PeerMonitor
from appleshift.node_context import NodeContext
from appleshift.node_limits.node_limits import NodeLimits
from appleshift.protocol import kv, peers
from appleshift.protocol.sharding import (
    SHARD_CALL_PATH,
    SHARD_MAP_KEY,
    ShardCall,
    ShardMapEpoch,
    ShardMapValue,
    decode_answer,
    decode_shard_map,
)
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.shard_replica import ShardReplica
from appleshift.sharding import shard_assigner
from appleshift.sharding.shard_assigner import ControllerLoad, ShardAssigner
from appleshift.sharding.shard_map import ShardMap, new_epoch
from appleshift.sharding.sharding import Sharding
from appleshift.state.cluster_state import ClusterState
from appleshift.storage.key_value_store import CompareFailedError, StoreError
from appleshift.storage.keys import shard_prefix
from appleshift.storage.records import LogReplayer
from appleshift.storage.recovery import recover
from appleshift.transport.client import ClientError
from appleshift.transport.thread_pool import ThreadPool

log = logging.getLogger(__name__)

CALLS = 4
CALL_S = 2.0
READ_GAP_S = 0.5
STEP_S = 0.25
CLOSED = 1.5
"""Machines heard for each place where connections are closed between reports."""
GATHERING_S = 5.0
"""After a start all peers count as there: they may be a moment later."""


class ShardMapFollower:
    """One for each node that goes by a shard map."""

    def __init__(
        self,
        context: NodeContext,
        replicas: Mapping[int, ShardReplica],
        peer_monitor: PeerMonitor,
        add_replica: Callable[[ShardReplica], None],
    ) -> None:
        """``add_replica`` is called with the replica of each shard that appears in the map."""
        self.context = context
        self.shard_map: ShardMap | None = None
        self.version = 0
        self._replicas = replicas
        self._peer_monitor = peer_monitor
        self._add_replica = add_replica
        self._pool = ThreadPool(context.runtime, "share-call", CALLS)
        self._now = context.runtime.now
        self._began = self._now()
        self._next_step = 0.0
        self._assigner: ShardAssigner | None = None
        self._move: tuple[int, str] | None = None

    def start(self) -> None:
        """Start the thread that follows the shard map."""
        self.context.runtime.spawn("shares", self._follow_map)

    def stop(self) -> None:
        """Stop calls to other shards; the map's thread ends with the node."""
        self._pool.stop()

    # -- the map ---------------------------------------------------------------------

    def _follow_map(self) -> None:
        """Learn of the map once there is one, and whenever a peer has a newer."""
        while not self.context.stop.is_set():
            try:
                if (
                    self.shard_map is None
                    or self._peer_monitor.newest_shard_map_version > self.version
                ):
                    self._install_map(*self._read_map())
            except (StoreError, ProtocolError) as error:
                log.debug("reading the shard map failed error=%s", error)
            self.context.stop.wait(READ_GAP_S)

    def _read_map(self) -> tuple[ShardMapValue | None, int]:
        item = self.context.store.get(SHARD_MAP_KEY)
        return (None, 0) if item is None else (decode_shard_map(item.value), item.version)

    def _install_map(self, value: ShardMapValue | None, version: int) -> None:
        if value is None or version <= self.version:
            return
        known = ShardMap(value.epochs, value.changing, version)
        self.shard_map, self.version = known, version
        for shard in range(1, known.shard_count):
            if shard not in self._replicas:
                self._add_replica(
                    ShardReplica(
                        self.context,
                        shard,
                        self._guards,
                        partial(self._candidacy_delay_s, shard),
                    )
                )

    def _guards(self) -> tuple[tuple[str, int], ...] | None:
        """Under which map a shard other than the first may be held."""
        known, version = self.shard_map, self.version
        return None if known is None or known.changing else ((SHARD_MAP_KEY, version),)

    def sharding_for(self, term: LeaderTerm, replayer: LogReplayer) -> Sharding | None:
        """What a shard's new core has to do with the others; None with one shard.

        Raises StoreError, ClientError or ProtocolError to be asked again, and
        TxnFailedError if the term is over.
        """
        if not term.shard:
            self._update_map(term, replayer)
        elif term.extra_guards != ((SHARD_MAP_KEY, self.version),):
            # Elected under a map that is not in force: nothing could be written.
            raise CompareFailedError([SHARD_MAP_KEY])
        if self.shard_map is None:
            return None
        return Sharding(term.shard, self.shard_map, self.context.settings.deployment.teams)

    def _update_map(self, term: LeaderTerm, replayer: LogReplayer) -> None:
        """The leader makes the map what the operators want it to be."""
        value, version = self._read_map()
        wanted = self.context.operator.shares
        if value is None and wanted <= 1:
            return
        last = ShardMapEpoch(1) if value is None else value.epochs[-1]
        wanted = wanted or last.count
        if value is not None and not value.changing and wanted == last.count:
            leaving = {*last.plain} - {*last.homes}
            if not leaving or leaving & self._shards_with_work(replayer, leaving):
                self._install_map(value, version)
                return
        kinds = replayer.cluster.types or self.context.cloud_calls.machine_types()
        cards = sorted(kind.name for kind in kinds if kind.gpus > 0)
        teams = self.context.settings.deployment.teams
        epochs: list[ShardMapEpoch] = [] if value is None else value.epochs
        if value is not None:
            version = self._write_map(term, ShardMapValue(epochs, changing=True), version)
        others = self._recovered_shards(replayer, ShardMap(epochs or [last]).shard_count)
        names = {name for cluster in others.values() for name in _machine_names(cluster)}
        busy = {shard for shard, cluster in others.items() if cluster.jobs and shard in last.plain}
        if value is None and (names or replayer.cluster.jobs or replayer.cluster.final_states):
            epochs = [last]
        new = new_epoch(wanted, max(names, default=""), cards, teams, busy)
        epochs = [*epochs, new]
        version = self._write_map(term, ShardMapValue(epochs), version)
        log.info(
            "shard map installed version=%d epochs=%s",
            version,
            msgspec.json.encode(epochs).decode(),
        )
        self._install_map(ShardMapValue(epochs), version)

    def _write_map(self, term: LeaderTerm, value: ShardMapValue, version: int) -> int:
        """Put the map in the place of that version; returns its own."""
        value = msgspec.structs.replace(value, mark=term.term_id)
        guards = [
            kv.guard(self._replicas[0].election.leader_key, term.leader_key_version),
            kv.guard(SHARD_MAP_KEY, version),
        ]
        put = kv.put(SHARD_MAP_KEY, msgspec.to_builtins(value))
        try:
            return self.context.store.compare_and_swap(guards, [put])
        except CompareFailedError:
            # An earlier copy whose answer was lost may have got through.
            found, version = self._read_map()
            if found == value:
                return version
            raise

    def _recovered_shards(self, replayer: LogReplayer, shares: int) -> dict[int, ClusterState]:
        """What the logs of all shards say; the first one's is recovered already."""
        deployment = self.context.settings.deployment
        found = {0: replayer.cluster}
        for shard in range(1, shares):
            other = LogReplayer(ClusterState(deployment.zones, deployment.teams))
            recover(self.context.store, other, shard_prefix(shard))
            found[shard] = other.cluster
        return found

    def _shards_with_work(self, replayer: LogReplayer, shares: set[int]) -> set[int]:
        """Which of these shards have work."""
        cluster = self._recovered_shards(replayer, max(shares) + 1)
        return {shard for shard in shares if cluster[shard].jobs}

    # -- who holds what ------------------------------------------------------------------

    def controllers(self, now: float) -> list[ControllerLoad]:
        """Who is there, this node included."""
        name = self.context.settings.name
        held = sum(replica.lease.is_leader for replica in [*self._replicas.values()])
        found = [ControllerLoad(name, held, now - self._began)]
        for peer in self.context.peer_clients:
            at, status = self._peer_monitor.last_statuses.get(peer, (float("-inf"), None))
            if status is not None and now - at < PEER_STATUS_VALID_S and status.shard_map_version:
                count = len(status.held_shards) + status.leading
                since = self._peer_monitor.reachable_since.get(peer, now)
                found.append(ControllerLoad(peer, count, now - since))
            elif now - self._began < GATHERING_S:
                found.append(ControllerLoad(peer, 0, 0.0))
        return found

    def wanted_move(self, now: float) -> tuple[int, str] | None:
        """The move that the leader wants, as (share, node)."""
        if self._replicas[0].lease.may_answer(now):
            return self._move
        best: tuple[int, peers.PeerStatus] | None = None
        for at, status in list(self._peer_monitor.last_statuses.values()):
            if (
                status.entitled
                and now - at < PEER_STATUS_VALID_S
                and (best is None or status.fencing_token > best[0])
            ):
                best = (status.fencing_token, status)
        if best is None:
            return None
        return next(
            ((shard, name) for shard, name in enumerate(best[1].preferred_leaders) if name), None
        )

    def _candidacy_delay_s(self, shard: int) -> float:
        """How long others go first in standing for a shard that is free."""
        now = self._now()
        name = self.context.settings.name
        controllers = self.controllers(now)
        move = self.wanted_move(now)
        ahead = 0
        if move is not None and move[0] == shard:
            if move[1] == name:
                return 0.0
            ahead = any(each.name == move[1] for each in controllers)
        # Who held it is gone, though what it said of itself is not old yet.
        former = self._replicas[shard].election.last_leader_from_store
        there = [each for each in controllers if each.name == name or each.name != former]
        rank = shard_assigner.candidates(shard, there).index(name)
        starting = now - self._began < GATHERING_S
        return (rank + ahead) * (
            shard_assigner.STARTUP_CANDIDACY_STEP_S if starting else shard_assigner.CANDIDACY_STEP_S
        )

    def step(self, now: float) -> None:
        """Called by the cores' thread: ask for moves, or carry one out."""
        if now < self._next_step or self.shard_map is None:
            return
        self._next_step = now + STEP_S
        if self._replicas[0].lease.may_answer(now):
            if self._assigner is None:
                self._assigner = ShardAssigner(now)
            holders = {
                shard: replica.election.current_leader()
                for shard, replica in [*self._replicas.items()]
            }
            self._set_max_machines(len(holders))
            move = self._assigner.step(now, holders, self.controllers(now))
            if move is not None and move != self._move:
                log.info("moving shard shard=%d from=%s to=%s", move[0], holders[move[0]], move[1])
            self._move = move
        else:
            self._assigner, self._move = None, None
        move = self.wanted_move(now)
        if move is not None and move[1] != self.context.settings.name:
            replica = self._replicas.get(move[0])
            there = any(each.name == move[1] for each in self.controllers(now))
            if replica is not None and replica.lease.may_write(now) and there:
                replica.start_hand_over()

    def _set_max_machines(self, shares: int) -> None:
        """How many machines may be rented: so many that each node hears its part.

        Beyond its places a node closes connections between reports, so that the
        machines that report at the same time need one, not all that there are.
        """
        scheduler = self._replicas[0].scheduler
        if scheduler is not None:
            limits = self.context.settings.deployment.machine_limits
            places = NodeLimits.from_machine_limits(limits, sharded=True).machines
            nodes = min(len(self.context.peer_clients) + 1, shares)
            scheduler.fleet.set_max_machines(int(places * nodes * CLOSED))

    def extend_status(self, status: peers.PeerStatus, now: float) -> peers.PeerStatus:
        """What this node says of itself, with its shards."""
        shares = [
            peers.HeldShard(shard, replica.lease.fencing_token, replica.lease.may_answer(now))
            for shard, replica in sorted([*self._replicas.items()])
            if shard and replica.lease.is_leader
        ]
        wanted: list[str] = []
        move = self._move
        if move is not None and status.entitled:
            wanted = [""] * move[0] + [move[1]]
        return msgspec.structs.replace(
            status, held_shards=shares, shard_map_version=self.version, preferred_leaders=wanted
        )

    # -- calls between holders ---------------------------------------------------------------

    def call_shard(self, action: CallShard, term: Any) -> None:
        """Send a request to the leader of another shard; its reply comes back as an event."""
        self._pool.submit(self._call_shard, action, term)

    def _call_shard(self, action: CallShard, term: Any) -> None:
        back = _ReplyToScheduler(self.context.post, term, action.shard)
        replica = self._replicas.get(action.shard)
        holder = None if replica is None else replica.election.current_leader()
        if holder == self.context.settings.name:
            self.context.post(events.ShardRequestReceived(action.shard, back, action.message))
            return
        client = self.context.peer_clients.get(holder or "")
        answer = None
        try:
            if client is not None:
                body = encode(ShardCall(action.shard, action.message))
                status, raw = client.request("POST", SHARD_CALL_PATH, body, CALL_S)
                answer = decode_answer(raw) if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("call to shard failed shard=%d error=%s", action.shard, error)
        back.put((200 if answer is not None else 503, answer, 0))


def _machine_names(cluster: ClusterState) -> set[str]:
    """Machines that were ever in use."""
    return {*cluster.machine_names.names, *cluster.deleted_machines}


class _ReplyToScheduler:
    """Where an answer goes that nobody waits for: it becomes an event of the term."""

    def __init__(self, post: Callable[[events.Event], None], term: Any, shard: int) -> None:
        self._post, self._term, self._share = post, term, shard

    def put(self, answer: tuple[int, Any, int]) -> None:
        status, body, _ = answer
        self._post(
            events.ShardReplyReceived(self._term, self._share, body if status == 200 else None)
        )
