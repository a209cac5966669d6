"""Counted resources as a part of the core, for one term.

Implements ``coordination.counted.Seats``; owned by the core's routine.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from typing import Any

from appleshift.counted_resources.allocator import Grants
from appleshift.counted_resources.audit_log import Trail
from appleshift.counted_resources.ledger import Book, holder_name
from appleshift.counted_resources.license_reservation import Account, Ask
from appleshift.protocol.counted_resources import SeatDefinition, SeatRules, from_record, to_record
from appleshift.protocol.license_server import Standing
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.wire import MAX_BODY, json_size
from appleshift.state.cluster_state import OPEN, Job
from appleshift.storage import records
from appleshift.storage.records import LogReplayer, Record
from appleshift.storage.write_ahead_log import WriteAheadLog

log = logging.getLogger(__name__)

LOOK_S = 1.0
"""Time alone changes what may be granted: turns, promises, silence."""
MAX_SHOWN = 400
"""Jobs that an answer lists for each resource; 64 KiB must hold it."""


class SeatsPart(Book):
    """What is counted, and what goes to and comes from licence servers."""

    def __init__(
        self,
        definitions: Iterable[SeatDefinition],
        rules: SeatRules,
        replay: LogReplayer,
        journal: WriteAheadLog,
        token: int,
        wall: float,
    ) -> None:
        super().__init__(replay.cluster)
        self.rules = rules
        self._journal = journal
        self.trail = _trail_of(replay, journal)
        journal.on_record_durable = self.trail.apply
        self._next_look = 0.0
        for definition in definitions:
            server = definition.server
            account = None if server is None else Account(definition.name, server, token)
            self.define(definition, account)
            if replay.counted_resources.get(definition.name) != to_record(definition):
                record = records.counted_resource_record(
                    definition.name, to_record(definition), wall
                )
                journal.append(record)
        for name in replay.counted_resources.keys() - set(self.names.names):
            log.info("resource %s is no longer counted", name)
            journal.append(records.counted_resource_record(name, None, wall))

    def adopt(self) -> None:
        """Before assignments are recovered: from now on each of them counts."""
        self.cluster.counted_resources = self
        for job in self.cluster.jobs.values():
            if job.spec.seats is not None:
                job.counted_needs = self.needs_of(job.spec)

    def recovered(self) -> None:
        """After that: what the servers may not know to be given back."""
        accounts = [each.account for each in self.resources if each.account is not None]
        for name, attempt in self.trail.returns() if accounts else ():
            for account in accounts:
                account.returned_before(holder_name(name, attempt))

    # -- passes ------------------------------------------------------------------------

    def begin(self, now: float) -> Grants:
        return Grants(self, now, self.rules.starve_s)

    def caps(self, jobs: Iterable[Job]) -> dict[int, int]:
        return self.allot([job for job in jobs if job.counted_needs and job.status == OPEN])[0]

    # -- time --------------------------------------------------------------------------

    def step(self, now: float, wall: float) -> bool:
        if now < self._next_look:
            return False
        self._next_look = now + LOOK_S
        return bool(self.waiting)

    def asks(self, now: float) -> list[Ask]:
        """Heartbeats to licence servers that are due."""
        served = [
            (number, resource.account)
            for number, resource in enumerate(self.resources)
            if resource.account is not None and resource.account.may_ask(now)
        ]
        if not served:
            return []
        wanted = self._wanted()
        found = []
        for number, account in served:
            want = min(self.resources[number].total, wanted[number])
            if account.due(now, want):
                found.append(account.ask(now, want))
        return found

    def _wanted(self) -> Counter[int]:
        """Seats that open jobs could hold, were there enough of them."""
        wanted: Counter[int] = Counter()
        for job in self.cluster.jobs.values():
            for number, count in job.counted_needs if job.status == OPEN else ():
                wanted[number] += count * (len(job.runs) + len(job.pending))
        return wanted

    def told(self, name: str, serial: int, standing: Standing | None, now: float) -> bool:
        """A licence server's answer, or that there was none; true: look again."""
        number = self.names.get(name)
        account = self.resources[number].account if number >= 0 else None
        return account is not None and account.told(serial, standing, now)

    # -- durable ------------------------------------------------------------------------

    def live(self) -> list[Record]:
        # Time 0: no change, so no entry of the audit.
        return [
            records.counted_resource_record(each.name, to_record(each.definition), 0.0)
            for each in self.resources
            if each.definition is not None
        ]

    def audit(self) -> list[list[Any]]:
        self.trail.saved(self._journal.header.audit_pages[2])
        return list(self.trail.tail)

    @property
    def audit_pages(self) -> int:
        return self.rules.history_pages

    # -- to look at ------------------------------------------------------------------------

    def view(self, now: float) -> dict[str, Any]:
        rows = [self.book_view(number, now) for number in range(len(self.resources))]
        return {"resources": rows, "starving_after_s": self.rules.starve_s}

    def book_view(self, number: int, now: float) -> dict[str, Any]:
        row = self.view_of(number, now)
        most = max(1, MAX_SHOWN // max(1, len(self.resources)))
        row["jobs_not_shown"] = max(0, len(row["jobs"]) - most)
        row["jobs"] = row["jobs"][:most]
        return row

    def history(self, after: int) -> dict[str, Any]:
        """The audit's entries above a number that no page holds yet, as many as an
        answer takes, and which pages hold what came before."""
        first, following, written = self._journal.header.audit_pages
        self.trail.saved(written)
        entries: list[list[Any]] = []
        size = 0
        for entry in self.trail.tail:
            if entry[0] <= after:
                continue
            size += json_size(entry)
            if size > MAX_BODY // 2 and entries:
                break
            entries.append(entry)
        more = bool(entries) and entries[-1][0] + 1 < self.trail.next
        return {"pages": [first, following], "entries": entries, "more": more}


def _trail_of(replay: LogReplayer, journal: WriteAheadLog) -> Trail:
    """The trail that followed the log, or a new one where nothing was counted yet."""
    if isinstance(replay.audit_log, Trail):
        return replay.audit_log
    trail = Trail(journal.header.audit_pages[2])
    for job in replay.cluster.jobs.values():
        if job.spec.seats is not None:
            trail.apply(records.job_record(job))
    for (index, task), (attempt, machine, session) in replay.task_locations.items():
        trail.apply([records.ASSIGN, index, attempt, machine, session, [task, task]])
    return trail


def build(
    operator: OperatorSettings,
    replay: LogReplayer,
    journal: WriteAheadLog,
    token: int,
    wall: float,
) -> SeatsPart | None:
    """The counted resources of this term; None where nothing is counted.

    A file decides, where it says anything; else what the log has in force, so
    that a node without the file does not hand out what others count.
    """
    rules = operator.seat_rules or SeatRules()
    definitions = list(operator.seats)
    if not definitions and not rules.off:
        definitions = [from_record(record) for record in replay.counted_resources.values()]
        if definitions:
            log.info("counting %d resources as the log has them", len(definitions))
    if rules.off:
        definitions = []
    if not definitions and not replay.counted_resources:
        return None
    for definition in definitions:
        for team in definition.teams:
            if replay.cluster.team_names.get(team.name) < 0:
                log.error("resource %s: no such team: %s", definition.name, team.name)
    part = SeatsPart(definitions, rules, replay, journal, token, wall)
    # Without definitions it has written down that nothing is counted any more.
    return part if definitions else None
