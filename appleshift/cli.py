"""The command line."""

from __future__ import annotations

import argparse
import errno
import logging
import os
import signal
import sys
import threading
import time
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
LISTEN_RETRY_S = 0.1
LOG_REPEAT_S = 30.0
COUNTED_RESOURCES_TIMEOUT_S = 30.0
"""Nodes answer 503 while nobody leads, and for pages that are read too fast."""


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
    _operator_option(parser, "operators' own settings (protobuf text format), with --config")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")

    run = commands.add_parser("run", help="run a controller")
    run.add_argument("config", type=Path, help="settings file (TOML)")
    _operator_option(run)

    check = commands.add_parser("check", help="check settings without starting anything")
    check.add_argument("config", type=Path, help="settings file (TOML)")
    _operator_option(check)

    nodes = commands.add_parser("nodes", help="ask nodes who leads")
    nodes.add_argument("address", nargs="+", help="host:port of a node")

    job = commands.add_parser("job", help="show a job's state")
    job.add_argument("address", help="host:port of a node")
    job.add_argument("id", help="the job's id")

    seats = commands.add_parser(
        "seats",
        help="show counted resources: who holds them, who waits",
        description="Total, held by team and job, waiting, outside use, and how old that is.",
    )
    seats.add_argument("address", help="host:port of a node")
    seats.add_argument("--json", action="store_true", help="as JSON, for programs")
    seats.add_argument(
        "--history", action="store_true", help="every grant and return that is kept, in order"
    )
    return parser


def _operator_option(parser: argparse.ArgumentParser, text: str = "operators' settings") -> None:
    parser.add_argument(
        "--operator",
        type=Path,
        metavar="FILE",
        action="append",
        help=f"{text}; may be given again, later files have the last word",
    )


def _set_up_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    if level not in LEVELS:
        logging.warning("LOG_LEVEL=%s is not one of %s: using info", level, ", ".join(LEVELS))


def _listen(node: Node, ended: threading.Event) -> bool:
    """Take the node's addresses; False if told to end before. OSError if it never can.

    An address in use is waited for. Started again within a moment, a process may find
    the one before it not gone yet; to end for that would be one more end, and if it is
    another program, whoever looks finds this line.
    """
    said_at = float("-inf")
    while True:
        try:
            node.listen()
            return True
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if time.monotonic() - said_at > LOG_REPEAT_S:
                logging.warning("waiting for an address that is in use: %s", error)
                said_at = time.monotonic()
        if ended.wait(LISTEN_RETRY_S):
            return False


def _run(config: Path, operator: list[Path] | None) -> int:
    settings = load_settings(config)
    node_settings = load_operator_settings(operator, settings)
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    node = Node(settings, node_settings)
    try:
        if not _listen(node, ended):
            return 0
    except OSError as error:
        print(f"appleshift: cannot listen: {error}", file=sys.stderr)
        return 1
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


def _seats(address: str, as_json: bool, history: bool) -> int:
    # Loaded only here, with the libraries that it needs.
    from appleshift.counted_resources import display

    def ask(path: str) -> tuple[int, Any]:
        while True:
            status, body = _query(address, path)
            if status != 503 or time.monotonic() > until:
                return status, body
            time.sleep(0.5)

    until = time.monotonic() + COUNTED_RESOURCES_TIMEOUT_S
    try:
        if history:
            for entry in display.history(ask):
                print(msgspec.json.encode(entry).decode() if as_json else display.line(entry))
        else:
            view = display.current(ask)
            print(msgspec.json.encode(view).decode() if as_json else display.table(view))
    except (ClientError, ProtocolError, ValueError, display.NotShownError) as error:
        print(f"appleshift: {address}: {error}", file=sys.stderr)
        return 1
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    parser = _parser()
    options = parser.parse_args(arguments)
    _set_up_logging()
    try:
        if options.command == "check":
            load_operator_settings(options.operator, load_settings(options.config))
            print("settings are fine")
            return 0
        if options.command == "nodes":
            return max(_show(address, "/nodes") for address in options.address)
        if options.command == "job":
            return _show(options.address, f"/submissions/{options.id}")
        if options.command == "seats":
            return _seats(options.address, options.json, options.history)
        if options.config is None:
            parser.print_usage(sys.stderr)
            print("appleshift: give --config FILE or a command", file=sys.stderr)
            return USAGE_ERROR
        return _run(options.config, options.operator)
    except SettingsError as error:
        print(f"appleshift: {error}", file=sys.stderr)
        return USAGE_ERROR
