"""Requests lease votes from the peers while the leader cannot renew its lease."""

from __future__ import annotations

import logging

from appleshift.leader_election.dependencies import ElectionDependencies
from appleshift.protocol import peers
from appleshift.protocol.wire import ProtocolError, encode
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Event

log = logging.getLogger(__name__)

VOTE_INTERVAL_S = 0.5
VOTE_TIMEOUT_S = 1.0
IDLE_CHECK_INTERVAL_S = 10.0
"""While the lease is renewed, each thread checks at this interval whether to stop."""


class VoteCollector:
    """Collects lease votes for the leader in one thread per peer."""

    def __init__(
        self, dependencies: ElectionDependencies, renewal_failing: Event, stop: Event
    ) -> None:
        """Collect votes while ``renewal_failing`` is set; end once ``stop`` is set."""
        self._dependencies = dependencies
        self._lease = dependencies.lease
        self._now = dependencies.runtime.now
        self._renewal_failing = renewal_failing
        self._stop = stop

    def start(self) -> None:
        """Start a thread for each peer."""
        for peer in self._dependencies.peer_clients:
            name = self._dependencies.thread_name(f"lease-votes-{peer}")
            self._dependencies.runtime.spawn(name, self._collect_votes, peer)

    def _collect_votes(self, peer: str) -> None:
        client = self._dependencies.peer_clients[peer]
        seq = 0
        while not self._stop.is_set():
            if not self._renewal_failing.wait(IDLE_CHECK_INTERVAL_S):
                continue
            vote_granted = False
            while self._renewal_failing.is_set() and self._lease.is_leader:
                sent_at = self._now()
                seq += 1
                voter = self._request_vote(client, seq, self._dependencies.operator.pledge_s)
                if voter is not None:
                    vote_granted = True
                    self._lease.record_vote(peer, sent_at, self._now(), voter)
                self._stop.wait(VOTE_INTERVAL_S)
            if vote_granted:
                # Discard the votes before the peer is released from its vote.
                self._lease.release_votes()
                seq += 1
                self._request_vote(client, seq, 0.0)

    def _request_vote(self, client: HttpCaller, seq: int, duration_s: float) -> str | None:
        """Request a vote from a peer for ``duration_s`` seconds; 0 releases its vote.

        Returns the id of the process that granted the vote; None if it was not granted.
        """
        dependencies = self._dependencies
        request = peers.LeaseVoteRequest(
            dependencies.node_name,
            self._lease.fencing_token,
            seq,
            duration_s,
            dependencies.shard,
            dependencies.process_id,
        )
        try:
            status, body = client.request(
                "POST", peers.LEASE_VOTE_PATH, encode(request), VOTE_TIMEOUT_S
            )
            return peers.decode_lease_vote(body).process_id if status == 200 else None
        except (ClientError, ProtocolError) as error:
            log.debug("lease vote request failed shard=%d error=%s", dependencies.shard, error)
            return None
