"""Machines that this shard handed off to other shards."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandedOffMachine:
    """A machine that was handed off; its former shard keeps this entry permanently."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    shard: int
    """The shard that received it."""
    transfer_count: int
    """How often the machine has been handed off, including this time."""
    fencing_token: int
    """The fencing token that the worker may have received from the former shard."""
