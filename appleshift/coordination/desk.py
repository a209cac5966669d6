"""The front desk: what arrives over HTTP, checked, answered, handed on or forwarded."""

from __future__ import annotations

import logging
import queue
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urlsplit

import msgspec

from appleshift.bookkeeping.journal import audit_key
from appleshift.bookkeeping.store import Store, StoreError
from appleshift.coordination.leading.election import Election
from appleshift.coordination.leading.leadership import Leadership
from appleshift.intake import routes
from appleshift.intake.relay import Relay
from appleshift.protocol import peers, users, workers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import Caller, ClientError
from appleshift.transport.routines import RateBudget, Routines
from appleshift.transport.server import Request, Response

log = logging.getLogger(__name__)

JOBS = "/submissions"
ANSWER_S = 4.0
"""Users wait 5 s for most answers, workers 4 s; later ones help nobody."""
FORWARD_S = 1.8
RELAYED_S = 2.5
"""A relay waits 3 s for a batch's answers, its workers 4 s."""
PAGES_RPS = 2.0
"""Pages of the audit that a node reads in a second. They come out of its share
of the state service's requests, which renewals of its lease need first."""
HOLD_S = 0.4
MOST_LOAD = {"report": 2.0, "cancel": 1.5, "submit": 1.0, "status": 0.75, "seats": 0.5}
"""Up to which length of the core's queue, measured in what a node should keep
waiting, a kind of request is put in it. What waits is answered late, and what
leases depend on comes first."""


def respond(status: int, body: Any, retry_after: int = 0) -> Response:
    headers = {"Retry-After": str(retry_after)} if retry_after else {}
    return Response(status, encode(body), headers)


def unavailable() -> Response:
    return respond(503, users.error_body("not available right now"), 1)


