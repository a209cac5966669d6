"""The operator settings: files in protobuf text format that operators write.

The protobuf message is defined here rather than in a generated module, so that defaults, bounds
and field names are in one place. protobuf is imported only if there is a file to read, since
the import is slow on a small fraction of a core.
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

_Location = tuple[Path, int]
"""A file and the number of a line in it, starting at 1."""


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The operator settings; fields whose names end in ``_s`` are in seconds.

    The fields have the names that the files use; ``deploy/operator.textproto`` describes them.
    """

    # Capacity plan.
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
    # Number of shards; 0 keeps the current shard map.
    shares: int = 0
    # Priority order of jobs.
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
"""Smallest and largest value of each numeric setting."""

_MESSAGE_FIELDS = {"seats": "SeatDefinition", "seat_rules": "SeatRules"}
"""Message types of the settings that are protobuf messages themselves."""
_TEAM_MESSAGE, _SERVER_MESSAGE, _DEFINITION_MESSAGE, _RULES_MESSAGE = (
    "TeamSeats",
    "LicenceServer",
    "SeatDefinition",
    "SeatRules",
)
_COUNTED_RESOURCE_MESSAGES: dict[str, dict[str, str]] = {
    _TEAM_MESSAGE: {"name": "str", "most": "int", "guarantee": "int"},
    _SERVER_MESSAGE: {
        "address": "str",
        "ask_s": "float",
        "silent_s": "float",
        "on_silence": "Silence",
    },
    _DEFINITION_MESSAGE: {
        "name": "str",
        "total": "int",
        "team": f"*{_TEAM_MESSAGE}",
        "server": _SERVER_MESSAGE,
        "when_lowered": "Lowered",
    },
    _RULES_MESSAGE: {"off": "bool", "starve_s": "float", "history_pages": "int"},
}
"""Message type -> field -> type of the field; ``*`` marks a repeated field."""
_COUNTED_RESOURCE_ENUMS = {"Silence": ["BLOCK", "TRUST"], "Lowered": ["KEEP", "STOP"]}


def _add_counted_resources(file: Any, scalar_types: dict[str, Any]) -> None:
    """Add the messages of counted resources to a protobuf file descriptor.

    Their fields are those of the structs in ``protocol/counted_resources.py``.
    """
    from google.protobuf.descriptor_pb2 import FieldDescriptorProto as Field

    for name, values in _COUNTED_RESOURCE_ENUMS.items():
        enum = file.enum_type.add(name=name)
        for number, value in enumerate(values):
            enum.value.add(name=value, number=number)
    for name, fields_of_message in _COUNTED_RESOURCE_MESSAGES.items():
        message = file.message_type.add(name=name)
        for number, (field_name, type_name) in enumerate(fields_of_message.items(), start=1):
            field = message.field.add(name=field_name, number=number)
            field.label = Field.LABEL_REPEATED if type_name[0] == "*" else Field.LABEL_OPTIONAL
            type_name = type_name.lstrip("*")
            if type_name in scalar_types:
                field.type = scalar_types[type_name]
            else:
                field.type = (
                    Field.TYPE_ENUM if type_name in _COUNTED_RESOURCE_ENUMS else Field.TYPE_MESSAGE
                )
                field.type_name = f".appleshift.{type_name}"


def _message_class() -> Any:
    """Build the protobuf message class of ``OperatorSettings``."""
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
        message_field = message.field.add(
            name=field.name,
            number=number,
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        )
        if field.name in _MESSAGE_FIELDS:
            message_field.type = message_field.TYPE_MESSAGE
            message_field.type_name = f".appleshift.{_MESSAGE_FIELDS[field.name]}"
            if field.name == "seats":
                message_field.label = message_field.LABEL_REPEATED
        else:
            message_field.type = scalar_types[str(field.type)]
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(
        pool.FindMessageTypeByName("appleshift.OperatorSettings")
    )


class _FieldError(ValueError):
    """A setting has an invalid value."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class _Locations:
    """The last location of each field and of each quoted string in the operators' files."""

    def __init__(self, last_file: Path) -> None:
        self._locations: dict[str, _Location] = {}
        self._default_location: _Location = (last_file, 1)

    def add(self, path: Path, text: str) -> None:
        """Record the locations of all fields and quoted strings of a file."""
        for number, line in enumerate(text.splitlines(), start=1):
            self._locations[line.split(":", 1)[0].strip()] = (path, number)
            for quoted in line.split('"')[1::2]:
                self._locations[f'"{quoted}"'] = (path, number)

    def error(self, field: str, reason: str) -> SettingsError:
        """Return the error for an invalid value of a field, with the field's location."""
        return _error_at(self._locations.get(field, self._default_location), field, reason)

    def error_at_text(self, text: str, reason: str) -> SettingsError:
        """Return the error for a quoted string or, if ``text`` is not quoted anywhere, a field."""
        location = self._locations.get(
            f'"{text}"', self._locations.get(text, self._default_location)
        )
        return _error_at(location, text, reason)


def _error_at(location: _Location, field: str, reason: str) -> SettingsError:
    path, line = location
    return SettingsError(f"{path}:{line}: {field}: {reason}", path, line, field)


def _check(settings: OperatorSettings) -> None:
    """Raise _FieldError for the first setting that has an invalid value."""
    for name, (low, high) in _BOUNDS.items():
        value = getattr(settings, name)
        if not math.isfinite(value) or not low <= value <= high:
            raise _FieldError(name, f"must be between {low} and {high}, not {value}")
    if settings.max_groups <= settings.spare_groups:
        raise _FieldError("max_groups", "must be above spare_groups")
    if settings.renew_s * 2 > settings.leader_lease_s:
        raise _FieldError("renew_s", "must be at most half of leader_lease_s")
    if settings.pledge_s <= settings.leader_lease_s:
        raise _FieldError("pledge_s", "must be above leader_lease_s")


def load_operator_settings(
    paths: Path | Sequence[Path] | None, node_settings: Settings | None = None
) -> OperatorSettings:
    """Read the operator settings; later files override earlier ones, no file gives the defaults.

    If ``node_settings`` is given, references to teams and the size of stored values are
    checked against it. Raises SettingsError with file, line and reason.
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
    """Parse all files into one message; SettingsError for a file that cannot be parsed."""
    from google.protobuf import text_format

    message_class = _message_class()
    message = message_class()
    for path in files:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path}: {error}", path) from error
        try:
            # Each file is parsed separately: a field that is set twice in one file is an error,
            # but a later file may override a field of an earlier one.
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
    """Convert and validate counted resources and their rules, and add them to the settings."""
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
    """Convert the fields of a message that are set to a dict; enum values become their names."""
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
