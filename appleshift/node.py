"""Controller node: creates all components and runs the loop of the schedulers."""

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
"""Most seconds that a round of the scheduler loop waits for an event without pending work."""
BUSY_WAIT_S = 0.02
"""Most seconds that a round waits for an event while a replica has pending work."""
RELAY_UPDATE_INTERVAL_S = 1.0
"""Seconds between two updates of the fraction of machines that send heartbeats to relays."""
WORKER_SAMPLE_INTERVAL_S = 2.5
"""Seconds between two choices of the workers that peers probe to test their connectivity."""
RELAY_REPORT_WAIT_S = 3.0
"""Seconds to keep the relayed fraction while no peer reports that it can relay: after a failover
peers need a moment to report it."""
KEEP_ALIVE_CONNECTIONS_FRACTION = 0.95
"""If more than this fraction of the connections is open, workers close theirs after each
heartbeat."""
STORE_RATE_FRACTION = 0.9
"""Fraction of the key-value store's rate limit that all nodes together use."""
MIN_STORE_CLIENTS = 3
"""Least number of nodes among which the key-value store's rate limit is divided."""


class Node:
    """A controller process: its components and threads.

    Only the thread of ``_run_loop`` accesses the schedulers, one for each shard that the node
    leads. Other threads post events to that thread.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        runtime: Runtime | None = None,
        connect: Callable[[tuple[str, int]], HttpCaller] = HttpClient,
    ) -> None:
        """Create the components.

        ``listen`` binds the addresses; nothing is sent before ``start``. ``connect`` creates the
        HTTP client for an address.
        """
        self.runtime = runtime = runtime or ThreadRuntime()
        self.settings = settings
        self.operator = operator
        deployment = settings.deployment
        self._events = runtime.queue()
        self._stop = runtime.event()
        self._started = False
        self._limits = NodeLimits.from_machine_limits(
            deployment.machine_limits, operator.shares > 1
        )
        self._peer_clients = {
            peer.name: connect(split_address(peer.peer_addr)) for peer in settings.siblings
        }
        self._make_external_calls(connect)
        self._context = self._make_context(connect)
        self.replicas = {0: ShardReplica(self._context)}
        self.shard_map_follower: ShardMapFollower | None = None
        self._make_peer_monitoring()
        self.router = self._make_router()
        self._load_monitor = LoadMonitor(deployment.machine_limits, self._limits, runtime.now())
        self._listeners: list[HttpListener] = []
        self._next_relay_update = self._next_worker_sample_update = self._relays_last_seen_at = 0.0
        if operator.shares > 1:
            self._follow_shard_map()

    def _make_external_calls(self, connect: Callable[[tuple[str, int]], HttpCaller]) -> None:
        """Create the clients of the key-value store, the workers and the cloud's API."""
        settings, runtime, limits = self.settings, self.runtime, self._limits
        deployment = settings.deployment
        # Each node gets an equal share of the rate, because any node may be leader or candidate,
        # also one that wrongly believes so.
        nodes = max(MIN_STORE_CLIENTS, len(self._peer_clients) + 1)
        self.store = KeyValueStore(
            connect(split_address(settings.external.state)),
            deployment.state.rps * (STORE_RATE_FRACTION / nodes),
            runtime,
        )
        self.worker_calls = WorkerCalls(
            self._post,
            connect,
            runtime,
            thread_count=limits.worker_calls,
            max_clients=limits.worker_clients,
        )
        self.cloud_calls = CloudCalls(
            self._post,
            connect(split_address(settings.external.cloud)),
            runtime,
            deployment.cloud.rps,
            deployment.cloud.list_lag_s,
        )

    def _make_context(self, connect: Callable[[tuple[str, int]], HttpCaller]) -> NodeContext:
        settings = self.settings
        return NodeContext(
            settings,
            self.operator,
            self.runtime,
            self.store,
            self._peer_clients,
            connect,
            self._post,
            # Process id: identifies this process's writes and differs after a restart.
            f"{settings.name}.{secrets.token_hex(4)}",
            self.worker_calls,
            self.cloud_calls,
            self._stop,
        )

    def _make_peer_monitoring(self) -> None:
        peer_clients, runtime = self._peer_clients, self.runtime
        self.connectivity = ConnectivityMonitor(
            self.worker_calls.is_reachable,
            lambda: self.store.is_answering,
            lambda: any(replica.lease.is_leader for replica in [*self.replicas.values()]),
            lambda: self._post(events.HandOverRequested()),
            peer_clients,
            runtime,
        )
        if peer_clients:
            self._context.candidacy_delay_s = self.connectivity.candidacy_delay_s
        self._peer_monitor = PeerMonitor(
            peer_clients, self._all_elections, runtime, self.connectivity
        )

    def _make_router(self) -> RequestRouter:
        limits = self._limits
        return RequestRouter(
            RouterDependencies(
                replicas=self.replicas,
                peer_clients=self._peer_clients,
                post_event=self._post,
                queue_load=lambda: self._events.qsize() / limits.max_queued_events,
                is_worker_reachable=self.worker_calls.is_reachable,
                runtime=self.runtime,
                store=self.store,
                max_machines=lambda: relay_assignment.max_machines(
                    limits.machines, len(self.election.relays())
                ),
                own_status=self._own_status,
                shard_map=self._shard_map,
                connections_nearly_full=lambda: (
                    self._connection_count() > KEEP_ALIVE_CONNECTIONS_FRACTION * limits.connections
                ),
                on_heartbeat=self.connectivity.heartbeat_received,
            )
        )

    # -- first shard; its leader is the leader of the cluster -------------------------

    @property
    def lease(self) -> LeaderLease:
        """This node's view of the leader lease of the first shard."""
        return self.replicas[0].lease

    @property
    def election(self) -> LeaderElection:
        """The leader election of the first shard."""
        return self.replicas[0].election

    @property
    def scheduler(self) -> Scheduler | None:
        """The scheduler of the first shard; None unless this node leads it."""
        return self.replicas[0].scheduler

    # -- start and stop ---------------------------------------------------------------

    def listen(self) -> None:
        """Bind both addresses; OSError if one can't be bound. May be retried after an OSError.

        Only a process that has bound both addresses may act as the node. Until then it sends
        nothing and is no candidate, which ensures that an earlier process of the node has ended.
        """
        settings, limits = self.settings, self._limits
        endpoints = (
            (
                settings.cluster_listen,
                self.router.handle_cluster,
                limits.peers,
                limits.peers,
                "cluster",
            ),
            (
                settings.listen,
                self.router.handle_public,
                limits.connections,
                limits.threads,
                "listen",
            ),
        )
        for address, app, max_connections, threads, name in endpoints[len(self._listeners) :]:
            listener = HttpListener(
                split_address(address),
                app,
                max_connections,
                name,
                dedicated_threads=threads,
                pool_threads=POOL_THREADS,
            )
            self._listeners.append(listener)

    def start(self) -> None:
        """Start all threads; must be called after ``listen``."""
        _configure_garbage_collector()
        self.runtime.spawn("core", self._run_loop)
        self.cloud_calls.start()
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
        log.info("node started node=%s listen=%s", self.settings.name, self.settings.listen)

    def stop(self) -> None:
        """Release the leader leases of all shards, then close the listeners and end the threads.

        The order matters: once the addresses are free, another process may act as this node.
        """
        self._stop.set()
        self._peer_monitor.stop()
        self.connectivity.stop()
        for replica in [*self.replicas.values()]:
            replica.stop()
            self._post(events.LeadershipLost(replica.shard))
        for listener in self._listeners:
            listener.stop()
        self.cloud_calls.stop()
        self.worker_calls.stop()
        self.router.stop()
        if self.shard_map_follower is not None:
            self.shard_map_follower.stop()
        if self._context.license_server_calls is not None:
            self._context.license_server_calls.stop()

    def _post(self, event: events.Event) -> None:
        self._events.put(event)

    # -- shards -----------------------------------------------------------------------

    def _all_elections(self) -> list[LeaderElection]:
        return [replica.election for replica in [*self.replicas.values()]]

    def _shard_map(self) -> ShardMap | None:
        return None if self.shard_map_follower is None else self.shard_map_follower.shard_map

    def _follow_shard_map(self) -> None:
        """Create the follower of the shard map, and start it if the node has been started."""
        from appleshift.sharding.shard_map_follower import ShardMapFollower

        self.shard_map_follower = ShardMapFollower(
            self._context, self.replicas, self._peer_monitor, self._add_replica
        )
        self._context.shard_map_follower = self.shard_map_follower
        if self._started:
            self.shard_map_follower.start()

    def _add_replica(self, replica: ShardReplica) -> None:
        """Add the replica of a new shard; start it if the node has been started."""
        self.replicas[replica.shard] = replica
        if self._started:
            replica.start()

    def _own_status(self) -> peers.PeerStatus:
        now = self.runtime.now()
        first = self.replicas[0]
        lease, election = first.lease, first.election
        status = peers.PeerStatus(
            election.node_name,
            lease.is_leader,
            lease.fencing_token,
            lease.may_answer(now),
            election.relayed_fraction if lease.is_leader else 0.0,
            # A node that reaches no workers must not relay: once a quarter of the machines were
            # redirected to a relay that none of them could reach.
            election.can_relay() and not self.connectivity.worker_contacts.workers_unreachable(),
            process_id=self._context.process_id,
            connectivity=self.connectivity.own_connectivity(now),
            worker_sample=[*self.connectivity.worker_contacts.sample] if lease.is_leader else [],
        )
        return (
            status
            if self.shard_map_follower is None
            else self.shard_map_follower.extend_status(status, now)
        )

    # -- scheduler loop -----------------------------------------------------------------

    def _run_loop(self) -> None:
        """Run the schedulers of this node's shards until the node is stopped."""
        while not self._stop.is_set():
            try:
                self._run_round()
            except Exception:
                # After an unexpected exception the state in memory may be inconsistent. The
                # durable state is consistent, and the next term starts from it.
                log.exception("scheduler failed: giving up this term")
                for replica in [*self.replicas.values()]:
                    replica.scheduler = replica.term = None
                    replica.election.step_down()
                self.cloud_calls.set_term(None)

    def _run_round(self) -> None:
        replicas = [*self.replicas.values()]
        busy = any(replica.has_pending_work() for replica in replicas)
        event = self._wait_for_event(BUSY_WAIT_S if busy else IDLE_WAIT_S)
        started_at = self.runtime.now()
        handled = 0 if event is None else self._handle_queued_events(event)
        for replica in replicas:
            replica.run_round()
        if self.shard_map_follower is not None:
            self.shard_map_follower.step(self.runtime.now())
        elif self._peer_monitor.newest_shard_map_version:
            # A peer has reported a shard map that this node does not follow yet.
            self._follow_shard_map()
        scheduler = self.scheduler
        if scheduler is not None:
            if scheduler.sharding is None:
                self._update_relayed_fraction(scheduler, self.runtime.now())
            self._update_worker_sample(scheduler, self.runtime.now())
        self._load_monitor.record_round(
            started_at, self.runtime.now(), handled, self._connection_count()
        )
        if handled:
            # Events that arrive during this pause are handled together in the next round:
            # waking up for a single event costs more than handling it.
            self.runtime.sleep(self._limits.round_pause_s)

    def _wait_for_event(self, timeout_s: float) -> events.Event | None:
        """Wait for an event; None if there is none within ``timeout_s`` seconds."""
        event: events.Event | None = None
        with contextlib.suppress(queue.Empty):
            event = self._events.get(timeout=timeout_s)
        return event

    def _handle_queued_events(self, event: events.Event) -> int:
        """Handle an event and all events queued now; return the number of handled events."""
        # Every event that is removed from the queue must be handled, or a reply or the result
        # of a commit would be lost.
        handled = 1 + self._events.qsize()
        self._handle(event)
        for _ in range(handled - 1):
            self._handle(self._events.get_nowait())
        return handled

    def _connection_count(self) -> int:
        return self._listeners[-1].connection_count() if self._listeners else 0

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.HandOverRequested):
            for replica in [*self.replicas.values()]:
                replica.handle(event)
        else:
            self.replicas[event.shard].handle(event)

    def _update_worker_sample(self, scheduler: Scheduler, now: float) -> None:
        """Choose workers of all zones that peers probe to test their connectivity."""
        if now < self._next_worker_sample_update:
            return
        self._next_worker_sample_update = now + WORKER_SAMPLE_INTERVAL_S
        if not scheduler.cluster.machines:
            self.connectivity.worker_contacts.clear()
        addresses_by_zone: dict[int, list[str]] = {}
        for machine in scheduler.cluster.machines.values():
            addresses = addresses_by_zone.setdefault(machine.zone, [])
            if (
                machine.addr
                and now - machine.last_contact_at < WORKER_SAMPLE_INTERVAL_S
                and len(addresses) < SAMPLE_SIZE
            ):
                addresses.append(machine.addr)
        # Alternates between the zones, so that the sample covers as many as possible.
        rows = zip_longest(*(addresses_by_zone[zone] for zone in sorted(addresses_by_zone)))
        self.connectivity.worker_contacts.set_sample(
            address for row in rows for address in row if address
        )

    def _update_relayed_fraction(self, scheduler: Scheduler, now: float) -> None:
        """Set the fraction of machines that send heartbeats to relays instead of to the leader."""
        if now < self._next_relay_update:
            return
        self._next_relay_update = now + RELAY_UPDATE_INTERVAL_S
        limits = self._limits
        relays = len(self.election.relays()) if self.operator.spread_reports else 0
        self._relays_last_seen_at = max(self._relays_last_seen_at, scheduler.started_at)
        if relays:
            self._relays_last_seen_at = now
        elif self.operator.spread_reports and now - self._relays_last_seen_at < RELAY_REPORT_WAIT_S:
            # After a failover peers need a moment to report that they can relay.
            return
        scheduler.fleet.set_max_machines(relay_assignment.max_machines(limits.machines, relays))
        fraction = relay_assignment.next_relayed_fraction(
            len(scheduler.cluster.machines),
            limits.direct_machines,
            relays,
            self.election.relayed_fraction,
        )
        if fraction != self.election.relayed_fraction:
            log.info("heartbeats relayed percent=%.0f relays=%d", fraction * 100, relays)
            self.election.relayed_fraction = fraction


def _configure_garbage_collector() -> None:
    # Objects created at startup live as long as the process: exclude them from collection.
    gc.collect()
    gc.freeze()
    # A leader holds some hundred thousand objects and creates thousands per second, hardly any
    # of them in cycles, so fewer collections than by default are enough.
    gc.set_threshold(20_000, 20, 20)
