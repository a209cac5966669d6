"""Messages between controller nodes: pledges and forwarded requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

from appleshift.protocol.wire import decode_as

LEASE_VOTE_PATH = "/peer/pledge"
PEER_STATUS_PATH = "/peer/hello"
CONNECTIVITY_PATH = "/peer/reach"
HEARTBEAT_BATCH_PATH = "/peer/reports"
MAX_BATCHED_HEARTBEATS = 10_000
"""In one batch; what really bounds it is the size of a request's body."""


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
    """The leader asks a sibling not to stand for election for a while."""

    leader: str
    fencing_token: int
    seq: int
    duration_s: float
    shard: int = 0
    process_id: str = ""
    """Of the process that asks, not of the node: one that ended and was started again
    within a moment must not be bound, nor bind others, by what the earlier one sent."""


class LeaseVote(msgspec.Struct, frozen=True, rename={"granted": "given", "process_id": "process"}):
    """The answer to it."""

    granted: bool
    process_id: str = ""
    """Which process of that node answers; of an older version: empty."""


class HeldShard(msgspec.Struct, frozen=True, rename={"shard": "share", "fencing_token": "token"}):
    """A share that a node holds."""

    shard: int
    fencing_token: int
    entitled: bool


class PeerConnectivity(
    msgspec.Struct,
    frozen=True,
    rename={
        "worker_contact_age_s": "workers_s",
        "uninterrupted_s": "steady_s",
        "store_answers": "state",
    },
):
    """What a node reaches, by its own measure."""

    worker_contact_age_s: float
    """Since a worker last reported to it or answered it; negative: none has yet."""
    uninterrupted_s: float
    """For how long that has been so without a break."""
    store_answers: bool
    """The state service answered it when it was asked last."""


class PeerStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "fencing_token": "token",
        "relayed_fraction": "share",
        "is_relay": "relays",
        "held_shards": "shares",
        "preferred_holders": "wanted",
        "process_id": "process",
        "connectivity": "sees",
        "worker_sample": "sample",
        "shard_map_version": "map_version",
    },
):
    """What a sibling says of itself."""

    name: str
    leading: bool
    fencing_token: int
    entitled: bool = False
    """It may answer for the controllers right now."""
    relayed_fraction: float = 0.0
    """Of a leader: the share of the machines whose reports go to other nodes."""
    is_relay: bool = False
    """It reaches the leader and passes reports on."""
    held_shards: list[HeldShard] = []
    """Of shares beyond the first: those that it holds. The fields above are the
    first one's, as they were before there were others."""
    shard_map_version: int = 0
    """Of the map of shares that it goes by; 0: it knows of none."""
    preferred_holders: list[str] = []
    """Of a leader: the node that is to hold each share, "" for any."""
    process_id: str = ""
    """Chosen anew at each start: which process of that node says so."""
    connectivity: PeerConnectivity | None = None
    worker_sample: list[str] = []
    """Of a leader: addresses of workers that others may ask whether they reach any."""


class ConnectivityRequest(msgspec.Struct, frozen=True):
    """A leader that no worker answers asks whether others reach some of them."""

    addresses: Annotated[list[str], msgspec.Meta(max_length=8)]


class ConnectivityReply(msgspec.Struct, frozen=True):
    reached: bool


class HeartbeatBatch(msgspec.Struct, frozen=True, rename={"heartbeats": "reports"}):
    """Workers' reports, each as its worker sent it."""

    heartbeats: Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_BATCHED_HEARTBEATS)]


class RelayedResponse(msgspec.Struct, frozen=True):
    status: int
    body: msgspec.Raw


class HeartbeatResponses(msgspec.Struct, frozen=True, rename={"responses": "answers"}):
    """The leader's answers, in the order of the reports."""

    responses: list[RelayedResponse]


_connectivity_request_decoder = msgspec.msgpack.Decoder(ConnectivityRequest)
_connectivity_reply_decoder = msgspec.msgpack.Decoder(ConnectivityReply)
_lease_vote_request_decoder = msgspec.msgpack.Decoder(LeaseVoteRequest)
_lease_vote_decoder = msgspec.msgpack.Decoder(LeaseVote)
_peer_status_decoder = msgspec.msgpack.Decoder(PeerStatus)
_heartbeat_batch_decoder = msgspec.msgpack.Decoder(HeartbeatBatch)
_heartbeat_responses_decoder = msgspec.msgpack.Decoder(HeartbeatResponses)


def decode_lease_vote_request(body: bytes) -> LeaseVoteRequest:
    return decode_as(_lease_vote_request_decoder, body)


def decode_lease_vote(body: bytes) -> LeaseVote:
    return decode_as(_lease_vote_decoder, body)


def decode_peer_status(body: bytes) -> PeerStatus:
    return decode_as(_peer_status_decoder, body)


def decode_connectivity_request(body: bytes) -> ConnectivityRequest:
    return decode_as(_connectivity_request_decoder, body)


def decode_connectivity_reply(body: bytes) -> ConnectivityReply:
    return decode_as(_connectivity_reply_decoder, body)


def decode_heartbeat_batch(body: bytes) -> HeartbeatBatch:
    return decode_as(_heartbeat_batch_decoder, body)


def decode_heartbeat_responses(body: bytes) -> HeartbeatResponses:
    return decode_as(_heartbeat_responses_decoder, body)
