"""Messages between controller nodes and the cloud."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from appleshift.protocol.wire import ProtocolError, decode_as

FAILED = "failed"

MAX_RENT = 50
MAX_DELETE = 100
MAX_LIST = 500

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
    """What can be rented, and at which price an hour right now."""

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


class TypeList(msgspec.Struct, frozen=True, rename={"types": "rig_kinds"}):
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
    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str = ""


class MachineList(msgspec.Struct, frozen=True):
    """A page of the list; ``whole``: every row could be read."""

    machines: list[ListedMachine]
    more: bool
    whole: bool


class _RawList(msgspec.Struct, frozen=True, rename={"rows": "rigs", "more": "truncated"}):
    rows: list[msgspec.Raw]
    more: bool = False


class Rented(msgspec.Struct, frozen=True, rename={"machines": "rigs"}):
    machines: list[str]


_types = msgspec.msgpack.Decoder(TypeList)
_list = msgspec.msgpack.Decoder(_RawList)
_row = msgspec.msgpack.Decoder(ListedMachine)
_rented = msgspec.msgpack.Decoder(Rented)


def decode_types(body: bytes) -> list[MachineType]:
    return decode_as(_types, body).types


def decode_list(body: bytes) -> MachineList:
    """Read a page row by row: one that is junk must not hide hundreds of others."""
    page = decode_as(_list, body)
    machines = []
    for row in page.rows:
        try:
            machines.append(decode_as(_row, bytes(row)))
        except ProtocolError:
            continue
    return MachineList(machines, page.more, len(machines) == len(page.rows))


def decode_rented(body: bytes) -> list[str]:
    return decode_as(_rented, body).machines


def rent_body(request: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {
        "hire": request,
        "rig_kind": machine_type,
        "yard": zone,
        "loaners": spot,
        "count": count,
    }


def delete_body(machines: list[str]) -> dict[str, Any]:
    return {"rigs": machines}


def list_path(after: str) -> str:
    query = f"after={after}&" if after else ""
    return f"/machines?{query}limit={MAX_LIST}"
