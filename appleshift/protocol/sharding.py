"""Messages between the holders of shards, and the shard map in the key-value store.

``rename`` and ``tag`` map to wire names.
"""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.wire import ProtocolError, decode_as

SHARD_CALL_PATH = "/peer/share"
SHARD_MAP_KEY = "shares"
MAX_SHARDS = 64
"""Most shards that a map may have."""

REPORTED_GONE, REPORTED_UP, REPORTED_DRAINING, REPORTED_MOVED = range(4)
"""State of a machine at its shard's holder: it no longer exists, it works, it takes no new
work, it was transferred to another shard."""


class ShardMapEpoch(msgspec.Struct, frozen=True):
    """Which shard has which machines and jobs, of those after a machine's name."""

    count: int
    """Number of shards."""
    after: str = ""
    """This epoch is for machines with larger names, which were rented later."""
    cards: list[str] = []
    """Machine types with GPUs: all of them belong to the first shard."""
    plain: list[int] = msgspec.field(default_factory=lambda: [0])
    """Shards among which the other machines are divided."""
    homes: list[int] = msgspec.field(default_factory=lambda: [0])
    """Those of them that are given new jobs; the others finish what they have."""


class ShardMapValue(msgspec.Struct, frozen=True):
    """Value of the key ``SHARD_MAP_KEY``."""

    epochs: list[ShardMapEpoch]
    changing: bool = False
    """While the map changes, nobody but the leader holds a shard."""
    mark: str = ""


class ArrayPartition(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive tasks of a job array that another shard is to run."""

    start: int
    count: int
    submitted: float
    """Time of day of the job's submission, in seconds since 1970."""
    spec: Submission


class TransferredMachine(msgspec.Struct, frozen=True, array_like=True):
    """A machine without any task that moves to another shard."""

    name: str
    addr: str
    kind: str
    zone: str
    spot: bool
    transfer_count: int
    """Counts its transfers: an earlier one that arrives late must not change anything."""
    fencing_token: int
    """The highest fencing token that its worker may have received."""


class PartitionRequest(
    msgspec.Struct,
    frozen=True,
    tag="ask",
    rename={
        "shard": "share",
        "partitions": "portions",
        "cancelled": "called_off",
        "status_of": "wanted",
    },
):
    """About jobs of which the receiving shard runs a partition; idempotent."""

    shard: int
    partitions: list[ArrayPartition] = []
    """To be accepted, unless they were already."""
    cancelled: list[str] = []
    """Jobs whose partition is to be cancelled for good, whether it has arrived or not."""
    status_of: list[str] = []
    """Jobs whose partition's status is to be returned."""
    machines: list[TransferredMachine] = []
    """Machines that are transferred to the receiving shard."""


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a partition. All of it is durable."""

    id: str
    state: int
    """``OPEN``, ``FINISHED`` or ``CANCELLED`` as in the cluster state; unless it is open,
    none of its tasks will ever start there again."""
    done_ranges: list[int]
    """If it is open: numbers of the tasks that are done, as ranges."""
    running: int = 0


class PartitionReply(msgspec.Struct, frozen=True, tag="told", rename={"statuses": "standings"}):
    """The answer to a ``PartitionRequest``."""

    statuses: list[PartitionStatus]
    machines: list[str] = []
    """Those of the transferred machines that are this shard's by now, or were."""


class MachineSummary(msgspec.Struct, frozen=True, array_like=True):
    """A machine's state at its shard's holder."""

    name: str
    kind: str
    zone: str
    spot: bool
    state: int
    idle: bool


class UnmetNeed(msgspec.Struct, frozen=True, array_like=True):
    """Tasks for which the shard has no machine; memory in gigabytes, for each task."""

    cpus: float
    gpus: float
    memory_gb: float
    tasks: int
    spot: bool
    kinds: list[str]
    zones: list[str]


class ShardSummary(
    msgspec.Struct,
    frozen=True,
    tag="digest",
    rename={
        "shard": "share",
        "fencing_token": "token",
        "capacity_needed": "sums",
        "unplaceable": "needs",
        "shortages": "lacking",
    },
):
    """The state of a shard that the leader needs to scale the fleet for it."""

    shard: int
    fencing_token: int
    seq: int
    machines: list[MachineSummary]
    """Machines of which something has changed since the last summary."""
    capacity_needed: list[list[list[float]]]
    """By pool, without and with GPUs: CPUs, GPUs and gigabytes needed in all, and without spot."""
    unplaceable: list[UnmetNeed]
    """Work that no machine of the shard can ever run."""
    shortages: list[UnmetNeed]
    """Work for which there is no room right now."""
    evicted: list[tuple[str, str]]
    """Spot markets, as (type, zone), that reclaimed a machine."""
    jobs: int = 0
    waiting: int = 0


class FleetPlan(
    msgspec.Struct,
    frozen=True,
    tag="plan",
    rename={
        "fencing_token": "token",
        "return_machines": "give_back",
        "on_demand_spare": "spare",
        "transfers": "hand_on",
    },
):
    """The leader's answer to a ``ShardSummary``."""

    fencing_token: int
    types: list[MachineType]
    return_machines: list[str]
    """Idle machines that are not needed any more."""
    on_demand_spare: float
    """On-demand capacity of this shard that is not needed, in on-demand machines."""
    transfers: list[tuple[str, int]] = []
    """Idle machines that other shards need more: name and shard."""


ShardRequest = PartitionRequest | ShardSummary
ShardReply = PartitionReply | FleetPlan


class ShardCall(msgspec.Struct, frozen=True, rename={"target_shard": "to"}):
    """A message to the holder of a shard."""

    target_shard: int
    message: ShardRequest


_call_decoder = msgspec.msgpack.Decoder(ShardCall)
_answer_decoder: msgspec.msgpack.Decoder[ShardReply] = msgspec.msgpack.Decoder(ShardReply)


def decode_call(body: bytes) -> ShardCall:
    """Decode a message to a shard's holder; ProtocolError if malformed."""
    return decode_as(_call_decoder, body)


def decode_answer(body: bytes) -> ShardReply:
    """Decode a shard holder's answer; ProtocolError if malformed."""
    return decode_as(_answer_decoder, body)


def decode_shard_map(value: Any) -> ShardMapValue:
    """Convert the value of ``SHARD_MAP_KEY``; ProtocolError if it is not a shard map."""
    try:
        return msgspec.convert(value, ShardMapValue)
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"map of shares: {error}", ShardMapValue) from error
