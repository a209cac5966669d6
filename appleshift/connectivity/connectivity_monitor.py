"""Probes a sample of workers and hands over leadership if only a peer reaches workers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.connectivity.peer_reports import (
    UNCERTAIN_CANDIDACY_DELAY_S,
    UNREACHABLE_CANDIDACY_DELAY_S,
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
"""A probe across a partition takes its whole timeout; three concurrent probes detect the
partition within one timeout."""
MAX_CANDIDATE_CONTACT_AGE_S = 0.5
"""A candidate whose last contact is older than this probes a worker before its candidacy."""
CONFIRMATION_TIMEOUT_S = 1.2
"""Timeout of the call in which a peer confirms that it reaches workers."""
MAX_CONFIRMATION_PROBES = 2
"""Maximum number of workers that a peer probes, one after the other, before it responds."""
HAND_OVER_PAUSE_S = 1.0
"""Delay after a hand-over request before the next check."""
NO_CONTACT_AGE_S = -1.0
"""Age of the last contact in a peer status if there was none yet."""


class ConnectivityMonitor:
    """Monitors which workers a node can reach, independently of the shards that it leads."""

    def __init__(
        self,
        probe_worker: Callable[[str], bool],
        is_store_reachable: Callable[[], bool],
        is_leader: Callable[[], bool],
        hand_over: Callable[[], None],
        peer_clients: dict[str, HttpCaller],
        runtime: Runtime,
    ) -> None:
        """Create the monitor from callbacks of the node; ``start`` starts the probes.

        ``probe_worker`` returns whether the worker at an address answers. ``is_store_reachable``
        returns whether the key-value store answered the last request. ``is_leader`` returns
        whether this node leads any shard. ``hand_over`` requests an orderly hand-over of the
        shards that this node leads. ``peer_clients`` holds a client for each peer by its name.
        """
        self.worker_contacts = WorkerContacts()
        self._peer_reports = PeerReports()
        self._probe_worker = probe_worker
        self._is_store_reachable = is_store_reachable
        self._is_leader = is_leader
        self._hand_over = hand_over
        self._peer_clients = peer_clients
        self._runtime = runtime
        self._stop = runtime.event()
        self._workers_lost = False

    def start(self) -> None:
        """Start the threads that probe workers."""
        for thread_number in range(PROBE_THREADS):
            self._runtime.spawn(f"reach-{thread_number}", self._run, thread_number)

    def stop(self) -> None:
        """Stop the threads; each of them ends after its current probe."""
        self._stop.set()

    # -- contacts and peer reports --------------------------------------------------------

    def heartbeat_received(self) -> None:
        """Record that a worker's heartbeat arrived at this node's listener."""
        self.worker_contacts.heartbeat_received(self._runtime.now())

    def own_connectivity(self, now: float) -> peers.PeerConnectivity:
        """This node's connectivity, as sent in its peer status."""
        contacts = self.worker_contacts.summary(now)
        return peers.PeerConnectivity(
            NO_CONTACT_AGE_S if contacts.age_s is None else contacts.age_s,
            contacts.uninterrupted_s,
            self._is_store_reachable(),
        )

    def peer_status_received(self, peer: str, status: peers.PeerStatus, now: float) -> None:
        """Store the connectivity in a peer's status, and a leader's sample of workers."""
        connectivity = status.connectivity
        if connectivity is None:
            # The peer has an older version, which does not send its connectivity.
            self._peer_reports.remove(peer)
        else:
            self._peer_reports.update(peer, _report(connectivity, now))
        if status.entitled and not self._is_leader():
            if status.worker_sample:
                self.worker_contacts.set_sample(status.worker_sample)
            elif connectivity is not None:
                # A leader that no worker reaches still sends the workers that reached it
                # before, so a leader with an empty sample has no workers.
                self.worker_contacts.clear()

    def peer_restarted(self, peer: str) -> None:
        """Remove the report of a peer's previous process."""
        self._peer_reports.remove(peer)

    # -- probes --------------------------------------------------------

    def _run(self, thread_number: int) -> None:
        """Probe workers until the monitor stops; thread 0 also checks for a hand-over."""
        is_first = not thread_number
        while not self._stop.is_set():
            now = self._runtime.now()
            # One thread is enough without unanswered probes. A leader uses all threads: it
            # receives heartbeats all the time and rarely probes.
            if is_first or self._is_leader() or self.worker_contacts.has_unanswered_probes():
                address = self.worker_contacts.next_to_probe(now)
                if address is not None:
                    self._probe(address)
            if is_first:
                self._check_hand_over()
            self._stop.wait(self.worker_contacts.pause_s(self._runtime.now()))

    def _probe(self, address: str) -> bool:
        """Probe a worker and record the outcome; returns whether the worker answered."""
        sent = self._runtime.now()
        answered = self._probe_worker(address)
        self.worker_contacts.record_probe(address, sent, self._runtime.now(), answered)
        return answered

    # -- consequences for leadership --------------------------------------------------------

    def _check_hand_over(self) -> None:
        """Hand over the shards that this node leads if only a peer reaches workers."""
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
        """Whether a peer confirms that it reaches a worker and the key-value store now.

        A peer with an open watch detects late that it is cut off from the store. After a
        hand-over to such a peer, no node would hold a valid leader lease.
        """
        request = encode(
            peers.ConnectivityRequest([*self.worker_contacts.sample[:MAX_CONFIRMATION_PROBES]])
        )
        try:
            client = self._peer_clients[peer]
            status, body = client.request(
                "POST", peers.CONNECTIVITY_PATH, request, CONFIRMATION_TIMEOUT_S
            )
            return status == 200 and peers.decode_connectivity_reply(body).reached
        except (ClientError, ProtocolError) as error:
            log.debug("connectivity not confirmed peer=%s error=%s", peer, error)
            return False

    def candidacy_delay_s(self) -> float:
        """Seconds for which this node leaves a free leader key to its peers.

        The election's thread calls this before each candidacy. It is fast in normal operation:
        there is a recent contact, or a worker answers the probe within milliseconds.
        """
        now = self._runtime.now()
        contacts = self.worker_contacts
        address = contacts.next_in_sample()
        if address is None or contacts.had_contact_within(now, MAX_CANDIDATE_CONTACT_AGE_S):
            return 0.0
        if not contacts.workers_unreachable() and self._probe(address):
            return 0.0
        now = self._runtime.now()
        reaching_peers = self._peer_reports.reaching_workers(now, contacts.unanswered_since)
        return UNREACHABLE_CANDIDACY_DELAY_S if reaching_peers else UNCERTAIN_CANDIDACY_DELAY_S


def _report(connectivity: peers.PeerConnectivity, now: float) -> PeerReport:
    """Convert the connectivity that a peer sent to a report received at ``now``."""
    age_s = connectivity.worker_contact_age_s
    contacts = ContactSummary(None if age_s < 0.0 else age_s, connectivity.uninterrupted_s)
    return PeerReport(now, contacts, connectivity.store_reachable)
