"""Counted resources as a part of the scheduler, for one term.

Implements ``coordination.counted.Units``; owned by the thread of the scheduler.
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
from appleshift.storage.records import LogReplayer, Record
from appleshift.storage.write_ahead_log import WriteAheadLog

log = logging.getLogger(__name__)

LOOK_S = 1.0
"""Time alone changes what may be granted: turns, commitments, silence."""
MAX_SHOWN = 400
"""Jobs that an answer lists for each resource; 64 KiB must hold it."""


class CountedResourceScheduler(Ledger):
    """What is counted, and what goes to and comes from license servers."""

    def __init__(
        self,
        definitions: Iterable[CountedResourceDefinition],
        rules: CountedResourceRules,
        replayer: LogReplayer,
        write_ahead_log: WriteAheadLog,
        token: int,
        wall: float,
    ) -> None:
        """For one term; definitions that the log does not have yet are appended to it."""
        super().__init__(replayer.cluster)
        self.rules = rules
        self._write_ahead_log = write_ahead_log
        self.audit_log = _follow_audit(replayer, write_ahead_log)
        write_ahead_log.on_record_durable = self.audit_log.apply
        self._next_look = 0.0
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
        """Before assignments are recovered: from now on each of them counts."""
        self.cluster.counted_resources = self
        for job in self.cluster.jobs.values():
            if job.spec.counted_resources is not None:
                job.counted_needs = self.needs_of(job.spec)

    def end_recovery(self) -> None:
        """After that: what the servers may not know to be given back."""
        reservations = [each.reservation for each in self.resources if each.reservation is not None]
        for name, attempt in self.audit_log.returned_attempts() if reservations else ():
            for reservation in reservations:
                reservation.add_unconfirmed_return(holder_name(name, attempt))

    # -- passes ------------------------------------------------------------------------

    def begin_pass(self, now: float) -> Allocator:
        """Units in one placement pass."""
        return Allocator(self, now, self.rules.starve_s)

    def capped_tasks(self, jobs: Iterable[Job]) -> dict[int, int]:
        """By job index: how many of its tasks can hold what they need at once."""
        return self.plan_allocation(
            [job for job in jobs if job.counted_needs and job.status == OPEN]
        )[0]

    # -- time --------------------------------------------------------------------------

    def step(self, now: float, wall: float) -> bool:
        """Whether time alone may have changed what can be granted."""
        if now < self._next_look:
            return False
        self._next_look = now + LOOK_S
        return bool(self.waiting_since)

    def reservation_requests(self, now: float) -> list[PendingReservationRequest]:
        """Heartbeats to license servers that are due."""
        served = [
            (number, resource.reservation)
            for number, resource in enumerate(self.resources)
            if resource.reservation is not None and resource.reservation.may_send_request(now)
        ]
        if not served:
            return []
        wanted = self._wanted()
        found = []
        for number, reservation in served:
            want = min(self.resources[number].total, wanted[number])
            if reservation.request_due(now, want):
                found.append(reservation.next_request(now, want))
        return found

    def _wanted(self) -> Counter[int]:
        """Units that open jobs could hold, were there enough of them."""
        wanted: Counter[int] = Counter()
        for job in self.cluster.jobs.values():
            for number, count in job.counted_needs if job.status == OPEN else ():
                wanted[number] += count * (len(job.runs) + len(job.pending))
        return wanted

    def license_server_answered(
        self, name: str, serial: int, standing: ReservationReply | None, now: float
    ) -> bool:
        """A license server's answer, or that there was none; true: look again."""
        number = self.names.get(name)
        reservation = self.resources[number].reservation if number >= 0 else None
        return reservation is not None and reservation.reply_received(serial, standing, now)

    # -- durable ------------------------------------------------------------------------

    def definition_records(self) -> list[Record]:
        # Time 0: no change, so no entry of the audit.
        """Records that define the resources, for a snapshot."""
        return [
            records.counted_resource_record(each.name, definition_to_record(each.definition), 0.0)
            for each in self.resources
            if each.definition is not None
        ]

    def unsaved_audit_entries(self) -> list[list[Any]]:
        """Entries of the audit that no stored page holds yet."""
        self.audit_log.drop_saved_entries(self._write_ahead_log.header.audit_pages[2])
        return list(self.audit_log.tail)

    @property
    def audit_pages(self) -> int:
        """Pages of the audit that are kept."""
        return self.rules.history_pages

    # -- to look at ------------------------------------------------------------------------

    def view(self, now: float) -> dict[str, Any]:
        """All resources, for operators."""
        rows = [self.truncated_resource_view(number, now) for number in range(len(self.resources))]
        return {"resources": rows, "starving_after_s": self.rules.starve_s}

    def truncated_resource_view(self, number: int, now: float) -> dict[str, Any]:
        """One resource as the ledger shows it, with what waits for it."""
        row = self.resource_view(number, now)
        most = max(1, MAX_SHOWN // max(1, len(self.resources)))
        row["jobs_not_shown"] = max(0, len(row["jobs"]) - most)
        row["jobs"] = row["jobs"][:most]
        return row

    def history(self, after: int) -> dict[str, Any]:
        """The audit's entries above a number that no page holds yet, as many as an
        answer takes, and which pages hold what came before."""
        first, following, written = self._write_ahead_log.header.audit_pages
        self.audit_log.drop_saved_entries(written)
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
        return {"pages": [first, following], "entries": entries, "more": more}


def _follow_audit(replayer: LogReplayer, write_ahead_log: WriteAheadLog) -> AuditLog:
    """The audit log that followed the log, or a new one where nothing was counted yet."""
    if isinstance(replayer.audit_log, AuditLog):
        return replayer.audit_log
    trail = AuditLog(write_ahead_log.header.audit_pages[2])
    for job in replayer.cluster.jobs.values():
        if job.spec.counted_resources is not None:
            trail.apply(records.job_record(job))
    for (index, task), (attempt, machine, agent_epoch) in replayer.task_locations.items():
        trail.apply([records.ASSIGN, index, attempt, machine, agent_epoch, [task, task]])
    return trail


def create_counted_resources(
    operator: OperatorSettings,
    replayer: LogReplayer,
    write_ahead_log: WriteAheadLog,
    token: int,
    wall: float,
) -> CountedResourceScheduler | None:
    """The counted resources of this term; None where nothing is counted.

    A file decides, where it says anything; else what the log has in force, so
    that a node without the file does not hand out what others count.
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
    part = CountedResourceScheduler(definitions, rules, replayer, write_ahead_log, token, wall)
    # Without definitions it has written down that nothing is counted any more.
    return part if definitions else None
