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
from appleshift.protocol.sharding import Ask, Digest, Plan, Told
from appleshift.protocol.users import Submission
from appleshift.sharding.array_partitions import Portions
from appleshift.sharding.fleet_summary import Overview
from appleshift.sharding.interfaces import DIGEST_S, ShardScheduler
from appleshift.sharding.machine_transfer import Handing
from appleshift.sharding.shard_map import ShareMap, pinned
from appleshift.sharding.shard_reporter import Reporting
from appleshift.state.cluster_state import Job, Machine, type_fits
from appleshift.storage.records import Record

LOOK_S = 0.05
"""What is to be said to other shares is looked for so often."""
ASK_S = 1.0
"""How often a home asks how its portions stand."""
EARLY_S = 0.2
"""Until the machine types are known, nothing can be taken: they are asked for."""


class Sharing:
    """One for each term of a share."""

    def __init__(self, number: int, known: ShareMap, teams: list[TeamLimits]) -> None:
        self.shard = number
        self.shard_count = known.shares
        self._map = known
        self._pinned = {team.name for team in teams if pinned(team)}
        self._core: ShardScheduler
        self._portions: Portions
        self._handing: Handing
        self._reporting: Reporting
        self._overview: Overview
        # Shares that were asked something and have not answered yet.
        self._calling: set[int] = set()
        self._next_ask: dict[int, float] = defaultdict(float)
        self._next_look = 0.0

    def attach(self, core: Any) -> None:
        self._core = core
        self._portions = Portions(core, self.shard, self._map.takers, self._hurry)
        self._handing = Handing(core, self.shard)
        self._reporting = Reporting(core, self.shard, self._handing)
        self._overview = Overview(core, self._map, self._handing)

    # -- what belongs where --------------------------------------------------------

    def owns_machine(self, machine: str, kind: str) -> bool:
        return self._map.machine(machine, kind) == self.shard

    def is_home(self, job_id: str) -> bool:
        return self._map.homes(job_id)[0] == self.shard

    def is_current_map(self, job_id: str, map_version: int) -> bool:
        return map_version == self._map.version and self.shard in self._map.homes(job_id)

    def deciding_shard(self, spec: Submission) -> int:
        """The first share has the machines with cards, and teams with limits on the rest."""
        if spec.gpus > 0 or spec.team in self._pinned or spec.seats:
            return 0
        plain = (
            kind
            for kind in self._core.cluster.types
            if kind.name not in self._map.cards and (spec.types is None or kind.name in spec.types)
        )
        return self.shard if any(type_fits(kind, spec) for kind in plain) else 0

    # -- what the core asks of it --------------------------------------------------------

    def partition_array(self, job: Job) -> list[Record]:
        return self._portions.divide(job)

    def cancel_partitioned(self, job: Job, slot: Any) -> None:
        self._portions.call_off(job, slot)

    def machine_evicted(self, kind: int, zone: int) -> None:
        self._reporting.evicted(kind, zone)

    def return_machines(self, machines: list[Machine]) -> None:
        self._overview.give_back(machines)

    def needed_capacity(
        self, gpus: bool, own: tuple[list[float], list[float]]
    ) -> tuple[list[float], list[float]]:
        return self._overview.sums(gpus, own)

    def unplaceable_needs(self, gpus: bool) -> list[CapacityNeed]:
        return self._overview.needs(gpus)

    # -- other holders ---------------------------------------------------------------------

    def request_received(self, message: Any, slot: Any) -> None:
        core = self._core
        if isinstance(message, Digest) and not self.shard:
            if core.lease.may_answer(core.now):
                core.reply(slot, 200, self._overview.digested(message))
                return
        elif isinstance(message, Ask):
            changes = message.portions or message.called_off or message.machines
            writes = core.lease.may_write(core.now) and not (core.draining or core.is_stalled)
            if core.lease.may_answer(core.now) and (writes or not changes):
                standings = self._portions.asked(message)
                taken = [each.name for each in message.machines if self._handing.take(each)]
                core.reply_durable(slot, 200, Told(standings, taken))
                return
        core.reply_unavailable(slot)

    def reply_received(self, share: int, answer: Any) -> None:
        self._calling.discard(share)
        if isinstance(answer, Told):
            for standing in answer.standings:
                self._portions.stands(share, standing)
            for name in answer.machines:
                self._handing.confirmed(share, name)
        elif isinstance(answer, Plan):
            self._reporting.planned(answer)
        elif share == 0:
            self._reporting.unheard()

    def _hurry(self, share: int) -> None:
        self._next_ask[share] = 0.0

    def _call(self, share: int, message: Ask | Digest, again_s: float) -> None:
        self._calling.add(share)
        self._next_ask[share] = self._core.now + again_s
        self._core.actions.append(CallShard(share, message))

    # -- time --------------------------------------------------------------------------------

    def step(self, now: float) -> None:
        core = self._core
        if now < self._next_look or not core.lease.may_answer(now):
            return
        self._next_look = now + LOOK_S
        outstanding, given = self._portions.outstanding(), self._handing.untold()
        for share in {**outstanding, **given}:
            if share not in self._calling and now >= self._next_ask[share]:
                lists = outstanding.get(share, ([], [], []))
                self._call(share, Ask(self.shard, *lists, given.get(share, [])), ASK_S)
        if not self.shard:
            self._overview.step(now)
        elif 0 not in self._calling and now >= self._next_ask[0]:
            again_s = DIGEST_S if core.cluster.types else EARLY_S
            self._call(0, self._reporting.digest(now), again_s)

    def view(self) -> dict[str, Any]:
        found: dict[str, Any] = {
            "divided": len(self._portions),
            "waiting": sum(shortage.tasks for shortage in self._core.fleet.shortages),
            "handed_on": self._handing.moved,
        }
        return found if self.shard else {**found, "heard": self._overview.heard()}
