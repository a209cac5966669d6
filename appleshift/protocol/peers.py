"""Messages between controller nodes: lease votes, status, connectivity, relayed heartbeats.

``rename`` maps attributes to wire names.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from appleshift.protocol.wire import decode_as

LEASE_VOTE_PATH = "/peer/pledge"
PEER_STATUS_PATH = "/peer/hello"
CONNECTIVITY_PATH = "/peer/reach"
HEARTBEAT_BATCH_PATH = "/peer/reports"
MAX_BATCHED_HEARTBEATS = 10_000
"""Largest number of heartbeats in one batch; in practice, the largest request body limits it."""


class LeaseVoteRequest(
    msgspec.Struct,
    frozen=True,
    rename={
        "fencing_token": "token",
        "duration_s": "for_s",
        "shard": "share",
        "process_id": "process",
    },
):
    """A leader's request for a peer's lease vote.

    A peer that grants the vote does not stand for election for ``duration_s`` seconds.
    """

    leader: str
    fencing_token: int
    seq: int
    duration_s: float
    shard: int = 0
    process_id: str = ""
    """Identifies the requesting process rather than its node: after a quick restart, requests
    and votes of the previous process must not bind the new process or its peers."""


class LeaseVote(msgspec.Struct, frozen=True, rename={"granted": "given", "process_id": "process"}):
    """The response to a ``LeaseVoteRequest``."""

    granted: bool
    process_id: str = ""
    """Identifies the responding process; empty if the peer runs an older version."""


class HeldShard(msgspec.Struct, frozen=True, rename={"shard": "share", "fencing_token": "token"}):
    """A shard that a node leads."""

    shard: int
    fencing_token: int
    entitled: bool
    """Whether the node may answer requests as the shard's leader at present."""


class PeerConnectivity(
    msgspec.Struct,
    frozen=True,
    rename={
        "worker_contact_age_s": "workers_s",
        "uninterrupted_s": "steady_s",
        "store_reachable": "state",
    },
):
    """A node's connectivity to workers and to the key-value store, as the node measures it."""

    worker_contact_age_s: float
    """Seconds since the last request or response of any worker; negative: there was none yet."""
    uninterrupted_s: float
    """Seconds for which the node has been in contact with workers without interruption."""
    store_reachable: bool
    """Whether the key-value store responded to the node's last request."""


class PeerStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "fencing_token": "token",
        "relayed_fraction": "share",
        "is_relay": "relays",
        "held_shards": "shares",
        "preferred_leaders": "wanted",
        "process_id": "process",
        "connectivity": "sees",
        "worker_sample": "sample",
        "shard_map_version": "map_version",
    },
):
    """The state of a node, sent to its peers."""

    name: str
    leading: bool
    fencing_token: int
    entitled: bool = False
    """Whether the node may answer requests as the leader of the first shard at present."""
    relayed_fraction: float = 0.0
    """Set by a leader: fraction of the machines that send their heartbeats to relays."""
    is_relay: bool = False
    """Whether the node reaches the leader and relays heartbeats to it."""
    held_shards: list[HeldShard] = []
    """Shards other than the first that the node leads; the fields above describe the first one."""
    shard_map_version: int = 0
    """Version of the shard map that the node uses; 0: it has no shard map."""
    preferred_leaders: list[str] = []
    """Set by a leader, by shard: name of the node that is to lead the shard; "": any node."""
    process_id: str = ""
    """Identifies the sending process; differs after each start of the node."""
    connectivity: PeerConnectivity | None = None
    worker_sample: list[str] = []
    """Set by a leader: addresses of workers that peers may probe to test their connectivity."""


class ConnectivityRequest(msgspec.Struct, frozen=True):
    """Request of a leader to which no worker responds: can the peer reach any of these workers?"""

    addresses: Annotated[list[str], msgspec.Meta(max_length=8)]


class ConnectivityReply(msgspec.Struct, frozen=True):
    """The response to a ``ConnectivityRequest``: whether the peer reached any of the workers."""

    reached: bool


class HeartbeatBatch(msgspec.Struct, frozen=True, rename={"heartbeats": "reports"}):
    """Heartbeats that a relay forwards to the leader, each encoded as its worker sent it."""

    heartbeats: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_BATCHED_HEARTBEATS)]


class RelayedResponse(msgspec.Struct, frozen=True):
    """The leader's response to one relayed heartbeat; ``status`` is an HTTP status."""

    status: int
    body: msgspec.Raw


class HeartbeatResponses(msgspec.Struct, frozen=True, rename={"responses": "answers"}):
    """The response to a ``HeartbeatBatch``: one response per heartbeat, in the same order."""

    responses: list[RelayedResponse]


_connectivity_request_decoder = msgspec.msgpack.Decoder(ConnectivityRequest)
_connectivity_reply_decoder = msgspec.msgpack.Decoder(ConnectivityReply)
_lease_vote_request_decoder = msgspec.msgpack.Decoder(LeaseVoteRequest)
_lease_vote_decoder = msgspec.msgpack.Decoder(LeaseVote)
_peer_status_decoder = msgspec.msgpack.Decoder(PeerStatus)
_heartbeat_batch_decoder = msgspec.msgpack.Decoder(HeartbeatBatch)
_heartbeat_responses_decoder = msgspec.msgpack.Decoder(HeartbeatResponses)


def decode_lease_vote_request(body: bytes) -> LeaseVoteRequest:
    """Decode a request for a lease vote; ProtocolError if malformed."""
    return decode_as(_lease_vote_request_decoder, body)


def decode_lease_vote(body: bytes) -> LeaseVote:
    """Decode the response to a request for a lease vote; ProtocolError if malformed."""
    return decode_as(_lease_vote_decoder, body)


def decode_peer_status(body: bytes) -> PeerStatus:
    """Decode the status of a peer; ProtocolError if malformed."""
    return decode_as(_peer_status_decoder, body)


def decode_connectivity_request(body: bytes) -> ConnectivityRequest:
    """Decode a request for a connectivity test; ProtocolError if malformed."""
    return decode_as(_connectivity_request_decoder, body)


def decode_connectivity_reply(body: bytes) -> ConnectivityReply:
    """Decode the result of a connectivity test; ProtocolError if malformed."""
    return decode_as(_connectivity_reply_decoder, body)


def decode_heartbeat_batch(body: bytes) -> HeartbeatBatch:
    """Decode a batch of relayed heartbeats; ProtocolError if malformed."""
    return decode_as(_heartbeat_batch_decoder, body)


def decode_heartbeat_responses(body: bytes) -> HeartbeatResponses:
    """Decode the responses to a batch of relayed heartbeats; ProtocolError if malformed."""
    return decode_as(_heartbeat_responses_decoder, body)
