"""The term of a shard's leader, and the keys in the key-value store that decide who leads."""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol import kv

LEADER_KEY = "leader"
"""Leader key of the first shard; the node that it names leads the cluster."""
FENCING_TOKEN_KEY = "token"
"""Holds the highest fencing token that any term of any shard may use."""


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """A term of a shard's leader, from its election until it loses leadership."""

    fencing_token: int
    """The first token of the term; those up to ``last_token_of_term`` are the term's as well."""
    leader_key_version: int
    """Version of the leader key; every write of the term is guarded by it."""
    term_id: str
    """Unique to this term; identifies its writes in the key-value store."""
    shard: int = 0
    extra_guards: tuple[tuple[str, int], ...] = ()
    """More keys and versions that guard each write: the term is void once one changes."""


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The value of a leader key."""

    node_name: str
    """Node that leads the shard; empty if the value is unreadable."""
    fencing_token: int

    @classmethod
    def from_item(cls, item: kv.Item) -> LeaderRecord:
        """Decode a leader key; an unreadable value gives an empty name or token 0."""
        value = item.value if isinstance(item.value, dict) else {}
        token = value.get("token")
        return cls(str(value.get("name", "")), token if isinstance(token, int) else 0)


def leader_key(shard: int) -> str:
    """Return the key in the key-value store that names the leader of ``shard``."""
    return f"share/{shard:04d}/holder" if shard else LEADER_KEY
