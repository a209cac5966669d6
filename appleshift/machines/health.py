"""Which machines to trust: silent ones, whole zones cut off, faulty and slow ones.

Silence has several causes that call for different answers. A machine that
died is replaced at once. If a whole zone falls silent, it is cut off: its
machines most likely still stand, and nothing rented there could be heard. If
every zone is silent, it is this node that is cut off, and leases decide.
"""

from __future__ import annotations

import logging

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import FleetView
from appleshift.placement.fit import remaining_per_zone
from appleshift.state.cluster_state import EXITED, UP, Job, Machine

log = logging.getLogger(__name__)

ERROR_WINDOW_S = 120.0
MAX_BACKOFF_S = 20.0
AVOID_S = 20.0
PAUSE_S = 3.0
SLOW_PEERS = 3
SLOW_TASKS = 6
SLOW_WEIGHT = 0.2
SLOW_RATIO = 2.0
MIN_MACHINES_FOR_UNREACHABLE = 3
"""So few machines of a zone may well fall silent by themselves."""
UNREACHABLE_SILENT_SHARE = 8
"""So many unanswered probes are evidence enough about a silent zone."""
NEW_LEADER_S = 2.0
MAX_INSPECTIONS = 40
"""So many machines are asked in one look at the fleet."""
CONFIRMED_SILENT_S = 1.0
CONFIRMED_LOST_S = 5.0
UNREACHABLE_PROBES = 4
"""Machines of a dark zone that are asked directly whether it is back."""
UNREACHABLE_PATIENCE_S = 180.0
"""Longer than this, machines that cannot be heard are not paid for, and a zone
of which nothing is left to be heard is tried again."""

UNREACHABLE_RETRY_S = 10.0
"""After so long a zone that is cut off, and of which nothing is left, is tried."""


