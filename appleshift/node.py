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

from appleshift.api.router import RequestRouter, RouterDependencies
from appleshift.connectivity.connectivity_monitor import ConnectivityMonitor
from appleshift.connectivity.worker_contacts import SAMPLE_SIZE
from appleshift.contracts import events
from appleshift.dispatch.cloud_calls import CloudCalls
from appleshift.dispatch.worker_calls import WorkerCalls
from appleshift.heartbeat_ingest import relay_assignment
from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.peer_monitor import PeerMonitor
from appleshift.node_context import NodeContext
from appleshift.node_limits.load_monitor import LoadMonitor
from appleshift.node_limits.node_limits import POOL_THREADS, NodeLimits
from appleshift.protocol import peers
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings, split_address
from appleshift.scheduler.scheduler import Scheduler
from appleshift.shard_replica import ShardReplica
from appleshift.storage.key_value_store import KeyValueStore
from appleshift.transport.client import HttpCaller, HttpClient
from appleshift.transport.concurrency import Runtime, ThreadRuntime
from appleshift.transport.server import HttpListener

if TYPE_CHECKING:
    from appleshift.sharding.shard_map import ShardMap
    from appleshift.sharding.shard_map_follower import ShardMapFollower

log = logging.getLogger(__name__)

IDLE_WAIT_S = 0.1
BUSY_WAIT_S = 0.02
RELAY_UPDATE_INTERVAL_S = 1.0
SAMPLE_INTERVAL_S = 2.5
RELAY_GRACE_S = 3.0
CROWDED_SHARE = 0.95
"""Of its connections; above it, machines keep theirs only for a report."""


