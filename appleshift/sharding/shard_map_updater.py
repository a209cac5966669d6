"""Reads the shard map and, for the leader of the first shard, changes it.

Machines are divided by the order in which they appeared, so the map changes in two steps.
First it is marked as changing; from then on no other shard can write or elect a leader.
Then the logs of all shards show which machines were in use, and the new epoch applies to
all machines with larger names. If the leader fails between the two steps, the mark stays
and the next leader completes the change.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec

from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.node_context import NodeContext
from appleshift.protocol import kv
from appleshift.protocol.sharding import (
    SHARD_MAP_KEY,
    ShardMapEpoch,
    ShardMapValue,
    decode_shard_map,
)
from appleshift.shard_replica import ShardReplica
from appleshift.sharding.shard_map import ShardMap, new_epoch
from appleshift.state.cluster_state import ClusterState
from appleshift.storage.key_value_store import CompareFailedError
from appleshift.storage.keys import shard_prefix
from appleshift.storage.log_replayer import LogReplayer
from appleshift.storage.recovery import recover

log = logging.getLogger(__name__)


class ShardMapUpdater:
    """Access to the key of the shard map."""

    def __init__(self, context: NodeContext, replicas: Mapping[int, ShardReplica]) -> None:
        """``replicas`` are those of this node; the first shard's must be among them."""
        self._context = context
        self._replicas = replicas

    def read_map(self) -> tuple[ShardMapValue | None, int]:
        """Return the map and the version of its key; (None, 0) if there is none."""
        item = self._context.store.get(SHARD_MAP_KEY)
        return (None, 0) if item is None else (decode_shard_map(item.value), item.version)

    def update_map(
        self, term: LeaderTerm, replayer: LogReplayer
    ) -> tuple[ShardMapValue | None, int]:
        """Change the map to the number of shards that the operators configured.

        Runs at the start of a term of the first shard. A new epoch is also needed if a shard
        that accepts no new jobs has finished its work. Returns the map and its version.
        """
        value, version = self.read_map()
        wanted_count = self._context.operator.shares
        if value is None and wanted_count <= 1:
            return None, 0
        last = ShardMapEpoch(1) if value is None else value.epochs[-1]
        wanted_count = wanted_count or last.count
        if value is not None and not value.changing and wanted_count == last.count:
            retiring = {*last.plain} - {*last.homes}
            if not retiring or retiring & self._shards_with_work(replayer, retiring):
                return value, version
        return self._add_epoch(term, replayer, value, version, wanted_count)

    def _add_epoch(
        self,
        term: LeaderTerm,
        replayer: LogReplayer,
        value: ShardMapValue | None,
        version: int,
        wanted_count: int,
    ) -> tuple[ShardMapValue, int]:
        last = ShardMapEpoch(1) if value is None else value.epochs[-1]
        machine_types = replayer.cluster.types or self._context.cloud_calls.machine_types()
        cards = sorted(kind.name for kind in machine_types if kind.gpus > 0)
        teams = self._context.settings.deployment.teams
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
        return ShardMapValue(epochs), version

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
            return self._context.store.compare_and_swap(guards, [put])
        except CompareFailedError:
            # An earlier attempt whose response was lost may have been applied.
            found, version = self.read_map()
            if found == value:
                return version
            raise

    def _recovered_shards(self, replayer: LogReplayer, shard_count: int) -> dict[int, ClusterState]:
        """The state of each shard, read from its log; ``replayer`` has the first shard's."""
        deployment = self._context.settings.deployment
        found = {0: replayer.cluster}
        for shard in range(1, shard_count):
            shard_replayer = LogReplayer(ClusterState(deployment.zones, deployment.teams))
            recover(self._context.store, shard_replayer, shard_prefix(shard))
            found[shard] = shard_replayer.cluster
        return found

    def _shards_with_work(self, replayer: LogReplayer, shards: set[int]) -> set[int]:
        """The shards among ``shards`` that have unfinished jobs."""
        cluster = self._recovered_shards(replayer, max(shards) + 1)
        return {shard for shard in shards if cluster[shard].jobs}


def _machine_names(cluster: ClusterState) -> set[str]:
    """Names of all machines that the shard has ever used."""
    return {*cluster.machine_names.names, *cluster.deleted_machines}
