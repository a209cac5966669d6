"""Returns the public surface of the current code as plain data.

The only module used by ``tests/test_public_surface.py`` that contains identifiers of the
appleshift package.
"""

from __future__ import annotations

import argparse
import dataclasses
import logging
import re
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, get_args, get_origin
from urllib.parse import parse_qs, urlsplit

import msgspec

from appleshift import cli
from appleshift.node import Node
from appleshift.protocol import counted_resources, operator
from appleshift.protocol.counted_resources import CountedResourceDefinition, LicenseServer
from appleshift.protocol.operator import OperatorSettings, load_operator_settings
from appleshift.protocol.settings import Settings, SettingsError, load_settings
from appleshift.protocol.wire import decode, encode
from appleshift.transport.http_messages import Request
from tests.support.deployments import SMALL
from tests.support.license_server import FakeLicenseServer
from tests.support.simulated_world import LICENCES, World

# -- node settings ------------------------------------------------------------


def settings_lines() -> list[str]:
    """Each field of the node settings file: path, type and default."""
    return list(_field_lines(Settings, ""))


def _field_lines(struct: type[msgspec.Struct], path: str) -> Iterator[str]:
    for field in msgspec.structs.fields(struct):
        name = f"{path}{field.encode_name}"
        inner, repeated = field.type, ""
        if get_origin(inner) is list:
            inner, repeated = get_args(inner)[0], "[]"
        nested = isinstance(inner, type) and issubclass(inner, msgspec.Struct)
        kind = "table" if nested else getattr(inner, "__name__", str(inner))
        yield f"{name}{repeated}: {kind}{_default_text(field)}"
        if nested:
            yield from _field_lines(inner, f"{name}{repeated}.")


def _default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return ""
    if field.default_factory is not msgspec.NODEFAULT:
        return f" = {msgspec.to_builtins(field.default_factory())!r}"
    return f" = {msgspec.to_builtins(field.default)!r}"


def read_settings(path: Path) -> Any:
    """The loaded node settings, under the field names of the file."""
    return msgspec.to_builtins(load_settings(path))


# -- operator settings ---------------------------------------------------------------


def operator_lines() -> list[str]:
    """Each field of the operator settings files: path, type, default and bounds."""
    return list(_message_lines(operator._message_class().DESCRIPTOR, "", _operator_defaults()))


def _operator_defaults() -> dict[str, Any]:
    """Default values by field path; a field without one is required or defaults to empty."""
    found = {field.name: field.default for field in dataclasses.fields(OperatorSettings)}
    structs: dict[str, type[msgspec.Struct]] = {
        "seats[].": counted_resources.CountedResourceDefinition,
        "seats[].team[].": counted_resources.TeamAllotment,
        "seats[].server.": counted_resources.LicenseServer,
        "seat_rules.": counted_resources.CountedResourceRules,
    }
    for path, struct in structs.items():
        for field in msgspec.structs.fields(struct):
            if not field.required:
                found[f"{path}{field.encode_name}"] = field.default
    return found


def _message_lines(descriptor: Any, path: str, defaults: dict[str, Any]) -> Iterator[str]:
    for field in descriptor.fields:
        name = f"{path}{field.name}{'[]' if field.is_repeated else ''}"
        if field.message_type is not None:
            yield f"{name}: message"
            yield from _message_lines(field.message_type, f"{name}.", defaults)
            continue
        yield f"{name}: {_kind_text(field)}{_value_text(name, defaults)}{_bounds_text(name)}"


def _kind_text(field: Any) -> str:
    if field.enum_type is not None:
        return " | ".join(value.name for value in field.enum_type.values)
    kinds = {field.TYPE_INT64: "int", field.TYPE_DOUBLE: "float", field.TYPE_BOOL: "bool"}
    return kinds.get(field.type, "string")


def _value_text(name: str, defaults: dict[str, Any]) -> str:
    return f" = {defaults[name]}" if name in defaults else ""


def _bounds_text(name: str) -> str:
    if name not in operator._BOUNDS:
        return ""
    low, high = operator._BOUNDS[name]
    return f", {low} to {high}"


def operator_refusal(path: Path) -> str | None:
    """Reason why an operator settings file is refused, or None if it is accepted."""
    try:
        load_operator_settings(path)
    except SettingsError as error:
        return str(error)
    return None


def differs_from_defaults(paths: Sequence[Path]) -> list[str]:
    """Names of the operator settings whose value in these files differs from the default."""
    found, default = load_operator_settings(paths), OperatorSettings()
    return [
        field.name
        for field in dataclasses.fields(OperatorSettings)
        if getattr(found, field.name) != getattr(default, field.name)
    ]


# -- the command line ------------------------------------------------------------------------


