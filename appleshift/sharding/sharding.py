"""The scheduler's interface to the other shards.

Part of the scheduler: runs on its thread and does no I/O. Three things involve more than
one shard, and no decision needs the agreement of two leaders: partitions of large arrays
(``array_partitions.py``), the transfer of idle machines (``machine_transfer.py``), and the
fleet, for which the leader of the first shard rents all machines (``shard_reporter.py`` in
the other shards, ``fleet_summary.py`` in the first).
"""

from __future__ import annotations

import logging
from collections import defaultdict
from typing import Any

import msgspec

from appleshift.contracts.actions import CallShard
from appleshift.contracts.interfaces import CapacityNeed
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.sharding import (
    FleetPlan,
    PartitionReply,
    PartitionRequest,
    ShardReply,
    ShardRequest,
    ShardSummary,
)
from appleshift.protocol.users import Submission
from appleshift.sharding.array_partitions import ArrayPartitions
from appleshift.sharding.fleet_summary import FleetSummary
from appleshift.sharding.machine_transfer import MachineTransfer
from appleshift.sharding.shard_map import ShardMap, is_pinned_to_first_shard
from appleshift.sharding.shard_reporter import ShardReporter
from appleshift.sharding.shard_scheduler_interface import SUMMARY_INTERVAL_S, ShardScheduler
from appleshift.state.entities import Job, Machine
from appleshift.state.resources import type_fits
from appleshift.storage.records import Record

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05
"""Seconds between two checks for messages that are due to other shards."""
REQUEST_INTERVAL_S = 1.0
"""Seconds between two requests to a shard, unless something new is to be sent at once."""
STARTUP_SUMMARY_INTERVAL_S = 0.2
"""Seconds between two summaries until the leader has sent the machine types: without them
the shard cannot use any machine."""


