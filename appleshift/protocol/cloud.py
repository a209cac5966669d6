"""Messages between controller nodes and the cloud's API. ``rename`` maps to wire names."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as

FAILED = "failed"
"""State of a machine that stopped on its own; it stays listed until it is deleted."""

MAX_MACHINES_PER_RENTAL = 50
"""Most machines that one request may rent."""
MAX_MACHINES_PER_DELETION = 100
"""Most machines that one request may delete."""
MACHINES_PER_PAGE = 500
"""Most machines on one page of the list."""

Positive = Annotated[float, msgspec.Meta(ge=0.0)]


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "label",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "ram_gb",
        "fetch_gb_per_s": "pull_gb_per_s",
        "spot_price": "low_price",
        "boot_s": "ready_s",
        "zones": "yards",
    },
):
    """A type of machine that can be rented, with its prices at present.

    Prices are per hour, ``memory_gb`` and ``cache_gb`` in gigabytes, ``boot_s`` in seconds
    from the request until it usually works; ``fetch_gb_per_s`` is the rate
    at which it fetches images.
    """

    name: str
    cpus: Positive
    memory_gb: Positive
    price: Positive
    spot_price: Positive
    boot_s: Positive
    zones: list[str]
    gpus: Positive = 0.0
    cache_gb: Positive = 0.0
    fetch_gb_per_s: Positive = 0.0


class MachineTypesResponse(msgspec.Struct, frozen=True, rename={"types": "rig_kinds"}):
    """Answer to a request for all types."""

    types: list[MachineType]


class ListedMachine(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "name_id",
        "type": "rig_kind",
        "zone": "yard",
        "spot": "loaners",
        "state": "status",
    },
):
    """A machine on the cloud's list."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    """Seconds since the request to rent it, as of the time that the list describes."""
    addr: str = ""
    """``host:port`` of its worker; empty while it has none."""


class MachineList(msgspec.Struct, frozen=True):
    """A page of the list. ``more``: others follow; ``whole``: every row could be decoded."""

    machines: list[ListedMachine]
    more: bool
    whole: bool


class _RawList(msgspec.Struct, frozen=True, rename={"rows": "rigs", "more": "truncated"}):
    rows: list[msgspec.Raw]
    more: bool = False


class RentalResponse(msgspec.Struct, frozen=True, rename={"machines": "rigs"}):
    """Answer to a request to rent: names of the new machines."""

    machines: list[str]


_types = msgspec.msgpack.Decoder(MachineTypesResponse)
_list = msgspec.msgpack.Decoder(_RawList)
_row = msgspec.msgpack.Decoder(ListedMachine)
_rented = msgspec.msgpack.Decoder(RentalResponse)


def decode_machine_types(body: bytes) -> list[MachineType]:
    """Decode the types that can be rented; ProtocolError if malformed."""
    return decode_as(_types, body).types


def decode_machine_list(body: bytes) -> MachineList:
    """Decode a page of the list; ProtocolError if it is malformed as a whole.

    Row by row: one that is malformed must not hide hundreds of others.
    """
    page = decode_as(_list, body)
    machines = []
    for row in page.rows:
        try:
            machines.append(decode_as(_row, bytes(row)))
        except ProtocolError:
            continue
    return MachineList(machines, page.more, len(machines) == len(page.rows))


def decode_rented_machines(body: bytes) -> list[str]:
    """Decode the names of machines that were rented; ProtocolError if malformed."""
    return decode_as(_rented, body).machines


def rent_body(request: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Body of a request to rent; ``request`` identifies it, so that a repetition rents once."""
    return {
        "hire": request,
        "rig_kind": machine_type,
        "yard": zone,
        "loaners": spot,
        "count": count,
    }


def delete_body(machines: list[str]) -> dict[str, Any]:
    """Body of a request to delete machines."""
    return {"rigs": machines}


def list_path(after: str) -> str:
    """Path of the page that follows a machine's name; of the first one after ``""``."""
    query = f"after={after}&" if after else ""
    return f"/machines?{query}limit={MACHINES_PER_PAGE}"
