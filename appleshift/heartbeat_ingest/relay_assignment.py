"""Assigns each machine to the node that receives its heartbeats.

The leader receives all heartbeats as long as it has capacity for them. Beyond that it
publishes the fraction of the machines that send their heartbeats to relays. A machine is
relayed if the hash of its name is below the fraction, and rendezvous hashing selects its
relay, so that all nodes compute the same assignment without a table. When a relay fails,
only its own machines move.
"""

from __future__ import annotations

from collections.abc import Sequence

FRACTION_STEPS = 16
"""The relayed fraction changes in steps of 1/16; otherwise each new machine would move others."""
LEADER_FILL_FRACTION = 0.95
"""Fraction of its capacity that the leader uses before machines are assigned to relays."""
_HASH_RANGE = float(1 << 64)


def relay_for(machine: str, relayed_fraction: float, relays: Sequence[str]) -> str | None:
    """The relay that receives a machine's heartbeats; None if the leader receives them."""
    if not relays or relayed_fraction <= 0.0:
        return None
    # Imported late: only a cluster with more machines than one node can serve needs xxhash.
    from xxhash import xxh3_64_intdigest as digest

    if digest(machine.encode()) / _HASH_RANGE >= relayed_fraction:
        return None
    return max(relays, key=lambda name: (digest(f"{name}/{machine}".encode()), name))


def next_relayed_fraction(
    machines: int, machines_per_node: int, relays: int, current: float
) -> float:
    """The new fraction of the machines that send their heartbeats to relays.

    ``machines`` and ``relays`` are counts; ``current`` is the fraction so far. The fraction
    grows as soon as the leader is short of capacity. It shrinks only when it is at least two
    steps too large, so that it does not oscillate.
    """
    if not relays or machines <= 0:
        return 0.0
    excess = 1.0 - machines_per_node * LEADER_FILL_FRACTION / machines
    # A larger fraction would load the relays more than the leader.
    target = min(max(0.0, excess), relays / (relays + 1.0))
    target_steps = -int(-target * FRACTION_STEPS // 1)
    steps = round(current * FRACTION_STEPS)
    if target_steps > steps or target_steps < steps - 1:
        steps = target_steps
    return steps / FRACTION_STEPS


def max_machines(machines_per_node: int, relays: int) -> int:
    """The number of machines whose heartbeats the nodes can receive with one relay down.

    If no node had capacity for a crashed relay's machines, they would be replaced by new ones.
    """
    return machines_per_node * (1 + max(0, relays - 1))
