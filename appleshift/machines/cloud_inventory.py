"""Reconciles the known machines with the cloud's listing, which lags behind."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import FleetView
from appleshift.machines.shard_ownership import mark_shard, may_delete
from appleshift.protocol import cloud
from appleshift.protocol.cloud import ListedMachine
from appleshift.state.entities import Machine

log = logging.getLogger(__name__)

HEARTBEAT_AGE_LAGS = 2
"""A machine heard within this many listing lags exists whatever a listing says."""
MIN_AGE_LAGS = 4
MIN_AGE_MARGIN_S = 10.0
"""A listing says nothing of machines younger than that many lags and these seconds."""
MISSING_LAGS = 3
"""How many lags after it was first listed a missing machine counts as gone."""


class CloudInventory:
    """Handles listings of the cloud, each old and perhaps older than the one before."""

    def __init__(self, fleet: FleetView) -> None:
        """Reconcile the machines of ``fleet``."""
        self._fleet = fleet
        self._scheduler = fleet.scheduler
        self._cluster = fleet.cluster

    def reconcile(self, rows: list[ListedMachine], complete: bool) -> None:
        """Take in a listing.

        Only a ``complete`` one, of which every row could be read, proves what is not in it.
        """
        listed_names = set()
        for row in rows:
            listed_names.add(row.name)
            machine = self._cluster.machine(row.name)
            if machine is None:
                machine = self._add(row)
            if machine is not None:
                self._update(machine, row)
        if complete:
            self._delete_missing(listed_names)

    def _add(self, row: ListedMachine) -> Machine | None:
        """Add a machine that only the cloud knows; None if it was deleted or is of no known type.

        Until it sends heartbeats it holds a lease that an earlier leader may have given it.
        """
        if row.name in self._cluster.deleted_machines:
            return None
        machine = self._cluster.add_machine(row.name, row.type, row.zone, row.spot)
        if machine is None:
            return None
        now = self._scheduler.now
        log.info("machine found in cloud listing machine=%s", row.name)
        mark_shard(self._scheduler, machine)
        machine.rented_at = now - row.age_s
        machine.idle_since = now
        machine.lease_until = now + self._scheduler.worker_lease_s
        return machine

    def _update(self, machine: Machine, row: ListedMachine) -> None:
        now = self._scheduler.now
        # Before its first heartbeat the machine can be probed at this address.
        machine.listed_addr = row.addr or machine.listed_addr
        if machine.listed_at is None:
            machine.listed_at = now
            machine.rented_at = min(machine.rented_at, now - row.age_s)
        failed = row.state == cloud.FAILED and not machine.deletion_requested
        if failed and may_delete(machine):
            self._fleet.evict_group(machine)
            self._fleet.delete(machine, "failed")

    def _delete_missing(self, listed_names: set[str]) -> None:
        """Delete the machines that a complete listing should contain and does not."""
        now = self._scheduler.now
        lag_s = self._scheduler.settings.deployment.cloud.list_lag_s
        for machine in list(self._cluster.machines.values()):
            if machine.name in listed_names or machine.deletion_requested:
                continue
            if not may_delete(machine):
                continue
            heard_lately = machine.last_contact_at > now - HEARTBEAT_AGE_LAGS * lag_s
            old = now - machine.rented_at > MIN_AGE_LAGS * lag_s + MIN_AGE_MARGIN_S
            if heard_lately or not old:
                continue
            # The cloud took it, or never had it. Deleting a name that the cloud does not
            # know is harmless, and the answer is the proof that its tasks are gone.
            if machine.listed_at is None or now - machine.listed_at > MISSING_LAGS * lag_s:
                self._fleet.evict_group(machine)
                self._fleet.delete(machine, "no longer listed")
