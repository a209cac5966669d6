"""Operators' own settings, in protobuf text format.

The message is described here rather than in a generated module, so that the
defaults, the bounds and the field names stand in one place. protobuf is only
loaded when a file is given: it takes long to start on a small share of a core.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from appleshift.protocol.settings import SettingsError


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
    # Order among jobs.
    preempt: bool = True


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
}


def _message_class() -> Any:
    """Build the protobuf message from the fields above."""
    from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

    kinds = {
        "int": descriptor_pb2.FieldDescriptorProto.TYPE_INT64,
        "float": descriptor_pb2.FieldDescriptorProto.TYPE_DOUBLE,
        "bool": descriptor_pb2.FieldDescriptorProto.TYPE_BOOL,
    }
    file = descriptor_pb2.FileDescriptorProto(
        name="appleshift/operator.proto", package="appleshift", syntax="proto2"
    )
    message = file.message_type.add(name="OperatorSettings")
    for number, field in enumerate(fields(OperatorSettings), start=1):
        message.field.add(
            name=field.name,
            number=number,
            label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
            type=kinds[str(field.type)],
        )
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


def load_operator_settings(path: Path | None) -> OperatorSettings:
    """Read the operators' file; without one, the defaults hold."""
    if path is None:
        return OperatorSettings()
    from google.protobuf import text_format

    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    try:
        message = text_format.Parse(text, _message_class()())
    except text_format.ParseError as error:
        # The error's text starts with line and column.
        raise SettingsError(f"{path}:{error}") from None
    given = {descriptor.name: value for descriptor, value in message.ListFields()}
    settings = OperatorSettings(**given)
    lines = {
        line.split(":", 1)[0].strip(): number
        for number, line in enumerate(text.splitlines(), start=1)
    }
    try:
        _check(settings, lines)
    except ValueError as error:
        raise SettingsError(f"{path}:{error}") from None
    return settings
