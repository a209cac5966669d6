"""Fencing tokens for tests: the first tokens of consecutive terms."""

from __future__ import annotations

from appleshift.leader_election.fencing_tokens import TOKENS_PER_BLOCK, first_token_after


def token_of_term(number: int) -> int:
    """Return the token of the election that began a term; terms are numbered from 1."""
    return first_token_after((number - 1) * TOKENS_PER_BLOCK)


def term_number(token: int) -> int:
    """Return the number of the term that a token belongs to; 0 if it is of no term."""
    return token // TOKENS_PER_BLOCK


TOKEN = token_of_term(7)
"""The token of the term that ``SchedulerHarness`` runs."""
EARLIER_TOKEN = token_of_term(6)
LATER_TOKEN = token_of_term(8)
