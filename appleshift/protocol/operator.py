"""Operators' own settings, in protobuf text format.

The message is described here rather than in a generated module, so that the
defaults, the bounds and the field names stand in one place. protobuf is only
loaded when a file is given: it takes long to start on a small share of a core.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from appleshift.protocol.settings import Settings, SettingsError

if TYPE_CHECKING:
    from appleshift.protocol.counted_resources import (
        CountedResourceDefinition,
        CountedResourceRules,
    )


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The policy's knobs. Durations are in seconds."""

    # The paper's plan.
    spare_groups: int = 1
    max_groups: int = 8
    floor_share: float = 0.0
    review_s: float = 10.0
    regroup_s: float = 1800.0
    evict_pause_s: float = 20.0
    # Renting and returning.
    idle_steady_s: float = 30.0
    idle_cards_s: float = 25.0
    idle_spot_s: float = 30.0
    headroom: float = 0.6
    warm_window_s: float = 240.0
    refusal_backoff_s: float = 15.0
    boot_patience: float = 2.5
    consolidate_spare: float = 1.5
    peak_window_s: float = 120.0
    # Leadership.
    leader_lease_s: float = 1.5
    renew_s: float = 0.4
    pledge_s: float = 4.0
    # Storage.
    write_share: float = 0.9
    snapshot_kb: int = 256
    # Machines.
    silent_s: float = 3.0
    sick_jobs: int = 2
    spread_reports: bool = True
    # Shares of the machines among the nodes; 0 leaves them as they are.
    shares: int = 0
    # Order among jobs.
    preempt: bool = True
    # Counted resources; see deploy/seats.textproto.
    seats: tuple[CountedResourceDefinition, ...] = ()
    seat_rules: CountedResourceRules | None = None


_BOUNDS: dict[str, tuple[float, float]] = {
    "spare_groups": (0, 16),
    "max_groups": (1, 64),
    "floor_share": (0.0, 1.0),
    "review_s": (0.5, 3600.0),
    "regroup_s": (1.0, 86400.0),
    "evict_pause_s": (0.0, 86400.0),
    "idle_steady_s": (0.0, 86400.0),
    "idle_spot_s": (0.0, 86400.0),
    "idle_cards_s": (0.0, 86400.0),
    "headroom": (0.0, 4.0),
    "warm_window_s": (1.0, 86400.0),
    "refusal_backoff_s": (0.1, 3600.0),
    "boot_patience": (1.5, 100.0),
    "consolidate_spare": (1.0, 1e6),
    "peak_window_s": (0.0, 86400.0),
    "leader_lease_s": (0.5, 60.0),
    "renew_s": (0.1, 30.0),
    "pledge_s": (1.0, 60.0),
    "write_share": (0.1, 1.0),
    "snapshot_kb": (16, 65536),
    "silent_s": (1.0, 600.0),
    "sick_jobs": (1, 100),
    "shares": (0, 64),
}


_NESTED = {"seats": "SeatDefinition", "seat_rules": "SeatRules"}
_TEAM, _SERVER, _DEFINITION, _RULES = "TeamSeats", "LicenceServer", "SeatDefinition", "SeatRules"
_SEAT_MESSAGES: dict[str, dict[str, str]] = {
    _TEAM: {"name": "str", "most": "int", "guarantee": "int"},
    _SERVER: {"address": "str", "ask_s": "float", "silent_s": "float", "on_silence": "Silence"},
    _DEFINITION: {
        "name": "str",
        "total": "int",
        "team": f"*{_TEAM}",
        "server": _SERVER,
        "when_lowered": "Lowered",
    },
    _RULES: {"off": "bool", "starve_s": "float", "history_pages": "int"},
}
_SEAT_ENUMS = {"Silence": ["BLOCK", "TRUST"], "Lowered": ["KEEP", "STOP"]}


def _add_seats(file: Any, kinds: dict[str, Any]) -> None:
    """The messages of counted resources, with the fields that Structs of
    ``protocol/counted_resources.py`` have."""
    from google.protobuf.descriptor_pb2 import FieldDescriptorProto as Field

    for name, values in _SEAT_ENUMS.items():
        enum = file.enum_type.add(name=name)
        for number, value in enumerate(values):
            enum.value.add(name=value, number=number)
    for name, parts in _SEAT_MESSAGES.items():
        message = file.message_type.add(name=name)
        for number, (part, kind) in enumerate(parts.items(), start=1):
            field = message.field.add(name=part, number=number)
            field.label = Field.LABEL_REPEATED if kind[0] == "*" else Field.LABEL_OPTIONAL
            kind = kind.lstrip("*")
            if kind in kinds:
                field.type = kinds[kind]
            else:
                field.type = Field.TYPE_ENUM if kind in _SEAT_ENUMS else Field.TYPE_MESSAGE
                field.type_name = f".appleshift.{kind}"


