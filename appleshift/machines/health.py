"""Which machines to trust: silent ones, unreachable zones, faulty and slow machines.

Silence has several causes that call for different answers. A machine that died is replaced
at once. If a whole zone falls silent, it is unreachable: its machines most likely still
stand, and nothing rented there could be heard. If every zone is silent, it is this node
that is isolated, and leases decide.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import FleetView
from appleshift.machines.fault_detection import FaultDetector
from appleshift.machines.unreachable_zones import UnreachableZones
from appleshift.placement.fit import remaining_per_zone
from appleshift.state.entities import Job, Machine
from appleshift.state.states import EXITED, UP

PROBE_AFTER_INTERVALS = 1.4
"""Heartbeats are a quarter late at most: a machine that misses one is probed at once."""
MIN_SILENT_INTERVALS = 2.2
"""Two intervals must have passed without a heartbeat before a machine counts as lost."""
NEW_LEADER_PROBE_S = 2.0
"""A new leader probes machines that it has not heard yet after so many seconds at most."""
MAX_PROBES = 40
"""Probes in one check of all machines."""
MIN_MACHINES_FOR_UNREACHABLE = 3
"""Fewer machines of a zone may well fall silent independently of each other."""
MAX_SILENT_FOR_UNREACHABLE = 8
"""So many machines with unanswered probes are evidence enough of an unreachable zone:
probing all of a large one would take seconds."""
UNREACHABLE_PROBES = 4
"""Machines of an unreachable zone that are probed in a check to find out if it is back."""
LOST_PROBES = 2
"""Unanswered probes after which a silent machine is lost."""
LOST_PROBES_NEW_LEADER = 3
"""The same for a machine that this leader never heard: after a failover workers take a
while to find the new leader. A probe doesn't depend on that, so one more will do."""


@dataclass(frozen=True, slots=True)
class SilentMachines:
    """The result of one look at all machines that are up."""

    up: dict[int, int]
    """Machines that are up, by zone."""
    by_zone: dict[int, list[Machine]]
    """Those of them that are silent."""

    def is_majority(self, zone: int) -> bool:
        """Whether more than half of a zone's machines are silent."""
        return len(self.by_zone[zone]) * 2 > self.up[zone]


