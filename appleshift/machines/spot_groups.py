"""Spot groups of the capacity plan. Each belongs to one market, a machine type in a zone."""

from __future__ import annotations

import logging
from typing import Any

from appleshift.contracts.interfaces import SchedulerView
from appleshift.storage import records

log = logging.getLogger(__name__)

WRITE_INTERVAL_S = 1.0
"""Shortest time between writes of the chosen groups to the write-ahead log, in seconds."""


class SpotGroups:
    """Chosen spot groups, and markets whose group was evicted recently."""

    def __init__(self, scheduler: SchedulerView, recovered_names: Any) -> None:
        """Restore the groups of an earlier leader.

        ``recovered_names`` are ``type@zone`` names from the write-ahead log. A value that is not
        a list is ignored, and so are unknown types and zones.
        """
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self.markets: set[tuple[int, int]] = set()
        """Markets of the chosen groups as (type, zone)."""
        for name in recovered_names if isinstance(recovered_names, list) else []:
            type_name, _, zone_name = str(name).partition("@")
            market = (
                self._cluster.type_names.get(type_name),
                self._cluster.zones.get(zone_name),
            )
            if min(market) >= 0:
                self.markets.add(market)
        self.evicted_until: dict[tuple[int, int], float] = {}
        """(type, zone) of an evicted market -> time until which plans leave it out."""
        self._written_names: list[str] = self.names()
        self._written_at = 0.0

    def names(self) -> list[str]:
        """Return the chosen groups as sorted ``type@zone`` names."""
        return sorted(self._market_name(market) for market in self.markets)

    def _market_name(self, market: tuple[int, int]) -> str:
        type_index, zone = market
        return f"{self._cluster.type_names.names[type_index]}@{self._cluster.zones.names[zone]}"

    def evict(self, market: tuple[int, int]) -> None:
        """Remove a market's group and leave the market out of plans for ``evict_pause_s``."""
        self.evicted_until[market] = self._scheduler.now + self._scheduler.operator.evict_pause_s
        if market in self.markets:
            self.markets.discard(market)
            log.info("spot group evicted market=%s", self._market_name(market))

    def write_changes(self, now: float) -> None:
        """Append the chosen groups to the write-ahead log if they changed.

        Does nothing within ``WRITE_INTERVAL_S`` of the last write.
        """
        names = self.names()
        if names != self._written_names and now - self._written_at >= WRITE_INTERVAL_S:
            self._written_names = names
            self._written_at = now
            self._scheduler.write_ahead_log.append([records.SPOT_GROUPS, names])
