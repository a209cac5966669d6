"""Machines that this shard handed off to another."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandedOffMachine:
    """A machine that was handed off. Its former shard remembers it for good."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    shard: int
    """The shard that received it."""
    transfer_count: int
    """How often it has been handed off, this time included."""
    fencing_token: int
    """The token that its worker may have seen in the former shard."""
