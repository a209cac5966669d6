"""Which node receives which machine's heartbeats.

The leader receives all of them as long as it has capacity for them. Beyond
that it says which fraction of the machines reports to other nodes, by a hash of
their names, so that all nodes come to the same answer without a table: the
fraction decides which machines leave the leader, rendezvous hashing which relay
they go to. When a relay is gone, only its own machines move.
"""

from __future__ import annotations

from collections.abc import Sequence

FRACTION_STEPS = 16
"""The relayed fraction moves in steps, or each new machine would move others."""
LEADER_FILL_FRACTION = 0.95
"""The leader fills this much of its capacity before machines report to relays."""
_HASH_RANGE = float(1 << 64)


def relay_for(machine: str, relayed_fraction: float, relays: Sequence[str]) -> str | None:
    """The relay that receives a machine's heartbeats; None: the leader does."""
    if not relays or relayed_fraction <= 0.0:
        return None
    # Only a fleet that is too large for one node's connections needs it.
    from xxhash import xxh3_64_intdigest as digest

    if digest(machine.encode()) / _HASH_RANGE >= relayed_fraction:
        return None
    return max(relays, key=lambda name: (digest(f"{name}/{machine}".encode()), name))


def next_relayed_fraction(
    machines: int, machines_per_node: int, relays: int, current: float
) -> float:
    """The fraction of the machines that reports to relays from now on.

    It grows as soon as the leader is short of capacity and shrinks only when it
    is two steps too large, so that it does not oscillate.
    """
    if not relays or machines <= 0:
        return 0.0
    excess = 1.0 - machines_per_node * LEADER_FILL_FRACTION / machines
    # With all nodes equally full there is no more to gain.
    target = min(max(0.0, excess), relays / (relays + 1.0))
    target_steps = -int(-target * FRACTION_STEPS // 1)
    steps = round(current * FRACTION_STEPS)
    if target_steps > steps or target_steps < steps - 1:
        steps = target_steps
    return steps / FRACTION_STEPS


def max_machines(machines_per_node: int, relays: int) -> int:
    """Machines that all nodes together can receive heartbeats from, also with one relay down.

    Machines that nobody received heartbeats from after its crash would be replaced by
    new ones.
    """
    return machines_per_node * (1 + max(0, relays - 1))
