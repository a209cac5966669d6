"""Candidacy of a node: one transaction writes the leader key and takes fencing tokens."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.leader_election.fencing_tokens import first_token_after, last_token_of_term
from appleshift.leader_election.leader_term import FENCING_TOKEN_KEY, LeaderTerm
from appleshift.protocol import kv
from appleshift.storage.key_value_store import (
    CompareFailedError,
    LeaseExpiredError,
    StoreError,
)

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WonElection:
    """The term of an election won, and the store lease to which its leader key is attached."""

    term: LeaderTerm
    lease_id: int
    lease_requested_at: float
    """Time of the lease request, by this node's monotonic clock; the lease begins no earlier."""


@dataclass(slots=True)
class _Attempt:
    """State of an election attempt, which determines the cleanup if it fails."""

    lease_id: int | None = None
    resolved: bool = True
    """Whether no transaction of this attempt can still be applied."""


@dataclass(frozen=True, slots=True)
class _Proposal:
    """The proposed term, and the transaction that begins it."""

    fencing_token: int
    term_id: str
    guards: list[dict[str, Any]]
    changes: list[dict[str, Any]]


class Candidacy:
    """Attempts to be elected leader of a shard; used only by the election's thread."""

    def __init__(
        self, dependencies: ElectionDependencies, on_elected: Callable[[WonElection], None]
    ) -> None:
        """Call ``on_elected`` on success; it must begin the leader lease before it returns."""
        self._dependencies = dependencies
        self._store = dependencies.store
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self._on_elected = on_elected
        self._attempt_number = 0
        self._unresolved_lease_id: int | None = None

    def revoke_unresolved_lease(self) -> None:
        """Revoke the lease of an attempt without response, whose transaction may still apply."""
        if self._unresolved_lease_id is None:
            return
        if self._store.revoke_lease(self._unresolved_lease_id):
            self._unresolved_lease_id = None
            self._lease.end_candidacy(resolved=True)

    def attempt_election(self, extra_guards: tuple[tuple[str, int], ...]) -> bool:
        """Try to be elected; return whether this node or another one is now leader.

        Raises StoreError if the key-value store gives no usable response.
        """
        if self._lease.is_candidacy_unresolved() or not self._lease.begin_candidacy(self._now()):
            return False
        attempt = _Attempt()
        try:
            return self._try_to_win(attempt, extra_guards)
        finally:
            if not self._lease.is_leader:
                self._end(attempt)

    def _try_to_win(self, attempt: _Attempt, extra_guards: tuple[tuple[str, int], ...]) -> bool:
        dependencies = self._dependencies
        requested_at = self._now()
        lease_id = self._store.grant_lease(dependencies.operator.leader_lease_s)
        attempt.lease_id = lease_id
        proposal = self._propose(lease_id, extra_guards)
        attempt.resolved = False
        try:
            revision = self._store.compare_and_swap(proposal.guards, proposal.changes)
        except (CompareFailedError, LeaseExpiredError) as error:
            attempt.resolved = True
            log.debug("election not won shard=%d error=%s", dependencies.shard, error)
            # Unless an extra guard failed, another node was elected. The caller then reads
            # the leader key again without a pause.
            extra_keys = {key for key, _ in extra_guards}
            return isinstance(error, CompareFailedError) and not extra_keys & {*error.failed}
        except StoreError as error:
            attempt.resolved = error.refused
            raise
        term = LeaderTerm(
            proposal.fencing_token, revision, proposal.term_id, dependencies.shard, extra_guards
        )
        self._on_elected(WonElection(term, lease_id, requested_at))
        attempt.resolved = True
        return True

    def _propose(self, lease_id: int, extra_guards: tuple[tuple[str, int], ...]) -> _Proposal:
        item = self._store.get(FENCING_TOKEN_KEY)
        version = 0 if item is None else item.version
        stored_token = 0 if item is None else int(item.value["token"])
        token = first_token_after(max(stored_token, self._lease.highest_seen_token))
        self._attempt_number += 1
        key, node_name = self._dependencies.leader_key, self._dependencies.node_name
        term_id = f"{self._dependencies.term_id_prefix}.{self._attempt_number}"
        return _Proposal(
            token,
            term_id,
            guards=[
                kv.guard(key, 0),
                kv.guard(FENCING_TOKEN_KEY, version),
                *(kv.guard(*each) for each in extra_guards),
            ],
            changes=[
                kv.put(key, {"name": node_name, "token": token, "mark": term_id}, lease_id),
                kv.put(FENCING_TOKEN_KEY, {"token": last_token_of_term(token)}),
            ],
        )

    def _end(self, attempt: _Attempt) -> None:
        if not attempt.resolved:
            self._unresolved_lease_id = attempt.lease_id
        elif attempt.lease_id is not None:
            self._store.revoke_lease(attempt.lease_id)
        self._lease.end_candidacy(attempt.resolved)