def command_lines() -> list[str]:
    """Commands with their options and arguments, in the order of the help text."""
    return list(_parser_lines(cli._parser(), "appleshift"))


def _parser_lines(parser: argparse.ArgumentParser, path: str) -> Iterator[str]:
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            yield f"{path}: {action.metavar} of {', '.join(action.choices)}"
            for name, inner in action.choices.items():
                yield from _parser_lines(inner, f"{path} {name}")
            continue
        shown = " ".join(action.option_strings) or f"<{action.metavar or action.dest}>"
        value = f" {action.metavar}" if action.option_strings and action.metavar else ""
        count = f" ({action.nargs})" if action.nargs not in (None, 0) else ""
        again = " (repeatable)" if isinstance(action, argparse._AppendAction) else ""
        yield f"{path}: {shown}{value}{count}{again}"


def log_levels() -> dict[str, str]:
    """Valid values of LOG_LEVEL and the corresponding Python logging levels."""
    return {name: logging.getLevelName(level) for name, level in cli.LOG_LEVELS.items()}


def run_command(arguments: list[str]) -> int:
    """Exit code of a command, whether it returns or raises SystemExit."""
    try:
        return cli.main(arguments)
    except SystemExit as exit_request:
        return int(exit_request.code or 0)


# -- HTTP ----------------------------------------------------------------------------------------


class IdleNode:
    """A node that was never started and therefore has no known leader."""

    def __init__(self) -> None:
        self._node = Node(SMALL.settings_for("n0"), OperatorSettings())

    def answer(self, listener: str, method: str, path: str, body: Any) -> Any:
        """Status, body and headers of the response to a request."""
        router = self._node.router
        handle = {"publicListener": router.handle_public, "clusterListener": router.handle_cluster}[
            listener
        ]
        response = handle(Request(method, path, b"" if body is None else encode(body)))
        return response.status, decode(response.body), dict(response.headers)


class ServedCluster:
    """A simulated cluster with shards and counted resources; requests go to its leader."""

    def __init__(self) -> None:
        definitions = (
            CountedResourceDefinition("plain", 50),
            CountedResourceDefinition(
                "served", 60, (), LicenseServer(LICENCES, ask_s=1.0, silent_s=12.0)
            ),
        )
        operator_settings = OperatorSettings(
            snapshot_kb=16, silent_s=4.0, shares=2, seats=definitions
        )
        self._world = World(11, operator_settings)
        self._world.loss_share = 0.0
        self._world.invariants.unit_totals = {"plain": 50, "served": 60}
        self._world.licences = FakeLicenseServer(self._world.sim, {"served": 60}, ttl_s=90.0)
        self._sent: dict[str, set[str]] = {}
        self._deliver = self._world._deliver
        self._world._deliver = self._record_and_deliver  # type: ignore[method-assign, assignment]

    def _record_and_deliver(
        self, source: str, target: str, method: str, path: str, body: bytes | None, *rest: Any
    ) -> None:
        """Records each request that a node sends, then delivers it."""
        if source in self._world.hosts:
            line = f"{self._receiver(target)} {method} {_normalized_path(path)}"
            fields = decode(body) if body else {}
            self._sent.setdefault(line, set()).update(fields)
        self._deliver(source, target, method, path, body, *rest)

    def _receiver(self, target: str) -> str:
        if target in self._world.by_address:
            return "node"
        networks = {"10.2.0.1": "state", "10.2.0.2": "cloud", "10.3.0.1": "licences"}
        return networks.get(target.split(":")[0], "worker")

    def sent(self) -> dict[str, list[str]]:
        """Requests sent by nodes so far: receiver, method, path and query names -> body fields."""
        return {line: sorted(fields) for line, fields in sorted(self._sent.items())}

    def submit(self, **changes: Any) -> str:
        return self._world.submit(**changes)

    def run(self, seconds: float) -> None:
        self._world.run(self._world.sim.now + seconds)

    def answer(self, method: str, path: str, body: Any, listener: str = "public") -> Any:
        """Status, body and header names of the leader's response, which must arrive within 1 s."""
        found: list[Any] = []
        headers: dict[str, str] = {}
        leader = self._world.leaders()[0]
        self._world.serve_request(
            leader,
            listener,
            Request(method, path, b"" if body is None else encode(body)),
            lambda status, answer: found.append((status, decode(answer))),
            headers,
        )
        self.run(1.0)
        status, answer = found[0]
        return status, answer, sorted(headers)

    def close(self) -> None:
        self._world.close()


def _normalized_path(path: str) -> str:
    """A path with its numbers replaced by ``<number>``, and the parameter names of its query."""
    url = urlsplit(path)
    names = "&".join(parse_qs(url.query, keep_blank_values=True))
    form = re.sub(r"(?<=[/-])\d+", "<number>", url.path)
    return f"{form}?{names}" if names else form
