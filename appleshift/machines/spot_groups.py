"""The spot groups of the capacity plan, each of one market: a machine type in a zone."""

from __future__ import annotations

import logging
from typing import Any

from appleshift.contracts.interfaces import SchedulerView
from appleshift.storage import records

log = logging.getLogger(__name__)

WRITE_INTERVAL_S = 1.0
"""The chosen groups are written to the log at most this often, in seconds."""


class SpotGroups:
    """The chosen spot groups and the markets that were evicted lately."""

    def __init__(self, scheduler: SchedulerView, recovered_names: Any) -> None:
        """Restore the groups of an earlier leader from ``type@zone`` names of the log."""
        self._scheduler = scheduler
        self._cluster = scheduler.cluster
        self.markets: set[tuple[int, int]] = set()
        """Chosen markets as (type, zone)."""
        for name in recovered_names if isinstance(recovered_names, list) else []:
            type_name, _, zone_name = str(name).partition("@")
            market = (
                self._cluster.type_names.get(type_name),
                self._cluster.zones.get(zone_name),
            )
            if min(market) >= 0:
                self.markets.add(market)
        self.evicted_until: dict[tuple[int, int], float] = {}
        """Until when a market that was evicted is left out of plans, by (type, zone)."""
        self._written_names: list[str] = self.names()
        self._written_at = 0.0

    def names(self) -> list[str]:
        """The chosen groups as sorted ``type@zone`` names."""
        return sorted(self._market_name(market) for market in self.markets)

    def _market_name(self, market: tuple[int, int]) -> str:
        type_index, zone = market
        return f"{self._cluster.type_names.names[type_index]}@{self._cluster.zones.names[zone]}"

    def evict(self, market: tuple[int, int]) -> None:
        """Drop a market's group and leave the market out of plans for a while."""
        self.evicted_until[market] = self._scheduler.now + self._scheduler.operator.evict_pause_s
        if market in self.markets:
            self.markets.discard(market)
            log.info("spot group evicted market=%s", self._market_name(market))

    def write_changes(self, now: float) -> None:
        """Append the chosen groups to the write-ahead log if they changed."""
        names = self.names()
        if names != self._written_names and now - self._written_at >= WRITE_INTERVAL_S:
            self._written_names = names
            self._written_at = now
            self._scheduler.write_ahead_log.append([records.SPOT_GROUPS, names])
