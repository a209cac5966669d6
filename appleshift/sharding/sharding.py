"""What a share's core has to do with the other shares.

Part of the core, owned by its routine; sans-IO, like the rest. Three matters cross the
border of a share, and none needs two holders for one decision: portions of large arrays
(``portions.py``), idle machines that are handed on (``handing.py``), and the fleet, for
which the first share's holder rents (``reporting.py`` at the others, ``overview.py``
at the leader).
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from appleshift.contracts.actions import CallShard
from appleshift.contracts.interfaces import CapacityNeed
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.sharding import FleetPlan, PartitionReply, PartitionRequest, ShardSummary
from appleshift.protocol.users import Submission
from appleshift.sharding.array_partitions import ArrayPartitions
from appleshift.sharding.fleet_summary import FleetSummary
from appleshift.sharding.interfaces import SUMMARY_INTERVAL_S, ShardScheduler
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.sharding.shard_map import ShardMap, is_pinned
from appleshift.sharding.shard_reporter import ShardReporter
from appleshift.state.cluster_state import Job, Machine, type_fits
from appleshift.storage.records import Record

LOOK_S = 0.05
"""What is to be said to other shares is looked for so often."""
ASK_S = 1.0
"""How often a home asks how its portions stand."""
EARLY_S = 0.2
"""Until the machine types are known, nothing can be taken: they are asked for."""


class Sharding:
    """One for each term of a share."""

    def __init__(self, number: int, known: ShardMap, teams: list[TeamLimits]) -> None:
        self.shard = number
        self.shard_count = known.shard_count
        self._map = known
        self._pinned = {team.name for team in teams if is_pinned(team)}
        self._scheduler: ShardScheduler
        self._partitions: ArrayPartitions
        self._transfer: MachineTransfer
        self._reporter: ShardReporter
        self._fleet_summary: FleetSummary
        # Shares that were asked something and have not answered yet.
        self._pending_calls: set[int] = set()
        self._next_ask: dict[int, float] = defaultdict(float)
        self._next_look = 0.0

    def attach(self, scheduler: Any) -> None:
        self._scheduler = scheduler
        self._partitions = ArrayPartitions(
            scheduler, self.shard, self._map.submission_shards, self._poll_now
        )
        self._transfer = MachineTransfer(scheduler, self.shard)
        self._reporter = ShardReporter(scheduler, self.shard, self._transfer)
        self._fleet_summary = FleetSummary(scheduler, self._map, self._transfer)

    # -- what belongs where --------------------------------------------------------

    def owns_machine(self, machine: str, kind: str) -> bool:
        return self._map.shard_of_machine(machine, kind) == self.shard

    def is_home(self, job_id: str) -> bool:
        return self._map.home_shards(job_id)[0] == self.shard

    def is_current_map(self, job_id: str, map_version: int) -> bool:
        return map_version == self._map.version and self.shard in self._map.home_shards(job_id)

    def deciding_shard(self, spec: Submission) -> int:
        """The first share has the machines with cards, and teams with limits on the rest."""
        if spec.gpus > 0 or spec.team in self._pinned or spec.counted_resources:
            return 0
        plain = (
            kind
            for kind in self._scheduler.cluster.types
            if kind.name not in self._map.cards and (spec.types is None or kind.name in spec.types)
        )
        return self.shard if any(type_fits(kind, spec) for kind in plain) else 0

    # -- what the core asks of it --------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        return self._partitions.partition_array(job)

    def cancel_partitioned(self, job: Job, reply_to: Any) -> None:
        self._partitions.cancel(job, reply_to)

    def machine_evicted(self, kind: int, zone: int) -> None:
        self._reporter.machine_evicted(kind, zone)

    def return_machines(self, machines: list[Machine]) -> None:
        self._fleet_summary.return_machines(machines)

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        return self._fleet_summary.needed_capacity(gpus, own)

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        return self._fleet_summary.unplaceable_needs(gpus)

    # -- other holders ---------------------------------------------------------------------

    def request_received(self, message: Any, reply_to: Any) -> None:
        scheduler = self._scheduler
        if isinstance(message, ShardSummary) and not self.shard:
            if scheduler.lease.may_answer(scheduler.now):
                scheduler.reply(reply_to, 200, self._fleet_summary.summary_received(message))
                return
        elif isinstance(message, PartitionRequest):
            changes = message.partitions or message.cancelled or message.machines
            writes = scheduler.lease.may_write(scheduler.now) and not (
                scheduler.draining or scheduler.is_stalled
            )
            if scheduler.lease.may_answer(scheduler.now) and (writes or not changes):
                standings = self._partitions.request_received(message)
                taken = [each.name for each in message.machines if self._transfer.accept(each)]
                scheduler.reply_durable(reply_to, 200, PartitionReply(standings, taken))
                return
        scheduler.reply_unavailable(reply_to)

    def reply_received(self, share: int, answer: Any) -> None:
        self._pending_calls.discard(share)
        if isinstance(answer, PartitionReply):
            for standing in answer.statuses:
                self._partitions.status_received(share, standing)
            for name in answer.machines:
                self._transfer.confirmed(share, name)
        elif isinstance(answer, FleetPlan):
            self._reporter.plan_received(answer)
        elif share == 0:
            self._reporter.no_reply()

    def _poll_now(self, share: int) -> None:
        self._next_ask[share] = 0.0

    def _call(self, share: int, message: PartitionRequest | ShardSummary, again_s: float) -> None:
        self._pending_calls.add(share)
        self._next_ask[share] = self._scheduler.now + again_s
        self._scheduler.actions.append(CallShard(share, message))

    # -- time --------------------------------------------------------------------------------

    def step(self, now: float) -> None:
        scheduler = self._scheduler
        if now < self._next_look or not scheduler.lease.may_answer(now):
            return
        self._next_look = now + LOOK_S
        outstanding, given = self._partitions.outstanding(), self._transfer.unconfirmed()
        for share in {**outstanding, **given}:
            if share not in self._pending_calls and now >= self._next_ask[share]:
                lists = outstanding.get(share, ([], [], []))
                self._call(share, PartitionRequest(self.shard, *lists, given.get(share, [])), ASK_S)
        if not self.shard:
            self._fleet_summary.step(now)
        elif 0 not in self._pending_calls and now >= self._next_ask[0]:
            again_s = SUMMARY_INTERVAL_S if scheduler.cluster.types else EARLY_S
            self._call(0, self._reporter.summary(now), again_s)

    def view(self) -> dict[str, Any]:
        found: dict[str, Any] = {
            "divided": len(self._partitions),
            "waiting": sum(shortage.tasks for shortage in self._scheduler.fleet.shortages),
            "handed_on": self._transfer.transferred_count,
        }
        return found if self.shard else {**found, "heard": self._fleet_summary.summary_ages()}