class Sharding:
    """Routes work between this shard and the others, for one term of this shard."""

    def __init__(self, shard: int, shard_map: ShardMap, teams: list[TeamLimits]) -> None:
        """For one term of ``shard``; ``shard_map`` stays in force for the whole term."""
        self.shard = shard
        self.shard_count = shard_map.shard_count
        self._map = shard_map
        self._pinned_teams = {team.name for team in teams if is_pinned_to_first_shard(team)}
        self._scheduler: ShardScheduler
        self._partitions: ArrayPartitions
        self._transfer: MachineTransfer
        self._reporter: ShardReporter
        self._fleet_summary: FleetSummary
        # Shards with a call whose reply is outstanding; each has at most one.
        self._pending_calls: set[int] = set()
        self._next_call_at: dict[int, float] = defaultdict(float)
        self._next_poll_at = 0.0
        # Shards whose calls were refused and logged.
        self._logged_unknown_shards: set[int] = set()

    def attach(self, scheduler: Any) -> None:
        """Set the scheduler of this term; must be called before any other method."""
        self._scheduler = scheduler
        self._partitions = ArrayPartitions(
            scheduler, self.shard, self._map.submission_shards, self._poll_now
        )
        self._transfer = MachineTransfer(scheduler, self.shard, self.shard_count)
        self._reporter = ShardReporter(scheduler, self.shard, self._transfer)
        self._fleet_summary = FleetSummary(scheduler, self._map, self._transfer)

    # -- ownership -----------------------------------------------------------------

    def owns_machine(self, machine: str, kind: str) -> bool:
        """Whether the shard map assigns a machine of this name and type to this shard."""
        return self._map.shard_of_machine(machine, kind) == self.shard

    def is_home_shard(self, job_id: str) -> bool:
        """Whether this shard accepts a new job of this id."""
        return self._map.home_shards(job_id)[0] == self.shard

    def is_routing_current(self, job_id: str, map_version: int) -> bool:
        """Whether ``map_version`` is the current version and may place the job in this shard.

        Only then does an unknown id mean that the job does not exist.
        """
        return map_version == self._map.version and self.shard in self._map.home_shards(job_id)

    def deciding_shard(self, spec: Submission) -> int:
        """The shard that decides on a job submitted here: this shard or the first one.

        The first shard decides on jobs with GPUs or counted resources, on jobs of teams
        with a CPU limit, and on jobs that fit no machine type without GPUs.
        """
        if spec.gpus > 0 or spec.team in self._pinned_teams or spec.counted_resources:
            return 0
        eligible_types = (
            kind
            for kind in self._scheduler.cluster.types
            if kind.name not in self._map.gpu_types
            and (spec.types is None or kind.name in spec.types)
        )
        return self.shard if any(type_fits(kind, spec) for kind in eligible_types) else 0

    # -- calls from the scheduler -------------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        """Divide a new array among the shards; returns the records to append, none if the array
        stays whole."""
        return self._partitions.partition_array(job)

    def cancel_partitioned(self, job: Job, reply_to: Any) -> None:
        """Cancel a job with tasks in other shards; ``reply_to`` is answered once all of them have
        confirmed."""
        self._partitions.cancel(job, reply_to)

    def machine_evicted(self, kind: int, zone: int) -> None:
        """Report to the leader that the cloud reclaimed a spot machine of this type and zone."""
        self._reporter.machine_evicted(kind, zone)

    def return_machines(self, machines: list[Machine]) -> None:
        """Ask the shards that own these idle machines to delete them."""
        self._fleet_summary.return_machines(machines)

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        """Capacity that all shards need, as (total, without spot machines).

        Each is a list of CPUs, GPUs and gigabytes; ``own`` is what this shard needs.
        ``gpus`` selects the pool of machines with GPUs, otherwise it is the pool without.
        """
        return self._fleet_summary.needed_capacity(gpus, own)

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        """Work of other shards that none of their own machines can ever run, with or without
        GPUs."""
        return self._fleet_summary.unplaceable_needs(gpus)

    # -- calls between shards --------------------------------------------------------------

    def request_received(self, message: ShardRequest, reply_to: Any) -> None:
        """Handle a request from the leader of another shard.

        The reply is 503 if this leader's lease does not permit to answer, or does not permit
        to write and the request needs a write, or if the sender is no other shard of the map.
        """
        scheduler = self._scheduler
        if not self._is_other_shard(message.shard):
            self._log_unknown_shard(message.shard)
            scheduler.reply_unavailable(reply_to)
            return
        if isinstance(message, ShardSummary) and not self.shard:
            if scheduler.lease.may_answer(scheduler.now):
                scheduler.reply(reply_to, 200, self._fleet_summary.summary_received(message))
                return
        elif isinstance(message, PartitionRequest):
            changes = message.partitions or message.cancelled or message.machines
            may_write = scheduler.lease.may_write(scheduler.now) and not (
                scheduler.draining or scheduler.writes_stalled
            )
            if scheduler.lease.may_answer(scheduler.now) and (may_write or not changes):
                statuses = self._partitions.request_received(message)
                accepted = [each.name for each in message.machines if self._transfer.accept(each)]
                scheduler.reply_when_durable(reply_to, 200, PartitionReply(statuses, accepted))
                return
        scheduler.reply_unavailable(reply_to)

    def _is_other_shard(self, shard: int) -> bool:
        return 0 <= shard < self.shard_count and shard != self.shard

    def _log_unknown_shard(self, shard: int) -> None:
        if shard not in self._logged_unknown_shards:
            self._logged_unknown_shards.add(shard)
            log.warning("call of unknown shard refused shard=%d", shard)

    def reply_received(self, shard: int, reply: ShardReply | None) -> None:
        """Apply the reply of another shard to a call; None if the call failed or timed out."""
        self._pending_calls.discard(shard)
        if isinstance(reply, PartitionReply):
            for partition_status in reply.statuses:
                self._partitions.status_received(shard, partition_status)
            for name in reply.machines:
                self._transfer.confirmed(shard, name)
        elif isinstance(reply, FleetPlan):
            self._reporter.plan_received(reply)
        elif shard == 0:
            self._reporter.no_reply()

    def _poll_now(self, shard: int) -> None:
        self._next_call_at[shard] = 0.0

    def _call(self, shard: int, message: ShardRequest, interval_s: float) -> None:
        self._pending_calls.add(shard)
        self._next_call_at[shard] = self._scheduler.now + interval_s
        self._scheduler.actions.append(CallShard(shard, message))

    # -- periodic work -----------------------------------------------------------------------

    def step(self, now: float) -> None:
        """Send the requests and the summary that are due at ``now``, in monotonic seconds."""
        scheduler = self._scheduler
        if now < self._next_poll_at or not scheduler.lease.may_answer(now):
            return
        self._next_poll_at = now + POLL_INTERVAL_S
        outstanding, unconfirmed = self._partitions.outstanding(), self._transfer.unconfirmed()
        for shard in {**outstanding, **unconfirmed}:
            if shard not in self._pending_calls and now >= self._next_call_at[shard]:
                request = outstanding.get(shard, PartitionRequest(self.shard))
                offers = unconfirmed.get(shard, [])
                self._call(
                    shard, msgspec.structs.replace(request, machines=offers), REQUEST_INTERVAL_S
                )
        if not self.shard:
            self._fleet_summary.step(now)
        elif 0 not in self._pending_calls and now >= self._next_call_at[0]:
            interval_s = (
                SUMMARY_INTERVAL_S if scheduler.cluster.types else STARTUP_SUMMARY_INTERVAL_S
            )
            self._call(0, self._reporter.summary(now), interval_s)

    def view(self) -> dict[str, Any]:
        """This shard's figures for operators, shown under ``/nodes``."""
        found: dict[str, Any] = {
            "divided": len(self._partitions),
            "waiting": sum(shortage.tasks for shortage in self._scheduler.fleet.shortages),
            "handed_on": self._transfer.transferred_count,
        }
        return found if self.shard else {**found, "heard": self._fleet_summary.summary_ages()}
