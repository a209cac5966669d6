"""The cluster's reservation of one resource at a license server.

Sans-IO. The leader renews a reservation by heartbeats; tasks check out their units
from it. Three rules keep the count safe:

- A reservation is valid only for its time-to-live from the moment when the heartbeat
  that obtained it was *sent*, as for every lease.
- A unit that a task returned can be granted again only after the server has answered a
  heartbeat that returned it, since until then the server may refuse the check-out.
- A reply is accepted only for the request in flight. Each request has a serial whose
  upper part is the leader's fencing token, so that the server ignores requests of
  earlier leaders however late they arrive.
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
"""Largest ratio between the rates of the license server's and this node's clock."""
SERIAL_BITS = 24
"""Bits of a serial below the fencing token, for the requests of one term."""
REPLY_TIMEOUT_S = 3.0
"""Seconds after which the reply to a heartbeat is no longer accepted."""
MIN_REQUEST_INTERVAL_SHARE = 0.1
"""Shortest interval between two heartbeats, as a share of the server's ``ask_s``; used while
there are changes to send."""


@dataclass(frozen=True, slots=True)
class PendingReservationRequest:
    """A heartbeat to send to the license server at ``address``.

    Its outcome is reported with the heartbeat's serial.
    """

    resource: str
    address: str
    heartbeat: ReservationRequest


class LicenseReservation:
    """The reservation of one resource at its license server, for one leader term."""

    def __init__(self, resource: str, server: LicenseServer, token: int) -> None:
        """Start without a valid reservation; ``token`` is the fencing token of the term."""
        self.resource = resource
        self.server = server
        self.last_reply: ReservationReply | None = None
        self.last_reply_requested_at = float("-inf")
        """Time at which the heartbeat was sent that the server answered last."""
        self.rejection_reason: str | None = None
        self._last_serial = token << SERIAL_BITS
        self._request_in_flight: ReservationRequest | None = None
        self._last_request_at = float("-inf")
        self._first_request_at: float | None = None
        # The lowest number of units that heartbeats without a reply have requested. The
        # server may already have reduced the reservation to it.
        self._min_unconfirmed_reserve: int | None = None
        # Units by holder, of task runs that may be on machines.
        self._holders: dict[str, int] = {}
        # Units by holder that were returned here and not yet confirmed by the server.
        self._returning: OrderedDict[str, int] = OrderedDict()
        self._returning_units = 0
        # Holders returned in an earlier term, perhaps without the server being told.
        self._unconfirmed_returns: OrderedDict[str, None] = OrderedDict()

    # -- units in use ----------------------------------------------------------------

    def checked_out(self, holder: str, count: int) -> None:
        """Record that a task run holds ``count`` units of the reservation from now on."""
        self._holders[holder] = count

    def checked_in(self, holder: str, count: int, started: bool) -> None:
        """Record that a task run returned its units.

        ``started``: the task run may have started, so that the server may still count it.
        """
        self._holders.pop(holder, None)
        if started:
            self._start_return(holder, count)

    def add_unconfirmed_return(self, holder: str) -> None:
        """Repeat the return of a holder to the server in the next heartbeats.

        The log records that it was returned, but the former leader may not have told the
        server.
        """
        if holder not in self._holders:
            self._unconfirmed_returns[holder] = None

    def _start_return(self, holder: str, count: int) -> None:
        if holder not in self._returning:
            self._returning[holder] = count
            self._returning_units += count

    def pending_returns(self) -> int:
        """Return the number of returned units that the server may still count as in use."""
        return self._returning_units

    def capacity(self, now: float, total: int) -> int:
        """Return the number of reserved units that may be held at ``now``.

        ``total``: the defined total of the resource, used if the server has not answered in
        this term and ``on_silence`` is TRUST.
        """
        trusts_last_count = self.server.on_silence == TRUST
        if self.last_reply is None:
            return (
                total
                if trusts_last_count
                and self.rejection_reason is None
                and self._is_never_answered(now)
                else 0
            )
        if not (self.is_valid(now) or trusts_last_count):
            return 0
        reserved = self.last_reply.reserved
        return (
            reserved
            if self._min_unconfirmed_reserve is None
            else min(reserved, self._min_unconfirmed_reserve)
        )

    def _is_never_answered(self, now: float) -> bool:
        """Whether more than ``silent_s`` seconds have passed since the term's first request.

        For use while the server has not answered in this term.
        """
        return (
            self._first_request_at is not None
            and now - self._first_request_at > self.server.silent_s
        )

    def is_valid(self, now: float) -> bool:
        """Whether the reservation from the server's last reply is still valid at ``now``."""
        if self.last_reply is None:
            return False
        return now <= self.last_reply_requested_at + min(
            self.server.silent_s, self.last_reply.ttl_s / CLOCK_DRIFT_RATIO
        )

    # -- heartbeats ------------------------------------------------------------------

    def may_send_request(self, now: float) -> bool:
        """Whether no heartbeat is in flight and the last one is not too recent."""
        if self._request_in_flight is not None and now - self._last_request_at < REPLY_TIMEOUT_S:
            return False
        return now - self._last_request_at >= self.server.ask_s * MIN_REQUEST_INTERVAL_SHARE

    def request_due(self, now: float, wanted: int) -> bool:
        """Whether to send a heartbeat now, because of a change or the usual interval.

        ``wanted``: units to reserve.
        """
        has_changes = bool(self._returning or self._unconfirmed_returns)
        has_changes = has_changes or self.last_reply is None or wanted > self.last_reply.reserved
        return self.may_send_request(now) and (
            has_changes or now - self._last_request_at >= self.server.ask_s
        )

    def next_request(self, now: float, wanted: int) -> PendingReservationRequest:
        """Return the next heartbeat and record it as sent at ``now``.

        It reserves ``wanted`` units, or as many as are in use if that is more. Returned units
        count as in use until the server confirms their return.
        """
        self._last_serial += 1
        self._last_request_at = now
        if self._first_request_at is None:
            self._first_request_at = now
        returned = [*self._returning, *self._unconfirmed_returns][:MAX_RETURNED_HOLDERS]
        reserve = max(wanted, sum(self._holders.values()) + self._returning_units)
        previous = self._min_unconfirmed_reserve
        self._min_unconfirmed_reserve = reserve if previous is None else min(previous, reserve)
        self._request_in_flight = ReservationRequest(ACCOUNT, self._last_serial, reserve, returned)
        return PendingReservationRequest(
            self.resource, self.server.address, self._request_in_flight
        )

    def reply_received(self, serial: int, reply: ReservationReply | None, now: float) -> bool:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
        """Handle the server's reply to a heartbeat, None if there was no usable one.

        Returns true if the reply was accepted, so that more units may be free.
        """
        request = self._request_in_flight
        if request is None or request.serial != serial:
            # A late or duplicate reply, or one to an earlier request: out of date.
            return False
        self._request_in_flight = None
        if now - self._last_request_at > REPLY_TIMEOUT_S:
            return False
        if reply is None or reply.serial != serial:
            return False
        inconsistency = self._inconsistency(request, reply)
        if inconsistency != self.rejection_reason:
            if inconsistency is not None:
                log.error("licence server of %s: %s: not counted", self.resource, inconsistency)
            self.rejection_reason = inconsistency
        if inconsistency is not None:
            return False
        self.last_reply_requested_at = self._last_request_at
        server_holders = {entry.holder: entry.count for entry in reply.holders}
        for holder in request.returned:
            self._unconfirmed_returns.pop(holder, None)
            if holder not in server_holders and holder in self._returning:
                self._returning_units -= self._returning.pop(holder)
        for holder, count in server_holders.items():
            if holder not in self._holders and holder not in self._returning:
                # Its task has ended, but a former leader failed before returning its units.
                self._start_return(holder, count)
        self._min_unconfirmed_reserve = None
        # Units beyond the requested number are not used.
        reserved = min(reply.reserved, request.reserve)
        self.last_reply = msgspec.structs.replace(reply, reserved=reserved, holders=[])
        return True

    @staticmethod
    def _inconsistency(request: ReservationRequest, reply: ReservationReply) -> str | None:
        """Return why a correct server cannot have sent this reply, None if it can have."""
        if reply.reserved + reply.others > reply.total and reply.reserved > max(
            request.reserve, sum(entry.count for entry in reply.holders)
        ):
            return f"reserves {reply.reserved} of {reply.total} beside {reply.others}"
        still_counted = [
            entry.holder for entry in reply.holders if entry.holder in set(request.returned)
        ]
        if still_counted:
            return f"{still_counted[0]} was returned and is still counted"
        return None

    def view(self, now: float) -> dict[str, Any]:
        """Return the state of the reservation for operators."""
        reply = self.last_reply
        return {
            "address": self.server.address,
            "stale": not self.is_valid(now),
            "age_s": None if reply is None else round(now - self.last_reply_requested_at, 1),
            "total": None if reply is None else reply.total,
            "outside": None if reply is None else reply.others,
            "reserved": None if reply is None else reply.reserved,
            "returning": self._returning_units,
            "refused": self.rejection_reason,
        }
