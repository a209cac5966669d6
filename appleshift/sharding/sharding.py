"""What a shard's core has to do with the other shards.

Part of the scheduler, owned by its thread; sans-IO, like the rest. Three matters cross the
border of a shard, and none needs two holders for one decision: partitions of large arrays
(``partitions.py``), idle machines that are handed off (``handing.py``), and the fleet, for
which the first shard's holder rents (``reporting.py`` at the others, ``overview.py``
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
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import type_fits
from appleshift.storage.records import Record

LOOK_S = 0.05
"""What is to be said to other shards is looked for so often."""
ASK_S = 1.0
"""How often a home asks how its partitions stand."""
EARLY_S = 0.2
"""Until the machine types are known, nothing can be taken: they are asked for."""


class Sharding:
    """One for each term of a shard."""

    def __init__(self, number: int, known: ShardMap, teams: list[TeamLimits]) -> None:
        """For one term of shard ``number`` under the map ``known``."""
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
        """Serve this scheduler from now on."""
        self._scheduler = scheduler
        self._partitions = ArrayPartitions(
            scheduler, self.shard, self._map.submission_shards, self._poll_now
        )
        self._transfer = MachineTransfer(scheduler, self.shard)
        self._reporter = ShardReporter(scheduler, self.shard, self._transfer)
        self._fleet_summary = FleetSummary(scheduler, self._map, self._transfer)

    # -- what belongs where --------------------------------------------------------

    def owns_machine(self, machine: str, kind: str) -> bool:
        """Whether a machine of that name and type belongs to this shard."""
        return self._map.shard_of_machine(machine, kind) == self.shard

    def is_home_shard(self, job_id: str) -> bool:
        """Whether a new job of that id is accepted by this shard."""
        return self._map.home_shards(job_id)[0] == self.shard

    def is_routing_current(self, job_id: str, map_version: int) -> bool:
        """Whether whoever asks by that map version asks a shard that would know the job."""
        return map_version == self._map.version and self.shard in self._map.home_shards(job_id)

    def deciding_shard(self, spec: Submission) -> int:
        """The first shard has the machines with GPUs, and teams with limits on the rest."""
        if spec.gpus > 0 or spec.team in self._pinned or spec.counted_resources:
            return 0
        plain = (
            kind
            for kind in self._scheduler.cluster.types
            if kind.name not in self._map.cards and (spec.types is None or kind.name in spec.types)
        )
        return self.shard if any(type_fits(kind, spec) for kind in plain) else 0

    # -- what the scheduler asks of it --------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        """Divide a new array among the shards; returns the records to append."""
        return self._partitions.partition_array(job)

    def cancel_partitioned(self, job: Job, reply_to: Any) -> None:
        """Cancel a job with tasks in other shards, then answer."""
        self._partitions.cancel(job, reply_to)

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Tell the leader that a spot machine of this type and zone was reclaimed."""
        self._reporter.machine_evicted(kind, zone)

    def return_machines(self, machines: list[Machine]) -> None:
        """Ask the shards that have these idle machines to delete them."""
        self._fleet_summary.return_machines(machines)

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """Capacity needed by all shards, in all and without spot machines: CPUs, GPUs, GB."""
        return self._fleet_summary.needed_capacity(gpus, own)

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Work of other shards that none of their machines can ever run."""
        return self._fleet_summary.unplaceable_needs(gpus)

    # -- other holders ---------------------------------------------------------------------

    def request_received(self, message: Any, reply_to: Any) -> None:
        """Answer the leader of another shard; 503 if this one may not answer or write."""
        scheduler = self._scheduler
        if isinstance(message, ShardSummary) and not self.shard:
            if scheduler.lease.may_answer(scheduler.now):
                scheduler.reply(reply_to, 200, self._fleet_summary.summary_received(message))
                return
        elif isinstance(message, PartitionRequest):
            changes = message.partitions or message.cancelled or message.machines
            writes = scheduler.lease.may_write(scheduler.now) and not (
                scheduler.draining or scheduler.writes_stalled
            )
            if scheduler.lease.may_answer(scheduler.now) and (writes or not changes):
                standings = self._partitions.request_received(message)
                taken = [each.name for each in message.machines if self._transfer.accept(each)]
                scheduler.reply_when_durable(reply_to, 200, PartitionReply(standings, taken))
                return
        scheduler.reply_unavailable(reply_to)

    def reply_received(self, shard: int, answer: Any) -> None:
        """Apply another shard's reply; None: it gave none in time."""
        self._pending_calls.discard(shard)
        if isinstance(answer, PartitionReply):
            for partition_status in answer.statuses:
                self._partitions.status_received(shard, partition_status)
            for name in answer.machines:
                self._transfer.confirmed(shard, name)
        elif isinstance(answer, FleetPlan):
            self._reporter.plan_received(answer)
        elif shard == 0:
            self._reporter.no_reply()

    def _poll_now(self, shard: int) -> None:
        self._next_ask[shard] = 0.0

    def _call(self, shard: int, message: PartitionRequest | ShardSummary, again_s: float) -> None:
        self._pending_calls.add(shard)
        self._next_ask[shard] = self._scheduler.now + again_s
        self._scheduler.actions.append(CallShard(shard, message))

    # -- time --------------------------------------------------------------------------------

    def step(self, now: float) -> None:
        """Send what other shards are to be asked or told now."""
        scheduler = self._scheduler
        if now < self._next_look or not scheduler.lease.may_answer(now):
            return
        self._next_look = now + LOOK_S
        outstanding, given = self._partitions.outstanding(), self._transfer.unconfirmed()
        for shard in {**outstanding, **given}:
            if shard not in self._pending_calls and now >= self._next_ask[shard]:
                lists = outstanding.get(shard, ([], [], []))
                self._call(shard, PartitionRequest(self.shard, *lists, given.get(shard, [])), ASK_S)
        if not self.shard:
            self._fleet_summary.step(now)
        elif 0 not in self._pending_calls and now >= self._next_ask[0]:
            again_s = SUMMARY_INTERVAL_S if scheduler.cluster.types else EARLY_S
            self._call(0, self._reporter.summary(now), again_s)

    def view(self) -> dict[str, Any]:
        """Figures of this shard for operators (``/nodes``)."""
        found: dict[str, Any] = {
            "divided": len(self._partitions),
            "waiting": sum(shortage.tasks for shortage in self._scheduler.fleet.shortages),
            "handed_on": self._transfer.transferred_count,
        }
        return found if self.shard else {**found, "heard": self._fleet_summary.summary_ages()}
