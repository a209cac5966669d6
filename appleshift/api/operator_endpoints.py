"""Operators' requests: who leads, and counted resources with their audit."""

from __future__ import annotations

from collections.abc import Callable

from appleshift.api.context import ApiContext, respond, unavailable
from appleshift.api.forwarding import Forwarder
from appleshift.contracts import events
from appleshift.protocol import users
from appleshift.storage.key_value_store import KeyValueStore, StoreError
from appleshift.storage.write_ahead_log import audit_key
from appleshift.transport.http_messages import Request, Response
from appleshift.transport.rate_limiter import RateLimiter

PAGES_RPS = 2.0
"""Pages of the audit that a node reads in a second. They come out of its share
of the state service's requests, which renewals of its lease need first."""


class OperatorEndpoints:
    """``hears``: for how many machines there is place among this node's connections."""

    def __init__(
        self,
        context: ApiContext,
        forwarder: Forwarder,
        store: KeyValueStore,
        hears: Callable[[], int],
    ) -> None:
        self._context = context
        self._forwarder = forwarder
        self._store = store
        self._max_machines = hears
        self._pages = RateLimiter(context.runtime, PAGES_RPS)

    def ready(self) -> Response:
        """While most of what users may need can be reached from here."""
        known = self._context.shard_map()
        wanted = [0] if known is None else known.submission_shards
        served = sum(
            1
            for share in wanted
            if share in self._context.replicas
            and self._context.replicas[share].election.can_serve_users()
        )
        ready = served * 2 >= len(wanted)
        return respond(200 if ready else 503, {"ready": ready})

    def nodes(self) -> Response:
        """For operators: who leads, as far as this node knows."""
        leadership, election = self._context.first.lease, self._context.first.election
        body = {
            "name": election.name,
            "leading": leadership.is_leader,
            "leader": election.leader,
            "token": max(leadership.fencing_token, leadership.highest_seen_token),
            "relays": election.relays(),
            "sent_away": election.current_relayed_fraction(),
            "hears": self._max_machines(),
        }
        if self._context.shard_map() is not None:
            body["shares"] = [
                {
                    "share": share,
                    "holder": replica.election.current_leader(),
                    "token": max(replica.lease.fencing_token, replica.lease.highest_seen_token),
                    **replica.view(),
                }
                for share, replica in sorted(self._context.replicas.items())
            ]
        return respond(200, body)

    def counted_resources(self, path: str, request: Request, forwarded: bool) -> Response:
        """For operators: what is counted; its audit, page by page, then the tail."""
        what, _, number = path.removeprefix("/seats").strip("/").partition("/")
        if not what:
            return (
                self._forwarder.forward(self._context.first, request, forwarded, hold=True)
                if self._context.is_led_elsewhere(self._context.first)
                else self._context.ask(
                    events.GetCountedResources(0, self._context.runtime.queue(), None)
                )
            )
        if what not in ("pages", "after") or not number.isdecimal() or len(number) > 18:
            return respond(404, users.error_body("no such path"))
        if what == "pages":
            # Written once and never changed: any node may read them.
            return self._audit_page(int(number))
        if self._context.is_led_elsewhere(self._context.first):
            return self._forwarder.forward(self._context.first, request, forwarded, hold=True)
        return self._context.ask(
            events.GetCountedResources(0, self._context.runtime.queue(), int(number) - 1)
        )

    def _audit_page(self, number: int) -> Response:
        if not self._pages.try_acquire():
            return unavailable()
        try:
            item = self._store.get(audit_key(number))
        except StoreError:
            return unavailable()
        if item is None:
            return respond(404, users.error_body("no such page"))
        return respond(200, {"entries": item.value["records"]})
