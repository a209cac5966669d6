"""One controller node: puts the layers together and owns the cores' routine."""

from __future__ import annotations

import contextlib
import gc
import logging
import queue
import secrets
from collections.abc import Callable
from itertools import zip_longest
from typing import TYPE_CHECKING

from appleshift.bookkeeping.store import Store
from appleshift.coordination import events
from appleshift.coordination.core import Core
from appleshift.coordination.leading.election import Election
from appleshift.coordination.leading.leadership import Leadership
from appleshift.coordination.leading.neighbours import Neighbours
from appleshift.coordination.outgoing.outbound import CloudCalls, WorkerCalls
from appleshift.coordination.pace import POOL_THREADS, Capacity, Load
from appleshift.coordination.routing.router import RequestRouter
from appleshift.holding import Holding, House
from appleshift.intake import routes
from appleshift.protocol import peers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings, split_address
from appleshift.reach.duty import Reach
from appleshift.reach.sight import SAMPLE
from appleshift.transport.client import Caller, HttpClient
from appleshift.transport.routines import Routines, Threads
from appleshift.transport.server import Listener

if TYPE_CHECKING:
    from appleshift.shares.keeper import Keeper
    from appleshift.shares.map import ShareMap

log = logging.getLogger(__name__)

IDLE_WAIT_S = 0.1
BUSY_WAIT_S = 0.02
SPREAD_GAP_S = 1.0
SAMPLE_GAP_S = 2.5
RELAYS_S = 3.0
CROWDED = 0.95
"""Of its connections; above it, machines keep theirs only for a report."""


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
        self._stop = routines.flag()
        self._started = False
        siblings = {
            sibling.name: connect(split_address(sibling.peer_addr)) for sibling in settings.siblings
        }
        # All nodes share the rate; so does whoever else leads or stands by mistake.
        share = 0.9 / max(3, len(siblings) + 1)
        self.store = Store(
            connect(split_address(settings.external.state)), deployment.state.rps * share, routines
        )
        self._capacity = capacity = Capacity.of(deployment.machine_limits, operator.shares > 1)
        self.workers = WorkerCalls(
            self._post, connect, routines, size=capacity.calls, most=capacity.clients
        )
        self.cloud = CloudCalls(
            self._post,
            connect(split_address(settings.external.cloud)),
            routines,
            deployment.cloud.rps,
            deployment.cloud.list_lag_s,
        )
        self._house = House(
            settings,
            operator,
            routines,
            self.store,
            siblings,
            connect,
            self._post,
            # Marks this process's writes; a restarted one gets another.
            f"{settings.name}.{secrets.token_hex(4)}",
            self.workers,
            self.cloud,
            self._stop,
        )
        self.holdings = {0: Holding(self._house)}
        self.keeper: Keeper | None = None
        self.reach = Reach(
            self.workers.reaches,
            lambda: self.store.answers,
            lambda: any(each.leadership.leading for each in [*self.holdings.values()]),
            lambda: self._post(events.GiveUp()),
            siblings,
            routines,
        )
        if siblings:
            self._house.held_back = self.reach.held_back
        self._neighbours = Neighbours(siblings, self._elections, routines, self.reach)
        self.router = RequestRouter(
            self.holdings,
            siblings,
            self._post,
            lambda: self._events.qsize() / capacity.queued,
            self.workers.reaches,
            routines,
            self.store,
            lambda: routes.audible(capacity.machines, len(self.election.relays())),
            self._hello,
            self._map,
            lambda: self._connections() > CROWDED * capacity.connections,
            self.reach.heard,
        )
        self._load = Load(deployment.machine_limits, capacity, routines.now())
        self._listeners: list[Listener] = []
        self._next_spread = self._next_sample = self._relayed_at = 0.0
        if operator.shares > 1:
            self._keep()

    # The first share's, which is the leader's.

    @property
    def leadership(self) -> Leadership:
        return self.holdings[0].leadership

    @property
    def election(self) -> Election:
        return self.holdings[0].election

    @property
    def core(self) -> Core | None:
        return self.holdings[0].core

    # -- life -----------------------------------------------------------------

    def listen(self) -> None:
        """Open both listeners; OSError if an address cannot be had, and then again later.

        Whoever has both addresses is the node. Nothing is asked, told or stood for
        before, so what an earlier process of this node does is over by then.
        """
        settings, most = self.settings, self._capacity
        doors = (
            (settings.cluster_listen, self.router.cluster, most.peers, most.peers, "cluster"),
            (settings.listen, self.router.public, most.connections, most.threads, "listen"),
        )
        for address, app, limit, threads, name in doors[len(self._listeners) :]:
            listener = Listener(
                split_address(address), app, limit, name, threads=threads, pool=POOL_THREADS
            )
            self._listeners.append(listener)

    def start(self) -> None:
        # What was loaded at start lives for good: the collector may skip it.
        gc.collect()
        gc.freeze()
        # A leader holds some hundred thousand objects and makes thousands a
        # second, hardly any in cycles: looking for those less often is enough.
        gc.set_threshold(20_000, 20, 20)
        self.routines.spawn("core", self._run)
        self.cloud.start()
        for listener in self._listeners:
            listener.start()
        self._started = True
        for holding in [*self.holdings.values()]:
            holding.start()
        self._neighbours.start()
        if self.settings.siblings:
            self.reach.start()
        if self.keeper is not None:
            self.keeper.start()
        log.info("%s serves on %s", self.settings.name, self.settings.listen)

    def stop(self) -> None:
        """Orderly end: give up what is held, take no more, end the routines.

        In this order: once the addresses are free, another process may be this node.
        """
        self._stop.set()
        self._neighbours.stop()
        self.reach.stop()
        for holding in [*self.holdings.values()]:
            holding.stop()
            self._post(events.Lost(holding.share))
        for listener in self._listeners:
            listener.stop()
        self.cloud.stop()
        self.workers.stop()
        self.router.stop()
        if self.keeper is not None:
            self.keeper.stop()
        if self._house.licences is not None:
            self._house.licences.stop()

    def _post(self, event: events.Event) -> None:
        self._events.put(event)

    # -- shares ------------------------------------------------------------------

    def _elections(self) -> list[Election]:
        return [holding.election for holding in [*self.holdings.values()]]

    def _map(self) -> ShareMap | None:
        return None if self.keeper is None else self.keeper.map

    def _keep(self) -> None:
        """From now on this node goes by the map of shares."""
        from appleshift.shares.keeper import Keeper

        self.keeper = Keeper(self._house, self.holdings, self._neighbours, self._grow)
        self._house.keeper = self.keeper
        if self._started:
            self.keeper.start()

    def _grow(self, holding: Holding) -> None:
        """The map has a share more."""
        self.holdings[holding.share] = holding
        if self._started:
            holding.start()

    def _hello(self) -> peers.Hello:
        now = self.routines.now()
        first = self.holdings[0]
        leadership, election = first.leadership, first.election
        hello = peers.Hello(
            election.name,
            leadership.leading,
            leadership.token,
            leadership.may_answer(now),
            election.share_sent if leadership.leading else 0.0,
            # Once a quarter of the machines were sent to a relay that none of them reached.
            election.can_relay() and not self.reach.sight.lost(),
            process=self._house.mark,
            sees=self.reach.word(now),
            sample=[*self.reach.sight.sample] if leadership.leading else [],
        )
        return hello if self.keeper is None else self.keeper.hello(hello, now)

    # -- the cores' routine ------------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._round()
            except Exception:
                # The cores' state can no longer be trusted; what is durable
                # can. Other terms start from there.
                log.exception("core failed: giving up this term")
                for holding in [*self.holdings.values()]:
                    holding.core = holding.term = None
                    holding.election.depose()
                self.cloud.lead(None)

    def _round(self) -> None:
        holdings = [*self.holdings.values()]
        busy = any(holding.busy() for holding in holdings)
        event: events.Event | None = None
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
        for holding in holdings:
            holding.decide()
        if self.keeper is not None:
            self.keeper.step(self.routines.now())
        elif self._neighbours.map_version:
            # A sibling goes by a map of shares that this node was not told of.
            self._keep()
        core = self.core
        if core is not None:
            if core.sharing is None:
                self._spread(core, self.routines.now())
            self._sample(core, self.routines.now())
        self._load.worked(began, self.routines.now(), handled, self._connections())
        if handled:
            # What comes meanwhile is handled at once in the next round: to wake
            # for each event alone costs more than most events do.
            self.routines.sleep(self._capacity.rest_s)

    def _connections(self) -> int:
        return self._listeners[-1].connections() if self._listeners else 0

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.GiveUp):
            for holding in [*self.holdings.values()]:
                holding.handle(event)
        else:
            self.holdings[event.share].handle(event)

    def _sample(self, core: Core, now: float) -> None:
        """Name some workers, over the zones, that others may ask whether they reach any."""
        if now < self._next_sample:
            return
        self._next_sample = now + SAMPLE_GAP_S
        if not core.tables.machines:
            self.reach.sight.forget()
        by_zone: dict[int, list[str]] = {}
        for machine in core.tables.machines.values():
            some = by_zone.setdefault(machine.zone, [])
            if machine.addr and now - machine.last_heard < SAMPLE_GAP_S and len(some) < SAMPLE:
                some.append(machine.addr)
        rows = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
        self.reach.sight.offer(address for row in rows for address in row if address)

    def _spread(self, core: Core, now: float) -> None:
        """Send some machines' reports to other nodes if they are too many for this one."""
        if now < self._next_spread:
            return
        self._next_spread = now + SPREAD_GAP_S
        capacity = self._capacity
        relays = len(self.election.relays()) if self.operator.spread_reports else 0
        self._relayed_at = max(self._relayed_at, core.started)
        if relays:
            self._relayed_at = now
        elif self.operator.spread_reports and now - self._relayed_at < RELAYS_S:
            # After a takeover nodes take a moment to say that they reach this one.
            return
        core.fleet.hear(routes.audible(capacity.machines, relays))
        machines, sent = len(core.tables.machines), self.election.share_sent
        share = routes.share(machines, capacity.direct_machines, relays, sent)
        if share != self.election.share_sent:
            log.info("%.0f %% of the machines report to %d relays", share * 100, relays)
            self.election.share_sent = share
