"""The front desk: what arrives over HTTP, checked, answered, handed on or forwarded."""

from __future__ import annotations

import logging
import queue
from collections.abc import Callable, Mapping
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from appleshift.bookkeeping.journal import audit_key
from appleshift.bookkeeping.store import Store, StoreError
from appleshift.coordination import events
from appleshift.coordination.leading.election import Election
from appleshift.coordination.leading.leadership import Leadership
from appleshift.intake import routes
from appleshift.intake.relay import Relay
from appleshift.protocol import peers, shares, users, workers
from appleshift.protocol.wire import ProtocolError, decode, encode
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
MOST_LOAD: dict[type[events.Request], float] = {
    events.Beat: 2.0,
    events.ShareAsk: 2.0,
    events.Cancel: 1.5,
    events.Submit: 1.0,
    events.Status: 0.75,
    events.SeatsLook: 0.5,
}
"""Up to which length of the core's queue, measured in what a node should keep
waiting, a kind of request is put in it. What waits is answered late, and what
leases depend on comes first."""


MakeEvent = Callable[[int, bool, int], events.Request]
"""Makes the event for a share; whether another share says that it decides, and the
version of the map that led there."""


def _number(query: dict[str, list[str]], name: str) -> int:
    text = query.get(name, ["0"])[0]
    return int(text) if text.isdecimal() and len(text) < 20 else -1


def respond(status: int, body: Any, retry_after: int = 0) -> Response:
    headers = {"Retry-After": str(retry_after)} if retry_after else {}
    return Response(status, encode(body), headers)


def unavailable() -> Response:
    return respond(503, users.error_body("not available right now"), 1)


class Holding(Protocol):
    """A share, as this node stands to it."""

    @property
    def election(self) -> Election: ...

    @property
    def leadership(self) -> Leadership: ...

    def knows(self, machine: str) -> bool:
        """Has its core that machine?"""
        ...

    def unchanged(self, report: workers.Glance, now: float) -> bytes | None:
        """The answer to a report that says nothing new; None: the core must see it."""
        ...

    def view(self) -> dict[str, Any]:
        """For operators: what its core has, if it is held here."""
        ...


class Map(Protocol):
    """Which share has what, where there are several."""

    def homes(self, job_id: str) -> list[int]:
        """Where a job of that id may be known; a new one belongs to the first."""
        ...

    def machine(self, name: str, kind: str) -> int: ...

    @property
    def version(self) -> int: ...

    @property
    def takers(self) -> list[int]:
        """Shares that take users' submissions."""
        ...


