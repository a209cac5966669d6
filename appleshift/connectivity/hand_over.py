"""The routines that ask workers of the sample, and what follows for who leads."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.connectivity.monitor import ContactSummary, WorkerContacts
from appleshift.connectivity.peers import CUT_OFF_DELAY_S, UNSURE_DELAY_S, PeerReport, PeerReports
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime

log = logging.getLogger(__name__)

PROBE_TASKS = 3
"""A cut takes what is asked through it the whole time given: three at once are sure of
it in one such time."""
ELECTION_CONTACT_S = 0.5
"""Whoever stands for election had a contact within this, or asks for one."""
CONFIRM_S = 1.2
CONFIRM_WORKERS = 2
"""Workers that a sibling asks, one after the other, before it answers."""
NO_CONTACT = -1.0
"""In a hello: no contact so far."""


class ConnectivityMonitor:
    """Of one node, whatever shares it holds."""

    def __init__(
        self,
        asks: Callable[[str], bool],
        state_answers: Callable[[], bool],
        leads: Callable[[], bool],
        give_up: Callable[[], None],
        siblings: dict[str, HttpCaller],
        runtime: Runtime,
    ) -> None:
        """``asks``: does that worker answer? ``state_answers``: did the state service, when
        it was asked last? ``give_up``: hand over what this node holds, in order."""
        self.worker_contacts = WorkerContacts()
        self._peers = PeerReports()
        self._probe_worker = asks
        self._store_answers = state_answers
        self._is_leader = leads
        self._hand_over = give_up
        self._peer_clients = siblings
        self._runtime = runtime
        self._stop = runtime.event()
        self._workers_lost = False

    def start(self) -> None:
        for number in range(PROBE_TASKS):
            self._runtime.spawn(f"reach-{number}", self._run, number)

    def stop(self) -> None:
        self._stop.set()

    # -- what is told ----------------------------------------------------------------

    def heartbeat_received(self) -> None:
        """A worker's report came to this node's own door."""
        self.worker_contacts.heartbeat_received(self._runtime.now())

    def own_connectivity(self, now: float) -> peers.PeerConnectivity:
        seen = self.worker_contacts.summary(now)
        return peers.PeerConnectivity(
            NO_CONTACT if seen.age_s is None else seen.age_s,
            seen.uninterrupted_s,
            self._store_answers(),
        )

    def peer_status_received(self, peer: str, hello: peers.PeerStatus, now: float) -> None:
        sees = hello.connectivity
        if sees is None:
            # Of an older version, which does not say.
            self._peers.forget(peer)
        else:
            age = None if sees.worker_contact_age_s < 0.0 else sees.worker_contact_age_s
            self._peers.update(
                peer,
                PeerReport(now, ContactSummary(age, sees.uninterrupted_s), sees.store_answers),
            )
        if hello.entitled and not self._is_leader():
            if hello.worker_sample:
                self.worker_contacts.set_sample(hello.worker_sample)
            elif hello.connectivity is not None:
                # A leader that no worker reaches names those that once did.
                self.worker_contacts.forget()

    def peer_restarted(self, peer: str) -> None:
        self._peers.forget(peer)

    # -- asking ------------------------------------------------------------------------

    def _run(self, number: int) -> None:
        while not self._stop.is_set():
            now = self._runtime.now()
            # Without trouble one of them is enough; a leader hears reports all the time.
            if not number or self._is_leader() or self.worker_contacts.is_suspect():
                address = self.worker_contacts.next_to_probe(now)
                if address is not None:
                    self._probe(address)
            if not number:
                self._check_hand_over()
            self._stop.wait(self.worker_contacts.pause_s(self._runtime.now()))

    def _probe(self, address: str) -> bool:
        sent = self._runtime.now()
        answered = self._probe_worker(address)
        self.worker_contacts.probed(address, sent, self._runtime.now(), answered)
        return answered

    # -- what follows --------------------------------------------------------------------

    def _check_hand_over(self) -> None:
        lost = self.worker_contacts.is_lost()
        if lost != self._workers_lost:
            self._workers_lost = lost
            log.info("workers %s this node", "do not reach" if lost else "reach")
        if not (lost and self._is_leader()):
            return
        for name in self._peers.reaching_workers(
            self._runtime.now(), self.worker_contacts.unanswered_since
        ):
            if self._peer_confirms(name) and self.worker_contacts.is_lost():
                log.info("handing over: workers reach %s, not this node", name)
                self._hand_over()
                self._stop.wait(1.0)
                return

    def _peer_confirms(self, peer: str) -> bool:
        """Does it reach a worker and the state service right now? One that waits on an
        open watch learns late that it is cut off from the state service; to hand over to
        it would leave nobody entitled."""
        request = encode(
            peers.ConnectivityRequest([*self.worker_contacts.sample[:CONFIRM_WORKERS]])
        )
        try:
            client = self._peer_clients[peer]
            status, body = client.request("POST", peers.CONNECTIVITY_PATH, request, CONFIRM_S)
            return status == 200 and peers.decode_connectivity_reply(body).reached
        except (ClientError, ProtocolError) as error:
            log.debug("%s does not confirm what it reaches: %s", peer, error)
            return False

    def candidacy_delay_s(self) -> float:
        """For how long this node leaves a free key to others, in seconds.

        Asked by the election's routine before each try: without trouble it had a contact
        a moment ago, or a worker answers within milliseconds.
        """
        now = self._runtime.now()
        sight = self.worker_contacts
        address = sight.next_in_sample()
        if address is None or sight.had_contact_within(now, ELECTION_CONTACT_S):
            return 0.0
        if not sight.is_lost() and self._probe(address):
            return 0.0
        now = self._runtime.now()
        return (
            CUT_OFF_DELAY_S
            if self._peers.reaching_workers(now, sight.unanswered_since)
            else UNSURE_DELAY_S
        )
