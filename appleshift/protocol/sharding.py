"""Messages between the leaders of shards, and the shard map in the key-value store.

``rename`` maps attributes to wire names; ``tag`` is the wire name of a message type. The leader
of the first shard (shard 0) plans and rents machines for all shards.
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
"""Largest number of shards in a shard map."""

REPORTED_GONE, REPORTED_UP, REPORTED_DRAINING, REPORTED_MOVED = range(4)
"""Values of ``MachineSummary.state``: the machine no longer exists; it is in use; it accepts no
new tasks; it was transferred to another shard."""


class ShardMapEpoch(msgspec.Struct, frozen=True):
    """One version of the division of machines and new jobs among shards."""

    count: int
    """Number of shards."""
    after: str = ""
    """The epoch applies to machines whose names sort after this one, as later rentals do."""
    cards: list[str] = []
    """Machine types with GPUs; all machines of these types belong to the first shard."""
    plain: list[int] = msgspec.field(default_factory=lambda: [0])
    """Shards among which the machines without GPUs are divided."""
    homes: list[int] = msgspec.field(default_factory=lambda: [0])
    """The shards of ``plain`` that accept new jobs; the others only finish their jobs."""


class ShardMapValue(msgspec.Struct, frozen=True):
    """The shard map: the value of ``SHARD_MAP_KEY`` in the key-value store."""

    epochs: list[ShardMapEpoch]
    changing: bool = False
    """Whether the map is being changed; meanwhile, only the first shard has a leader."""
    mark: str = ""
    """Id of the leader's term that wrote the map."""


class ArrayPartition(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive tasks of an array that are assigned to another shard."""

    start: int
    """Number of the first task."""
    count: int
    """Number of tasks."""
    submitted: float
    """Wall-clock time of the job's submission, in seconds since 1970."""
    spec: Submission


class TransferredMachine(msgspec.Struct, frozen=True, array_like=True):
    """A machine without tasks that is transferred to another shard."""

    name: str
    addr: str
    kind: str
    zone: str
    spot: bool
    transfer_count: int
    """Number of transfers of this machine, by which a delayed older transfer is ignored."""
    fencing_token: int
    """The highest fencing token that the machine's worker may have received."""


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
    """Request about array partitions and machines of the receiving shard; idempotent."""

    shard: int
    """The sending shard."""
    partitions: list[ArrayPartition] = []
    """Partitions that the receiving shard is to accept, unless it already has."""
    cancelled: list[str] = []
    """Jobs whose partition is to be cancelled permanently, even if it is not yet received."""
    status_of: list[str] = []
    """Jobs for which the status of the partition is requested."""
    machines: list[TransferredMachine] = []
    """Machines that are transferred to the receiving shard."""


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    """The progress of an array partition; everything reported is durable."""

    id: str
    state: int
    """``OPEN``, ``FINISHED`` or ``CANCELLED``, as in the cluster state. Unless the partition is
    open, the shard never starts any of its tasks again."""
    done_ranges: list[int]
    """Numbers of the tasks that are done, as ranges; empty unless the partition is open."""
    running: int = 0
    """Number of running tasks."""


class PartitionReply(msgspec.Struct, frozen=True, tag="told", rename={"statuses": "standings"}):
    """The response to a ``PartitionRequest``."""

    statuses: list[PartitionStatus]
    machines: list[str] = []
    """Transferred machines that the responding shard has accepted, now or earlier."""


class MachineSummary(msgspec.Struct, frozen=True, array_like=True):
    """The state of a machine, as reported by the leader of its shard."""

    name: str
    kind: str
    zone: str
    spot: bool
    state: int
    """``REPORTED_GONE``, ``REPORTED_UP``, ``REPORTED_DRAINING`` or ``REPORTED_MOVED``."""
    idle: bool


class UnmetNeed(msgspec.Struct, frozen=True, array_like=True):
    """Tasks for which the shard has no machine.

    ``cpus``, ``gpus`` and ``memory_gb`` (gigabytes) are per task; ``kinds`` are machine types.
    """

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
    """The state of a shard, by which the leader of the first shard scales the fleet for it."""

    shard: int
    fencing_token: int
    seq: int
    machines: list[MachineSummary]
    """Machines whose state has changed since the last summary."""
    capacity_needed: list[list[list[float]]]
    """Required capacity by pool (first without, then with GPUs). Each pool has two lists of
    CPUs, GPUs and gigabytes: the total, and the part that must not be on spot machines."""
    unplaceable: list[UnmetNeed]
    """Tasks that no machine of the shard can ever run."""
    shortages: list[UnmetNeed]
    """Tasks for which the shard has no free capacity at present."""
    evicted: list[tuple[str, str]]
    """Spot markets, as (machine type, zone), in which a machine was reclaimed."""
    jobs: int = 0
    """Number of jobs of the shard."""
    waiting: int = 0
    """Number of tasks that wait for capacity."""


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
    """The response of the first shard's leader to a ``ShardSummary``."""

    fencing_token: int
    types: list[MachineType]
    """All machine types that can be rented."""
    return_machines: list[str]
    """Idle machines of the shard that are no longer needed and are to be deleted."""
    on_demand_spare: float
    """On-demand capacity of the shard that is not needed, in units of on-demand machines."""
    transfers: list[tuple[str, int]] = []
    """Idle machines to transfer, as (name, shard that needs the machine more)."""


ShardRequest = PartitionRequest | ShardSummary
ShardReply = PartitionReply | FleetPlan


class ShardCall(msgspec.Struct, frozen=True, rename={"target_shard": "to"}):
    """A request to the leader of ``target_shard``."""

    target_shard: int
    message: ShardRequest


_call_decoder = msgspec.msgpack.Decoder(ShardCall)
_reply_decoder: msgspec.msgpack.Decoder[ShardReply] = msgspec.msgpack.Decoder(ShardReply)


def decode_call(body: bytes) -> ShardCall:
    """Decode a request to a shard's leader; ProtocolError if malformed."""
    return decode_as(_call_decoder, body)


def decode_answer(body: bytes) -> ShardReply:
    """Decode the response of a shard's leader; ProtocolError if malformed."""
    return decode_as(_reply_decoder, body)


def decode_shard_map(value: Any) -> ShardMapValue:
    """Convert the value of ``SHARD_MAP_KEY``; ProtocolError if malformed."""
    try:
        return msgspec.convert(value, ShardMapValue)
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"map of shares: {error}", ShardMapValue) from error