class Desk:
    """Routes of both listeners. Runs on the connections' routines."""

    def __init__(
        self,
        holdings: Mapping[int, Holding],
        siblings: dict[str, Caller],
        post: Callable[[events.Event], None],
        load: Callable[[], float],
        reaches: Callable[[str], bool],
        routines: Routines,
        store: Store,
        hears: Callable[[], int] = lambda: 0,
        hello: Callable[[], peers.Hello | None] = lambda: None,
        map_of_shares: Callable[[], Map | None] = lambda: None,
        crowded: Callable[[], bool] = lambda: False,
        heard: Callable[[], None] = lambda: None,
    ) -> None:
        self._routines = routines
        self._holdings = holdings
        # The first share: the leader's.
        self._first = holdings[0]
        self._hello = hello
        self._map = map_of_shares
        self._crowded = crowded
        self._heard = heard
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
            return respond(200, self._hello())
        if request.path == shares.SHARE_PATH and request.method == "POST":
            return self._share(request.body)
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
                return self._only(method, "GET") or self._job(
                    self._status(rest[0]), rest[0], request, forwarded, hold=True
                )
            if len(rest) == 2 and rest[1] == "abort":
                return self._only(method, "POST") or self._job(
                    self._cancel(rest[0]), rest[0], request, forwarded, hold=False
                )
        return respond(404, users.error_body("no such path"))

    @staticmethod
    def _only(method: str, allowed: str) -> Response | None:
        if method == allowed or (method == "HEAD" and allowed == "GET"):
            return None
        response = respond(405, users.error_body(f"use {allowed}"))
        response.headers["Allow"] = allowed
        return response

    def _entitled(self, holding: Holding) -> bool:
        return holding.leadership.may_answer(self._routines.now())

    def _elsewhere(self, holding: Holding) -> bool:
        """Only its holder answers for a share. One whose lease lapsed sends users on to
        its successor; while there is none, its core still knows what is final."""
        if not holding.leadership.leading:
            return True
        holder = holding.election.current_leader()
        return not self._entitled(holding) and holder not in (None, holding.election.name)

    def _ready(self) -> Response:
        """While most of what users may need can be reached from here."""
        known = self._map()
        wanted = [0] if known is None else known.takers
        served = sum(
            1
            for share in wanted
            if share in self._holdings and self._holdings[share].election.serves()
        )
        ready = served * 2 >= len(wanted)
        return respond(200 if ready else 503, {"ready": ready})

    # -- requests ----------------------------------------------------------------

    def _submit(self, request: Request, forwarded: bool) -> Response:
        spec = users.decode_submission(request.body)

        def event(share: int, homed: bool, version: int) -> events.Submit:
            return events.Submit(share, self._routines.mailbox(), spec, homed)

        known = self._map()
        if forwarded or known is None:
            return self._asked(request, event, forwarded, hold=False)
        first, *formers = known.homes(spec.id)
        for share in formers:
            # From before the shares were divided anew: known there, or to nobody.
            look = Request("GET", f"{JOBS}/{spec.id}", b"")
            told = self._of_share(share, look, self._status(spec.id), hold=False)
            if told.status == 421:
                return self._follow(told, request, event, hold=False)
            if told.status == 200:
                first = share
                break
            if told.status != 404:
                return unavailable()
        told = self._of_share(first, request, event, hold=False)
        return self._follow(told, request, event, hold=False)

    def _status(self, job_id: str) -> MakeEvent:
        return lambda *by: events.Status(by[0], self._routines.mailbox(), job_id, *by[1:])

    def _cancel(self, job_id: str) -> MakeEvent:
        return lambda *by: events.Cancel(by[0], self._routines.mailbox(), job_id, *by[1:])

    def _job(
        self, event: MakeEvent, job_id: str, request: Request, forwarded: bool, hold: bool
    ) -> Response:
        if not users.valid_id(job_id):
            # Users also ask about jobs that nobody can have submitted.
            return respond(404, users.error_body("no such job"))
        known = self._map()
        if forwarded or known is None:
            return self._asked(request, event, forwarded, hold)
        for share in known.homes(job_id):
            told = self._follow(self._of_share(share, request, event, hold), request, event, hold)
            if told.status != 404:
                break
        return told

    def _asked(self, request: Request, event: MakeEvent, forwarded: bool, hold: bool) -> Response:
        """A sibling names the share that it asks; without a map there is one."""
        query = parse_qs(urlsplit(request.path).query)
        share, version = _number(query, "share"), _number(query, "map")
        holding = self._holdings.get(share)
        if holding is None:
            return unavailable()
        if not self._elsewhere(holding):
            return self._ask(event(share, "homed" in query, version))
        return self._forward(holding, request, forwarded, hold)

    def _of_share(
        self, share: int, request: Request, event: MakeEvent, hold: bool, homed: bool = False
    ) -> Response:
        """What a share's holder answers, here or at a sibling."""
        holding = self._holdings.get(share)
        known = self._map()
        version = 0 if known is None else known.version
        if holding is None:
            return unavailable()
        if not self._elsewhere(holding):
            return self._ask(event(share, homed, version))
        query = f"?share={share}&map={version}" + ("&homed=1" if homed else "")
        path = urlsplit(request.path).path + query
        return self._forward(holding, Request(request.method, path, request.body), False, hold)

    def _follow(self, told: Response, request: Request, event: MakeEvent, hold: bool) -> Response:
        """The share that an id leads to may name another, which decides for the job."""
        if told.status != 421:
            return told
        try:
            share = decode(told.body)["share"]
        except (ProtocolError, KeyError, TypeError):
            return unavailable()
        told = self._of_share(share, request, event, hold, homed=True)
        return unavailable() if told.status == 421 else told

    def _beat(self, body: bytes) -> Response:
        self._heard()
        glance = workers.glance(body)
        answer = self._unchanged(glance)
        if answer is not None:
            return self._closing(Response(200, answer))
        # A malformed report is refused by every node alike.
        report, tasks = workers.decode_report(body), bytes(glance.tasks)
        known = self._map()
        if known is not None:
            share = known.machine(report.machine, report.type)
            return self._closing(self._beat_of_share(report, tasks, share))
        election = self._first.election
        here = election.name
        away = election.sent_away()
        relay = routes.place(report.machine, away, election.relays()) if away else None
        if not self._elsewhere(self._first):
            if relay is not None and relay != here:
                return respond(421, workers.redirect(relay))
            return self._ask(events.Beat(0, self._routines.mailbox(), report, tasks))
        leader = election.current_leader()
        if relay == here and leader is not None and leader != here:
            status, answer = self._relay.pass_on(leader, body)
            return Response(status, answer)
        to = relay or leader
        return respond(421, workers.redirect(None if to == here else to))

    def _unchanged(self, glance: workers.Glance) -> bytes | None:
        """The answer to a report that says nothing new, if it has come to the right node."""
        election = self._first.election
        away = election.sent_away() if self._map() is None else 0.0
        if away and routes.place(glance.machine, away, election.relays()):
            return None
        now = self._routines.now()
        for holding in [*self._holdings.values()]:
            answer = holding.unchanged(glance, now)
            if answer is not None:
                return answer
        return None

    def _closing(self, response: Response) -> Response:
        if self._map() is not None and self._crowded():
            # Others find a place meanwhile: its next report opens another connection.
            response.headers["Connection"] = "close"
        return response

    def _beat_of_share(self, report: workers.Report, tasks: bytes, share: int) -> Response:
        """A machine reports to the holder of its share, and to nobody else."""
        holding = self._holdings.get(share)
        if holding is None or self._elsewhere(holding):
            # Perhaps it was handed on to a share that is held here.
            for number, other in [*self._holdings.items()]:
                if other.knows(report.machine) and not self._elsewhere(other):
                    share, holding = number, other
                    break
        response = self._beat_to(holding, share, report, tasks)
        if response.status == 421 and (told := decode(response.body)).get("share") is not None:
            # It was handed on: its share's holder says where to.
            share = told["share"]
            response = self._beat_to(self._holdings.get(share), share, report, tasks)
        return response

    def _beat_to(
        self, holding: Holding | None, share: int, report: workers.Report, tasks: bytes
    ) -> Response:
        if holding is None:
            return unavailable()
        if not self._elsewhere(holding):
            return self._ask(events.Beat(share, self._routines.mailbox(), report, tasks))
        holder, here = holding.election.current_leader(), holding.election.name
        return respond(421, workers.redirect(None if holder == here else holder))

    def _share(self, body: bytes) -> Response:
        """The holder of another share asks this one's."""
        try:
            call = shares.decode_call(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        holding = self._holdings.get(call.to)
        if holding is None or self._elsewhere(holding):
            return unavailable()
        return self._ask(events.ShareAsk(call.to, self._routines.mailbox(), call.message))

    def _reports(self, body: bytes) -> Response:
        """What a relay has gathered: each report is answered as if it had come here."""
        try:
            batch = peers.decode_reports(body)
        except ProtocolError as error:
            return respond(error.status, users.error_body(error.reason))
        waiting: list[tuple[Response | None, Any]] = []
        for raw in batch.reports:
            slot = self._routines.mailbox()
            if self._elsewhere(self._first) or self._load() > MOST_LOAD[events.Beat]:
                waiting.append((unavailable(), slot))
                continue
            try:
                glance = workers.glance(bytes(raw))
                answer = self._first.unchanged(glance, self._routines.now())
                if answer is not None:
                    waiting.append((Response(200, answer), slot))
                    continue
                report = workers.decode_report(bytes(raw))
                self._post(events.Beat(0, slot, report, bytes(glance.tasks)))
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

    def _ask(self, event: events.Request) -> Response:
        """Put it to the core and wait for the answer."""
        if self._load() > MOST_LOAD[type(event)]:
            return unavailable()
        self._post(event)
        try:
            status, body, retry_after = event.slot.get(timeout=ANSWER_S)
        except queue.Empty:
            return unavailable()
        return respond(status, body, retry_after)

    def _forward(self, holding: Holding, request: Request, forwarded: bool, hold: bool) -> Response:
        """Only a share's holder answers users, so that nobody gets an older answer."""
        if forwarded:
            # The sender's idea of the leader is out of date; it asks again.
            return unavailable()
        until = self._routines.now() + HOLD_S
        while True:
            leader = holding.election.current_leader()
            if leader == holding.election.name and self._entitled(holding):
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
        leadership, election = self._first.leadership, self._first.election
        body = {
            "name": election.name,
            "leading": leadership.leading,
            "leader": election.leader,
            "token": max(leadership.token, leadership.seen_token),
            "relays": election.relays(),
            "sent_away": election.sent_away(),
            "hears": self._hears(),
        }
        if self._map() is not None:
            body["shares"] = [
                {
                    "share": share,
                    "holder": holding.election.current_leader(),
                    "token": max(holding.leadership.token, holding.leadership.seen_token),
                    **holding.view(),
                }
                for share, holding in sorted(self._holdings.items())
            ]
        return respond(200, body)

    def _seats(self, path: str, request: Request, forwarded: bool) -> Response:
        """For operators: what is counted; its audit, page by page, then the tail."""
        what, _, number = path.removeprefix("/seats").strip("/").partition("/")
        if not what:
            return (
                self._forward(self._first, request, forwarded, hold=True)
                if self._elsewhere(self._first)
                else self._ask(events.SeatsLook(0, self._routines.mailbox(), None))
            )
        if what not in ("pages", "after") or not number.isdecimal() or len(number) > 18:
            return respond(404, users.error_body("no such path"))
        if what == "pages":
            # Written once and never changed: any node may read them.
            return self._audit_page(int(number))
        if self._elsewhere(self._first):
            return self._forward(self._first, request, forwarded, hold=True)
        return self._ask(events.SeatsLook(0, self._routines.mailbox(), int(number) - 1))

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
        """Do some of these workers answer this node, and could it be elected?"""
        try:
            request = peers.decode_reach(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        reached = any(self._reaches(addr) for addr in request.addresses)
        return respond(200, peers.Reach(reached and self._first.election.state_answers()))

    def _pledge(self, body: bytes) -> Response:
        try:
            request = peers.decode_pledge(body)
        except ProtocolError as error:
            return respond(400, users.error_body(error.reason))
        holding = self._holdings.get(request.share)
        given = holding is not None and holding.election.pledge(request)
        return respond(200 if given else 409, peers.Pledged(given, self._first.election.process))
