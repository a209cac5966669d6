"""Asks each sibling, a few times in two seconds, what it holds.

After a start the answers say whether a promise made before it may still bind;
later they say where to send users and workers, and who is there at all.
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


class PeerStatusListener(Protocol):
    """What follows from who reaches what; see ``appleshift.connectivity``."""

    def peer_status_received(self, peer: str, hello: peers.PeerStatus, now: float) -> None: ...

    def peer_restarted(self, peer: str) -> None: ...


STATUS_INTERVAL_S = 0.6
STARTUP_STATUS_INTERVAL_S = 0.3


class PeerMonitor:
    """One routine for each sibling."""

    def __init__(
        self,
        siblings: dict[str, HttpCaller],
        elections: Callable[[], Iterable[LeaderElection]],
        runtime: Runtime,
        reach: PeerStatusListener,
    ) -> None:
        self._connectivity = reach
        self._peer_clients = siblings
        self._elections = elections
        self._runtime = runtime
        self._stop = runtime.event()
        self.last_status: dict[str, tuple[float, peers.PeerStatus]] = {}
        """What each sibling said last, and when."""
        self.reachable_since: dict[str, float] = {}
        """Since when it has said something without a gap."""
        self._process_ids: dict[str, str] = {}
        self.shard_map_version = 0
        """The newest map of shares that a sibling goes by; 0: none does."""

    def start(self) -> None:
        for peer in self._peer_clients:
            self._runtime.spawn(f"hello-{peer}", self._poll_peer, peer)

    def stop(self) -> None:
        self._stop.set()

    def _poll_peer(self, peer: str) -> None:
        client = self._peer_clients[peer]
        while not self._stop.is_set():
            elections = list(self._elections())
            try:
                status, body = client.request("GET", peers.PEER_STATUS_PATH, None, 0.5)
                if status == 200:
                    self._status_received(peer, peers.decode_peer_status(body), elections)
            except (ClientError, ProtocolError) as error:
                log.debug("hello to %s: %s", peer, error)
                self.reachable_since.pop(peer, None)
            now = self._runtime.now()
            cleared = all(election.lease.startup_hold_over(now) for election in elections)
            self._stop.wait(STATUS_INTERVAL_S if cleared else STARTUP_STATUS_INTERVAL_S)

    def _status_received(
        self, peer: str, hello: peers.PeerStatus, elections: list[LeaderElection]
    ) -> None:
        now = self._runtime.now()
        self.last_status[peer] = (now, hello)
        self.reachable_since.setdefault(peer, now)
        self.shard_map_version = max(self.shard_map_version, hello.shard_map_version)
        before = self._process_ids.get(peer, hello.process_id)
        self._process_ids[peer] = hello.process_id
        if before != hello.process_id:
            # It may have ended and come back between two of our questions.
            log.info("%s was started anew", peer)
            self.reachable_since[peer] = now
            self._connectivity.peer_restarted(peer)
            for election in elections:
                election.peer_restarted(peer, before)
        self._connectivity.peer_status_received(peer, hello, now)
        held = {each.shard: each for each in hello.held_shards}
        if hello.leading:
            held[0] = peers.HeldShard(0, hello.fencing_token, hello.entitled)
        for election in elections:
            election.peer_status_received(peer, hello, held.get(election.shard))
