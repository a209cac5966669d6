"""Definitions of counted resources (such as licences), and the units that jobs request.

Operators define counted resources in the operator settings (``protocol/operator.py``). The
definitions are written to the write-ahead log, so that every leader counts by the same
definitions, whatever its own settings are.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec

from appleshift.protocol.settings import TeamLimits, split_address
from appleshift.protocol.wire import ProtocolError

MAX_RESOURCES = 64
"""Largest number of counted resources that may be defined."""
MAX_COUNT = 1_000_000
"""Largest total of a counted resource, in units."""
MAX_RESOURCES_PER_SUBMISSION = 16
"""Largest number of counted resources that one submission may request."""
_RECORD_OVERHEAD_BYTES = 400
"""Part of the stored value of a definition that is reserved for the record around it."""
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,39}", re.ASCII)

BLOCK, TRUST = "BLOCK", "TRUST"
"""Values of ``LicenseServer.on_silence``."""
KEEP, STOP = "KEEP", "STOP"
"""Values of ``CountedResourceDefinition.when_lowered``."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86400.0)]


class TeamAllotment(msgspec.Struct, frozen=True, omit_defaults=True):
    """A team's quota of one counted resource, in units; 0 means no limit or no guarantee."""

    name: str
    most: Count = 0
    guarantee: Count = 0


class LicenseServer(msgspec.Struct, frozen=True, omit_defaults=True):
    """An external server that grants licences to this cluster and to other clusters."""

    address: str
    ask_s: _Seconds = 5.0
    """Seconds between two heartbeats to the server; changes are sent sooner."""
    silent_s: _Seconds = 30.0
    """Seconds without an answer after which ``on_silence`` applies."""
    on_silence: Literal["BLOCK", "TRUST"] = "BLOCK"
    """BLOCK: grant no more licences. TRUST: keep granting within the last count received."""


class CountedResourceDefinition(msgspec.Struct, frozen=True, omit_defaults=True):
    """The definition of one counted resource."""

    name: str
    total: Count
    teams: tuple[TeamAllotment, ...] = ()
    server: LicenseServer | None = None
    when_lowered: Literal["KEEP", "STOP"] = KEEP  # type: ignore[assignment]
    """Whether tasks beyond a lowered total keep running (KEEP) or are stopped (STOP)."""


class CountedResourceRules(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rules that apply to all counted resources."""

    off: bool = False
    """Stop counting, whatever definitions the write-ahead log holds."""
    starve_s: _Seconds = 60.0
    """Seconds that a job waits before units that are released are reserved for it."""
    history_pages: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1000
    """Number of pages of the audit log that are kept in the key-value store."""


def check_definition(definition: CountedResourceDefinition) -> None:
    """Validate one definition on its own; ValueError with the reason if it is invalid."""
    if not _NAME_PATTERN.fullmatch(definition.name):
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
    """Validate all definitions together; ``value_bytes`` is the largest value of the store.

    Returns (name, reason) of the first error, where the name is that of a counted resource or
    a team; None if there is no error.
    """
    team_names = {team.name for team in teams}
    if len(definitions) > MAX_RESOURCES:
        return definitions[MAX_RESOURCES].name, f"more than {MAX_RESOURCES} resources"
    listed_teams = ", ".join(sorted(team_names)) or "none"
    resource_names = set()
    for definition in definitions:
        if definition.name in resource_names:
            return definition.name, "two resources have this name"
        resource_names.add(definition.name)
        for team in definition.teams:
            if team.name not in team_names:
                return team.name, f"no such team; there are: {listed_teams}"
        if len(msgspec.json.encode(definition)) > value_bytes - _RECORD_OVERHEAD_BYTES:
            return definition.name, "too long for one value of the key-value store"
    return None


def definition_to_record(definition: CountedResourceDefinition) -> dict[str, Any]:
    """Convert a definition to the form that is written to the write-ahead log."""
    record: dict[str, Any] = msgspec.to_builtins(definition)
    return record


def definition_from_record(record: Any) -> CountedResourceDefinition:
    """Convert a definition from the write-ahead log; msgspec.ValidationError if malformed."""
    return msgspec.convert(record, CountedResourceDefinition)


class _RequestedCounts(msgspec.Struct, frozen=True):
    seats: Annotated[
        dict[
            Annotated[str, msgspec.Meta(max_length=40)],
            Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)],
        ],
        msgspec.Meta(max_length=MAX_RESOURCES_PER_SUBMISSION),
    ]


def parse_requested_counts(field: Any) -> dict[str, int]:
    """Parse the ``seats`` field of a submission into counted resource -> units per task.

    ProtocolError 400 if it is malformed; an absent field gives an empty dict.
    """
    if field is None:
        return {}
    try:
        return msgspec.convert({"seats": field}, _RequestedCounts).seats
    except msgspec.ValidationError as error:
        raise ProtocolError(400, f"seats: {error}", _RequestedCounts) from error
