"""Health of machines: detects lost machines, unreachable zones, faulty and slow machines.

A machine is silent if it sends no heartbeats or no command reaches it. There are several causes:

- A single machine has died: it is deleted and replaced at once.
- Most machines of a zone are silent: the zone is unreachable. Its machines are most likely still
  up, and new machines in the zone would be unreachable too.
- The machines of all zones are silent: this node is isolated. No machine is deleted; tasks
  are freed only when the leases of their workers expire.
"""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import FleetView
from appleshift.machines.fault_detection import FaultDetector
from appleshift.machines.unreachable_zones import UnreachableZones
from appleshift.placement.fit import spread_allowance_per_zone
from appleshift.state.entities import Job, Machine
from appleshift.state.states import EXITED, UP

PROBE_AFTER_INTERVALS = 1.4
"""A machine is probed after this many heartbeat intervals without a heartbeat. Heartbeats are
at most a quarter of an interval late, so it has missed one then."""
MIN_SILENT_INTERVALS = 2.2
"""A machine counts as lost only after this many heartbeat intervals, so that two have passed
without a heartbeat."""
NEW_LEADER_PROBE_S = 2.0
"""Longest time in seconds before a new leader probes a machine that has sent it no heartbeat."""
MAX_PROBES = 40
"""Most probes in one check of all machines."""
MIN_MACHINES_FOR_UNREACHABLE = 3
"""Fewest machines that make a zone unreachable: fewer may well fail independently."""
MAX_SILENT_FOR_UNREACHABLE = 8
"""This many machines with unanswered probes are sufficient evidence, even for a large zone:
probing all its machines would take seconds."""
UNREACHABLE_PROBES = 4
"""Machines of an unreachable zone probed in one check to test if it is reachable again."""
LOST_PROBES = 2
"""Unanswered probes after which a silent machine counts as lost."""
LOST_PROBES_NEW_LEADER = 3
"""The same for a machine that has sent no heartbeat to this leader. After a failover, workers take
a while to find the new leader. Probes don't depend on that, so one more probe is sufficient."""


@dataclass(frozen=True, slots=True)
class SilentMachines:
    """Numbers of machines that are up, and the silent ones among them, in one check."""

    up: dict[int, int]
    """Zone -> number of its machines that are up."""
    by_zone: dict[int, list[Machine]]
    """Zone -> its machines that are up but silent; only zones with such machines."""

    def is_majority(self, zone: int) -> bool:
        """Whether more than half of a zone's machines are silent."""
        return len(self.by_zone[zone]) * 2 > self.up[zone]


