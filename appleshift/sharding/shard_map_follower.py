"""Sharding on a node: follows the shard map and takes part in moves of shards between nodes.

The map is one key of the key-value store. Only the leader of the first shard writes it,
guarded by its leader key (``shard_map_updater.py``). The leader of every other shard is
elected under one version of the map and guards that version with each write. So a leader
with an outdated map can write nothing, and its replies contain only what was durable under
that map.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import msgspec

from appleshift.contracts.actions import CallShard
from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.leader_election.leader_tracker import PEER_STATUS_VALID_S
from appleshift.leader_election.peer_monitor import PeerMonitor
from appleshift.node_context import NodeContext
from appleshift.node_limits.node_limits import NodeLimits
from appleshift.protocol import peers
from appleshift.protocol.sharding import SHARD_MAP_KEY, ShardMapValue
from appleshift.protocol.wire import ProtocolError
from appleshift.shard_replica import ShardReplica
from appleshift.sharding import shard_assigner
from appleshift.sharding.shard_assigner import ControllerLoad, ShardAssigner
from appleshift.sharding.shard_calls import ShardCaller
from appleshift.sharding.shard_map import ShardMap
from appleshift.sharding.shard_map_updater import ShardMapUpdater
from appleshift.sharding.sharding import Sharding
from appleshift.storage.key_value_store import CompareFailedError, StoreError
from appleshift.storage.log_replayer import LogReplayer

log = logging.getLogger(__name__)

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

    At the leader of the first shard it also requests moves of shards.
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
        self._caller = ShardCaller(context, replicas)
        self._updater = ShardMapUpdater(context, replicas)
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
        self._caller.stop()

    # -- shard map -------------------------------------------------------------------

    def _follow_map(self) -> None:
        """Read the map until it exists, then whenever a peer uses a newer version."""
        while not self.context.stop.is_set():
            try:
                if (
                    self.shard_map is None
                    or self._peer_monitor.newest_shard_map_version > self.version
                ):
                    self._install_map(*self._updater.read_map())
            except (StoreError, ProtocolError) as error:
                log.debug("reading the shard map failed error=%s", error)
            self.context.stop.wait(MAP_POLL_INTERVAL_S)

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
            self._install_map(*self._updater.update_map(term, replayer))
        elif term.extra_guards != ((SHARD_MAP_KEY, self.version),):
            # Elected under another version of the map: every write would fail its guard.
            raise CompareFailedError([SHARD_MAP_KEY])
        if self.shard_map is None:
            return None
        return Sharding(term.shard, self.shard_map, self.context.settings.deployment.teams)

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
        self._caller.call(action, term)
