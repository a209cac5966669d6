"""Polls the status of each peer, a few times in two seconds.

After a start the statuses show whether a lease vote granted before it may still be valid.
Later they show the leader, the relays and the reachable peers.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from appleshift.leader_election.election import LeaderElection
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)

STATUS_INTERVAL_S = 0.6
STARTUP_STATUS_INTERVAL_S = 0.3
"""Interval in use until no vote granted by an earlier process can still be valid."""
STATUS_TIMEOUT_S = 0.5


class PeerStatusListener(Protocol):
    """Receives the statuses of peers; ``appleshift.connectivity`` implements it."""

    def peer_status_received(self, peer: str, status: peers.PeerStatus, now: float) -> None:
        """Process a peer's status, received at ``now``."""
        ...

    def peer_restarted(self, peer: str) -> None:
        """Discard the statuses of the peer's earlier process."""
        ...


class PeerMonitor:
    """Polls peers in one thread per peer."""

    def __init__(
        self,
        peer_clients: dict[str, HttpCaller],
        elections: Callable[[], Iterable[LeaderElection]],
        runtime: Runtime,
        connectivity: PeerStatusListener,
    ) -> None:
        """Pass each status to ``connectivity`` and to all elections that exist at that time."""
        self._connectivity = connectivity
        self._peer_clients = peer_clients
        self._elections = elections
        self._runtime = runtime
        self._stop = runtime.event()
        self.last_statuses: dict[str, tuple[float, peers.PeerStatus]] = {}
        """By peer: time and content of its last status."""
        self.reachable_since: dict[str, float] = {}
        """By peer: start of the current uninterrupted series of responses."""
        self._process_ids: dict[str, str] = {}
        self.newest_shard_map_version = 0
        """Newest shard map version that a peer uses; 0: no peer uses a shard map."""

    def start(self) -> None:
        """Start one polling thread per peer."""
        for peer in self._peer_clients:
            self._runtime.spawn(f"peer-status-{peer}", self._poll_peer, peer)

    def stop(self) -> None:
        """Stop the threads."""
        self._stop.set()

    def _poll_peer(self, peer: str) -> None:
        client = self._peer_clients[peer]
        while not self._stop.is_set():
            elections = list(self._elections())
            try:
                http_status, body = client.request(
                    "GET", peers.PEER_STATUS_PATH, None, STATUS_TIMEOUT_S
                )
                if http_status == 200:
                    self._status_received(peer, peers.decode_peer_status(body), elections)
            except (ClientError, ProtocolError) as error:
                log.debug("peer status request failed peer=%s error=%s", peer, error)
                self.reachable_since.pop(peer, None)
            now = self._runtime.now()
            startup_over = all(election.lease.startup_hold_expired(now) for election in elections)
            self._stop.wait(STATUS_INTERVAL_S if startup_over else STARTUP_STATUS_INTERVAL_S)

    def _status_received(
        self, peer: str, status: peers.PeerStatus, elections: list[LeaderElection]
    ) -> None:
        now = self._runtime.now()
        self.last_statuses[peer] = (now, status)
        self.reachable_since.setdefault(peer, now)
        self.newest_shard_map_version = max(self.newest_shard_map_version, status.shard_map_version)
        previous_process_id = self._process_ids.get(peer, status.process_id)
        self._process_ids[peer] = status.process_id
        if previous_process_id != status.process_id:
            # The peer can restart between two requests without a failed request.
            log.info("peer restarted peer=%s process=%s", peer, status.process_id)
            self.reachable_since[peer] = now
            self._connectivity.peer_restarted(peer)
            for election in elections:
                election.peer_restarted(peer, previous_process_id)
        self._connectivity.peer_status_received(peer, status, now)
        held_shards = {held.shard: held for held in status.held_shards}
        if status.leading:
            held_shards[0] = peers.HeldShard(0, status.fencing_token, status.entitled)
        for election in elections:
            election.peer_status_received(peer, status, held_shards.get(election.shard))