class MachineHealth:
    """Checks the health of all machines several times per second."""

    def __init__(self, fleet: FleetView) -> None:
        """Start to check the machines of ``fleet``, at the start of a term."""
        self._fleet = fleet
        self._scheduler = fleet.scheduler
        self._cluster = fleet.cluster
        self._started = fleet.scheduler.now
        self._faults = FaultDetector(fleet.scheduler)
        self._zones = UnreachableZones(fleet.scheduler)
        self.unreachable_zones = self._zones.unreachable_since

    # -- silent machines and zones ------------------------------------------------------

    def check(self, now: float) -> None:
        """Update the unreachable zones, probe silent machines and delete lost machines."""
        silent = self._find_silent(now)
        silent_zones = self._silent_zones(silent)
        # If the machines of all zones are silent, this node is isolated.
        isolated = bool(silent_zones) and silent_zones.issuperset(silent.up)
        unconfirmed = self._zones.unconfirmed(silent.up, now)
        self._zones.update(set() if isolated else silent_zones | unconfirmed, now, isolated)
        probes_left = MAX_PROBES
        for zone, machines in silent.by_zone.items():
            suspected = len(machines) >= MIN_MACHINES_FOR_UNREACHABLE and silent.is_majority(zone)
            may_be_lost = not isolated and (not suspected or self._zones.is_confirmed(zone, now))
            probes_left -= self._delete_or_probe(zone, machines, may_be_lost, probes_left, now)

    def _find_silent(self, now: float) -> SilentMachines:
        """Find the silent machines among this shard's machines that are up."""
        report_s = self._scheduler.settings.deployment.workers.report_s
        probe_s = report_s * PROBE_AFTER_INTERVALS
        # A machine that has not yet sent a heartbeat to this leader may be probed earlier.
        new_leader_probe_s = min(probe_s, NEW_LEADER_PROBE_S)
        up: dict[int, int] = {}
        silent: dict[int, list[Machine]] = {}
        for machine in self._cluster.machines.values():
            if machine.status != UP or machine.deletion_requested or machine.in_other_shard:
                continue
            up[machine.zone] = up.get(machine.zone, 0) + 1
            if (
                now - machine.last_contact_at <= new_leader_probe_s
                and not machine.commands_unconfirmed_since
            ):
                # Fast path for nearly all machines in every check.
                continue
            heard_this_term = machine.last_contact_at >= self._started
            if self._silent_for_s(machine, now) > (
                probe_s if heard_this_term else new_leader_probe_s
            ):
                silent.setdefault(machine.zone, []).append(machine)
        return SilentMachines(up, silent)

    def _silent_zones(self, silent: SilentMachines) -> set[int]:
        """Return the zones that seem unreachable.

        In such a zone, most machines are silent and a sufficient number of them left probes
        unanswered. Missing heartbeats alone are no evidence: after a failover, workers take a
        while to find the new leader, but they answer probes.
        """
        zones = set()
        for zone, machines in silent.by_zone.items():
            unanswered = sum(1 for machine in machines if machine.unanswered_probes > 0)
            min_unanswered = 1 if zone in self.unreachable_zones else MIN_MACHINES_FOR_UNREACHABLE
            unanswered_needed = min(MAX_SILENT_FOR_UNREACHABLE, len(machines) // 2 + 1)
            if silent.is_majority(zone) and unanswered >= max(min_unanswered, unanswered_needed):
                zones.add(zone)
        return zones

    def _delete_or_probe(
        self, zone: int, machines: list[Machine], may_be_lost: bool, max_probes: int, now: float
    ) -> int:
        """Delete the lost machines among a zone's silent machines and probe the others.

        In an unreachable zone, probes a few machines to test if it is reachable again, and all
        machines that run replicas. Returns the number of probes, ``max_probes`` at most.
        """
        report_s = self._scheduler.settings.deployment.workers.report_s
        silent_s = max(self._scheduler.operator.silent_s, MIN_SILENT_INTERVALS * report_s)
        zone_probes = UNREACHABLE_PROBES if zone in self.unreachable_zones else len(machines)
        probes_sent = 0
        for machine in machines:
            machine_silent_s = self._silent_for_s(machine, now)
            if may_be_lost and self._is_lost(machine, machine_silent_s, silent_s, now):
                self._fleet.evict_spot_group(machine)
                self._fleet.delete(machine, f"silent for {machine_silent_s:.1f} s")
            elif (
                machine.addr
                and not machine.probe_in_flight
                and probes_sent < max_probes
                and (probes_sent < zone_probes or runs_replicas(machine))
            ):
                probes_sent += 1
                machine.probe_in_flight = True
                self._scheduler.actions.append(ProbeMachine(machine.name, machine.addr))
        return probes_sent

    def _silent_for_s(self, machine: Machine, now: float) -> float:
        """Return for how many seconds a machine sent no heartbeats or received no commands.

        Counts from the start of this term, or from when its zone last became reachable again.
        """
        last_contact = min(
            machine.commands_unconfirmed_since or machine.last_contact_at, machine.last_contact_at
        )
        since = max(last_contact, self._started, self._zones.reachable_again_at(machine.zone))
        return now - since

    def _is_lost(
        self, machine: Machine, machine_silent_s: float, silent_s: float, now: float
    ) -> bool:
        """Whether to delete a silent machine now; its deletion proves that its tasks are gone."""
        if machine.zone in self.unreachable_zones:
            if runs_replicas(machine):
                # Its zone is silent too, so one unanswered probe is sufficient.
                return machine.unanswered_probes > 0 and self._deletion_helps_more_replicas(machine)
            # The machine's tasks can start elsewhere when its lease expires. Once the zone is
            # reachable again, the machine is available with all its images.
            return self._zones.is_past_retention(machine.zone, now) and machine.empty()
        heard_this_term = machine.last_contact_at >= self._started
        probes = LOST_PROBES if heard_this_term else LOST_PROBES_NEW_LEADER
        if machine_silent_s > silent_s and machine.unanswered_probes >= probes:
            return True
        return machine_silent_s > self._scheduler.worker_lease_s + silent_s and machine.empty()

    def _deletion_helps_more_replicas(self, machine: Machine) -> bool:
        """Whether deleting a machine helps more of its replicas than it harms.

        After a deletion, replicas that may start in other zones need not wait until the lease
        expires. Other replicas have to wait for a new machine to boot once the zone is reachable
        again. In a partition of 40 s with two zones and replicas spread over them, 91 machines
        were once deleted although none of their replicas could start in the other zone.
        """
        movable = not_movable = 0.0
        for run in machine.runs.values():
            if run.job.service and run.state != EXITED:
                fraction = self._movable_fraction(run.job, machine.zone)
                movable += fraction
                not_movable += 1.0 - fraction
        return movable > not_movable

    def _movable_fraction(self, job: Job, zone: int) -> float:
        """Return the fraction of a job's replicas in a zone that may start in reachable zones."""
        if job.zone == zone:
            return 0.0
        allowances = spread_allowance_per_zone(self._cluster, job)
        if allowances is None:
            return 1.0
        replicas = sum(run.machine.zone == zone for run in job.runs.values())
        allowed_elsewhere = sum(
            max(0, allowance)
            for other, allowance in allowances.items()
            if other != zone and other not in self.unreachable_zones
        )
        return min(1.0, allowed_elsewhere / max(1, replicas))

    def probe_result(self, name: str, answered: bool) -> None:
        """Record whether the machine ``name`` answered a probe."""
        machine = self._cluster.machine(name)
        if machine is not None:
            machine.probe_in_flight = False
            self._scheduler.liveness.record_command_result(machine, answered)

    # -- zones --------------------------------------------------------------------------

    def is_trusted(self, zone: int) -> bool:
        """Whether a zone's machines count as capacity; see ``UnreachableZones.is_trusted``."""
        return self._zones.is_trusted(zone)

    def may_rent_in_unreachable(self, zone: int) -> bool:
        """Whether to rent a test machine in a zone; see ``UnreachableZones.may_rent_in``."""
        return self._zones.may_rent_in(zone)

    # -- faulty and slow machines -------------------------------------------------------

    def task_failed(self, machine: Machine, job: Job) -> None:
        """Record a failed task; see ``FaultDetector.task_failed``."""
        self._faults.task_failed(machine, job)

    def task_completed(self, machine: Machine, job: Job, seconds: float) -> None:
        """Record a completed task's duration; see ``FaultDetector.task_completed``."""
        self._faults.task_completed(machine, job, seconds)


def runs_replicas(machine: Machine) -> bool:
    """Whether a machine runs service replicas, whose loss users notice immediately."""
    return any(run.job.service and run.state != EXITED for run in machine.runs.values())
