"""Requests that arrive once more after they were carried out and answered.

Such a copy reaches the same process, or the one that was started there meanwhile, and nobody
reads its response.
"""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MIN_DELAY_S = 0.2
NAME_IN_PATH = re.compile(r"(?<=/)(job-\d+|\d+)")


@dataclass(frozen=True, slots=True)
class DeliveredRequest:
    """A request as it reached its target."""

    source: str
    target: str
    method: str
    path: str
    body: Any

    def kind(self) -> str:
        """Return method and path, without ids and query."""
        return f"{self.method} {NAME_IN_PATH.sub('*', self.path.partition('?')[0])}"


def ignore_response(status: int, response: Any) -> None:
    """Drop the response to a copy."""


class RequestRepeater:
    """Delivers a ``share`` of the delivered requests again, up to ``max_delay_s`` later.

    ``repeats`` counts the copies by kind.
    """

    def __init__(
        self,
        rng: random.Random,
        after: Callable[[float, Callable[[], None]], None],
        deliver: Callable[..., None],
    ) -> None:
        self._rng, self._after, self._deliver = rng, after, deliver
        self.share = 0.0
        self.max_delay_s = 60.0
        self.repeats: Counter[str] = Counter()

    def delivered(self, request: DeliveredRequest) -> None:
        """Deliver a request again later, by chance; reads have no effect and are not repeated."""
        if not self.share or request.method == "GET" or self._rng.random() >= self.share:
            return
        # Most copies arrive soon, when the target has changed little.
        delay = MIN_DELAY_S + (self.max_delay_s - MIN_DELAY_S) * self._rng.random() ** 3
        self._after(delay, lambda: self._repeat(request))

    def _repeat(self, request: DeliveredRequest) -> None:
        self.repeats[request.kind()] += 1
        self._deliver(
            request.source,
            request.target,
            request.method,
            request.path,
            request.body,
            ignore_response,
        )
