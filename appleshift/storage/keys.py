"""Keys of a shard's durable state in the key-value store.

Layout::

    log/<n>               a batch of records
    snap/<generation>/<n> a snapshot page: records that rebuild the live state
    final/<n>             a page of the final states of ended jobs, written once
    audit/<n>             a page of the audit of counted resources, written once
    meta                  the log header: current snapshot and first log entry after it

Each shard has a separate key range. The keys of shard 0 have no prefix, so a deployment
with a single shard uses the same keys as versions without shards. Numbers are
zero-padded, so keys sort in the order of their numbers.
"""

from __future__ import annotations

HEADER_KEY = "meta"
LOG_PREFIX = "log/"
SNAPSHOT_PREFIX = "snap/"
FINAL_STATES_PREFIX = "final/"
AUDIT_PREFIX = "audit/"
_GENERATION_DIGITS = 8


def shard_prefix(shard: int) -> str:
    """Return the prefix of all keys of a shard."""
    return f"share/{shard:04d}/" if shard else ""


def log_key(number: int, prefix: str = "") -> str:
    """Return the key of a log entry."""
    return f"{prefix}{LOG_PREFIX}{number:012d}"


def log_entry_number(key: str, prefix: str = "") -> int:
    """Return the number in the key of a log entry; the inverse of ``log_key``."""
    return int(key[len(prefix + LOG_PREFIX) :])


def snapshot_key(generation: int, page: int, prefix: str = "") -> str:
    """Return the key of a page of a snapshot."""
    return f"{snapshot_prefix(generation, prefix)}{page:06d}"


def snapshot_prefix(generation: int, prefix: str = "") -> str:
    """Return the prefix of all pages of a snapshot generation."""
    return f"{prefix}{SNAPSHOT_PREFIX}{generation:0{_GENERATION_DIGITS}d}/"


def snapshot_generations(keys: list[str], prefix: str = "") -> list[int]:
    """Return the generations of those keys that belong to snapshot pages."""
    pages = prefix + SNAPSHOT_PREFIX
    start, end = len(pages), len(pages) + _GENERATION_DIGITS
    return [int(key[start:end]) for key in keys if key.startswith(pages)]


def final_key(number: int, prefix: str = "") -> str:
    """Return the key of a page of final states."""
    return f"{prefix}{FINAL_STATES_PREFIX}{number:08d}"


def audit_key(number: int, prefix: str = "") -> str:
    """Return the key of a page of the audit of counted resources."""
    return f"{prefix}{AUDIT_PREFIX}{number:08d}"
