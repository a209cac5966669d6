"""A fake license server that implements ``docs/seats-protocol.md`` independently of appleshift."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote, urlsplit

from tests.support.stand_ins import Clock, Reply


@dataclass
class Pool:
    """One resource, with the reservation of a single account and the use by all others.

    ``holders``: units checked out of the reservation by holder. ``returned_holders``: returned
    holders, which cannot check out again.
    """

    total: int
    others: int = 0
    reserved: int = 0
    serial: int = -1
    reserved_until: float = 0.0
    holders: dict[str, int] = field(default_factory=dict)
    returned_holders: set[str] = field(default_factory=set)

    def used(self) -> int:
        return sum(self.holders.values())


class FakeLicenseServer:
    """Counts check-outs.

    ``over_issued`` and ``refused_check_outs`` list faults, and tests require them to be empty.
    """

    def __init__(self, clock: Clock, totals: dict[str, int], ttl_s: float = 20.0) -> None:
        self.clock, self.ttl_s = clock, ttl_s
        self.pools = {name: Pool(total) for name, total in totals.items()}
        self.unavailable = False
        self.reply_overrides: dict[str, Any] = {}
        self.over_issued: list[str] = []
        self.refused_check_outs: list[str] = []
        self.max_used = 0
        self.heartbeats = 0

    # -- heartbeats ----------------------------------------------------------------

    def handle(self, caller: str, method: str, target: str, body: Any, respond: Reply) -> None:
        if self.unavailable:
            respond(503, {"error": "trouble"})
            return
        parts = unquote(urlsplit(target).path).strip("/").split("/")
        pool = self.pools.get(parts[2]) if len(parts) == 4 else None
        if method != "POST" or pool is None or parts[3] != "heartbeat":
            respond(404, {"error": "no such path"})
            return
        self.heartbeats += 1
        if body["serial"] <= pool.serial:
            respond(409, {"error": "out of date"})
            return
        pool.serial = body["serial"]
        for holder in body["returned"]:
            pool.holders.pop(holder, None)
            pool.returned_holders.add(holder)
        self._expire_reservation(pool)
        pool.reserved = max(pool.used(), min(body["reserve"], pool.total - pool.others))
        pool.reserved_until = self.clock.now + self.ttl_s
        respond(200, {
            "serial": pool.serial, "total": pool.total, "others": pool.others,
            "reserved": pool.reserved, "ttl_s": self.ttl_s,
            "holders": [{"holder": name, "count": n} for name, n in pool.holders.items()],
            **self.reply_overrides,
        })  # fmt: skip

    def _expire_reservation(self, pool: Pool) -> None:
        if pool.reserved_until < self.clock.now:
            pool.reserved = pool.used()

    # -- check-outs by tasks and other accounts -------------------------------------------

    def check_out(self, name: str, holder: str, count: int) -> int:
        pool = self.pools[name]
        self._expire_reservation(pool)
        if holder in pool.returned_holders:
            self.refused_check_outs.append(f"{holder} at {self.clock.now:.2f}: returned before")
            return 410
        if pool.used() + count > pool.reserved:
            self.refused_check_outs.append(
                f"{holder} at {self.clock.now:.2f}: {pool.used()} of {pool.reserved} in use"
            )
            return 409
        pool.holders[holder] = count
        self.max_used = max(self.max_used, pool.used())
        if pool.used() + pool.others > pool.total:
            self.over_issued.append(f"{holder} at {self.clock.now:.2f}")
        return 200

    def check_in(self, name: str, holder: str) -> None:
        self.pools[name].holders.pop(holder, None)

    def take_for_others(self, name: str, count: int) -> int:
        """Check out up to ``count`` units for other accounts; returns how many were free."""
        pool = self.pools[name]
        self._expire_reservation(pool)
        taken = max(0, min(count, pool.total - pool.others - pool.reserved))
        pool.others += taken
        return taken
