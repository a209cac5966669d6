"""The term of a shard's leader, and the keys in the key-value store that decide who leads."""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol import kv

LEADER_KEY = "leader"
"""Holder key of the first shard. Whoever holds it is the leader of the cluster."""
FENCING_TOKEN_KEY = "token"
"""Holds the highest fencing token that any election of any shard has used."""


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """An election won."""

    fencing_token: int
    leader_key_version: int
    """Version of the holder key; every write of the term is guarded by it."""
    term_id: str
    """Unique to this term; marks its writes."""
    shard: int = 0
    extra_guards: tuple[tuple[str, int], ...] = ()
    """Further keys, with their versions, that must be unchanged for the term to be valid."""


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The value of a holder key."""

    node_name: str
    """Node that holds the shard; empty if the value is unreadable."""
    fencing_token: int

    @classmethod
    def from_item(cls, item: kv.Item) -> LeaderRecord:
        """Read the value of a holder key, tolerating one that this version can't read."""
        value = item.value if isinstance(item.value, dict) else {}
        token = value.get("token")
        return cls(str(value.get("name", "")), token if isinstance(token, int) else 0)


def leader_key(shard: int) -> str:
    """Return the key whose owner holds ``shard``."""
    return f"share/{shard:04d}/holder" if shard else LEADER_KEY
