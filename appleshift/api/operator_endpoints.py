"""Endpoints for operators: readiness, nodes, counted resources and their audit log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from appleshift.api.context import ApiContext
from appleshift.api.forwarding import Forwarder
from appleshift.api.responses import respond, unavailable
from appleshift.contracts import events
from appleshift.protocol import users
from appleshift.storage.key_value_store import KeyValueStore, StoreError
from appleshift.storage.keys import audit_key
from appleshift.transport.http_messages import Request, Response
from appleshift.transport.rate_limiter import RateLimiter

COUNTED_RESOURCES_PATH = "/seats"
MAX_NUMBER_DIGITS = 18
"""Maximum digits of an audit page or entry number in a path."""
AUDIT_PAGES_PER_S = 2.0
"""Maximum audit pages that a node reads from the store per second. Leader lease renewals use
the same request rate of the store and must not be delayed."""


class OperatorEndpoints:
    """Endpoints for operators and health checks."""

    def __init__(
        self,
        context: ApiContext,
        forwarder: Forwarder,
        store: KeyValueStore,
        max_machines: Callable[[], int],
    ) -> None:
        """Create them; ``max_machines`` returns the number of machines the nodes can serve."""
        self._context = context
        self._forwarder = forwarder
        self._store = store
        self._max_machines = max_machines
        self._audit_rate = RateLimiter(context.runtime, AUDIT_PAGES_PER_S)

    def ready(self) -> Response:
        """200 if this node can serve at least half of the shards that accept submissions.

        Otherwise 503.
        """
        shard_map = self._context.shard_map()
        shards = [0] if shard_map is None else shard_map.submission_shards
        served = sum(
            1
            for shard in shards
            if shard in self._context.replicas
            and self._context.replicas[shard].election.can_serve_users()
        )
        ready = served * 2 >= len(shards)
        return respond(200 if ready else 503, {"ready": ready})

    def nodes(self) -> Response:
        """The first shard's leader and the relays, as known to this node.

        With a shard map, also a row for each shard.
        """
        lease, election = self._context.first_replica.lease, self._context.first_replica.election
        body = {
            "name": election.node_name,
            "leading": lease.is_leader,
            "leader": election.leader_from_store,
            "token": max(lease.fencing_token, lease.highest_seen_token),
            "relays": election.relays(),
            "sent_away": election.current_relayed_fraction(),
            "hears": self._max_machines(),
        }
        if (memory := self._context.first_replica.memory_view()) is not None:
            body["memory"] = memory
        if self._context.shard_map() is not None:
            body["shares"] = self._shard_rows()
        return respond(200, body)

    def _shard_rows(self) -> list[dict[str, Any]]:
        return [
            {
                "share": shard,
                "holder": replica.election.current_leader(),
                "token": max(replica.lease.fencing_token, replica.lease.highest_seen_token),
                **replica.view(),
            }
            for shard, replica in sorted(self._context.replicas.items())
        ]

    def counted_resources(self, path: str, request: Request, forwarded: bool) -> Response:
        """The counted resources, a page of their audit log, or its entries from a number on."""
        view, _, number = path.removeprefix(COUNTED_RESOURCES_PATH).strip("/").partition("/")
        if not view:
            return self._ask_leader(None, request, forwarded)
        if (
            view not in ("pages", "after")
            or not number.isdecimal()
            or len(number) > MAX_NUMBER_DIGITS
        ):
            return respond(404, users.error_body("no such path"))
        if view == "pages":
            # Audit pages are immutable, so any node may read them.
            return self._audit_page(int(number))
        return self._ask_leader(int(number) - 1, request, forwarded)

    def _ask_leader(self, after: int | None, request: Request, forwarded: bool) -> Response:
        """The leader's counted resources; with ``after``, the audit entries after that one."""
        replica = self._context.first_replica
        if self._context.is_led_elsewhere(replica):
            return self._forwarder.forward(replica, request, forwarded, wait_for_election=True)
        return self._context.scheduler_response(
            events.GetCountedResources(0, self._context.runtime.queue(), after)
        )

    def _audit_page(self, number: int) -> Response:
        if not self._audit_rate.try_acquire():
            return unavailable()
        try:
            item = self._store.get(audit_key(number))
        except StoreError:
            return unavailable()
        if item is None:
            return respond(404, users.error_body("no such page"))
        return respond(200, {"entries": item.value["records"]})
