"""Operators' own settings, in protobuf text format.

The message is described here rather than in a generated module, so that the defaults, the
bounds and the field names stand in one place. protobuf is only imported when a file is given:
that takes long on a small fraction of a core.
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

_Place = tuple[Path, int]
"""A file and a line in it, from 1."""


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The operators' settings. Names that end in ``_s`` are seconds.

    ``deploy/operator.textproto`` describes each field; names are those of the files.
    """

    # The fleet plan.
    spare_groups: int = 1
    max_groups: int = 8
    floor_share: float = 0.0
    review_s: float = 10.0
    regroup_s: float = 1800.0
    evict_pause_s: float = 20.0
    # Scaling out and in.
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
    # Number of shards; 0 leaves the shard map as it is.
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
"""Least and largest value of each numeric setting."""

_NESTED = {"seats": "SeatDefinition", "seat_rules": "SeatRules"}
"""Settings that are messages themselves, with their types."""
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
"""Types of the messages' fields by name; ``*`` marks repeated ones."""
_SEAT_ENUMS = {"Silence": ["BLOCK", "TRUST"], "Lowered": ["KEEP", "STOP"]}


def _add_counted_resources(file: Any, scalar_types: dict[str, Any]) -> None:
    """Add the messages of counted resources, with the fields that the structs of
    ``protocol/counted_resources.py`` have."""
    from google.protobuf.descriptor_pb2 import FieldDescriptorProto as Field

    for name, values in _SEAT_ENUMS.items():
        enum = file.enum_type.add(name=name)
        for number, value in enumerate(values):
            enum.value.add(name=value, number=number)
    for name, fields_of_message in _SEAT_MESSAGES.items():
        message = file.message_type.add(name=name)
        for number, (field_name, type_name) in enumerate(fields_of_message.items(), start=1):
            field = message.field.add(name=field_name, number=number)
            field.label = Field.LABEL_REPEATED if type_name[0] == "*" else Field.LABEL_OPTIONAL
            type_name = type_name.lstrip("*")
            if type_name in scalar_types:
                field.type = scalar_types[type_name]
            else:
                field.type = Field.TYPE_ENUM if type_name in _SEAT_ENUMS else Field.TYPE_MESSAGE
                field.type_name = f".appleshift.{type_name}"


def _message_class() -> Any:
    """Build the protobuf message class from the fields above."""
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    scalar_types = {
        "int": descriptor_pb2.FieldDescriptorProto.TYPE_INT64,
        "float": descriptor_pb2.FieldDescriptorProto.TYPE_DOUBLE,
        "bool": descriptor_pb2.FieldDescriptorProto.TYPE_BOOL,
        "str": descriptor_pb2.FieldDescriptorProto.TYPE_STRING,
    }
    file = descriptor_pb2.FileDescriptorProto(
        name="appleshift/operator.proto", package="appleshift", syntax="proto2"
    )
    _add_counted_resources(file, scalar_types)
    message = file.message_type.add(name="OperatorSettings")
    for number, field in enumerate(fields(OperatorSettings), start=1):
        described = message.field.add(
            name=field.name,
            number=number,
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        )
        if field.name in _NESTED:
            described.type = described.TYPE_MESSAGE
            described.type_name = f".appleshift.{_NESTED[field.name]}"
            if field.name == "seats":
                described.label = described.LABEL_REPEATED
        else:
            described.type = scalar_types[str(field.type)]
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(
        pool.FindMessageTypeByName("appleshift.OperatorSettings")
    )


class _FieldError(ValueError):
    """A setting has a value that cannot be used."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class _Locations:
    """Where fields and quoted texts stand in the operators' files; later ones replace earlier."""

    def __init__(self, last_file: Path) -> None:
        self._places: dict[str, _Place] = {}
        self._default: _Place = (last_file, 1)

    def add(self, path: Path, text: str) -> None:
        """Take in the lines of a file."""
        for number, line in enumerate(text.splitlines(), start=1):
            self._places[line.split(":", 1)[0].strip()] = (path, number)
            for quoted in line.split('"')[1::2]:
                self._places[f'"{quoted}"'] = (path, number)

    def error(self, field: str, reason: str) -> SettingsError:
        """Refuse the value of a field."""
        return _error_at(self._places.get(field, self._default), field, reason)

    def error_at_text(self, text: str, reason: str) -> SettingsError:
        """Refuse a text, quoted in the files or else the name of a field."""
        place = self._places.get(f'"{text}"', self._places.get(text, self._default))
        return _error_at(place, text, reason)


