"""Our account at a license server: what it reserves for us, and for how long.

Sans-IO. The leader keeps a reservation by heartbeats; tasks check their units
out of it. Three things make a count here safe:

- a reservation counts only until its time certainly ran out, measured from when
  the heartbeat that got it was *sent*, as for every lease;
- a unit that a task gave back is ours to grant again only once the server has
  answered a heartbeat that returned it, for until then the server may refuse;
- an answer counts only for the request under way: each has a serial, whose
  upper part is the leader's token, so that the server ignores what a former
  leader sent, however late it arrives.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgspec

from appleshift.protocol.counted_resources import TRUST, LicenseServer
from appleshift.protocol.license_server import (
    ACCOUNT,
    MAX_RETURNED_HOLDERS,
    ReservationReply,
    ReservationRequest,
)

log = logging.getLogger(__name__)

CLOCK_DRIFT_RATIO = 1.002
SERIAL_BITS = 24
REPLY_TIMEOUT_S = 3.0
"""So long may a heartbeat take; after that its answer no longer counts."""
MIN_REQUEST_INTERVAL_SHARE = 0.1
"""News is told after this share of the usual interval."""


@dataclass(frozen=True, slots=True)
class PendingReservationRequest:
    """A heartbeat to send. Its outcome comes back with its serial."""

    resource: str
    address: str
    heartbeat: ReservationRequest


class LicenseReservation:
    """One resource's reservation, for one term."""

    def __init__(self, resource: str, server: LicenseServer, token: int) -> None:
        """For one term; serial numbers begin with its fencing token."""
        self.resource = resource
        self.server = server
        self.last_reply: ReservationReply | None = None
        self.last_reply_requested_at = float("-inf")
        """When the heartbeat was sent that the server last answered."""
        self.rejection_reason: str | None = None
        self._serial = token << SERIAL_BITS
        self._asking: ReservationRequest | None = None
        self._asked_at = float("-inf")
        self._first_asked: float | None = None
        # The least that heartbeats reserved of which the outcome is not known:
        # the server may have shrunk the reservation to that already.
        self._unsettled: int | None = None
        # Units by holder: of tasks that may be on machines, and given back but
        # not yet taken back by the server.
        self._holders: dict[str, int] = {}
        self._returning: OrderedDict[str, int] = OrderedDict()
        self._pending = 0
        # Returned by a term before ours; the server may never have heard of it.
        self._unsure: OrderedDict[str, None] = OrderedDict()

    # -- what the count says ---------------------------------------------------------

    def checked_out(self, holder: str, count: int) -> None:
        """A task run holds units of the reservation from now on."""
        self._holders[holder] = count

    def checked_in(self, holder: str, count: int, started: bool) -> None:
        """A task run gave its units back; ``started``: the server may know of it."""
        self._holders.pop(holder, None)
        if started:
            self._return(holder, count)

    def add_unconfirmed_return(self, holder: str) -> None:
        """The log says that it was given back; whether the server knows is not known."""
        if holder not in self._holders:
            self._unsure[holder] = None

    def _return(self, holder: str, count: int) -> None:
        if holder not in self._returning:
            self._returning[holder] = count
            self._pending += count

    def pending_returns(self) -> int:
        """Units given back that the server may still count as ours."""
        return self._pending

    def capacity(self, now: float, total: int) -> int:
        """Units that may be held of the reservation right now."""
        trusts = self.server.on_silence == TRUST
        if self.last_reply is None:
            return total if trusts and self.rejection_reason is None and self._silent(now) else 0
        if not (self.is_valid(now) or trusts):
            return 0
        reserved = self.last_reply.reserved
        return reserved if self._unsettled is None else min(reserved, self._unsettled)

    def _silent(self, now: float) -> bool:
        """It never answered in this term, though it was asked long enough."""
        return self._first_asked is not None and now - self._first_asked > self.server.silent_s

    def is_valid(self, now: float) -> bool:
        """Whether the last reply of the server still holds at ``now``."""
        if self.last_reply is None:
            return False
        return now <= self.last_reply_requested_at + min(
            self.server.silent_s, self.last_reply.ttl_s / CLOCK_DRIFT_RATIO
        )

    # -- the server ------------------------------------------------------------------

    def may_send_request(self, now: float) -> bool:
        """No heartbeat is under way, nor was one sent just now."""
        if self._asking is not None and now - self._asked_at < REPLY_TIMEOUT_S:
            return False
        return now - self._asked_at >= self.server.ask_s * MIN_REQUEST_INTERVAL_SHARE

    def request_due(self, now: float, want: int) -> bool:
        """Is it time for a heartbeat, since something changed or by itself?"""
        news = bool(self._returning or self._unsure)
        news = news or self.last_reply is None or want > self.last_reply.reserved
        return self.may_send_request(now) and (news or now - self._asked_at >= self.server.ask_s)

    def next_request(self, now: float, want: int) -> PendingReservationRequest:
        """The next heartbeat; reserves ``want``, but no less than may be in use."""
        self._serial += 1
        self._asked_at = now
        if self._first_asked is None:
            self._first_asked = now
        returned = [*self._returning, *self._unsure][:MAX_RETURNED_HOLDERS]
        reserve = max(want, sum(self._holders.values()) + self._pending)
        settled = self._unsettled
        self._unsettled = reserve if settled is None else min(settled, reserve)
        self._asking = ReservationRequest(ACCOUNT, self._serial, reserve, returned)
        return PendingReservationRequest(self.resource, self.server.address, self._asking)

    def reply_received(self, serial: int, standing: ReservationReply | None, now: float) -> bool:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
        """The server's answer to a heartbeat, or None; true if it may free units."""
        asked = self._asking
        if asked is None or asked.serial != serial:
            # Late, or of an earlier request: what it says is out of date.
            return False
        self._asking = None
        if now - self._asked_at > REPLY_TIMEOUT_S:
            return False
        if standing is None or standing.serial != serial:
            return False
        wrong = self._wrong(asked, standing)
        if wrong != self.rejection_reason:
            if wrong is not None:
                log.error("licence server of %s: %s: not counted", self.resource, wrong)
            self.rejection_reason = wrong
        if wrong is not None:
            return False
        self.last_reply_requested_at = self._asked_at
        known = {entry.holder: entry.count for entry in standing.holders}
        for holder in asked.returned:
            self._unsure.pop(holder, None)
            if holder not in known and holder in self._returning:
                self._pending -= self._returning.pop(holder)
        for holder, count in known.items():
            if holder not in self._holders and holder not in self._returning:
                # Of a task that is gone: a former leader did not live to say so.
                self._return(holder, count)
        self._unsettled = None
        # More than was asked for is not ours.
        reserved = min(standing.reserved, asked.reserve)
        self.last_reply = msgspec.structs.replace(standing, reserved=reserved, holders=[])
        return True

    @staticmethod
    def _wrong(asked: ReservationRequest, standing: ReservationReply) -> str | None:
        """What no working server can answer."""
        if standing.reserved + standing.others > standing.total and standing.reserved > max(
            asked.reserve, sum(entry.count for entry in standing.holders)
        ):
            return f"reserves {standing.reserved} of {standing.total} beside {standing.others}"
        stuck = [entry.holder for entry in standing.holders if entry.holder in set(asked.returned)]
        if stuck:
            return f"{stuck[0]} was returned and is still counted"
        return None

    def view(self, now: float) -> dict[str, Any]:
        """State of the reservation, for operators."""
        standing = self.last_reply
        return {
            "address": self.server.address,
            "stale": not self.is_valid(now),
            "age_s": None if standing is None else round(now - self.last_reply_requested_at, 1),
            "total": None if standing is None else standing.total,
            "outside": None if standing is None else standing.others,
            "reserved": None if standing is None else standing.reserved,
            "returning": self._pending,
            "refused": self.rejection_reason,
        }