class MachineHealth:
    """Part of the fleet: looks at every machine a few times a second."""

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._scheduler = fleet.scheduler
        self._cluster = fleet.cluster
        self._started = fleet.scheduler.now
        # Zones that are cut off, and since when.
        self.unreachable_zones: dict[int, float] = {}
        # Since when zones that were cut off are back.
        self._reachable_again_at: dict[int, float] = {}

    def check(self, now: float) -> None:
        report_s = self._scheduler.settings.deployment.workers.report_s
        # Reports are a quarter late at most: one that is missing is probed for
        # at once, and two intervals without any must have passed.
        probe_s = report_s * 1.4
        # A new leader asks those that have not found it yet, not all at once.
        new_s = min(probe_s, NEW_LEADER_S)
        inspections = MAX_INSPECTIONS
        silent_s = max(self._scheduler.operator.silent_s, 2.2 * report_s)
        silent: dict[int, list[Machine]] = {}
        up: dict[int, int] = {}
        for machine in self._cluster.machines.values():
            if machine.status != UP or machine.deletion_requested or machine.in_other_shard:
                continue
            up[machine.zone] = up.get(machine.zone, 0) + 1
            if now - machine.last_heard <= new_s and not machine.commands_lost_since:
                # Nearly all of them, several times a second.
                continue
            known = machine.last_heard >= self._started
            if self._silent_for_s(machine, now) > (probe_s if known else new_s):
                silent.setdefault(machine.zone, []).append(machine)
        # Silence alone is no evidence: after a takeover workers take a while to
        # find the leader, but they answer when asked.
        quiet_zones = set()
        suspect = set()
        for zone, machines in silent.items():
            if len(machines) >= MIN_MACHINES_FOR_UNREACHABLE and len(machines) * 2 > up[zone]:
                suspect.add(zone)
            mute = sum(1 for machine in machines if machine.unanswered_probes > 0)
            least = 1 if zone in self.unreachable_zones else MIN_MACHINES_FOR_UNREACHABLE
            # Probing all of a large zone would take seconds: some are enough.
            asked = min(UNREACHABLE_SILENT_SHARE, len(machines) // 2 + 1)
            if len(machines) * 2 > up[zone] and mute >= max(least, asked):
                quiet_zones.add(zone)
        # Nobody answers anywhere: it is ourselves. One zone alone proves nothing.
        ourselves = bool(quiet_zones) and quiet_zones.issuperset(up)
        # Having deleted what was silent proves nothing: a zone is back when
        # most of its machines are heard. Once 124 were rented too early.
        unheard = {
            zone
            for zone, since in self.unreachable_zones.items()
            if zone not in up and now - since <= UNREACHABLE_PATIENCE_S
        }
        self._mark_unreachable(set() if ourselves else quiet_zones | unheard, now, not ourselves)
        for zone, machines in silent.items():
            probes = UNREACHABLE_PROBES if zone in self.unreachable_zones else len(machines)
            for machine in machines:
                quiet = self._silent_for_s(machine, now)
                # Zones fall silent one after the other even if it is ourselves.
                sure = (
                    zone not in suspect
                    or now - self.unreachable_zones.get(zone, now) > CONFIRMED_SILENT_S
                )
                if sure and not ourselves and self._is_lost(machine, quiet, silent_s, now):
                    self._fleet.evict_group(machine)
                    self._fleet.delete(machine, f"silent for {quiet:.1f} s")
                elif (
                    machine.addr
                    and not machine.probe_in_flight
                    and inspections > 0
                    and (probes > 0 or runs_replicas(machine))
                ):
                    probes -= 1
                    inspections -= 1
                    machine.probe_in_flight = True
                    self._scheduler.actions.append(ProbeMachine(machine.name, machine.addr))

    def _silent_for_s(self, machine: Machine, now: float) -> float:
        """For how long a machine could have been heard, or shown that it hears, and did not."""
        sign = min(machine.commands_lost_since or machine.last_heard, machine.last_heard)
        since = max(sign, self._started, self._reachable_again_at.get(machine.zone, 0.0))
        return now - since

    def is_trusted(self, zone: int) -> bool:
        """Is a zone's capacity there? A zone may seem dark for a moment after a
        takeover; what it holds is not rented anew for that."""
        return (
            self._scheduler.now - self.unreachable_zones.get(zone, self._scheduler.now)
            <= CONFIRMED_LOST_S
        )

    def may_try_unreachable(self, zone: int) -> bool:
        """May a single machine be rented in a zone that is cut off, to find out?

        If all that was heard of a zone was deleted or has died, nothing can ever be heard of
        it again. Jobs that are bound to it once waited three minutes for that reason alone.
        """
        since = self.unreachable_zones.get(zone)
        if since is None or self._scheduler.now - since < UNREACHABLE_RETRY_S:
            return False
        machines = self._cluster.machines.values()
        return not any(each.zone == zone and not each.deletion_requested for each in machines)

    def _mark_unreachable(self, zones: set[int], now: float, heard: bool) -> None:
        for zone in zones - self.unreachable_zones.keys():
            log.info("zone %s is cut off", self._cluster.zones.names[zone])
            self.unreachable_zones[zone] = now
        for zone in self.unreachable_zones.keys() - zones:
            log.info("zone %s is back", self._cluster.zones.names[zone])
            del self.unreachable_zones[zone]
            self._scheduler.placement_needed = True
            # Most of it is heard; the rest gets its time to be, as after a
            # takeover. Once 41 machines were deleted in the second in which a
            # zone came back, for what they had not answered while it was dark.
            if not heard:
                continue
            self._reachable_again_at[zone] = now
            for machine in self._cluster.machines.values():
                if machine.zone == zone:
                    machine.unanswered_probes = 0

    def _is_lost(self, machine: Machine, quiet: float, silent_s: float, now: float) -> bool:
        """Is its deletion, which proves its tasks gone, better than waiting?"""
        if machine.zone in self.unreachable_zones and not runs_replicas(machine):
            # Its tasks are free when its lease is over, and the machine is
            # there, images and all, once the zone is back.
            return (
                now - self.unreachable_zones[machine.zone] > UNREACHABLE_PATIENCE_S
                and machine.empty()
            )
        # After a takeover workers take a while to find the new leader; a
        # probe does not depend on that, so one more of them will do.
        probes = 2 if machine.last_heard >= self._started else 3
        if machine.zone in self.unreachable_zones:
            # Its whole zone is as silent as it is.
            return machine.unanswered_probes > 0 and self._frees_more_than_it_costs(machine)
        if quiet > silent_s and machine.unanswered_probes >= probes:
            return True
        return quiet > self._scheduler.worker_lease_s + silent_s and machine.empty()

    def _frees_more_than_it_costs(self, machine: Machine) -> bool:
        """Replicas that may start elsewhere gain a lease's time by a deletion; those
        that may not lose a boot's time once the zone is back.

        With two zones and replicas spread over them, 91 machines were once
        deleted in a cut of 40 s though none of theirs could start in the other.
        """
        movable = stuck = 0.0
        for run in machine.runs.values():
            if run.job.service and run.state != EXITED:
                share = self._movable(run.job, machine.zone)
                movable += share
                stuck += 1.0 - share
        return movable > stuck

    def _movable(self, job: Job, zone: int) -> float:
        """The share of a job's replicas in a zone that may start in others."""
        if job.zone == zone:
            return 0.0
        rooms = remaining_per_zone(self._cluster, job)
        if rooms is None:
            return 1.0
        here = sum(run.machine.zone == zone for run in job.runs.values())
        room = sum(
            max(0, left)
            for other, left in rooms.items()
            if other != zone and other not in self.unreachable_zones
        )
        return min(1.0, room / max(1, here))

    def probed(self, name: str, answered: bool) -> None:
        machine = self._cluster.machine(name)
        if machine is not None:
            machine.probe_in_flight = False
            self._scheduler.liveness.command_result(machine, answered)

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Tell a faulty machine from a faulty job by who else failed where."""
        now = self._scheduler.now
        job.failed_machines.add(machine.index)
        job.avoided_machines[machine.index] = now + AVOID_S
        machine.avoid_until = now + PAUSE_S
        if len(job.failed_machines) >= 2 and not job.done_count:
            # It failed on several machines: the job is to blame, not they.
            job.backoff_s = min(MAX_BACKOFF_S, max(1.0, job.backoff_s * 2))
            job.not_before = now + job.backoff_s
            for other in self._cluster.machines.values():
                other.job_errors.pop(job.index, None)
            return
        machine.job_errors[job.index] = now
        recent = [at for at in machine.job_errors.values() if at > now - ERROR_WINDOW_S]
        if len(recent) >= self._scheduler.operator.sick_jobs and not machine.quarantined:
            log.info("machine %s fails tasks of several jobs: set aside", machine.name)
            machine.quarantined = True
            self._scheduler.placement_needed = True

    def task_ran(self, machine: Machine, job: Job, seconds: float) -> None:
        """Tell a slow machine from long work: by the same job's tasks elsewhere."""
        if job.completed_runs >= SLOW_PEERS and not machine.quarantined:
            ratio = min(10.0, seconds * job.completed_runs / max(job.completed_run_s, 1e-3))
            machine.slowness += (ratio - machine.slowness) * SLOW_WEIGHT
            machine.slow_count += 1
            if machine.slow_count >= SLOW_TASKS and machine.slowness > SLOW_RATIO:
                log.info("machine %s is %.1f times slower", machine.name, machine.slowness)
                machine.quarantined = True
                self._scheduler.placement_needed = True
                return
        job.completed_run_s += seconds
        job.completed_runs += 1


def runs_replicas(machine: Machine) -> bool:
    """Replicas on it are missed from the first second on."""
    return any(run.job.service and run.state != EXITED for run in machine.runs.values())
