"""Which node takes which machine's reports.

The leader takes all of them as long as it has places for them. Beyond that it
says which share of the machines goes to other nodes, by a hash of their names,
so that all nodes come to the same answer without a table: the share decides
who leaves the leader, rendezvous hashing which relay it goes to. When a relay
goes, only its own machines move.
"""

from __future__ import annotations

from collections.abc import Sequence

FRACTION_STEPS = 16
"""The share moves in steps, or each machine rented would move others."""
LEADER_FILL_SHARE = 0.95
"""Of its places, the leader fills so many before it sends machines elsewhere."""
_SPAN = float(1 << 64)


def relay_for(machine: str, relayed_fraction: float, relays: Sequence[str]) -> str | None:
    """The relay that takes a machine's reports; None: the leader does."""
    if not relays or relayed_fraction <= 0.0:
        return None
    # Only a fleet that one node cannot hear needs it.
    from xxhash import xxh3_64_intdigest as digest

    if digest(machine.encode()) / _SPAN >= relayed_fraction:
        return None
    return max(relays, key=lambda name: (digest(f"{name}/{machine}".encode()), name))


def next_relayed_fraction(machines: int, places: int, relays: int, current: float) -> float:
    """The share of the machines that goes to relays, each with as many places
    as the leader.

    It grows as soon as the leader is short of places and shrinks only when two
    steps too large, so that it does not swing.
    """
    if not relays or machines <= 0:
        return 0.0
    over = 1.0 - places * LEADER_FILL_SHARE / machines
    # All nodes alike full is the most there is to gain.
    wanted = min(max(0.0, over), relays / (relays + 1.0))
    steps = -int(-wanted * FRACTION_STEPS // 1)
    now = round(current * FRACTION_STEPS)
    if steps > now or steps < now - 1:
        now = steps
    return now / FRACTION_STEPS


def max_machines(places: int, relays: int) -> int:
    """Machines that all nodes together can hear, also without one of the relays:
    what nobody hears after a fall would be rented anew."""
    return places * (1 + max(0, relays - 1))
