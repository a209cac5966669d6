"""Messages between the holders of shares, and the map of shares in the state service."""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.wire import ProtocolError, decode_as

SHARD_CALL_PATH = "/peer/share"
SHARD_MAP_KEY = "shares"
MAX_SHARDS = 64

GONE, UP, LEAVING, MOVED = range(4)
"""What a holder says of a machine: it is no more, it works, it takes no new work, it
was handed on to another share."""


class ShardMapEpoch(msgspec.Struct, frozen=True):
    """Which share has what, of all that came after a machine's name."""

    count: int
    after: str = ""
    """Machines with larger names, which were rented later, go by this epoch."""
    cards: list[str] = []
    """Machine types with GPUs: all of them belong to the first share."""
    plain: list[int] = msgspec.field(default_factory=lambda: [0])
    """Shares that divide the other machines among them."""
    homes: list[int] = msgspec.field(default_factory=lambda: [0])
    """Those of them that are given new jobs; the others end what they have."""


class ShardMapValue(msgspec.Struct, frozen=True):
    """Value of the map's key."""

    epochs: list[ShardMapEpoch]
    changing: bool = False
    """While it changes nobody but the leader holds a share."""
    mark: str = ""


class ArrayPartition(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of an array that another share is to run."""

    start: int
    count: int
    submitted: float
    """Time of day of the job's submission."""
    spec: Submission


class TransferredMachine(msgspec.Struct, frozen=True, array_like=True):
    """A machine without any task, and what its new holder must know."""

    name: str
    addr: str
    kind: str
    zone: str
    spot: bool
    moves: int
    """Which hand-over it is: an earlier one that arrives late changes nothing."""
    token: int
    """The highest that its worker may have seen."""


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
    """About jobs of which the asked share runs a portion; may be repeated at will."""

    shard: int
    partitions: list[ArrayPartition] = []
    """To be taken, if they are not known yet."""
    cancelled: list[str] = []
    """Jobs whose portion is to end for good, whether it has come or not."""
    status_of: list[str] = []
    """Jobs whose portion's progress is to be told."""
    machines: list[TransferredMachine] = []
    """Machines that were handed on to the asked share."""


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    """How a portion stands. All of it is durable."""

    id: str
    state: int
    """``OPEN``, ``FINISHED`` or ``CANCELLED`` as in the tables; unless it is open,
    nothing of it will ever start there any more."""
    done: list[int]
    """If it is open: numbers of the tasks that are done, as ranges."""
    running: int = 0


class PartitionReply(msgspec.Struct, frozen=True, tag="told", rename={"statuses": "standings"}):
    statuses: list[PartitionStatus]
    machines: list[str] = []
    """Those of the machines handed on that are this share's by now, or were."""


class MachineSummary(msgspec.Struct, frozen=True, array_like=True):
    """A machine as its share's holder sees it."""

    name: str
    kind: str
    zone: str
    spot: bool
    state: int
    idle: bool


class UnmetNeed(msgspec.Struct, frozen=True, array_like=True):
    """Work that no machine of the share can ever take."""

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
    """What the leader must know of a share in order to rent for it."""

    shard: int
    fencing_token: int
    seq: int
    machines: list[MachineSummary]
    """Those of which something has changed since the last one."""
    capacity_needed: list[list[list[float]]]
    """By pool, without and with GPUs: CPUs, GPUs and GB needed in all, and without spot."""
    unplaceable: list[UnmetNeed]
    shortages: list[UnmetNeed]
    """Work that finds no room right now."""
    evicted: list[tuple[str, str]]
    """Spot markets, as (type, zone), that took a machine back."""
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
    """The leader's answer to a digest."""

    fencing_token: int
    types: list[MachineType]
    return_machines: list[str]
    """Idle machines that are not needed any more."""
    on_demand_spare: float
    """Steady capacity of this share that is not needed, in steady machines."""
    transfers: list[tuple[str, int]] = []
    """Idle machines that other shares need more: name and share."""


ShardRequest = PartitionRequest | ShardSummary
ShardReply = PartitionReply | FleetPlan


class ShardCall(msgspec.Struct, frozen=True, rename={"target_shard": "to"}):
    target_shard: int
    message: ShardRequest


_call = msgspec.msgpack.Decoder(ShardCall)
_answer: msgspec.msgpack.Decoder[ShardReply] = msgspec.msgpack.Decoder(ShardReply)


def decode_call(body: bytes) -> ShardCall:
    return decode_as(_call, body)


def decode_answer(body: bytes) -> ShardReply:
    return decode_as(_answer, body)


def decode_shard_map(value: Any) -> ShardMapValue:
    """The map as it stands in the state service; ProtocolError if it is none."""
    try:
        return msgspec.convert(value, ShardMapValue)
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"map of shares: {error}") from None
