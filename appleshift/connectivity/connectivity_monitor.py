"""The threads that probe workers of the sample, and what follows for leadership."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.connectivity.peer_reports import (
    CUT_OFF_DELAY_S,
    UNSURE_DELAY_S,
    PeerReport,
    PeerReports,
)
from appleshift.connectivity.worker_contacts import ContactSummary, WorkerContacts
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)

PROBE_THREADS = 3
"""A probe through a partition takes its whole timeout: three at once establish it within
one timeout."""
ELECTION_CONTACT_S = 0.5
"""A candidate had a contact within this time, or probes for one."""
CONFIRM_TIMEOUT_S = 1.2
"""How long a peer may take to confirm that it reaches workers."""
CONFIRM_WORKERS = 2
"""Workers that a peer probes, one after the other, before it answers."""
HAND_OVER_PAUSE_S = 1.0
"""After a hand-over was requested, this long before the next check."""
NO_CONTACT = -1.0
"""The age of the last contact in a peer status: there was none so far."""


class ConnectivityMonitor:
    """Monitors what one node reaches, whatever shards it leads."""

    def __init__(
        self,
        probe_worker: Callable[[str], bool],
        store_answers: Callable[[], bool],
        is_leader: Callable[[], bool],
        hand_over: Callable[[], None],
        peer_clients: dict[str, HttpCaller],
        runtime: Runtime,
    ) -> None:
        """Take the node's functions; ``start`` begins to probe.

        ``probe_worker``: whether the worker at an address answers. ``store_answers``: whether
        the key-value store answered when it was asked last. ``is_leader``: whether this node
        leads any shard. ``hand_over`` requests an orderly hand-over of what it leads.
        """
        self.worker_contacts = WorkerContacts()
        self._peer_reports = PeerReports()
        self._probe_worker = probe_worker
        self._store_answers = store_answers
        self._is_leader = is_leader
        self._hand_over = hand_over
        self._peer_clients = peer_clients
        self._runtime = runtime
        self._stop = runtime.event()
        self._workers_lost = False

    def start(self) -> None:
        """Start the threads that probe workers."""
        for number in range(PROBE_THREADS):
            self._runtime.spawn(f"reach-{number}", self._run, number)

    def stop(self) -> None:
        """Let the threads end with their current probe."""
        self._stop.set()

    # -- evidence ----------------------------------------------------------------------

    def heartbeat_received(self) -> None:
        """Note that a worker's heartbeat came to this node's own listener."""
        self.worker_contacts.heartbeat_received(self._runtime.now())

    def own_connectivity(self, now: float) -> peers.PeerConnectivity:
        """What this node reaches, for its peer status."""
        contacts = self.worker_contacts.summary(now)
        return peers.PeerConnectivity(
            NO_CONTACT if contacts.age_s is None else contacts.age_s,
            contacts.uninterrupted_s,
            self._store_answers(),
        )

    def peer_status_received(self, peer: str, status: peers.PeerStatus, now: float) -> None:
        """Take in what a peer reaches, and from a leader the sample of workers."""
        connectivity = status.connectivity
        if connectivity is None:
            # A peer of an older version, which does not send it.
            self._peer_reports.remove(peer)
        else:
            self._peer_reports.update(peer, _report(connectivity, now))
        if status.entitled and not self._is_leader():
            if status.worker_sample:
                self.worker_contacts.set_sample(status.worker_sample)
            elif connectivity is not None:
                # A leader that no worker reaches still names those that once did: this one
                # has no workers.
                self.worker_contacts.clear()

    def peer_restarted(self, peer: str) -> None:
        """Drop what an earlier process of a peer reported."""
        self._peer_reports.remove(peer)

    # -- probes ------------------------------------------------------------------------

    def _run(self, number: int) -> None:
        """Probe workers until the monitor is stopped; the first thread checks for hand-over."""
        is_first = not number
        while not self._stop.is_set():
            now = self._runtime.now()
            # Without misses one thread is enough; a leader receives heartbeats all the time.
            if is_first or self._is_leader() or self.worker_contacts.has_unanswered_probes():
                address = self.worker_contacts.next_to_probe(now)
                if address is not None:
                    self._probe(address)
            if is_first:
                self._check_hand_over()
            self._stop.wait(self.worker_contacts.pause_s(self._runtime.now()))

    def _probe(self, address: str) -> bool:
        sent = self._runtime.now()
        answered = self._probe_worker(address)
        self.worker_contacts.record_probe(address, sent, self._runtime.now(), answered)
        return answered

    # -- what follows for leadership -----------------------------------------------------

    def _check_hand_over(self) -> None:
        """Hand over what this node leads if workers reach a peer and not this node."""
        lost = self.worker_contacts.workers_unreachable()
        if lost != self._workers_lost:
            self._workers_lost = lost
            log.info("worker connectivity %s", "lost" if lost else "restored")
        if not (lost and self._is_leader()):
            return
        for peer in self._peer_reports.reaching_workers(
            self._runtime.now(), self.worker_contacts.unanswered_since
        ):
            if self._peer_confirms(peer) and self.worker_contacts.workers_unreachable():
                log.info("handing over leadership reason=workers_unreachable peer=%s", peer)
                self._hand_over()
                self._stop.wait(HAND_OVER_PAUSE_S)
                return

    def _peer_confirms(self, peer: str) -> bool:
        """Whether a peer reaches a worker and the key-value store right now.

        A peer that waits on an open watch learns late that it is cut off from the store; to
        hand over to it would leave nobody entitled.
        """
        request = encode(
            peers.ConnectivityRequest([*self.worker_contacts.sample[:CONFIRM_WORKERS]])
        )
        try:
            client = self._peer_clients[peer]
            status, body = client.request(
                "POST", peers.CONNECTIVITY_PATH, request, CONFIRM_TIMEOUT_S
            )
            return status == 200 and peers.decode_connectivity_reply(body).reached
        except (ClientError, ProtocolError) as error:
            log.debug("connectivity not confirmed peer=%s error=%s", peer, error)
            return False

    def candidacy_delay_s(self) -> float:
        """For how long this node leaves a free leader key to its peers, in seconds.

        Asked by the election's thread before each try: without trouble it had a contact
        a moment ago, or a worker answers within milliseconds.
        """
        now = self._runtime.now()
        contacts = self.worker_contacts
        address = contacts.next_in_sample()
        if address is None or contacts.had_contact_within(now, ELECTION_CONTACT_S):
            return 0.0
        if not contacts.workers_unreachable() and self._probe(address):
            return 0.0
        now = self._runtime.now()
        others = self._peer_reports.reaching_workers(now, contacts.unanswered_since)
        return CUT_OFF_DELAY_S if others else UNSURE_DELAY_S


def _report(connectivity: peers.PeerConnectivity, now: float) -> PeerReport:
    """A peer's connectivity, received now, as a report."""
    age_s = connectivity.worker_contact_age_s
    contacts = ContactSummary(None if age_s < 0.0 else age_s, connectivity.uninterrupted_s)
    return PeerReport(now, contacts, connectivity.store_reachable)
