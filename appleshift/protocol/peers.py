"""Messages between controller nodes: votes, status, connectivity, relayed heartbeats.

``rename`` maps to wire names.
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
"""Most heartbeats in one batch; in practice the size of a request's body bounds it."""


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
    """The leader asks a peer for a vote: not to stand for election for ``duration_s`` seconds."""

    leader: str
    fencing_token: int
    seq: int
    duration_s: float
    shard: int = 0
    process_id: str = ""
    """Identifies the process that asks, not its node: a process that is restarted within a
    moment must neither be bound, nor bind others, by what its predecessor sent."""


class LeaseVote(msgspec.Struct, frozen=True, rename={"granted": "given", "process_id": "process"}):
    """The answer to a request for a vote."""

    granted: bool
    process_id: str = ""
    """Identifies the process that answers; empty from an older version."""


class HeldShard(msgspec.Struct, frozen=True, rename={"shard": "share", "fencing_token": "token"}):
    """A shard that a node holds."""

    shard: int
    fencing_token: int
    entitled: bool
    """It may answer for the shard right now."""


class PeerConnectivity(
    msgspec.Struct,
    frozen=True,
    rename={
        "worker_contact_age_s": "workers_s",
        "uninterrupted_s": "steady_s",
        "store_reachable": "state",
    },
):
    """What a node can connect to, as it measures itself."""

    worker_contact_age_s: float
    """Seconds since a worker last sent or answered anything; negative: none has yet."""
    uninterrupted_s: float
    """Seconds for which workers have been in contact without a break."""
    store_reachable: bool
    """The key-value store answered the last request."""


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
    """The state of a node, which it sends to its peers."""

    name: str
    leading: bool
    fencing_token: int
    entitled: bool = False
    """It may answer requests as the leader right now."""
    relayed_fraction: float = 0.0
    """Of a leader: fraction of the machines that send their heartbeats to other nodes."""
    is_relay: bool = False
    """It reaches the leader and relays heartbeats."""
    held_shards: list[HeldShard] = []
    """Shards that it holds beyond the first one, which the fields above describe."""
    shard_map_version: int = 0
    """Version of the shard map that it follows; 0: it has none."""
    preferred_leaders: list[str] = []
    """Of a leader: the node that is to hold each shard; "" for any."""
    process_id: str = ""
    """Identifies the process that sends it; another one after each start."""
    connectivity: PeerConnectivity | None = None
    worker_sample: list[str] = []
    """Of a leader: addresses of workers to which other nodes may test their connectivity."""


class ConnectivityRequest(msgspec.Struct, frozen=True):
    """A leader that no worker answers asks whether a peer reaches some of them."""

    addresses: Annotated[list[str], msgspec.Meta(max_length=8)]


class ConnectivityReply(msgspec.Struct, frozen=True):
    """Whether the peer reaches any of them."""

    reached: bool


class HeartbeatBatch(msgspec.Struct, frozen=True, rename={"heartbeats": "reports"}):
    """Heartbeats that a relay passes on, each as its worker sent it."""

    heartbeats: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_BATCHED_HEARTBEATS)]


class RelayedResponse(msgspec.Struct, frozen=True):
    """The response to one heartbeat; ``status`` is that of HTTP."""

    status: int
    body: msgspec.Raw


class HeartbeatResponses(msgspec.Struct, frozen=True, rename={"responses": "answers"}):
    """The leader's responses, in the order of the heartbeats."""

    responses: list[RelayedResponse]


_connectivity_request_decoder = msgspec.msgpack.Decoder(ConnectivityRequest)
_connectivity_reply_decoder = msgspec.msgpack.Decoder(ConnectivityReply)
_lease_vote_request_decoder = msgspec.msgpack.Decoder(LeaseVoteRequest)
_lease_vote_decoder = msgspec.msgpack.Decoder(LeaseVote)
_peer_status_decoder = msgspec.msgpack.Decoder(PeerStatus)
_heartbeat_batch_decoder = msgspec.msgpack.Decoder(HeartbeatBatch)
_heartbeat_responses_decoder = msgspec.msgpack.Decoder(HeartbeatResponses)


def decode_lease_vote_request(body: bytes) -> LeaseVoteRequest:
    """Decode a request for a vote; ProtocolError if malformed."""
    return decode_as(_lease_vote_request_decoder, body)


def decode_lease_vote(body: bytes) -> LeaseVote:
    """Decode a vote; ProtocolError if malformed."""
    return decode_as(_lease_vote_decoder, body)


def decode_peer_status(body: bytes) -> PeerStatus:
    """Decode a node's status; ProtocolError if malformed."""
    return decode_as(_peer_status_decoder, body)


def decode_connectivity_request(body: bytes) -> ConnectivityRequest:
    """Decode a request for a connectivity test; ProtocolError if malformed."""
    return decode_as(_connectivity_request_decoder, body)


def decode_connectivity_reply(body: bytes) -> ConnectivityReply:
    """Decode the result of a connectivity test; ProtocolError if malformed."""
    return decode_as(_connectivity_reply_decoder, body)


def decode_heartbeat_batch(body: bytes) -> HeartbeatBatch:
    """Decode relayed heartbeats; ProtocolError if malformed."""
    return decode_as(_heartbeat_batch_decoder, body)


def decode_heartbeat_responses(body: bytes) -> HeartbeatResponses:
    """Decode the responses to relayed heartbeats; ProtocolError if malformed."""
    return decode_as(_heartbeat_responses_decoder, body)
