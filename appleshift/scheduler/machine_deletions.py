"""Deletes rented machines in batches and handles the cloud's responses."""

from __future__ import annotations

import math

from appleshift.contracts.actions import DeleteMachines
from appleshift.protocol import cloud
from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.entities import Machine
from appleshift.storage import records

DELETION_RETRY_S = 1.0
"""Seconds after which a deletion that the cloud did not confirm may be retried."""


class MachineDeletions:
    """Queue of machines to delete.

    Deletions are batched, since the rate of calls to the cloud is limited.
    """

    def __init__(self, scheduler: FullSchedulerView) -> None:
        """Start with an empty queue."""
        self._scheduler = scheduler
        self._pending: list[str] = []

    def __len__(self) -> int:
        """Return the number of machines whose deletion has not been emitted yet."""
        return len(self._pending)

    def request(self, machines: list[Machine]) -> None:
        """Queue machines for deletion; one call deletes all machines of a step if possible."""
        for machine in machines:
            machine.deletion_requested = True
            machine.retry_deletion_at = math.inf
        self._pending += [machine.name for machine in machines]

    def flush(self) -> None:
        """Emit deletion calls for the queued machines, if this node is still the leader."""
        scheduler = self._scheduler
        while self._pending and scheduler.lease.may_answer(scheduler.now):
            batch = self._pending[: cloud.MAX_MACHINES_PER_DELETION]
            self._pending = self._pending[cloud.MAX_MACHINES_PER_DELETION :]
            scheduler.actions.append(DeleteMachines(tuple(batch)))

    def answered(self, names: tuple[str, ...], ok: bool) -> None:
        """Handle the result of a deletion call.

        Success proves that the machines no longer exist, so no task runs on them.
        """
        scheduler = self._scheduler
        for name in names:
            machine = scheduler.cluster.machine(name)
            if machine is None:
                continue
            if not ok:
                machine.retry_deletion_at = scheduler.now + DELETION_RETRY_S
                continue
            self._machine_deleted(machine)
        scheduler.placement_needed = True

    def _machine_deleted(self, machine: Machine) -> None:
        """End the tasks of a machine that no longer exists, remove it and record its deletion."""
        scheduler = self._scheduler
        scheduler.agent_epoch_ended(machine)
        scheduler.cluster.remove_deleted_machine(machine)
        scheduler.fast_path.entries.pop(machine.name, None)
        scheduler.fleet.machine_deleted(machine)
        if machine.addr:
            # The log has no record of a machine without an address: it never sent a heartbeat.
            scheduler.write_ahead_log.append(records.machine_deleted_record(machine))
