"""Deletion of rented machines: requests in batches, and the cloud's answers."""

from __future__ import annotations

import math

from appleshift.contracts.actions import DeleteMachines
from appleshift.protocol import cloud
from appleshift.scheduler.interfaces import TermScheduler
from appleshift.state.entities import Machine
from appleshift.storage import records

DELETION_RETRY_S = 1.0
"""A deletion that the cloud did not confirm is requested again after this long."""


class MachineDeletions:
    """Machines to be deleted, gathered into as few calls as possible: their rate is limited."""

    def __init__(self, scheduler: TermScheduler) -> None:
        """Begin with nothing to delete."""
        self._scheduler = scheduler
        self._pending: list[str] = []

    def __len__(self) -> int:
        """Return how many deletions have not been handed to the cloud."""
        return len(self._pending)

    def request(self, machines: list[Machine]) -> None:
        """Delete these machines; those of one step share a call."""
        for machine in machines:
            machine.deletion_requested = True
            machine.retry_deletion_at = math.inf
        self._pending += [machine.name for machine in machines]

    def flush(self) -> None:
        """Emit the calls for what was requested, as long as this node may act."""
        scheduler = self._scheduler
        while self._pending and scheduler.lease.may_answer(scheduler.now):
            batch = self._pending[: cloud.MAX_DELETE]
            self._pending = self._pending[cloud.MAX_DELETE :]
            scheduler.actions.append(DeleteMachines(tuple(batch)))

    def answered(self, names: tuple[str, ...], ok: bool) -> None:
        """Process a call's result: success proves that machines and tasks are gone."""
        scheduler = self._scheduler
        for name in names:
            machine = scheduler.cluster.machine(name)
            if machine is None:
                continue
            if not ok:
                machine.retry_deletion_at = scheduler.now + DELETION_RETRY_S
                continue
            self._deleted(machine)
        scheduler.placement_needed = True

    def _deleted(self, machine: Machine) -> None:
        scheduler = self._scheduler
        scheduler.agent_epoch_ended(machine)
        scheduler.cluster.remove_deleted_machine(machine)
        scheduler.fast_path.entries.pop(machine.name, None)
        scheduler.fleet.machine_deleted(machine)
        if machine.addr:
            # Without an address the machine never reported, so no record of it exists.
            scheduler.write_ahead_log.append(records.machine_deleted_record(machine))
