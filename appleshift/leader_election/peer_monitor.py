"""Asks each sibling, a few times in two seconds, what it holds.

After a start the answers say whether a promise made before it may still bind;
later they say where to send users and workers, and who is there at all.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from appleshift.leader_election.election import Election
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.client import Caller, ClientError
from appleshift.transport.concurrency import Routines

log = logging.getLogger(__name__)


class Reach(Protocol):
    """What follows from who reaches what; see ``appleshift.connectivity``."""

    def told(self, sibling: str, hello: peers.PeerStatus, now: float) -> None: ...

    def restarted(self, sibling: str) -> None: ...


HELLO_GAP_S = 0.6
UNCLEARED_GAP_S = 0.3


class Neighbours:
    """One routine for each sibling."""

    def __init__(
        self,
        siblings: dict[str, Caller],
        elections: Callable[[], Iterable[Election]],
        routines: Routines,
        reach: Reach,
    ) -> None:
        self._reach = reach
        self._siblings = siblings
        self._elections = elections
        self._routines = routines
        self._stop = routines.flag()
        self.said: dict[str, tuple[float, peers.PeerStatus]] = {}
        """What each sibling said last, and when."""
        self.since: dict[str, float] = {}
        """Since when it has said something without a gap."""
        self._processes: dict[str, str] = {}
        self.map_version = 0
        """The newest map of shares that a sibling goes by; 0: none does."""

    def start(self) -> None:
        for sibling in self._siblings:
            self._routines.spawn(f"hello-{sibling}", self._ask, sibling)

    def stop(self) -> None:
        self._stop.set()

    def _ask(self, sibling: str) -> None:
        client = self._siblings[sibling]
        while not self._stop.is_set():
            elections = list(self._elections())
            try:
                status, body = client.request("GET", peers.PEER_STATUS_PATH, None, 0.5)
                if status == 200:
                    self._told(sibling, peers.decode_peer_status(body), elections)
            except (ClientError, ProtocolError) as error:
                log.debug("hello to %s: %s", sibling, error)
                self.since.pop(sibling, None)
            now = self._routines.now()
            cleared = all(election.leadership.cleared(now) for election in elections)
            self._stop.wait(HELLO_GAP_S if cleared else UNCLEARED_GAP_S)

    def _told(self, sibling: str, hello: peers.PeerStatus, elections: list[Election]) -> None:
        now = self._routines.now()
        self.said[sibling] = (now, hello)
        self.since.setdefault(sibling, now)
        self.map_version = max(self.map_version, hello.shard_map_version)
        before = self._processes.get(sibling, hello.process_id)
        self._processes[sibling] = hello.process_id
        if before != hello.process_id:
            # It may have ended and come back between two of our questions.
            log.info("%s was started anew", sibling)
            self.since[sibling] = now
            self._reach.restarted(sibling)
            for election in elections:
                election.restarted(sibling, before)
        self._reach.told(sibling, hello, now)
        held = {each.shard: each for each in hello.held_shards}
        if hello.leading:
            held[0] = peers.HeldShard(0, hello.fencing_token, hello.entitled)
        for election in elections:
            election.told(sibling, hello, held.get(election.share))
