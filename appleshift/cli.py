"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from appleshift import __version__
from appleshift.node import Node
from appleshift.protocol.operator import load_operator_settings
from appleshift.protocol.settings import SettingsError, load_settings, split_address
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.client import ClientError, HttpClient

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

USAGE_ERROR = 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="appleshift",
        description="A cluster scheduler that rents its machines and survives their failures.",
        epilog="LOG_LEVEL (error, info or debug) sets how much is logged to standard error.",
    )
    parser.add_argument("--version", action="version", version=f"appleshift {__version__}")
    parser.add_argument(
        "--config", type=Path, metavar="FILE", help="run a controller with these settings (TOML)"
    )
    parser.add_argument(
        "--operator",
        type=Path,
        metavar="FILE",
        help="operators' own settings (protobuf text format), with --config",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")

    run = commands.add_parser("run", help="run a controller")
    run.add_argument("config", type=Path, help="settings file (TOML)")
    run.add_argument("--operator", type=Path, metavar="FILE", help="operators' own settings")

    check = commands.add_parser("check", help="check settings without starting anything")
    check.add_argument("config", type=Path, help="settings file (TOML)")
    check.add_argument("--operator", type=Path, metavar="FILE", help="operators' own settings")

    nodes = commands.add_parser("nodes", help="ask nodes who leads")
    nodes.add_argument("address", nargs="+", help="host:port of a node")

    job = commands.add_parser("job", help="show a job's state")
    job.add_argument("address", help="host:port of a node")
    job.add_argument("id", help="the job's id")
    return parser


def _set_up_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    if level not in LEVELS:
        logging.warning("LOG_LEVEL=%s is not one of %s: using info", level, ", ".join(LEVELS))


def _run(config: Path, operator: Path | None) -> int:
    settings = load_settings(config)
    node_settings = load_operator_settings(operator)
    try:
        node = Node(settings, node_settings)
        node.listen()
    except OSError as error:
        print(f"appleshift: cannot listen: {error}", file=sys.stderr)
        return 1
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    node.start()
    ended.wait()
    node.stop()
    return 0


def _query(address: str, path: str) -> tuple[int, Any]:
    status, body = HttpClient(split_address(address)).request("GET", path, None, 5.0)
    return status, decode(body) if body else None


def _show(address: str, path: str) -> int:
    try:
        status, body = _query(address, path)
    except (ClientError, ProtocolError, ValueError) as error:
        print(f"appleshift: {address}: {error}", file=sys.stderr)
        return 1
    print(msgspec.json.encode(body).decode())
    return 0 if status == 200 else 1


def main(arguments: Sequence[str] | None = None) -> int:
    parser = _parser()
    options = parser.parse_args(arguments)
    _set_up_logging()
    try:
        if options.command == "check":
            load_settings(options.config)
            load_operator_settings(options.operator)
            print("settings are fine")
            return 0
        if options.command == "nodes":
            return max(_show(address, "/nodes") for address in options.address)
        if options.command == "job":
            return _show(options.address, f"/submissions/{options.id}")
        if options.config is None:
            parser.print_usage(sys.stderr)
            print("appleshift: give --config FILE or a command", file=sys.stderr)
            return USAGE_ERROR
        return _run(options.config, options.operator)
    except SettingsError as error:
        print(f"appleshift: {error}", file=sys.stderr)
        return USAGE_ERROR
