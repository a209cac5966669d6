"""Fencing tokens: an election takes a block of them, and the leader may raise them within it.

A worker rejects each message with a lower token than the highest that it has received. The
token of an election is the first of a block that no other term uses. The leader can send a
worker a higher one of the block, without a write to the store, to make the worker reject
what it sent before. The store holds the last token of the newest block.

Versions that took a single token for each election took the next number after the one in the
store, which is in the lower half of a block. Terms use the upper half only, so that their
tokens are told from those.
"""

from __future__ import annotations

TOKENS_PER_BLOCK = 1 << 22
"""Leaves serials of license reservations, which have the token above 24 bits, 2**18 terms."""
FIRST_IN_BLOCK = TOKENS_PER_BLOCK // 2


def first_token_after(highest_token: int) -> int:
    """Return the first token of the next term; ``highest_token`` is the highest one in use."""
    return (highest_token // TOKENS_PER_BLOCK + 1) * TOKENS_PER_BLOCK + FIRST_IN_BLOCK


def last_token_of_term(token: int) -> int:
    """Return the last token of the term that ``token`` belongs to."""
    if token % TOKENS_PER_BLOCK < FIRST_IN_BLOCK:
        return token
    return token | (TOKENS_PER_BLOCK - 1)
