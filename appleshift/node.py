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

from appleshift.api.router import RequestRouter
from appleshift.connectivity.hand_over import ConnectivityMonitor
from appleshift.connectivity.monitor import SAMPLE_SIZE
from appleshift.contracts import events
from appleshift.dispatch.outbound_calls import CloudCalls, WorkerCalls
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.peer_monitor import PeerMonitor
from appleshift.node_limits.node_limits import LoadMonitor, NodeLimits
from appleshift.protocol import peers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings, split_address
from appleshift.scheduler.scheduler import Scheduler
from appleshift.shard_replica import NodeContext, ShardReplica
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.transport.client import Caller, HttpClient
from appleshift.transport.concurrency import Routines, Threads
from appleshift.transport.server import Listener

if TYPE_CHECKING:
    from appleshift.sharding.shard_map import ShardMap
    from appleshift.sharding.shard_map_follower import ShardMapFollower

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
        self.store = KeyValueStore(
            connect(split_address(settings.external.state)), deployment.state.rps * share, routines
        )
        self._capacity = capacity = NodeLimits.from_machine_limits(
            deployment.machine_limits, operator.shares > 1
        )
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
        self._house = NodeContext(
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
        self.holdings = {0: ShardReplica(self._house)}
        self.keeper: ShardMapFollower | None = None
        self.reach = ConnectivityMonitor(
            self.workers.is_reachable,
            lambda: self.store.is_answering,
            lambda: any(each.lease.is_leader for each in [*self.holdings.values()]),
            lambda: self._post(events.HandOverRequested()),
            siblings,
            routines,
        )
        if siblings:
            self._house.candidacy_delay_s = self.reach.candidacy_delay_s
        self._neighbours = PeerMonitor(siblings, self._elections, routines, self.reach)
        self.router = RequestRouter(
            self.holdings,
            siblings,
            self._post,
            lambda: self._events.qsize() / capacity.max_queued,
            self.workers.is_reachable,
            routines,
            self.store,
            lambda: relay_assignment.max_machines(capacity.machines, len(self.election.relays())),
            self._hello,
            self._map,
            lambda: self._connections() > CROWDED * capacity.connections,
            self.reach.heartbeat_received,
        )
        self._load = LoadMonitor(deployment.machine_limits, capacity, routines.now())
        self._listeners: list[Listener] = []
        self._next_spread = self._next_sample = self._relayed_at = 0.0
        if operator.shares > 1:
            self._keep()

    # The first share's, which is the leader's.

    @property
    def leadership(self) -> LeaderLease:
        return self.holdings[0].lease

    @property
    def election(self) -> LeaderElection:
        return self.holdings[0].election

    @property
    def core(self) -> Scheduler | None:
        return self.holdings[0].scheduler

    # -- life -----------------------------------------------------------------

    def listen(self) -> None:
        """Open both listeners; OSError if an address cannot be had, and then again later.

        Whoever has both addresses is the node. Nothing is asked, told or stood for
        before, so what an earlier process of this node does is over by then.
        """
        settings = self.settings
        doors = (
            (settings.cluster_listen, self.router.cluster, self._capacity.peers, "cluster"),
            (settings.listen, self.router.public, self._capacity.connections, "listen"),
        )
        for address, app, limit, name in doors[len(self._listeners) :]:
            self._listeners.append(Listener(split_address(address), app, limit, name))

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
            self._post(events.LeadershipLost(holding.shard))
        for listener in self._listeners:
            listener.stop()
        self.cloud.stop()
        self.workers.stop()
        self.router.stop()
        if self.keeper is not None:
            self.keeper.stop()
        if self._house.license_servers is not None:
            self._house.license_servers.stop()

    def _post(self, event: events.Event) -> None:
        self._events.put(event)

    # -- shares ------------------------------------------------------------------

    def _elections(self) -> list[LeaderElection]:
        return [holding.election for holding in [*self.holdings.values()]]

    def _map(self) -> ShardMap | None:
        return None if self.keeper is None else self.keeper.shard_map

    def _keep(self) -> None:
        """From now on this node goes by the map of shares."""
        from appleshift.sharding.shard_map_follower import ShardMapFollower

        self.keeper = ShardMapFollower(self._house, self.holdings, self._neighbours, self._grow)
        self._house.shard_map_follower = self.keeper
        if self._started:
            self.keeper.start()

    def _grow(self, holding: ShardReplica) -> None:
        """The map has a share more."""
        self.holdings[holding.shard] = holding
        if self._started:
            holding.start()

    def _hello(self) -> peers.PeerStatus:
        now = self.routines.now()
        first = self.holdings[0]
        leadership, election = first.lease, first.election
        hello = peers.PeerStatus(
            election.name,
            leadership.is_leader,
            leadership.fencing_token,
            leadership.may_answer(now),
            election.relayed_fraction if leadership.is_leader else 0.0,
            # Once a quarter of the machines were sent to a relay that none of them reached.
            election.can_relay() and not self.reach.worker_contacts.is_lost(),
            process_id=self._house.process_id,
            connectivity=self.reach.own_connectivity(now),
            worker_sample=[*self.reach.worker_contacts.sample] if leadership.is_leader else [],
        )
        return hello if self.keeper is None else self.keeper.extend_status(hello, now)

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
                    holding.scheduler = holding.term = None
                    holding.election.step_down()
                self.cloud.set_term(None)

    def _round(self) -> None:
        holdings = [*self.holdings.values()]
        busy = any(holding.is_busy() for holding in holdings)
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
            holding.run_round()
        if self.keeper is not None:
            self.keeper.step(self.routines.now())
        elif self._neighbours.shard_map_version:
            # A sibling goes by a map of shares that this node was not told of.
            self._keep()
        core = self.core
        if core is not None:
            if core.sharding is None:
                self._spread(core, self.routines.now())
            self._sample(core, self.routines.now())
        self._load.round_finished(began, self.routines.now(), handled, self._connections())
        if handled:
            # What comes meanwhile is handled at once in the next round: to wake
            # for each event alone costs more than most events do.
            self.routines.sleep(self._capacity.round_pause_s)

    def _connections(self) -> int:
        return self._listeners[-1].connections() if self._listeners else 0

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.HandOverRequested):
            for holding in [*self.holdings.values()]:
                holding.handle(event)
        else:
            self.holdings[event.shard].handle(event)

    def _sample(self, core: Scheduler, now: float) -> None:
        """Name some workers, over the zones, that others may ask whether they reach any."""
        if now < self._next_sample:
            return
        self._next_sample = now + SAMPLE_GAP_S
        if not core.cluster.machines:
            self.reach.worker_contacts.forget()
        by_zone: dict[int, list[str]] = {}
        for machine in core.cluster.machines.values():
            some = by_zone.setdefault(machine.zone, [])
            if machine.addr and now - machine.last_heard < SAMPLE_GAP_S and len(some) < SAMPLE_SIZE:
                some.append(machine.addr)
        rows = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
        self.reach.worker_contacts.set_sample(address for row in rows for address in row if address)

    def _spread(self, core: Scheduler, now: float) -> None:
        """Send some machines' reports to other nodes if they are too many for this one."""
        if now < self._next_spread:
            return
        self._next_spread = now + SPREAD_GAP_S
        places = self._capacity.machines
        relays = len(self.election.relays()) if self.operator.spread_reports else 0
        self._relayed_at = max(self._relayed_at, core.started)
        if relays:
            self._relayed_at = now
        elif self.operator.spread_reports and now - self._relayed_at < RELAYS_S:
            # After a takeover nodes take a moment to say that they reach this one.
            return
        core.fleet.set_max_machines(relay_assignment.max_machines(places, relays))
        share = relay_assignment.next_relayed_fraction(
            len(core.cluster.machines), places, relays, self.election.relayed_fraction
        )
        if share != self.election.relayed_fraction:
            log.info("%.0f %% of the machines report to %d relays", share * 100, relays)
            self.election.relayed_fraction = share
