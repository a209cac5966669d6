"""One controller node: puts the layers together and owns the core's routine."""

from __future__ import annotations

import contextlib
import gc
import logging
import queue
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from appleshift.bookkeeping.journal import Journal
from appleshift.bookkeeping.records import Replay, Trail
from appleshift.bookkeeping.store import Store, StoreError, recover
from appleshift.bookkeeping.tables import Tables
from appleshift.coordination.core import Core
from appleshift.coordination.desk import Desk
from appleshift.coordination.leading.commit import Committer
from appleshift.coordination.leading.election import LEADER_KEY, Election, Term
from appleshift.coordination.leading.leadership import Leadership
from appleshift.coordination.outgoing.effects import Delete, Effect, Inspect, Push, Rent, Reply
from appleshift.coordination.outgoing.outbound import CloudCalls, WorkerCalls
from appleshift.coordination.pace import Capacity, Load
from appleshift.coordination.placing.counted import Seats
from appleshift.intake import routes
from appleshift.protocol import users
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings, split_address
from appleshift.transport.client import Caller, HttpClient
from appleshift.transport.routines import Routines, Threads
from appleshift.transport.server import Listener

if TYPE_CHECKING:
    from appleshift.seats.calls import LicenceCalls

log = logging.getLogger(__name__)

IDLE_WAIT_S = 0.1
BUSY_WAIT_S = 0.02
SPREAD_GAP_S = 1.0
RELAYS_S = 3.0


