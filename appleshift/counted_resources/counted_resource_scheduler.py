"""The counted resources of one leader term.

Implements ``placement.counted_resource_interfaces.CountedResources``. Used only by the
scheduler's thread.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from typing import Any

from appleshift.counted_resources.allocator import Allocator
from appleshift.counted_resources.audit_log import AuditLog
from appleshift.counted_resources.ledger import Ledger, holder_name
from appleshift.counted_resources.license_reservation import (
    LicenseReservation,
    PendingReservationRequest,
)
from appleshift.protocol.counted_resources import (
    CountedResourceDefinition,
    CountedResourceRules,
    definition_from_record,
    definition_to_record,
)
from appleshift.protocol.license_server import ReservationReply
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.wire import MAX_BODY_BYTES, json_size
from appleshift.state.entities import Job
from appleshift.state.states import OPEN
from appleshift.storage import records
from appleshift.storage.log_replayer import LogReplayer
from appleshift.storage.records import Record
from appleshift.storage.write_ahead_log import WriteAheadLog

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 1.0
"""Seconds between placement passes while jobs lack units: earmarks, commitments and license
reservations change with time alone."""
MAX_JOBS_SHOWN = 400
"""Most jobs that a response lists over all resources, so that it fits into 64 KiB."""


class CountedResourceScheduler(Ledger):
    """Counts resources for the scheduler and keeps their reservations at license servers."""

    def __init__(
        self,
        definitions: Iterable[CountedResourceDefinition],
        rules: CountedResourceRules,
        replayer: LogReplayer,
        write_ahead_log: WriteAheadLog,
        token: int,
        wall: float,
    ) -> None:
        """Define the resources for the leader term with fencing token ``token``.

        Appends to the write-ahead log the definitions that differ from the recorded ones,
        and the removal of recorded resources that are no longer defined.
        """
        super().__init__(replayer.cluster)
        self.rules = rules
        self._write_ahead_log = write_ahead_log
        self.audit_log = _restore_audit_log(replayer, write_ahead_log)
        write_ahead_log.on_record_durable = self.audit_log.apply
        self._next_step_at = 0.0
        for definition in definitions:
            server = definition.server
            reservation = (
                None if server is None else LicenseReservation(definition.name, server, token)
            )
            self.define(definition, reservation)
            if replayer.counted_resources.get(definition.name) != definition_to_record(definition):
                record = records.counted_resource_record(
                    definition.name, definition_to_record(definition), wall
                )
                write_ahead_log.append(record)
        for name in replayer.counted_resources.keys() - set(self.names.names):
            log.info("resource %s is no longer counted", name)
            write_ahead_log.append(records.counted_resource_record(name, None, wall))

    def begin_recovery(self) -> None:
        """Count all assignments from now on; called before assignments are recovered."""
        self.cluster.counted_resources = self
        for job in self.cluster.jobs.values():
            if job.spec.counted_resources is not None:
                job.counted_needs = self.needs_per_task(job.spec)

    def end_recovery(self) -> None:
        """Repeat the returns to license servers that earlier terms may not have completed.

        Called after all assignments have been recovered.
        """
        reservations = [each.reservation for each in self.resources if each.reservation is not None]
        for name, attempt in self.audit_log.returned_attempts() if reservations else ():
            for reservation in reservations:
                reservation.add_unconfirmed_return(holder_name(name, attempt))

    # -- passes ------------------------------------------------------------------------

    def begin_pass(self, now: float) -> Allocator:
        """Begin a placement pass at monotonic time ``now`` in seconds."""
        return Allocator(self, now, self.rules.starve_s)

    def capped_tasks(self, jobs: Iterable[Job]) -> dict[int, int]:
        """Return how many tasks of each job can hold their counted resources at once.

        The result is by job index and has only the open jobs that need counted resources.
        """
        return self.plan_allocation(
            [job for job in jobs if job.counted_needs and job.status == OPEN]
        )[0]

    # -- time --------------------------------------------------------------------------

    def step(self, now: float, wall: float) -> bool:
        """Return, once per STEP_INTERVAL_S, whether a job waits for units; False in between."""
        if now < self._next_step_at:
            return False
        self._next_step_at = now + STEP_INTERVAL_S
        return bool(self.waiting_since)

    def reservation_requests(self, now: float) -> list[PendingReservationRequest]:
        """Return the heartbeats to license servers that are due."""
        with_server = [
            (number, resource.reservation)
            for number, resource in enumerate(self.resources)
            if resource.reservation is not None and resource.reservation.may_send_request(now)
        ]
        if not with_server:
            return []
        wanted = self._wanted_units()
        requests = []
        for number, reservation in with_server:
            reserve = min(self.resources[number].total, wanted[number])
            if reservation.request_due(now, reserve):
                requests.append(reservation.next_request(now, reserve))
        return requests

    def _wanted_units(self) -> Counter[int]:
        """Return the units that all unfinished tasks of open jobs need, by resource index."""
        wanted: Counter[int] = Counter()
        for job in self.cluster.jobs.values():
            for number, count in job.counted_needs if job.status == OPEN else ():
                wanted[number] += count * (len(job.runs) + len(job.pending))
        return wanted

    def license_server_answered(
        self, name: str, serial: int, reply: ReservationReply | None, now: float
    ) -> bool:
        """Handle a license server's reply to a heartbeat, None if there was none.

        Returns true if more units may be granted than before.
        """
        number = self.names.get(name)
        reservation = self.resources[number].reservation if number >= 0 else None
        return reservation is not None and reservation.reply_received(serial, reply, now)

    # -- snapshots ----------------------------------------------------------------------

    def definition_records(self) -> list[Record]:
        """Return the records that define the resources, for a snapshot.

        Their time is 0, which adds no entry to the audit log: nothing has changed.
        """
        return [
            records.counted_resource_record(each.name, definition_to_record(each.definition), 0.0)
            for each in self.resources
            if each.definition is not None
        ]

    def unsaved_audit_entries(self) -> list[list[Any]]:
        """Return the entries of the audit log that are not yet in a stored page."""
        self.audit_log.drop_saved_entries(self._write_ahead_log.header.audit_pages[2])
        return list(self.audit_log.tail)

    @property
    def audit_pages(self) -> int:
        """Number of pages of the audit log that are kept in the key-value store."""
        return self.rules.history_pages

    # -- views for operators ---------------------------------------------------------------

    def view(self, now: float) -> dict[str, Any]:
        """Return the state of all resources for operators."""
        rows = [self.truncated_resource_view(number, now) for number in range(len(self.resources))]
        return {"resources": rows, "starving_after_s": self.rules.starve_s}

    def truncated_resource_view(self, number: int, now: float) -> dict[str, Any]:
        """Return the state of one resource, with the jobs beyond its share of the list omitted."""
        row = self.resource_view(number, now)
        max_jobs = max(1, MAX_JOBS_SHOWN // max(1, len(self.resources)))
        row["jobs_not_shown"] = max(0, len(row["jobs"]) - max_jobs)
        row["jobs"] = row["jobs"][:max_jobs]
        return row

    def history(self, after: int) -> dict[str, Any]:
        """Return entries of the audit log that are not yet in a stored page.

        Returns those with numbers above ``after``, as many as fit into a response, and the
        range of the stored pages with the earlier entries.
        """
        first_page, end_page, written_entries = self._write_ahead_log.header.audit_pages
        self.audit_log.drop_saved_entries(written_entries)
        entries: list[list[Any]] = []
        size = 0
        for entry in self.audit_log.tail:
            if entry[0] <= after:
                continue
            size += json_size(entry)
            if size > MAX_BODY_BYTES // 2 and entries:
                break
            entries.append(entry)
        more = bool(entries) and entries[-1][0] + 1 < self.audit_log.next_number
        return {"pages": [first_page, end_page], "entries": entries, "more": more}


def _restore_audit_log(replayer: LogReplayer, write_ahead_log: WriteAheadLog) -> AuditLog:
    """Return the audit log that was replayed, or a new one if nothing was counted so far."""
    if isinstance(replayer.audit_log, AuditLog):
        return replayer.audit_log
    audit_log = AuditLog(write_ahead_log.header.audit_pages[2])
    for job in replayer.cluster.jobs.values():
        if job.spec.counted_resources is not None:
            audit_log.apply(records.job_record(job))
    for index, locations in replayer.task_locations.items():
        for task, (attempt, machine, agent_epoch) in locations.items():
            audit_log.apply([records.ASSIGN, index, attempt, machine, agent_epoch, [task, task]])
    return audit_log


def create_counted_resources(
    operator: OperatorSettings,
    replayer: LogReplayer,
    write_ahead_log: WriteAheadLog,
    token: int,
    wall: float,
) -> CountedResourceScheduler | None:
    """Return the counted resources of this leader term; None if nothing is counted.

    Definitions in the operator settings take precedence. Without any, the recorded
    definitions apply, so that a leader without the settings file still counts resources.
    """
    rules = operator.seat_rules or CountedResourceRules()
    definitions = list(operator.seats)
    if not definitions and not rules.off:
        definitions = [
            definition_from_record(record) for record in replayer.counted_resources.values()
        ]
        if definitions:
            log.info("counting %d resources as the log has them", len(definitions))
    if rules.off:
        definitions = []
    if not definitions and not replayer.counted_resources:
        return None
    for definition in definitions:
        for team in definition.teams:
            if replayer.cluster.team_names.get(team.name) < 0:
                log.error("resource %s: no such team: %s", definition.name, team.name)
    counted_resources = CountedResourceScheduler(
        definitions, rules, replayer, write_ahead_log, token, wall
    )
    # Without definitions, the constructor has recorded that nothing is counted any more.
    return counted_resources if definitions else None