def _message_class() -> Any:
    """Build the protobuf message from the fields above."""
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    kinds = {
        "int": descriptor_pb2.FieldDescriptorProto.TYPE_INT64,
        "float": descriptor_pb2.FieldDescriptorProto.TYPE_DOUBLE,
        "bool": descriptor_pb2.FieldDescriptorProto.TYPE_BOOL,
        "str": descriptor_pb2.FieldDescriptorProto.TYPE_STRING,
    }
    file = descriptor_pb2.FileDescriptorProto(
        name="appleshift/operator.proto", package="appleshift", syntax="proto2"
    )
    _add_seats(file, kinds)
    message = file.message_type.add(name="OperatorSettings")
    for number, field in enumerate(fields(OperatorSettings), start=1):
        made = message.field.add(
            name=field.name,
            number=number,
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        )
        if field.name in _NESTED:
            made.type = made.TYPE_MESSAGE
            made.type_name = f".appleshift.{_NESTED[field.name]}"
            if field.name == "seats":
                made.label = made.LABEL_REPEATED
        else:
            made.type = kinds[str(field.type)]
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(
        pool.FindMessageTypeByName("appleshift.OperatorSettings")
    )


def _check(settings: OperatorSettings, lines: dict[str, int]) -> None:
    def refuse(name: str, reason: str) -> None:
        raise ValueError(f"{lines.get(name, 1)}: {name}: {reason}")

    for name, (low, high) in _BOUNDS.items():
        value = getattr(settings, name)
        if not math.isfinite(value) or not low <= value <= high:
            refuse(name, f"must lie between {low} and {high}, not {value}")
    if settings.max_groups <= settings.spare_groups:
        refuse("max_groups", "must be above spare_groups")
    if settings.renew_s * 2 > settings.leader_lease_s:
        refuse("renew_s", "must be at most half of leader_lease_s")
    if settings.pledge_s <= settings.leader_lease_s:
        refuse("pledge_s", "must be above leader_lease_s")


def load_operator_settings(
    paths: Path | Sequence[Path] | None, platform: Settings | None = None
) -> OperatorSettings:
    """Read the operators' files, one after the other; without one, the defaults hold.

    With the platform's settings, what refers to them is checked, too. Raises
    SettingsError with file, line and reason.
    """
    files = [paths] if isinstance(paths, Path) else list(paths or ())
    if not files:
        return OperatorSettings()
    from google.protobuf import text_format

    kind = _message_class()
    message = kind()
    where: dict[str, tuple[Path, int]] = {}
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: {error}") from None
        try:
            # Each file by itself: a field given twice in one is a mistake, a
            # later file's word on it is not.
            message.MergeFrom(text_format.Parse(text, kind()))
        except text_format.ParseError as error:
            # The error's text starts with line and column.
            raise SettingsError(f"{path}:{error}") from None
        for number, line in enumerate(text.splitlines(), start=1):
            where[line.split(":", 1)[0].strip()] = (path, number)
            for quoted in line.split('"')[1::2]:
                where[f'"{quoted}"'] = (path, number)
    given = {descriptor.name: value for descriptor, value in message.ListFields()}
    seats, rules = given.pop("seats", ()), given.pop("seat_rules", None)
    settings = OperatorSettings(**given)
    try:
        _check(settings, {name: number for name, (_, number) in where.items()})
    except ValueError as error:
        name = str(error).split(": ")[1]
        raise SettingsError(f"{where.get(name, (files[-1], 1))[0]}:{error}") from None
    if seats or rules is not None:
        settings = _with_seats(settings, seats, rules, where, files[-1], platform)
    return settings


def _with_seats(
    settings: OperatorSettings,
    seats: Any,
    rules: Any,
    where: dict[str, tuple[Path, int]],
    last: Path,
    platform: Settings | None,
) -> OperatorSettings:
    """Counted resources, read with their own layout and checked."""
    import msgspec

    from appleshift.protocol import counted_resources as protocol

    def refuse(text: str, reason: str) -> SettingsError:
        path, line = where.get(f'"{text}"', where.get(text, (last, 1)))
        return SettingsError(f"{path}:{line}: {text}: {reason}")

    definitions = []
    for message in seats:
        try:
            definition = msgspec.convert(_plain(message), protocol.CountedResourceDefinition)
            protocol.check_definition(definition)
        except ValueError as error:
            raise refuse(message.name or "seats", str(error)) from None
        definitions.append(definition)
    try:
        told = msgspec.convert(
            _plain(rules) if rules is not None else {}, protocol.CountedResourceRules
        )
    except ValueError as error:
        raise refuse("seat_rules", str(error)) from None
    if platform is not None:
        deployment = platform.deployment
        wrong = protocol.check_definitions(
            tuple(definitions), deployment.teams, int(deployment.state.value_kb * 1024)
        )
        if wrong is not None:
            raise refuse(*wrong)
    return replace(settings, seats=tuple(definitions), seat_rules=told)


def _plain(message: Any) -> dict[str, Any]:
    """A message's given fields by name; enums by theirs."""
    found: dict[str, Any] = {}
    for field, value in message.ListFields():
        if field.name == "team":
            found["teams"] = [_plain(entry) for entry in value]
        elif field.message_type is not None:
            found[field.name] = _plain(value)
        elif field.enum_type is not None:
            found[field.name] = field.enum_type.values_by_number[value].name
        else:
            found[field.name] = value
    return found
