"""Messages between controller nodes and the cloud's API.

``rename`` maps attributes to wire names.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as

FAILED = "failed"
"""State of a machine that stopped without a request; it is listed until it is deleted."""

MAX_MACHINES_PER_RENTAL = 50
"""Largest number of machines that one request may rent."""
MAX_MACHINES_PER_DELETION = 100
"""Largest number of machines that one request may delete."""
MACHINES_PER_PAGE = 500
"""Largest number of machines on one page of the machine list."""

NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]


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
    """A machine type that can be rented, with its current prices.

    ``price`` (on-demand) and ``spot_price`` are per hour, ``memory_gb`` and ``cache_gb`` are
    in gigabytes. ``boot_s`` is the usual time from the rental request until the machine is
    ready, in seconds. ``fetch_gb_per_s`` is the rate at which it fetches images, in gigabytes
    per second.
    """

    name: str
    cpus: NonNegative
    memory_gb: NonNegative
    price: NonNegative
    spot_price: NonNegative
    boot_s: NonNegative
    zones: list[str]
    gpus: NonNegative = 0.0
    cache_gb: NonNegative = 0.0
    fetch_gb_per_s: NonNegative = 0.0


class MachineTypesResponse(msgspec.Struct, frozen=True, rename={"types": "rig_kinds"}):
    """Response to a request for all machine types."""

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
    """A rented machine in the cloud's machine list."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    """Seconds from the rental request to the time whose state the list shows."""
    addr: str = ""
    """``host:port`` of the machine's worker; empty until the machine has an address."""


class MachineList(msgspec.Struct, frozen=True):
    """A decoded page of the machine list.

    ``more``: further pages follow. ``whole``: all rows of the page could be decoded.
    """

    machines: list[ListedMachine]
    more: bool
    whole: bool


class _RawMachineList(msgspec.Struct, frozen=True, rename={"rows": "rigs", "more": "truncated"}):
    """A page of the machine list whose rows are not decoded yet."""

    rows: list[msgspec.Raw]
    more: bool = False


class RentalResponse(msgspec.Struct, frozen=True, rename={"machines": "rigs"}):
    """Response to a rental request: the names of the new machines."""

    machines: list[str]


_types_decoder = msgspec.msgpack.Decoder(MachineTypesResponse)
_list_decoder = msgspec.msgpack.Decoder(_RawMachineList)
_row_decoder = msgspec.msgpack.Decoder(ListedMachine)
_rental_decoder = msgspec.msgpack.Decoder(RentalResponse)


def decode_machine_types(body: bytes) -> list[MachineType]:
    """Decode the machine types that can be rented; ProtocolError if malformed."""
    return decode_as(_types_decoder, body).types


def decode_machine_list(body: bytes) -> MachineList:
    """Decode a page of the machine list; ProtocolError if the page itself is malformed.

    Malformed rows are skipped, so that one of them does not hide hundreds of valid rows.
    """
    page = decode_as(_list_decoder, body)
    machines = []
    for row in page.rows:
        try:
            machines.append(decode_as(_row_decoder, bytes(row)))
        except ProtocolError:
            continue
    return MachineList(machines, page.more, len(machines) == len(page.rows))


def decode_rented_machines(body: bytes) -> list[str]:
    """Decode the names of the machines that were rented; ProtocolError if malformed."""
    return decode_as(_rental_decoder, body).machines


def rent_body(request: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Return the body of a rental request.

    ``request`` is an id that makes the rental idempotent: a repeated request rents nothing more.
    """
    return {
        "hire": request,
        "rig_kind": machine_type,
        "yard": zone,
        "loaners": spot,
        "count": count,
    }


def delete_body(machines: list[str]) -> dict[str, Any]:
    """Return the body of a request to delete machines."""
    return {"rigs": machines}


def list_path(after: str) -> str:
    """Return the path of the list page that starts after a machine name; ``""``: the first page."""
    query = f"after={after}&" if after else ""
    return f"/machines?{query}limit={MACHINES_PER_PAGE}"