class Desk:
    """Routes of both listeners. Runs on the connections' routines."""

    def __init__(
        self,
        election: Election,
        leadership: Leadership,
        siblings: dict[str, Caller],
        post: Callable[..., None],
        load: Callable[[], float],
        reaches: Callable[[str], bool],
        routines: Routines,
        store: Store,
        hears: Callable[[], int] = lambda: 0,
    ) -> None:
        self._routines = routines
        self._election = election
        self._leadership = leadership
        self._siblings = siblings
        self._post = post
        self._load = load
        self._reaches = reaches
        self._store = store
        self._hears = hears
        self._relay = Relay(siblings, routines)
        self._pages = RateBudget(routines, PAGES_RPS)

    def stop(self) -> None:
        self._relay.stop()

    # -- listeners ------------------------------------------------------------

    def public(self, request: Request) -> Response:
        """Users, workers and health checks."""
        return self._guarded(request, forwarded=False)

    def cluster(self, request: Request) -> Response:
        """The siblings: pledges, and users' requests that they forward."""
        if request.path == peers.PLEDGE_PATH and request.method == "POST":
            return self._pledge(request.body)
        if request.path == peers.HELLO_PATH and request.method == "GET":
            leadership = self._leadership
            hello = peers.Hello(
                self._election.name,
                leadership.leading,
                leadership.token,
                leadership.may_answer(self._routines.now()),
                self._election.share if leadership.leading else 0.0,
                self._election.can_relay(),
            )
            return respond(200, hello)
        if request.path == peers.REPORTS_PATH and request.method == "POST":
            return self._reports(request.body)
        if request.path == peers.REACH_PATH and request.method == "POST":
            return self._reach(request.body)
        return self._guarded(request, forwarded=True)

    def _guarded(self, request: Request, forwarded: bool) -> Response:
        try:
            return self._route(request, forwarded)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        except Exception:
            # One bad request must not end a routine, nor go unanswered.
            log.exception("%s %s failed", request.method, request.path)
            return respond(500, users.error_body("internal error"))

    def _route(self, request: Request, forwarded: bool) -> Response:
        path = urlsplit(request.path).path
        method = request.method
        if path == "/agent/beat":
            return self._only(method, "POST") or self._beat(request.body)
        if path == "/ready":
            return self._only(method, "GET") or self._ready()
        if path == "/nodes":
            return self._only(method, "GET") or self._nodes()
        if path == "/seats" or path.startswith("/seats/"):
            return self._only(method, "GET") or self._seats(path, request, forwarded)
        if path == JOBS:
            return self._only(method, "POST") or self._submit(request, forwarded)
        if path.startswith(JOBS + "/"):
            rest = unquote(path[len(JOBS) + 1 :]).split("/")
            if len(rest) == 1:
                return self._only(method, "GET") or self._job("status", rest[0], request, forwarded)
            if len(rest) == 2 and rest[1] == "abort":
                return self._only(method, "POST") or self._job(
                    "cancel", rest[0], request, forwarded
                )
        return respond(404, users.error_body("no such path"))

    @staticmethod
    def _only(method: str, allowed: str) -> Response | None:
        if method == allowed or (method == "HEAD" and allowed == "GET"):
            return None
        response = respond(405, users.error_body(f"use {allowed}"))
        response.headers["Allow"] = allowed
        return response

    def _entitled(self) -> bool:
        return self._leadership.may_answer(self._routines.now())

    def _elsewhere(self) -> bool:
        """Only the leader answers. One whose lease lapsed sends users on to its
        successor; while there is none, its core still knows what is final."""
        if not self._leadership.leading:
            return True
        leader = self._election.current_leader()
        return not self._entitled() and leader not in (None, self._election.name)

    def _ready(self) -> Response:
        ready = self._election.serves()
        return respond(200 if ready else 503, {"ready": ready})

    # -- requests ----------------------------------------------------------------

    def _submit(self, request: Request, forwarded: bool) -> Response:
        spec = users.decode_submission(request.body)
        if self._elsewhere():
            return self._forward(request, forwarded, hold=False)
        return self._ask("submit", spec)

    def _job(self, kind: str, job_id: str, request: Request, forwarded: bool) -> Response:
        if not users.valid_id(job_id):
            # Users also ask about jobs that nobody can have submitted.
            return respond(404, users.error_body("no such job"))
        if self._elsewhere():
            return self._forward(request, forwarded, hold=kind == "status")
        return self._ask(kind, job_id)

    def _beat(self, body: bytes) -> Response:
        # A malformed report is refused by every node alike.
        report = workers.decode_report(body)
        election = self._election
        here = election.name
        share = election.sent_away()
        relay = routes.place(report.machine, share, election.relays()) if share else None
        if not self._elsewhere():
            if relay is not None and relay != here:
                return respond(421, workers.redirect(relay))
            return self._ask("report", report)
        leader = election.current_leader()
        if relay == here and leader is not None and leader != here:
            status, answer = self._relay.pass_on(leader, body)
            return Response(status, answer)
        to = relay or leader
        return respond(421, workers.redirect(None if to == here else to))

    def _reports(self, body: bytes) -> Response:
        """What a relay has gathered: each report is answered as if it had come here."""
        try:
            batch = peers.decode_reports(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        waiting: list[tuple[Response | None, Any]] = []
        for raw in batch.reports:
            slot = self._routines.mailbox()
            if self._elsewhere() or self._load() > MOST_LOAD["report"]:
                waiting.append((unavailable(), slot))
                continue
            try:
                self._post("report", workers.decode_report(bytes(raw)), slot)
                waiting.append((None, slot))
            except ProtocolError as error:
                waiting.append((respond(error.status, users.error_body(error.reason)), slot))
        until = self._routines.now() + RELAYED_S
        answers = []
        for response, slot in waiting:
            if response is None:
                try:
                    left = max(0.0, until - self._routines.now())
                    status, told, _ = slot.get(timeout=left)
                    response = respond(status, told)
                except queue.Empty:
                    response = unavailable()
            answers.append(peers.RelayedAnswer(response.status, msgspec.Raw(response.body)))
        return respond(200, peers.ReportAnswers(answers))

    def _ask(self, kind: str, what: Any) -> Response:
        """Put it to the core and wait for the answer."""
        if self._load() > MOST_LOAD[kind]:
            return unavailable()
        slot = self._routines.mailbox()
        self._post(kind, what, slot)
        try:
            status, body, retry_after = slot.get(timeout=ANSWER_S)
        except queue.Empty:
            return unavailable()
        return respond(status, body, retry_after)

    def _forward(self, request: Request, forwarded: bool, hold: bool) -> Response:
        """Only the leader answers users, so that nobody gets an older answer."""
        if forwarded:
            # The sender's idea of the leader is out of date; it asks again.
            return unavailable()
        until = self._routines.now() + HOLD_S
        while True:
            leader = self._election.current_leader()
            if leader == self._election.name and self._entitled():
                return self._route(request, forwarded=True)
            client = self._siblings.get(leader) if leader else None
            if client is not None:
                break
            # A query may wait a moment for an election to end. A submission
            # is answered at once: its user is better off asking again.
            if not hold or self._routines.now() >= until:
                return unavailable()
            self._routines.sleep(0.05)
        try:
            body = request.body if request.method == "POST" else None
            status, answer, retry = client.request_full(
                request.method, request.path, body, FORWARD_S
            )
        except ClientError as error:
            log.debug("forwarding: %s", error)
            return unavailable()
        headers = {"Retry-After": retry} if retry else {}
        return Response(status, answer, headers)

    def _nodes(self) -> Response:
        """For operators: who leads, as far as this node knows."""
        leadership = self._leadership
        body = {
            "name": self._election.name,
            "leading": leadership.leading,
            "leader": self._election.leader,
            "token": max(leadership.token, leadership.seen_token),
            "relays": self._election.relays(),
            "sent_away": self._election.sent_away(),
            "hears": self._hears(),
        }
        return respond(200, body)

    def _seats(self, path: str, request: Request, forwarded: bool) -> Response:
        """For operators: what is counted; its audit, page by page, then the tail."""
        what, _, number = path.removeprefix("/seats").strip("/").partition("/")
        if not what:
            return (
                self._forward(request, forwarded, hold=True)
                if self._elsewhere()
                else self._ask("seats", None)
            )
        if what not in ("pages", "after") or not number.isdecimal() or len(number) > 18:
            return respond(404, users.error_body("no such path"))
        if what == "pages":
            # Written once and never changed: any node may read them.
            return self._audit_page(int(number))
        if self._elsewhere():
            return self._forward(request, forwarded, hold=True)
        return self._ask("seats", int(number) - 1)

    def _audit_page(self, number: int) -> Response:
        if not self._pages.take():
            return unavailable()
        try:
            item = self._store.get(audit_key(number))
        except StoreError:
            return unavailable()
        if item is None:
            return respond(404, users.error_body("no such page"))
        return respond(200, {"entries": item.value["records"]})

    def _reach(self, body: bytes) -> Response:
        """Do some of these workers answer this node?"""
        try:
            request = peers.decode_reach(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        return respond(200, peers.Reach(any(self._reaches(addr) for addr in request.addresses)))

    def _pledge(self, body: bytes) -> Response:
        try:
            request = peers.decode_pledge(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        if request.for_s > 0 and self._election.state_answers():
            # Only the asker is refused: its lease runs out, and a node that can
            # write is to lead. A promise would keep everybody from it.
            return respond(409, {"given": False})
        given = self._leadership.give_pledge(
            request.leader, request.token, request.seq, request.for_s, self._routines.now()
        )
        return respond(200 if given else 409, {"given": given})