def _error_at(place: _Place, field: str, reason: str) -> SettingsError:
    path, line = place
    return SettingsError(f"{path}:{line}: {field}: {reason}", path, line, field)


def _check(settings: OperatorSettings) -> None:
    """_FieldError for the first value that cannot be used."""
    for name, (low, high) in _BOUNDS.items():
        value = getattr(settings, name)
        if not math.isfinite(value) or not low <= value <= high:
            raise _FieldError(name, f"must lie between {low} and {high}, not {value}")
    if settings.max_groups <= settings.spare_groups:
        raise _FieldError("max_groups", "must be above spare_groups")
    if settings.renew_s * 2 > settings.leader_lease_s:
        raise _FieldError("renew_s", "must be at most half of leader_lease_s")
    if settings.pledge_s <= settings.leader_lease_s:
        raise _FieldError("pledge_s", "must be above leader_lease_s")


def load_operator_settings(
    paths: Path | Sequence[Path] | None, node_settings: Settings | None = None
) -> OperatorSettings:
    """Read the operators' files, one after the other; without one, the defaults hold.

    With the node's settings, what refers to them is checked, too. Raises
    SettingsError with file, line and reason.
    """
    files = [paths] if isinstance(paths, Path) else list(paths or ())
    if not files:
        return OperatorSettings()
    locations = _Locations(files[-1])
    message = _read_files(files, locations)
    values = {descriptor.name: value for descriptor, value in message.ListFields()}
    definitions, rules = values.pop("seats", ()), values.pop("seat_rules", None)
    settings = OperatorSettings(**values)
    try:
        _check(settings)
    except _FieldError as error:
        raise locations.error(error.field, error.reason) from error
    if definitions or rules is not None:
        settings = _with_counted_resources(settings, definitions, rules, locations, node_settings)
    return settings


def _read_files(files: Sequence[Path], locations: _Locations) -> Any:
    """Parse the files into one message; SettingsError for one that cannot be parsed."""
    from google.protobuf import text_format

    message_class = _message_class()
    message = message_class()
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: {error}", path) from error
        try:
            # Each file by itself: a field that is given twice in one file is a mistake, a
            # later file that overrides it is not.
            message.MergeFrom(text_format.Parse(text, message_class()))
        except text_format.ParseError as error:
            # The error's text starts with line and column.
            raise SettingsError(f"{path}:{error}", path, error.GetLine()) from error
        locations.add(path, text)
    return message


def _with_counted_resources(
    settings: OperatorSettings,
    definition_messages: Any,
    rules_message: Any,
    locations: _Locations,
    node_settings: Settings | None,
) -> OperatorSettings:
    """Add counted resources and their rules, converted to structs and checked."""
    import msgspec

    from appleshift.protocol import counted_resources as protocol

    definitions = []
    for message in definition_messages:
        try:
            definition = msgspec.convert(_to_dict(message), protocol.CountedResourceDefinition)
            protocol.check_definition(definition)
        except ValueError as error:
            raise locations.error_at_text(message.name or "seats", str(error)) from error
        definitions.append(definition)
    try:
        rules = msgspec.convert(
            _to_dict(rules_message) if rules_message is not None else {},
            protocol.CountedResourceRules,
        )
    except ValueError as error:
        raise locations.error_at_text("seat_rules", str(error)) from error
    if node_settings is not None:
        deployment = node_settings.deployment
        refusal = protocol.check_definitions(
            tuple(definitions), deployment.teams, int(deployment.state.value_kb * 1024)
        )
        if refusal is not None:
            raise locations.error_at_text(*refusal)
    return replace(settings, seats=tuple(definitions), seat_rules=rules)


def _to_dict(message: Any) -> dict[str, Any]:
    """Convert the fields of a message that are set, by name; enum values by theirs."""
    values: dict[str, Any] = {}
    for field, value in message.ListFields():
        if field.name == "team":
            values["teams"] = [_to_dict(entry) for entry in value]
        elif field.message_type is not None:
            values[field.name] = _to_dict(value)
        elif field.enum_type is not None:
            values[field.name] = field.enum_type.values_by_number[value].name
        else:
            values[field.name] = value
    return values
