"""Deletes machines that do not boot in time."""

from __future__ import annotations

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import FleetView
from appleshift.machines.health import MachineHealth
from appleshift.state.entities import Machine

BOOT_MARGIN_S = 5.0
"""Added to the longest accepted boot time, in seconds."""
MAX_UNANSWERED_PROBES = 2
"""Unanswered probes after which a machine that boots late is deleted."""


class BootMonitor:
    """Deletes machines that boot late, unless they may be up without a connection to a node."""

    def __init__(self, fleet: FleetView, health: MachineHealth) -> None:
        """Monitor the boots of ``fleet``; ``health`` provides the unreachable zones."""
        self._fleet = fleet
        self._health = health

    def check(self, machine: Machine, now: float) -> None:
        """Probe a machine that boots late, then delete it if it leaves probes unanswered."""
        boot_s = self._fleet.cluster.types[machine.type].boot_s
        timeout_s = boot_s * self._fleet.operator.boot_patience + BOOT_MARGIN_S
        if now - machine.rented_at <= timeout_s:
            return
        if machine.zone in self._health.unreachable_zones:
            return
        if machine.listed_addr and machine.unanswered_probes < MAX_UNANSWERED_PROBES:
            # If all connections of the nodes are in use, heartbeats of the machine do not
            # arrive. The answer to a probe shows that it is up.
            if not machine.probe_in_flight:
                machine.probe_in_flight = True
                self._fleet.scheduler.actions.append(
                    ProbeMachine(machine.name, machine.listed_addr)
                )
            return
        self._fleet.delete(machine, "did not come up")
