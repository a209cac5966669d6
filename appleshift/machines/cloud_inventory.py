"""Reconciles a shard's machines with the cloud's listing, which lags behind."""

from __future__ import annotations

import logging

from appleshift.contracts.interfaces import FleetView
from appleshift.machines.shard_ownership import may_delete, update_shard_ownership
from appleshift.protocol import cloud
from appleshift.protocol.cloud import ListedMachine
from appleshift.state.entities import Machine

log = logging.getLogger(__name__)

HEARTBEAT_AGE_LAGS = 2
"""A machine that sent a heartbeat or answered a probe within this many listing lags exists, even
if it is missing in a listing."""
MIN_AGE_LAGS = 4
"""Age, in listing lags, up to which a machine may still be missing in a listing."""
MIN_AGE_MARGIN_S = 10.0
"""Added to the age above, in seconds."""
MISSING_LAGS = 3
"""A missing machine counts as gone this many listing lags after it was first listed."""


class CloudInventory:
    """Applies listings of the cloud, which are outdated and may arrive out of order."""

    def __init__(self, fleet: FleetView) -> None:
        """Reconcile the machines of ``fleet``."""
        self._fleet = fleet
        self._scheduler = fleet.scheduler
        self._cluster = fleet.cluster

    def reconcile(self, rows: list[ListedMachine], complete: bool) -> None:
        """Add, update and delete machines according to a listing.

        Only a ``complete`` listing, of which every row could be read, proves that machines
        missing in it are gone.
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
        """Add a machine that was found in a listing.

        Returns None if the machine was deleted or its type is unknown. Until the machine sends
        heartbeats, it is assumed to hold a lease granted by an earlier leader.
        """
        if row.name in self._cluster.deleted_machines:
            return None
        machine = self._cluster.add_machine(row.name, row.type, row.zone, row.spot)
        if machine is None:
            return None
        now = self._scheduler.now
        log.info("machine found in cloud listing machine=%s", row.name)
        update_shard_ownership(self._scheduler, machine)
        machine.rented_at = now - row.age_s
        machine.idle_since = now
        machine.lease_until = now + self._scheduler.worker_lease_s
        return machine

    def _update(self, machine: Machine, row: ListedMachine) -> None:
        """Update a machine from its row; delete it if the row reports it as failed."""
        now = self._scheduler.now
        # This address is used to probe the machine before its first heartbeat.
        machine.listed_addr = row.addr or machine.listed_addr
        if machine.listed_at is None:
            machine.listed_at = now
            machine.rented_at = min(machine.rented_at, now - row.age_s)
        failed = row.state == cloud.FAILED and not machine.deletion_requested
        if failed and may_delete(machine):
            self._fleet.evict_spot_group(machine)
            self._fleet.delete(machine, "failed")

    def _delete_missing(self, listed_names: set[str]) -> None:
        """Delete the machines that should be in a complete listing but are missing."""
        now = self._scheduler.now
        lag_s = self._scheduler.settings.deployment.cloud.list_lag_s
        for machine in list(self._cluster.machines.values()):
            if machine.name in listed_names or machine.deletion_requested:
                continue
            if not may_delete(machine):
                continue
            heard_recently = machine.last_contact_at > now - HEARTBEAT_AGE_LAGS * lag_s
            old = now - machine.rented_at > MIN_AGE_LAGS * lag_s + MIN_AGE_MARGIN_S
            if heard_recently or not old:
                continue
            # The cloud has reclaimed the machine, or it never existed. Deleting an unknown
            # name is harmless, and the response proves that the machine's tasks are gone.
            if machine.listed_at is None or now - machine.listed_at > MISSING_LAGS * lag_s:
                self._fleet.evict_spot_group(machine)
                self._fleet.delete(machine, "no longer listed")
