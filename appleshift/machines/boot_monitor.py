"""Gives up machines that do not boot in time."""

from __future__ import annotations

from appleshift.contracts.actions import ProbeMachine
from appleshift.contracts.interfaces import FleetView
from appleshift.machines.health import MachineHealth
from appleshift.state.entities import Machine

BOOT_MARGIN_S = 5.0
"""Added to the boot time that operators accept, in seconds."""
BOOT_PROBES = 2
"""Probes that a late boot leaves unanswered before it is given up."""


class BootMonitor:
    """Deletes machines whose boot is late, unless they may be up and unheard."""

    def __init__(self, fleet: FleetView, health: MachineHealth) -> None:
        """Watch the boots of ``fleet``; ``health`` knows the unreachable zones."""
        self._fleet = fleet
        self._health = health

    def check(self, machine: Machine, now: float) -> None:
        """Probe a machine whose boot is late, then delete it if it does not answer."""
        boot_s = self._fleet.cluster.types[machine.type].boot_s
        patience_s = boot_s * self._fleet.operator.boot_patience + BOOT_MARGIN_S
        if now - machine.rented_at <= patience_s:
            return
        if machine.zone in self._health.unreachable_zones:
            return
        if machine.listed_addr and machine.unanswered_probes < BOOT_PROBES:
            # All connections of the nodes may be in use, so that its heartbeats do not
            # arrive. The answer to a probe says that it is up.
            if not machine.probe_in_flight:
                machine.probe_in_flight = True
                self._fleet.scheduler.actions.append(
                    ProbeMachine(machine.name, machine.listed_addr)
                )
            return
        self._fleet.delete(machine, "did not come up")