class Node:
    """All routines of one process."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        routines: Routines | None = None,
        connect: Callable[[tuple[str, int]], Caller] = HttpClient,
    ) -> None:
        self.routines = routines = routines or Threads()
        self.settings = settings
        self.operator = operator
        deployment = settings.deployment
        self._events = routines.mailbox()
        self._core: Core | None = None
        self._term: Term | None = None
        self._stop = routines.flag()
        siblings = {
            sibling.name: connect(split_address(sibling.peer_addr)) for sibling in settings.siblings
        }
        self.leadership = Leadership(list(siblings), operator.pledge_s, routines.now())
        # All nodes share the rate; so does whoever else leads or stands by mistake.
        share = 0.9 / max(3, len(siblings) + 1)
        self.store = Store(
            connect(split_address(settings.external.state)), deployment.state.rps * share, routines
        )
        self.election = Election(
            settings.name,
            self.store,
            siblings,
            self.leadership,
            operator,
            on_won=lambda term: self._post("won", term),
            on_lost=lambda: self._post("lost"),
            # Marks this process's writes; a restarted one gets another.
            mark=f"{settings.name}.{secrets.token_hex(4)}",
            routines=routines,
        )
        self._capacity = capacity = Capacity.of(deployment.machine_limits)
        self.committer = Committer(self.store, self._post, lambda: self._term, routines)
        self.workers = WorkerCalls(
            self._post,
            connect,
            routines,
            size=capacity.calls,
            most=capacity.clients,
        )
        self.desk = Desk(
            self.election,
            self.leadership,
            siblings,
            self._post,
            lambda: self._events.qsize() / capacity.queued,
            self.workers.reaches,
            routines,
            self.store,
            lambda: routes.audible(capacity.machines, len(self.election.relays())),
        )
        self.cloud = CloudCalls(
            self._post,
            connect(split_address(settings.external.cloud)),
            routines,
            deployment.cloud.rps,
            deployment.cloud.list_lag_s,
            entitled=lambda: self.leadership.may_answer(routines.now()),
        )
        self._load = Load(deployment.machine_limits, capacity, routines.now())
        self._listeners: list[Listener] = []
        self._connect = connect
        self._next_spread = self._relayed_at = 0.0
        # Made when the first licence server is to be asked.
        self._licences: LicenceCalls | None = None

    # -- life -----------------------------------------------------------------

    def listen(self) -> None:
        """Open both listeners; OSError if an address cannot be had."""
        settings = self.settings
        for address, app, limit, name in (
            (settings.cluster_listen, self.desk.cluster, self._capacity.peers, "cluster"),
            (settings.listen, self.desk.public, self._capacity.connections, "listen"),
        ):
            self._listeners.append(Listener(split_address(address), app, limit, name))

    def start(self) -> None:
        # What was loaded at start lives for good: the collector may skip it.
        gc.collect()
        gc.freeze()
        # A leader holds some hundred thousand objects and makes thousands a
        # second, hardly any in cycles: looking for those less often is enough.
        gc.set_threshold(20_000, 20, 20)
        self.routines.spawn("core", self._run)
        self.committer.start()
        self.cloud.start()
        for listener in self._listeners:
            listener.start()
        self.election.start()
        log.info("%s serves on %s", self.settings.name, self.settings.listen)

    def stop(self) -> None:
        """Orderly end: take no more, give up leadership, end the routines."""
        self._stop.set()
        for listener in self._listeners:
            listener.stop()
        self.election.stop()
        self._post("lost")
        self.committer.stop()
        self.cloud.stop()
        self.workers.stop()
        self.desk.stop()
        if self._licences is not None:
            self._licences.stop()

    def _post(self, *event: Any) -> None:
        self._events.put(event)

    # -- the core's routine ------------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._round()
            except Exception:
                # The core's state can no longer be trusted; what is durable
                # can. Another term starts from there.
                log.exception("core failed: giving up this term")
                self._core = None
                self._term = None
                self.cloud.lead(None)
                self.election.depose()

    def _round(self) -> None:
        core = self._core
        busy = core is not None and (core.dirty or core.journal.backlog() > 0)
        event: tuple[Any, ...] | None = None
        with contextlib.suppress(queue.Empty):
            event = self._events.get(timeout=BUSY_WAIT_S if busy else IDLE_WAIT_S)
        began, handled = self.routines.now(), 0
        if event is not None:
            # What waits by now; no event may be taken out without being handled,
            # or a reply or a commit's outcome is lost for good.
            handled = 1 + self._events.qsize()
            self._handle(event)
            for _ in range(handled - 1):
                self._handle(self._events.get_nowait())
        self._decide()
        open_connections = self._listeners[-1].connections() if self._listeners else 0
        self._load.worked(began, self.routines.now(), handled, open_connections)
        if handled:
            # What comes meanwhile is handled at once in the next round: to wake
            # for each event alone costs more than most events do.
            self.routines.sleep(self._capacity.rest_s)

    def _decide(self) -> None:
        core = self._core
        if core is None:
            return
        now = self.routines.now()
        core.step(now, self.routines.wall())
        self._spread(core, now)
        self.election.unheard = core.fleet.health.unheard(now)
        if self.leadership.may_write(now):
            txn = core.journal.next_txn(now)
            if txn is not None:
                self.committer.send(txn, self._term)
        if core.seats is not None and self.leadership.may_answer(now):
            self._ask_servers(core.seats, now)
        for effect in core.take_effects():
            self._carry_out(core, effect)

    def _spread(self, core: Core, now: float) -> None:
        """Send some machines' reports to other nodes if they are too many for this one."""
        if now < self._next_spread:
            return
        self._next_spread = now + SPREAD_GAP_S
        places = self._capacity.machines
        relays = len(self.election.relays()) if self.operator.spread_reports else 0
        if relays:
            self._relayed_at = now
        elif self.operator.spread_reports and now - self._relayed_at < RELAYS_S:
            # After a takeover nodes take a moment to say that they reach this one.
            return
        core.fleet.hear(routes.audible(places, relays))
        share = routes.share(len(core.tables.machines), places, relays, self.election.share)
        if share != self.election.share:
            log.info("%.0f %% of the machines report to %d relays", share * 100, relays)
            self.election.share = share

    def _ask_servers(self, seats: Seats, now: float) -> None:
        for ask in seats.asks(now):
            if self._licences is None:
                from appleshift.seats.calls import LicenceCalls

                self._licences = LicenceCalls(
                    self._post,
                    self._connect,
                    self.routines,
                    lambda: self.leadership.may_answer(self.routines.now()),
                )
            self._licences.send(ask, self._term)

    def _carry_out(self, core: Core, effect: Effect) -> None:
        term = self._term
        if isinstance(effect, Reply):
            effect.slot.put((effect.status, effect.body, effect.retry_after))
        elif isinstance(effect, Push):
            self.workers.push(effect, core.token, term)
        elif isinstance(effect, Inspect):
            self.workers.inspect(effect, term)
        elif isinstance(effect, Rent):
            self.cloud.rent(effect, term)
        elif isinstance(effect, Delete):
            self.cloud.delete(effect, term)

    def _handle(self, event: tuple[Any, ...]) -> None:
        kind = event[0]
        if kind == "won":
            self._begin(event[1])
            return
        if kind == "lost":
            self._end()
            return
        core = self._core
        if kind in ("submit", "status", "cancel", "report", "seats"):
            if core is None:
                event[2].put((503, users.error_body("no leader yet"), 1))
                return
            core.now = self.routines.now()
            if kind == "submit":
                core.submit(event[1], event[2], self.routines.wall())
            elif kind == "status":
                core.status(event[1], event[2])
            elif kind == "cancel":
                core.cancel(event[1], event[2])
            elif kind == "seats":
                core.reply(event[2], *_look(core.seats, event[1], core.now))
            else:
                core.report(event[1], event[2])
            return
        # The rest belongs to a term; what comes from an earlier one is void.
        if core is None or event[1] is not self._term:
            return
        core.now = self.routines.now()
        if kind == "committed":
            core.committed(event[2])
        elif kind == "stalled":
            core.stalled()
        elif kind == "deposed":
            self._end()
            self.election.depose()
        elif kind == "pushed":
            core.orders.pushed(*event[2:])
        elif kind == "probed":
            core.probed(event[2], event[3])
        elif kind == "types":
            core.fleet.types(event[2])
        elif kind == "listed":
            core.fleet.listed(event[2], event[3])
        elif kind == "rented":
            core.fleet.rented(event[2], event[3], event[4])
        elif kind == "deleted":
            core.deleted(event[2], event[3])
        elif kind == "licence" and core.seats is not None:
            core.dirty = core.seats.told(event[2], event[3], event[4], core.now) or core.dirty

    def _begin(self, term: Term) -> None:
        """Recover what is durable; only then does anyone get an answer."""
        deployment = self.settings.deployment
        began = self.routines.now()
        while True:
            if self._stop.is_set() or not self.leadership.leading:
                return
            if self.leadership.token != term.token:
                return
            replay = Replay(Tables(deployment.zones, deployment.teams), _make_trail)
            try:
                meta, meta_version, next_log, leftovers = recover(self.store, replay)
                break
            except StoreError as error:
                log.info("recovery: %s", error)
                self._stop.wait(0.2)
        now = self.routines.now()
        limits = deployment.state
        journal = Journal(
            leader_key=LEADER_KEY,
            leader_version=term.version,
            term_mark=term.mark,
            write_rps=max(1.0, limits.write_rps * self.operator.write_share),
            value_bytes=int(limits.value_kb * 1024),
            txn_ops=limits.txn_ops,
            meta=meta,
            meta_version=meta_version,
            next_log=next_log,
            now=now,
        )
        journal.sweep(leftovers)
        self._core = Core(
            self.settings,
            self.operator,
            self.leadership,
            term.token,
            replay,
            journal,
            self.routines.now,
            self.routines.wall(),
            self._counted(replay, journal, term),
        )
        self._term = term
        self.election.share = self.election.last_share()
        self._next_spread, self._relayed_at = 0.0, now
        self.cloud.lead(term)
        log.info(
            "leading with token %d: %d jobs, %d machines, recovered in %.0f ms",
            term.token,
            len(replay.tables.jobs),
            len(replay.tables.machines),
            (now - began) * 1000,
        )

    def _counted(self, replay: Replay, journal: Journal, term: Term) -> Seats | None:
        """Counted resources, if there are any: in a file of ours or in the log."""
        if not self.operator.seats and not replay.seats:
            return None
        from appleshift.seats.part import build

        return build(self.operator, replay, journal, term.token, self.routines.wall())

    def _end(self) -> None:
        core = self._core
        self._core = None
        self._term = None
        self.election.unheard = []
        self.election.share = 0.0
        self.cloud.lead(None)
        if core is not None:
            core.abandon()
            for effect in core.take_effects():
                if isinstance(effect, Reply):
                    effect.slot.put((effect.status, effect.body, effect.retry_after))


def _make_trail(written: int) -> Trail:
    """The log speaks of counted resources: their audit is followed from there."""
    from appleshift.seats.trail import Trail as Audit

    return Audit(written)


def _look(seats: Seats | None, after: int | None, now: float) -> tuple[int, dict[str, Any]]:
    """Counted resources as operators see them; with a number, the audit after it."""
    if seats is None:
        return 404, users.error_body("no counted resources are defined")
    return 200, seats.view(now) if after is None else seats.history(after)
