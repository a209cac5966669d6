"""The routines that ask workers of the sample, and what follows for who leads."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appleshift.connectivity.monitor import Seen, Sight
from appleshift.connectivity.peers import HELD_S, UNSURE_S, Others, Word
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import Caller, ClientError
from appleshift.transport.concurrency import Routines

log = logging.getLogger(__name__)

ASKERS = 3
"""A cut takes what is asked through it the whole time given: three at once are sure of
it in one such time."""
ELECTION_ASK_S = 0.5
"""Whoever stands for election had a contact within this, or asks for one."""
CONFIRM_S = 1.2
CONFIRM_BY = 2
"""Workers that a sibling asks, one after the other, before it answers."""
NONE = -1.0
"""In a hello: no contact so far."""


class Reach:
    """Of one node, whatever shares it holds."""

    def __init__(
        self,
        asks: Callable[[str], bool],
        state_answers: Callable[[], bool],
        leads: Callable[[], bool],
        give_up: Callable[[], None],
        siblings: dict[str, Caller],
        routines: Routines,
    ) -> None:
        """``asks``: does that worker answer? ``state_answers``: did the state service, when
        it was asked last? ``give_up``: hand over what this node holds, in order."""
        self.sight = Sight()
        self._others = Others()
        self._asks = asks
        self._state_answers = state_answers
        self._leads = leads
        self._give_up = give_up
        self._siblings = siblings
        self._routines = routines
        self._stop = routines.flag()
        self._blind = False

    def start(self) -> None:
        for number in range(ASKERS):
            self._routines.spawn(f"reach-{number}", self._run, number)

    def stop(self) -> None:
        self._stop.set()

    # -- what is told ----------------------------------------------------------------

    def heard(self) -> None:
        """A worker's report came to this node's own door."""
        self.sight.reported(self._routines.now())

    def word(self, now: float) -> peers.PeerConnectivity:
        seen = self.sight.seen(now)
        return peers.PeerConnectivity(
            NONE if seen.age_s is None else seen.age_s, seen.steady_s, self._state_answers()
        )

    def told(self, sibling: str, hello: peers.PeerStatus, now: float) -> None:
        sees = hello.connectivity
        if sees is None:
            # Of an older version, which does not say.
            self._others.forget(sibling)
        else:
            age = None if sees.worker_contact_age_s < 0.0 else sees.worker_contact_age_s
            self._others.said(
                sibling, Word(now, Seen(age, sees.uninterrupted_s), sees.store_answers)
            )
        if hello.entitled and not self._leads():
            if hello.worker_sample:
                self.sight.offer(hello.worker_sample)
            elif hello.connectivity is not None:
                # A leader that no worker reaches names those that once did.
                self.sight.forget()

    def restarted(self, sibling: str) -> None:
        self._others.forget(sibling)

    # -- asking ------------------------------------------------------------------------

    def _run(self, number: int) -> None:
        while not self._stop.is_set():
            now = self._routines.now()
            # Without trouble one of them is enough; a leader hears reports all the time.
            if not number or self._leads() or self.sight.suspect():
                address = self.sight.next(now)
                if address is not None:
                    self._ask(address)
            if not number:
                self._look()
            self._stop.wait(self.sight.pause_s(self._routines.now()))

    def _ask(self, address: str) -> bool:
        sent = self._routines.now()
        answered = self._asks(address)
        self.sight.asked(address, sent, self._routines.now(), answered)
        return answered

    # -- what follows --------------------------------------------------------------------

    def _look(self) -> None:
        lost = self.sight.lost()
        if lost != self._blind:
            self._blind = lost
            log.info("workers %s this node", "do not reach" if lost else "reach")
        if not (lost and self._leads()):
            return
        for name in self._others.reaching(self._routines.now(), self.sight.missing_since):
            if self._confirms(name) and self.sight.lost():
                log.info("handing over: workers reach %s, not this node", name)
                self._give_up()
                self._stop.wait(1.0)
                return

    def _confirms(self, sibling: str) -> bool:
        """Does it reach a worker and the state service right now? One that waits on an
        open watch learns late that it is cut off from the state service; to hand over to
        it would leave nobody entitled."""
        request = encode(peers.ConnectivityRequest([*self.sight.sample[:CONFIRM_BY]]))
        try:
            client = self._siblings[sibling]
            status, body = client.request("POST", peers.CONNECTIVITY_PATH, request, CONFIRM_S)
            return status == 200 and peers.decode_connectivity_reply(body).reached
        except (ClientError, ProtocolError) as error:
            log.debug("%s does not confirm what it reaches: %s", sibling, error)
            return False

    def held_back(self) -> float:
        """For how long this node leaves a free key to others, in seconds.

        Asked by the election's routine before each try: without trouble it had a contact
        a moment ago, or a worker answers within milliseconds.
        """
        now = self._routines.now()
        sight = self.sight
        address = sight.any()
        if address is None or sight.fresh(now, ELECTION_ASK_S):
            return 0.0
        if not sight.lost() and self._ask(address):
            return 0.0
        now = self._routines.now()
        return HELD_S if self._others.reaching(now, sight.missing_since) else UNSURE_S
