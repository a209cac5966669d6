"""The command line: runs a controller, checks settings, or queries nodes that run."""

from __future__ import annotations

import argparse
import errno
import logging
import os
import signal
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from appleshift import __version__
from appleshift.node import Node
from appleshift.protocol.operator import load_operator_settings
from appleshift.protocol.settings import SettingsError, load_settings, split_address
from appleshift.protocol.wire import ProtocolError, decode
from appleshift.transport.client import ClientError, HttpClient

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
"""Values of the environment variable LOG_LEVEL."""

EXIT_OK = 0
EXIT_FAILURE = 1
"""An address cannot be bound, or a node does not give the answer."""
EXIT_USAGE = 2
"""The arguments or the settings cannot be used."""

LISTEN_RETRY_S = 0.1
"""Seconds between two attempts to bind an address that is in use."""
LOG_REPEAT_S = 30.0
"""Least number of seconds between two log lines about an address in use."""
QUERY_TIMEOUT_S = 5.0
"""Seconds for one request to a node."""
COUNTED_RESOURCES_TIMEOUT_S = 30.0
"""Seconds for which a request that is answered with 503 is repeated. Nodes do so while there
is no leader, and for pages that are read too fast."""
COUNTED_RESOURCES_RETRY_S = 0.5
"""Seconds between two such requests."""


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
    _add_commands(parser)
    return parser


def _add_commands(parser: argparse.ArgumentParser) -> None:
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
        level=LOG_LEVELS.get(level, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
    )
    if level not in LOG_LEVELS:
        logging.warning(
            "log level unknown LOG_LEVEL=%s accepted=%s using=info", level, ",".join(LOG_LEVELS)
        )


def _listen(node: Node, stopped: threading.Event) -> bool:
    """Bind the node's addresses; False if stopped before. OSError if one can't be bound.

    An address in use is waited for: a process that is restarted within a moment may find its
    predecessor still running, and must not exit for that. If another program has the
    address, the log line tells so.
    """
    logged_at = float("-inf")
    while True:
        try:
            node.listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if time.monotonic() - logged_at > LOG_REPEAT_S:
                logging.warning("waiting for an address that is in use error=%s", error)
                logged_at = time.monotonic()
        else:
            return True
        if stopped.wait(LISTEN_RETRY_S):
            return False


def _run(options: argparse.Namespace) -> int:
    """Run a controller until SIGTERM or SIGINT."""
    settings = load_settings(options.config)
    operator_settings = load_operator_settings(options.operator, settings)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    node = Node(settings, operator_settings)
    try:
        if not _listen(node, stopped):
            return EXIT_OK
    except OSError as error:
        _print_error(f"cannot listen: {error}")
        return EXIT_FAILURE
    node.start()
    stopped.wait()
    node.stop()
    return EXIT_OK


def _check(options: argparse.Namespace) -> int:
    """Read both kinds of settings without starting anything."""
    load_operator_settings(options.operator, load_settings(options.config))
    print("settings are fine")
    return EXIT_OK


def _nodes(options: argparse.Namespace) -> int:
    """Show each node's view of who leads."""
    return max(_show(address, "/nodes") for address in options.address)


def _job(options: argparse.Namespace) -> int:
    """Show a job's state."""
    return _show(options.address, f"/submissions/{options.id}")


def _print_error(text: str) -> None:
    print(f"appleshift: {text}", file=sys.stderr)


def _print_json(value: Any) -> None:
    print(msgspec.json.encode(value).decode())


def _query(address: str, path: str) -> tuple[int, Any]:
    """Return status and decoded body; ClientError, ProtocolError or ValueError without one."""
    status, body = HttpClient(split_address(address)).request("GET", path, None, QUERY_TIMEOUT_S)
    return status, decode(body) if body else None


def _show(address: str, path: str) -> int:
    """Print a node's answer as JSON."""
    try:
        status, body = _query(address, path)
    except (ClientError, ProtocolError, ValueError) as error:
        _print_error(f"{address}: {error}")
        return EXIT_FAILURE
    _print_json(body)
    return EXIT_OK if status == 200 else EXIT_FAILURE


def _counted_resources(options: argparse.Namespace) -> int:
    """Show counted resources, or the history of their grants and returns."""
    # Imported only here: other commands start faster without the libraries that it needs.
    from appleshift.counted_resources import display

    deadline = time.monotonic() + COUNTED_RESOURCES_TIMEOUT_S

    def query(path: str) -> tuple[int, Any]:
        return _query_until(options.address, path, deadline)

    try:
        if options.history:
            for entry in display.fetch_history(query):
                _print_entry(entry, display.format_entry, options.json)
        else:
            _print_entry(display.fetch_resources(query), display.format_resources, options.json)
    except (ClientError, ProtocolError, ValueError, display.UnusableResponseError) as error:
        _print_error(f"{options.address}: {error}")
        return EXIT_FAILURE
    return EXIT_OK


def _query_until(address: str, path: str, deadline: float) -> tuple[int, Any]:
    """Like ``_query``, repeated while the answer is 503, up to a time of the monotonic clock."""
    while True:
        status, body = _query(address, path)
        if status != 503 or time.monotonic() > deadline:
            return status, body
        time.sleep(COUNTED_RESOURCES_RETRY_S)


def _print_entry(entry: Any, to_text: Callable[[Any], str], as_json: bool) -> None:
    if as_json:
        _print_json(entry)
    else:
        print(to_text(entry))


_COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "run": _run,
    "check": _check,
    "nodes": _nodes,
    "job": _job,
    "seats": _counted_resources,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code; SystemExit for arguments it refuses."""
    parser = _parser()
    options = parser.parse_args(arguments)
    _set_up_logging()
    # Without a command, --config runs a controller.
    command = options.command or "run"
    if options.command is None and options.config is None:
        parser.print_usage(sys.stderr)
        _print_error("give --config FILE or a command")
        return EXIT_USAGE
    try:
        return _COMMANDS[command](options)
    except SettingsError as error:
        _print_error(str(error))
        return EXIT_USAGE
