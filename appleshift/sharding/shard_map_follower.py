"""Sharding on a node: the shard map, moves of shards between nodes, and calls between shards.

The map is one key of the key-value store. Only the leader of the first shard writes it,
guarded by its leader key. The leader of every other shard is elected under one version of the
map and guards that version with each write. So a leader with an outdated map can write
nothing, and its replies contain only what was durable under that map.

Machines are divided by the order in which they appeared, so the map changes in two steps.
First it is marked as changing; from then on no other shard can write or elect a leader.
Then the logs of all shards show which machines were in use, and the new epoch applies to
all machines with larger names. If the leader fails between the two steps, the mark stays
and the next leader completes the change.
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

MAX_CONCURRENT_CALLS = 4
CALL_TIMEOUT_S = 2.0
MAP_POLL_INTERVAL_S = 0.5
STEP_INTERVAL_S = 0.25
MACHINES_PER_CONNECTION = 1.5
"""Machines for each connection that a node can keep open: connections are closed between
heartbeats, so machines share them."""
STARTUP_GRACE_S = 5.0
"""Seconds after a start in which all peers count as reachable: they may start a moment
later."""


class ShardMapFollower:
    """Keeps a node's copy of the shard map and creates the replicas of its shards.

    At the leader of the first shard it also changes the map and requests moves of shards.
    """

    def __init__(
        self,
        context: NodeContext,
        replicas: Mapping[int, ShardReplica],
        peer_monitor: PeerMonitor,
        add_replica: Callable[[ShardReplica], None],
    ) -> None:
        """``add_replica`` is called with a new replica for each shard that the map adds."""
        self.context = context
        self.shard_map: ShardMap | None = None
        self.version = 0
        self._replicas = replicas
        self._peer_monitor = peer_monitor
        self._add_replica = add_replica
        self._pool = ThreadPool(context.runtime, "share-call", MAX_CONCURRENT_CALLS)
        self._now = context.runtime.now
        self._started_at = self._now()
        self._next_step_at = 0.0
        self._assigner: ShardAssigner | None = None
        self._requested_move: tuple[int, str] | None = None

    def start(self) -> None:
        """Start the thread that follows the shard map."""
        self.context.runtime.spawn("shares", self._follow_map)

    def stop(self) -> None:
        """Stop calls to other shards; the thread that follows the map ends with the node."""
        self._pool.stop()

    # -- shard map -------------------------------------------------------------------

    def _follow_map(self) -> None:
        """Read the map until it exists, then whenever a peer uses a newer version."""
        while not self.context.stop.is_set():
            try:
                if (
                    self.shard_map is None
                    or self._peer_monitor.newest_shard_map_version > self.version
                ):
                    self._install_map(*self._read_map())
            except (StoreError, ProtocolError) as error:
                log.debug("reading the shard map failed error=%s", error)
            self.context.stop.wait(MAP_POLL_INTERVAL_S)

    def _read_map(self) -> tuple[ShardMapValue | None, int]:
        item = self.context.store.get(SHARD_MAP_KEY)
        return (None, 0) if item is None else (decode_shard_map(item.value), item.version)

    def _install_map(self, value: ShardMapValue | None, version: int) -> None:
        if value is None or version <= self.version:
            return
        shard_map = ShardMap(value.epochs, value.changing, version)
        self.shard_map, self.version = shard_map, version
        for shard in range(1, shard_map.shard_count):
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
        """The guard on the map's version for elections and writes of a shard other than the first.

        None while the map is unknown or changing: such a shard can have no leader then.
        """
        shard_map, version = self.shard_map, self.version
        return None if shard_map is None or shard_map.changing else ((SHARD_MAP_KEY, version),)

    def sharding_for(self, term: LeaderTerm, replayer: LogReplayer) -> Sharding | None:
        """Create the interface to the other shards for a new term; None if there is no map.

        Raises StoreError, ClientError or ProtocolError if the call should be retried, and
        CompareFailedError if the term is over.
        """
        if not term.shard:
            self._update_map(term, replayer)
        elif term.extra_guards != ((SHARD_MAP_KEY, self.version),):
            # Elected under another version of the map: every write would fail its guard.
            raise CompareFailedError([SHARD_MAP_KEY])
        if self.shard_map is None:
            return None
        return Sharding(term.shard, self.shard_map, self.context.settings.deployment.teams)

    def _update_map(self, term: LeaderTerm, replayer: LogReplayer) -> None:
        """Change the map to the number of shards that the operators configured.

        Runs at the start of a term of the first shard. A new epoch is also needed if a shard
        that accepts no new jobs has finished its work.
        """
        value, version = self._read_map()
        wanted_count = self.context.operator.shares
        if value is None and wanted_count <= 1:
            return
        last = ShardMapEpoch(1) if value is None else value.epochs[-1]
        wanted_count = wanted_count or last.count
        if value is not None and not value.changing and wanted_count == last.count:
            retiring = {*last.plain} - {*last.homes}
            if not retiring or retiring & self._shards_with_work(replayer, retiring):
                self._install_map(value, version)
                return
        machine_types = replayer.cluster.types or self.context.cloud_calls.machine_types()
        cards = sorted(kind.name for kind in machine_types if kind.gpus > 0)
        teams = self.context.settings.deployment.teams
        epochs: list[ShardMapEpoch] = [] if value is None else value.epochs
        if value is not None:
            version = self._write_map(term, ShardMapValue(epochs, changing=True), version)
        shards = self._recovered_shards(replayer, ShardMap(epochs or [last]).shard_count)
        names = {name for cluster in shards.values() for name in _machine_names(cluster)}
        busy = {shard for shard, cluster in shards.items() if cluster.jobs and shard in last.plain}
        if value is None and (names or replayer.cluster.jobs or replayer.cluster.final_states):
            epochs = [last]
        new = new_epoch(wanted_count, max(names, default=""), cards, teams, busy)
        epochs = [*epochs, new]
        version = self._write_map(term, ShardMapValue(epochs), version)
        log.info(
            "shard map installed version=%d epochs=%s",
            version,
            msgspec.json.encode(epochs).decode(),
        )
        self._install_map(ShardMapValue(epochs), version)

    def _write_map(self, term: LeaderTerm, value: ShardMapValue, version: int) -> int:
        """Replace ``version`` of the map; returns the new version.

        Raises CompareFailedError if the leader key or the map was changed meanwhile.
        """
        value = msgspec.structs.replace(value, mark=term.term_id)
        guards = [
            kv.guard(self._replicas[0].election.leader_key, term.leader_key_version),
            kv.guard(SHARD_MAP_KEY, version),
        ]
        put = kv.put(SHARD_MAP_KEY, msgspec.to_builtins(value))
        try:
            return self.context.store.compare_and_swap(guards, [put])
        except CompareFailedError:
            # An earlier attempt whose response was lost may have been applied.
            found, version = self._read_map()
            if found == value:
                return version
            raise

    def _recovered_shards(self, replayer: LogReplayer, shard_count: int) -> dict[int, ClusterState]:
        """The state of each shard, read from its log; ``replayer`` has the first shard's."""
        deployment = self.context.settings.deployment
        found = {0: replayer.cluster}
        for shard in range(1, shard_count):
            shard_replayer = LogReplayer(ClusterState(deployment.zones, deployment.teams))
            recover(self.context.store, shard_replayer, shard_prefix(shard))
            found[shard] = shard_replayer.cluster
        return found

    def _shards_with_work(self, replayer: LogReplayer, shards: set[int]) -> set[int]:
        """The shards among ``shards`` that have unfinished jobs."""
        cluster = self._recovered_shards(replayer, max(shards) + 1)
        return {shard for shard in shards if cluster[shard].jobs}

    # -- assignment of shards ------------------------------------------------------------

    def reachable_controllers(self, now: float) -> list[ControllerLoad]:
        """The reachable controllers that follow a shard map, this node included."""
        name = self.context.settings.name
        held_shards = sum(replica.lease.is_leader for replica in [*self._replicas.values()])
        found = [ControllerLoad(name, held_shards, now - self._started_at)]
        for peer in self.context.peer_clients:
            at, status = self._peer_monitor.last_statuses.get(peer, (float("-inf"), None))
            if status is not None and now - at < PEER_STATUS_VALID_S and status.shard_map_version:
                count = len(status.held_shards) + status.leading
                since = self._peer_monitor.reachable_since.get(peer, now)
                found.append(ControllerLoad(peer, count, now - since))
            elif now - self._started_at < STARTUP_GRACE_S:
                found.append(ControllerLoad(peer, 0, 0.0))
        return found

    def requested_move(self, now: float) -> tuple[int, str] | None:
        """The move that the leader of the first shard requests, as (shard, target node)."""
        if self._replicas[0].lease.may_answer(now):
            return self._requested_move
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
        """Seconds that this node waits before it becomes a candidate for a shard without a
        leader."""
        now = self._now()
        name = self.context.settings.name
        controllers = self.reachable_controllers(now)
        move = self.requested_move(now)
        target_goes_first = 0
        if move is not None and move[0] == shard:
            if move[1] == name:
                return 0.0
            target_goes_first = any(each.name == move[1] for each in controllers)
        # The former leader has failed, though its last status is recent enough to count.
        former = self._replicas[shard].election.last_leader_from_store
        eligible = [each for each in controllers if each.name == name or each.name != former]
        rank = shard_assigner.rank_candidates(shard, eligible).index(name)
        starting = now - self._started_at < STARTUP_GRACE_S
        return (rank + target_goes_first) * (
            shard_assigner.STARTUP_CANDIDACY_STEP_S if starting else shard_assigner.CANDIDACY_STEP_S
        )

    def step(self, now: float) -> None:
        """Request a move as leader of the first shard, or hand over a shard that is to move.

        Called by the schedulers' thread; ``now`` is in monotonic seconds.
        """
        if now < self._next_step_at or self.shard_map is None:
            return
        self._next_step_at = now + STEP_INTERVAL_S
        if self._replicas[0].lease.may_answer(now):
            if self._assigner is None:
                self._assigner = ShardAssigner(now)
            holders = {
                shard: replica.election.current_leader()
                for shard, replica in [*self._replicas.items()]
            }
            self._set_max_machines(len(holders))
            move = self._assigner.step(now, holders, self.reachable_controllers(now))
            if move is not None and move != self._requested_move:
                log.info("moving shard shard=%d from=%s to=%s", move[0], holders[move[0]], move[1])
            self._requested_move = move
        else:
            self._assigner, self._requested_move = None, None
        move = self.requested_move(now)
        if move is not None and move[1] != self.context.settings.name:
            replica = self._replicas.get(move[0])
            target_reachable = any(each.name == move[1] for each in self.reachable_controllers(now))
            if replica is not None and replica.lease.may_write(now) and target_reachable:
                replica.start_hand_over()

    def _set_max_machines(self, shard_count: int) -> None:
        """Limit the rented machines to the number that the nodes can receive heartbeats from.

        A node with more machines than connections closes each connection after a heartbeat,
        so only machines that send one at the same time need a connection.
        """
        scheduler = self._replicas[0].scheduler
        if scheduler is not None:
            limits = self.context.settings.deployment.machine_limits
            connections = NodeLimits.from_machine_limits(limits, sharded=True).machines
            nodes = min(len(self.context.peer_clients) + 1, shard_count)
            scheduler.fleet.set_max_machines(int(connections * nodes * MACHINES_PER_CONNECTION))

    def extend_status(self, status: peers.PeerStatus, now: float) -> peers.PeerStatus:
        """Add this node's shards, its map version and the requested move to its status."""
        held_shards = [
            peers.HeldShard(shard, replica.lease.fencing_token, replica.lease.may_answer(now))
            for shard, replica in sorted([*self._replicas.items()])
            if shard and replica.lease.is_leader
        ]
        preferred_leaders: list[str] = []
        move = self._requested_move
        if move is not None and status.entitled:
            preferred_leaders = [""] * move[0] + [move[1]]
        return msgspec.structs.replace(
            status,
            held_shards=held_shards,
            shard_map_version=self.version,
            preferred_leaders=preferred_leaders,
        )

    # -- calls between shards ----------------------------------------------------------------

    def call_shard(self, action: CallShard, term: Any) -> None:
        """Send a request to the leader of another shard.

        The reply, or the failure, is posted as a ``ShardReplyReceived`` event of ``term``.
        """
        self._pool.submit(self._call_shard, action, term)

    def _call_shard(self, action: CallShard, term: Any) -> None:
        reply_to = _ReplyToScheduler(self.context.post, term, action.shard)
        replica = self._replicas.get(action.shard)
        holder = None if replica is None else replica.election.current_leader()
        if holder == self.context.settings.name:
            self.context.post(events.ShardRequestReceived(action.shard, reply_to, action.message))
            return
        client = self.context.peer_clients.get(holder or "")
        reply = None
        try:
            if client is not None:
                body = encode(ShardCall(action.shard, action.message))
                status, raw = client.request("POST", SHARD_CALL_PATH, body, CALL_TIMEOUT_S)
                reply = decode_answer(raw) if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("call to shard failed shard=%d error=%s", action.shard, error)
        reply_to.put((200 if reply is not None else 503, reply, 0))


def _machine_names(cluster: ClusterState) -> set[str]:
    """Names of all machines that the shard has ever used."""
    return {*cluster.machine_names.names, *cluster.deleted_machines}


class _ReplyToScheduler:
    """The reply channel of a call between shards: posts the reply as an event of the term."""

    def __init__(self, post: Callable[[events.Event], None], term: Any, shard: int) -> None:
        self._post, self._term, self._shard = post, term, shard

    def put(self, reply: tuple[int, Any, int]) -> None:
        status, body, _ = reply
        self._post(
            events.ShardReplyReceived(self._term, self._shard, body if status == 200 else None)
        )
