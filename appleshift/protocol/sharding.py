"""Messages between the holders of shares, and the map of shares in the state service."""

from __future__ import annotations

from typing import Any

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.protocol.wire import ProtocolError, decode_as

SHARE_PATH = "/peer/share"
MAP_KEY = "shares"
MOST_SHARES = 64

GONE, UP, LEAVING, MOVED = range(4)
"""What a holder says of a machine: it is no more, it works, it takes no new work, it
was handed on to another share."""


class Epoch(msgspec.Struct, frozen=True):
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


class MapValue(msgspec.Struct, frozen=True):
    """Value of the map's key."""

    epochs: list[Epoch]
    changing: bool = False
    """While it changes nobody but the leader holds a share."""
    mark: str = ""


class Portion(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of an array that another share is to run."""

    start: int
    count: int
    submitted: float
    """Time of day of the job's submission."""
    spec: Submission


class GivenMachine(msgspec.Struct, frozen=True, array_like=True):
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


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """About jobs of which the asked share runs a portion; may be repeated at will."""

    share: int
    portions: list[Portion] = []
    """To be taken, if they are not known yet."""
    called_off: list[str] = []
    """Jobs whose portion is to end for good, whether it has come or not."""
    wanted: list[str] = []
    """Jobs whose portion's progress is to be told."""
    machines: list[GivenMachine] = []
    """Machines that were handed on to the asked share."""


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """How a portion stands. All of it is durable."""

    id: str
    state: int
    """``OPEN``, ``FINISHED`` or ``CANCELLED`` as in the tables; unless it is open,
    nothing of it will ever start there any more."""
    done: list[int]
    """If it is open: numbers of the tasks that are done, as ranges."""
    running: int = 0


class Told(msgspec.Struct, frozen=True, tag="told"):
    standings: list[Standing]
    machines: list[str] = []
    """Those of the machines handed on that are this share's by now, or were."""


class MachineNow(msgspec.Struct, frozen=True, array_like=True):
    """A machine as its share's holder sees it."""

    name: str
    kind: str
    zone: str
    spot: bool
    state: int
    idle: bool


class NeedNow(msgspec.Struct, frozen=True, array_like=True):
    """Work that no machine of the share can ever take."""

    cpus: float
    gpus: float
    memory_gb: float
    tasks: int
    spot: bool
    kinds: list[str]
    zones: list[str]


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """What the leader must know of a share in order to rent for it."""

    share: int
    token: int
    seq: int
    machines: list[MachineNow]
    """Those of which something has changed since the last one."""
    sums: list[list[list[float]]]
    """By pool, without and with GPUs: CPUs, GPUs and GB needed in all, and without spot."""
    needs: list[NeedNow]
    lacking: list[NeedNow]
    """Work that finds no room right now."""
    evicted: list[tuple[str, str]]
    """Spot markets, as (type, zone), that took a machine back."""
    jobs: int = 0
    waiting: int = 0


class Plan(msgspec.Struct, frozen=True, tag="plan"):
    """The leader's answer to a digest."""

    token: int
    types: list[MachineType]
    give_back: list[str]
    """Idle machines that are not needed any more."""
    spare: float
    """Steady capacity of this share that is not needed, in steady machines."""
    hand_on: list[tuple[str, int]] = []
    """Idle machines that other shares need more: name and share."""


Message = Ask | Digest
Answer = Told | Plan


class ShareCall(msgspec.Struct, frozen=True):
    to: int
    message: Message


_call = msgspec.msgpack.Decoder(ShareCall)
_answer: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)


def decode_call(body: bytes) -> ShareCall:
    return decode_as(_call, body)


def decode_answer(body: bytes) -> Answer:
    return decode_as(_answer, body)


def map_value(value: Any) -> MapValue:
    """The map as it stands in the state service; ProtocolError if it is none."""
    try:
        return msgspec.convert(value, MapValue)
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"map of shares: {error}") from None