class Node:
    """All routines of one process."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        runtime: Runtime | None = None,
        connect: Callable[[tuple[str, int]], HttpCaller] = HttpClient,
    ) -> None:
        self.runtime = runtime = runtime or ThreadRuntime()
        self.settings = settings
        self.operator = operator
        deployment = settings.deployment
        self._events = runtime.queue()
        self._stop = runtime.event()
        self._started = False
        siblings = {peer.name: connect(split_address(peer.peer_addr)) for peer in settings.siblings}
        # All nodes share the rate; so does whoever else leads or stands by mistake.
        share = 0.9 / max(3, len(siblings) + 1)
        self.store = KeyValueStore(
            connect(split_address(settings.external.state)), deployment.state.rps * share, runtime
        )
        self._limits = capacity = NodeLimits.from_machine_limits(
            deployment.machine_limits, operator.shares > 1
        )
        self.workers = WorkerCalls(
            self._post, connect, runtime, size=capacity.calls, most=capacity.clients
        )
        self.cloud = CloudCalls(
            self._post,
            connect(split_address(settings.external.cloud)),
            runtime,
            deployment.cloud.rps,
            deployment.cloud.list_lag_s,
        )
        self._context = NodeContext(
            settings,
            operator,
            runtime,
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
        self.replicas = {0: ShardReplica(self._context)}
        self.shard_map_follower: ShardMapFollower | None = None
        self.connectivity = ConnectivityMonitor(
            self.workers.is_reachable,
            lambda: self.store.is_answering,
            lambda: any(each.lease.is_leader for each in [*self.replicas.values()]),
            lambda: self._post(events.HandOverRequested()),
            siblings,
            runtime,
        )
        if siblings:
            self._context.candidacy_delay_s = self.connectivity.candidacy_delay_s
        self._peer_monitor = PeerMonitor(siblings, self._all_elections, runtime, self.connectivity)
        self.router = RequestRouter(
            RouterDependencies(
                replicas=self.replicas,
                peer_clients=siblings,
                post=self._post,
                load=lambda: self._events.qsize() / capacity.max_queued,
                is_worker_reachable=self.workers.is_reachable,
                runtime=runtime,
                store=self.store,
                max_machines=lambda: relay_assignment.max_machines(
                    capacity.machines, len(self.election.relays())
                ),
                own_status=self._own_status,
                shard_map=self._shard_map,
                is_crowded=lambda: self._connections() > CROWDED_SHARE * capacity.connections,
                heartbeat_received=self.connectivity.heartbeat_received,
            )
        )
        self._load_monitor = LoadMonitor(deployment.machine_limits, capacity, runtime.now())
        self._listeners: list[HttpListener] = []
        self._next_relay_update = self._next_sample_update = self._relays_seen_at = 0.0
        if operator.shares > 1:
            self._follow_shard_map()

    # The first share's, which is the leader's.

    @property
    def lease(self) -> LeaderLease:
        return self.replicas[0].lease

    @property
    def election(self) -> LeaderElection:
        return self.replicas[0].election

    @property
    def scheduler(self) -> Scheduler | None:
        return self.replicas[0].scheduler

    # -- life -----------------------------------------------------------------

    def listen(self) -> None:
        """Open both listeners; OSError if an address cannot be had, and then again later.

        Whoever has both addresses is the node. Nothing is asked, told or stood for
        before, so what an earlier process of this node does is over by then.
        """
        settings, limits = self.settings, self._limits
        doors = (
            (settings.cluster_listen, self.router.cluster, limits.peers, limits.peers, "cluster"),
            (settings.listen, self.router.public, limits.connections, limits.threads, "listen"),
        )
        for address, app, limit, threads, name in doors[len(self._listeners) :]:
            listener = HttpListener(
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
        self.runtime.spawn("core", self._run_loop)
        self.cloud.start()
        for listener in self._listeners:
            listener.start()
        self._started = True
        for replica in [*self.replicas.values()]:
            replica.start()
        self._peer_monitor.start()
        if self.settings.siblings:
            self.connectivity.start()
        if self.shard_map_follower is not None:
            self.shard_map_follower.start()
        log.info("%s serves on %s", self.settings.name, self.settings.listen)

    def stop(self) -> None:
        """Orderly end: give up what is held, take no more, end the routines.

        In this order: once the addresses are free, another process may be this node.
        """
        self._stop.set()
        self._peer_monitor.stop()
        self.connectivity.stop()
        for replica in [*self.replicas.values()]:
            replica.stop()
            self._post(events.LeadershipLost(replica.shard))
        for listener in self._listeners:
            listener.stop()
        self.cloud.stop()
        self.workers.stop()
        self.router.stop()
        if self.shard_map_follower is not None:
            self.shard_map_follower.stop()
        if self._context.license_servers is not None:
            self._context.license_servers.stop()

    def _post(self, event: events.Event) -> None:
        self._events.put(event)

    # -- shares ------------------------------------------------------------------

    def _all_elections(self) -> list[LeaderElection]:
        return [replica.election for replica in [*self.replicas.values()]]

    def _shard_map(self) -> ShardMap | None:
        return None if self.shard_map_follower is None else self.shard_map_follower.shard_map

    def _follow_shard_map(self) -> None:
        """From now on this node goes by the map of shares."""
        from appleshift.sharding.shard_map_follower import ShardMapFollower

        self.shard_map_follower = ShardMapFollower(
            self._context, self.replicas, self._peer_monitor, self._add_replica
        )
        self._context.shard_map_follower = self.shard_map_follower
        if self._started:
            self.shard_map_follower.start()

    def _add_replica(self, replica: ShardReplica) -> None:
        """The map has a share more."""
        self.replicas[replica.shard] = replica
        if self._started:
            replica.start()

    def _own_status(self) -> peers.PeerStatus:
        now = self.runtime.now()
        first = self.replicas[0]
        leadership, election = first.lease, first.election
        hello = peers.PeerStatus(
            election.name,
            leadership.is_leader,
            leadership.fencing_token,
            leadership.may_answer(now),
            election.relayed_fraction if leadership.is_leader else 0.0,
            # Once a quarter of the machines were sent to a relay that none of them reached.
            election.can_relay() and not self.connectivity.worker_contacts.is_lost(),
            process_id=self._context.process_id,
            connectivity=self.connectivity.own_connectivity(now),
            worker_sample=[*self.connectivity.worker_contacts.sample]
            if leadership.is_leader
            else [],
        )
        return (
            hello
            if self.shard_map_follower is None
            else self.shard_map_follower.extend_status(hello, now)
        )

    # -- the cores' routine ------------------------------------------------------

    def _run_loop(self) -> None:
        while not self._stop.is_set():
            try:
                self._run_round()
            except Exception:
                # The cores' state can no longer be trusted; what is durable
                # can. Other terms start from there.
                log.exception("core failed: giving up this term")
                for replica in [*self.replicas.values()]:
                    replica.scheduler = replica.term = None
                    replica.election.step_down()
                self.cloud.set_term(None)

    def _run_round(self) -> None:
        replicas = [*self.replicas.values()]
        busy = any(replica.is_busy() for replica in replicas)
        event: events.Event | None = None
        with contextlib.suppress(queue.Empty):
            event = self._events.get(timeout=BUSY_WAIT_S if busy else IDLE_WAIT_S)
        began, handled = self.runtime.now(), 0
        if event is not None:
            # What waits by now; no event may be taken out without being handled,
            # or a reply or a commit's outcome is lost for good.
            handled = 1 + self._events.qsize()
            self._handle(event)
            for _ in range(handled - 1):
                self._handle(self._events.get_nowait())
        for replica in replicas:
            replica.run_round()
        if self.shard_map_follower is not None:
            self.shard_map_follower.step(self.runtime.now())
        elif self._peer_monitor.shard_map_version:
            # A sibling goes by a map of shares that this node was not told of.
            self._follow_shard_map()
        scheduler = self.scheduler
        if scheduler is not None:
            if scheduler.sharding is None:
                self._update_relayed_fraction(scheduler, self.runtime.now())
            self._update_worker_sample(scheduler, self.runtime.now())
        self._load_monitor.round_finished(began, self.runtime.now(), handled, self._connections())
        if handled:
            # What comes meanwhile is handled at once in the next round: to wake
            # for each event alone costs more than most events do.
            self.runtime.sleep(self._limits.round_pause_s)

    def _connections(self) -> int:
        return self._listeners[-1].connections() if self._listeners else 0

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.HandOverRequested):
            for replica in [*self.replicas.values()]:
                replica.handle(event)
        else:
            self.replicas[event.shard].handle(event)

    def _update_worker_sample(self, scheduler: Scheduler, now: float) -> None:
        """Name some workers, over the zones, that others may ask whether they reach any."""
        if now < self._next_sample_update:
            return
        self._next_sample_update = now + SAMPLE_INTERVAL_S
        if not scheduler.cluster.machines:
            self.connectivity.worker_contacts.forget()
        by_zone: dict[int, list[str]] = {}
        for machine in scheduler.cluster.machines.values():
            some = by_zone.setdefault(machine.zone, [])
            if (
                machine.addr
                and now - machine.last_heard < SAMPLE_INTERVAL_S
                and len(some) < SAMPLE_SIZE
            ):
                some.append(machine.addr)
        rows = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
        self.connectivity.worker_contacts.set_sample(
            address for row in rows for address in row if address
        )

    def _update_relayed_fraction(self, scheduler: Scheduler, now: float) -> None:
        """Send some machines' reports to other nodes if they are too many for this one."""
        if now < self._next_relay_update:
            return
        self._next_relay_update = now + RELAY_UPDATE_INTERVAL_S
        limits = self._limits
        relays = len(self.election.relays()) if self.operator.spread_reports else 0
        self._relays_seen_at = max(self._relays_seen_at, scheduler.started)
        if relays:
            self._relays_seen_at = now
        elif self.operator.spread_reports and now - self._relays_seen_at < RELAY_GRACE_S:
            # After a takeover nodes take a moment to say that they reach this one.
            return
        scheduler.fleet.set_max_machines(relay_assignment.max_machines(limits.machines, relays))
        share = relay_assignment.next_relayed_fraction(
            len(scheduler.cluster.machines),
            limits.direct_machines,
            relays,
            self.election.relayed_fraction,
        )
        if share != self.election.relayed_fraction:
            log.info("%.0f %% of the machines report to %d relays", share * 100, relays)
            self.election.relayed_fraction = share