class MachineHealth:
    """Checks every machine a few times a second."""

    def __init__(self, fleet: FleetView) -> None:
        """Check the machines of ``fleet`` from now on."""
        self._fleet = fleet
        self._scheduler = fleet.scheduler
        self._cluster = fleet.cluster
        self._started = fleet.scheduler.now
        self._faults = FaultDetector(fleet.scheduler)
        self._zones = UnreachableZones(fleet.scheduler)
        self.unreachable_zones = self._zones.since

    # -- silent machines and zones ------------------------------------------------------

    def check(self, now: float) -> None:
        """Probe silent machines, find unreachable zones and delete lost machines."""
        silent = self._find_silent(now)
        silent_zones = self._silent_zones(silent)
        # Nobody answers anywhere: this node is isolated. One zone alone proves nothing.
        isolated = bool(silent_zones) and silent_zones.issuperset(silent.up)
        unconfirmed = self._zones.unconfirmed(silent.up, now)
        self._zones.update(set() if isolated else silent_zones | unconfirmed, now, isolated)
        probes_left = MAX_PROBES
        for zone, machines in silent.by_zone.items():
            suspected = len(machines) >= MIN_MACHINES_FOR_UNREACHABLE and silent.is_majority(zone)
            may_be_lost = not isolated and (not suspected or self._zones.is_confirmed(zone, now))
            probes_left -= self._delete_or_probe(zone, machines, may_be_lost, probes_left, now)

    def _find_silent(self, now: float) -> SilentMachines:
        report_s = self._scheduler.settings.deployment.workers.report_s
        probe_s = report_s * PROBE_AFTER_INTERVALS
        # A new leader probes those that have not found it yet, not all at once.
        new_s = min(probe_s, NEW_LEADER_PROBE_S)
        up: dict[int, int] = {}
        silent: dict[int, list[Machine]] = {}
        for machine in self._cluster.machines.values():
            if machine.status != UP or machine.deletion_requested or machine.in_other_shard:
                continue
            up[machine.zone] = up.get(machine.zone, 0) + 1
            if now - machine.last_contact_at <= new_s and not machine.commands_unconfirmed_since:
                # Nearly all of them, several times a second.
                continue
            heard_this_term = machine.last_contact_at >= self._started
            if self._silent_for_s(machine, now) > (probe_s if heard_this_term else new_s):
                silent.setdefault(machine.zone, []).append(machine)
        return SilentMachines(up, silent)

    def _silent_zones(self, silent: SilentMachines) -> set[int]:
        """Zones of which most machines are silent and enough left probes unanswered.

        Silence alone is no evidence: after a failover workers take a while to find the
        leader, but they answer probes.
        """
        zones = set()
        for zone, machines in silent.by_zone.items():
            unanswered = sum(1 for machine in machines if machine.unanswered_probes > 0)
            least = 1 if zone in self.unreachable_zones else MIN_MACHINES_FOR_UNREACHABLE
            enough = min(MAX_SILENT_FOR_UNREACHABLE, len(machines) // 2 + 1)
            if silent.is_majority(zone) and unanswered >= max(least, enough):
                zones.add(zone)
        return zones

    def _delete_or_probe(
        self, zone: int, machines: list[Machine], may_be_lost: bool, max_probes: int, now: float
    ) -> int:
        """Delete a zone's silent machines that are lost and probe others; returns the probes.

        Machines that run replicas are probed even beyond the few that show whether an
        unreachable zone is back.
        """
        report_s = self._scheduler.settings.deployment.workers.report_s
        silent_s = max(self._scheduler.operator.silent_s, MIN_SILENT_INTERVALS * report_s)
        zone_probes = UNREACHABLE_PROBES if zone in self.unreachable_zones else len(machines)
        sent = 0
        for machine in machines:
            machine_silent_s = self._silent_for_s(machine, now)
            if may_be_lost and self._is_lost(machine, machine_silent_s, silent_s, now):
                self._fleet.evict_group(machine)
                self._fleet.delete(machine, f"silent for {machine_silent_s:.1f} s")
            elif (
                machine.addr
                and not machine.probe_in_flight
                and sent < max_probes
                and (sent < zone_probes or runs_replicas(machine))
            ):
                sent += 1
                machine.probe_in_flight = True
                self._scheduler.actions.append(ProbeMachine(machine.name, machine.addr))
        return sent

    def _silent_for_s(self, machine: Machine, now: float) -> float:
        """For how many seconds a machine neither sent heartbeats nor answered commands.

        Only the time counts in which it could have been heard.
        """
        last_sign = min(
            machine.commands_unconfirmed_since or machine.last_contact_at, machine.last_contact_at
        )
        since = max(last_sign, self._started, self._zones.reachable_again_at(machine.zone))
        return now - since

    def _is_lost(
        self, machine: Machine, machine_silent_s: float, silent_s: float, now: float
    ) -> bool:
        """Whether to delete a silent machine, which proves its tasks gone, rather than wait."""
        if machine.zone in self.unreachable_zones:
            if runs_replicas(machine):
                # Its whole zone is as silent as it is.
                return machine.unanswered_probes > 0 and self._frees_more_than_it_costs(machine)
            # Its tasks are free when its lease expires, and the machine is there, images
            # and all, once the zone is back.
            return self._zones.is_past_patience(machine.zone, now) and machine.empty()
        heard_this_term = machine.last_contact_at >= self._started
        probes = LOST_PROBES if heard_this_term else LOST_PROBES_NEW_LEADER
        if machine_silent_s > silent_s and machine.unanswered_probes >= probes:
            return True
        return machine_silent_s > self._scheduler.worker_lease_s + silent_s and machine.empty()

    def _frees_more_than_it_costs(self, machine: Machine) -> bool:
        """Whether deleting a machine helps more of its replicas than it harms.

        Replicas that may start in other zones gain a lease's time by a deletion; those that
        may not lose a boot's time once the zone is back. With two zones and replicas spread
        over them, 91 machines were once deleted in a partition of 40 s though none of their
        replicas could start in the other zone.
        """
        movable = stuck = 0.0
        for run in machine.runs.values():
            if run.job.service and run.state != EXITED:
                fraction = self._movable_fraction(run.job, machine.zone)
                movable += fraction
                stuck += 1.0 - fraction
        return movable > stuck

    def _movable_fraction(self, job: Job, zone: int) -> float:
        """The fraction of a job's replicas in a zone that may start in others."""
        if job.zone == zone:
            return 0.0
        remaining = remaining_per_zone(self._cluster, job)
        if remaining is None:
            return 1.0
        replicas = sum(run.machine.zone == zone for run in job.runs.values())
        room_elsewhere = sum(
            max(0, room)
            for other, room in remaining.items()
            if other != zone and other not in self.unreachable_zones
        )
        return min(1.0, room_elsewhere / max(1, replicas))

    def probed(self, name: str, answered: bool) -> None:
        """Count the result of a probe."""
        machine = self._cluster.machine(name)
        if machine is not None:
            machine.probe_in_flight = False
            self._scheduler.liveness.command_result(machine, answered)

    # -- zones --------------------------------------------------------------------------

    def is_trusted(self, zone: int) -> bool:
        """Whether a zone's capacity counts; see ``UnreachableZones.is_trusted``."""
        return self._zones.is_trusted(zone)

    def may_try_unreachable(self, zone: int) -> bool:
        """Whether one machine may be rented in an unreachable zone, to find out if it is back."""
        return self._zones.may_try(zone)

    # -- faulty and slow machines -------------------------------------------------------

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Count a failed task against its machine or its job."""
        self._faults.task_failed(machine, job)

    def task_ran(self, machine: Machine, job: Job, seconds: float) -> None:
        """Compare the duration of a completed task with those of the same job elsewhere."""
        self._faults.task_ran(machine, job, seconds)


def runs_replicas(machine: Machine) -> bool:
    """Whether a machine runs service replicas, which users miss from the first second on."""
    return any(run.job.service and run.state != EXITED for run in machine.runs.values())
