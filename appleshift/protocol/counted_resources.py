"""Counted resources as operators define them and as users ask for them.

The definitions stand in the operators' file (``protocol/operator.py``) and are
written to the log, so that every leader counts alike whatever file it has.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from appleshift.protocol.settings import TeamLimits, split_address
from appleshift.protocol.wire import ProtocolError

MAX_RESOURCES = 64
MAX_COUNT = 1_000_000
MAX_ASKED = 16
"""Most resources that one submission may name."""
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,39}", re.ASCII)

BLOCK, TRUST = "BLOCK", "TRUST"
KEEP, STOP = "KEEP", "STOP"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86400.0)]


class TeamAllotment(msgspec.Struct, frozen=True, omit_defaults=True):
    """A team's share of one resource; 0 means none, as for CPUs."""

    name: str
    most: Count = 0
    guarantee: Count = 0


class LicenseServer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who hands the seats out in the end, and whom others ask as well."""

    address: str
    ask_s: _Seconds = 5.0
    """Seconds between two looks at it; what changes is told sooner."""
    silent_s: _Seconds = 30.0
    """After so many seconds without an answer nothing new is granted."""
    on_silence: Literal["BLOCK", "TRUST"] = "BLOCK"
    """TRUST grants on within the last known figure instead."""


class CountedResourceDefinition(msgspec.Struct, frozen=True, omit_defaults=True):
    """One counted resource."""

    name: str
    total: Count
    teams: tuple[TeamAllotment, ...] = ()
    server: LicenseServer | None = None
    when_lowered: Literal["KEEP", "STOP"] = KEEP  # type: ignore[assignment]
    """What becomes of work beyond a total that was lowered."""


class CountedResourceRules(msgspec.Struct, frozen=True, omit_defaults=True):
    """What holds for all counted resources. Durations are in seconds."""

    off: bool = False
    """Count nothing any more, whatever the log says."""
    starve_s: _Seconds = 60.0
    """Work that lacked seats for so long has those kept that fall free."""
    history_pages: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1000
    """Pages of the audit that are kept in the state service."""


def check_definition(definition: CountedResourceDefinition) -> None:
    """ValueError says what of a single definition cannot be used."""
    if not _NAME.fullmatch(definition.name):
        raise ValueError("a name is 1 to 40 of a-z, 0-9, '.', '_' and '-'")
    if definition.server is not None:
        split_address(definition.server.address)
        if definition.server.ask_s * 2 > definition.server.silent_s:
            raise ValueError("ask_s must be at most half of silent_s")
    if len({team.name for team in definition.teams}) != len(definition.teams):
        raise ValueError("two entries for one team")
    for team in definition.teams:
        if team.most and team.guarantee > team.most:
            raise ValueError(f"team {team.name}: guarantee above most")
        if max(team.most, team.guarantee) > definition.total:
            raise ValueError(f"team {team.name}: more than the total of {definition.total}")
    if sum(team.guarantee for team in definition.teams) > definition.total:
        raise ValueError(f"guarantees add up to more than the total of {definition.total}")


def check_definitions(
    definitions: tuple[CountedResourceDefinition, ...], teams: list[TeamLimits], value_bytes: int
) -> tuple[str, str] | None:
    """What does not go with the platform's settings, as (the text at fault, reason)."""
    known = {team.name for team in teams}
    if len(definitions) > MAX_RESOURCES:
        return definitions[MAX_RESOURCES].name, f"more than {MAX_RESOURCES} resources"
    seen = set()
    for definition in definitions:
        if definition.name in seen:
            return definition.name, "two resources have this name"
        seen.add(definition.name)
        for team in definition.teams:
            if team.name not in known:
                return team.name, f"no such team; there are: {', '.join(sorted(known)) or 'none'}"
        if len(msgspec.json.encode(definition)) > value_bytes - 400:
            return definition.name, "too long for one value of the state service"
    return None


def to_record(definition: CountedResourceDefinition) -> dict[str, Any]:
    """A definition as it stands in the log."""
    record: dict[str, Any] = msgspec.to_builtins(definition)
    return record


def from_record(record: Any) -> CountedResourceDefinition:
    return msgspec.convert(record, CountedResourceDefinition)


class _Asked(msgspec.Struct, frozen=True):
    seats: Annotated[
        dict[
            Annotated[str, msgspec.Meta(max_length=40)],
            Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)],
        ],
        msgspec.Meta(max_length=MAX_ASKED),
    ]


def requested_counts(field: Any) -> dict[str, int]:
    """The ``seats`` field of a submission, or ProtocolError 400."""
    if field is None:
        return {}
    try:
        return msgspec.convert({"seats": field}, _Asked).seats
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"seats: {error}") from None
