"""Command line: runs a controller, checks settings or queries running nodes."""

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
"""Accepted values of the environment variable LOG_LEVEL and their levels."""

EXIT_OK = 0
EXIT_FAILURE = 1
"""Exit code if an address cannot be bound or a query to a node fails."""
EXIT_USAGE = 2
"""Exit code for invalid arguments or settings."""

LISTEN_RETRY_INTERVAL_S = 0.1
"""Seconds before binding an address that is in use is retried."""
LISTEN_LOG_INTERVAL_S = 30.0
"""Least seconds between two log lines about an address in use."""
QUERY_TIMEOUT_S = 5.0
"""Timeout of one request to a node, in seconds."""
COUNTED_RESOURCES_TIMEOUT_S = 30.0
"""Seconds for which requests of the command ``seats`` are retried after status 503. Nodes send
it while there is no leader, and if pages are requested too fast."""
COUNTED_RESOURCES_RETRY_INTERVAL_S = 0.5
"""Seconds before a request of the command ``seats`` is retried after status 503."""


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
    _add_operator_option(parser, "operators' own settings (protobuf text format), with --config")
    _add_commands(parser)
    return parser


def _add_commands(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")

    run = commands.add_parser("run", help="run a controller")
    run.add_argument("config", type=Path, help="settings file (TOML)")
    _add_operator_option(run)

    check = commands.add_parser("check", help="check settings without starting anything")
    check.add_argument("config", type=Path, help="settings file (TOML)")
    _add_operator_option(check)

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


def _add_operator_option(
    parser: argparse.ArgumentParser, text: str = "operators' settings"
) -> None:
    parser.add_argument(
        "--operator",
        type=Path,
        metavar="FILE",
        action="append",
        help=f"{text}; may be given again, later files have the last word",
    )


def _configure_logging() -> None:
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


def _bind_addresses(node: Node, stopped: threading.Event) -> bool:
    """Bind the node's addresses, retrying while one is in use; False if stopped before.

    Raises OSError if an address can't be bound for another reason. After a quick restart the
    previous process may still run, which must not end the new one. The log line shows the
    error, in case another program uses the address.
    """
    logged_at = float("-inf")
    while True:
        try:
            node.listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            if time.monotonic() - logged_at > LISTEN_LOG_INTERVAL_S:
                logging.warning("waiting for an address that is in use error=%s", error)
                logged_at = time.monotonic()
        else:
            return True
        if stopped.wait(LISTEN_RETRY_INTERVAL_S):
            return False


def _run_controller(options: argparse.Namespace) -> int:
    """Run a controller until SIGTERM or SIGINT."""
    settings = load_settings(options.config)
    operator_settings = load_operator_settings(options.operator, settings)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    node = Node(settings, operator_settings)
    try:
        if not _bind_addresses(node, stopped):
            return EXIT_OK
    except OSError as error:
        _print_error(f"cannot listen: {error}")
        return EXIT_FAILURE
    node.start()
    stopped.wait()
    node.stop()
    return EXIT_OK


def _check_settings(options: argparse.Namespace) -> int:
    """Validate both settings files; SettingsError if one is invalid."""
    load_operator_settings(options.operator, load_settings(options.config))
    print("settings are fine")
    return EXIT_OK


def _print_leaders(options: argparse.Namespace) -> int:
    """Print each node's view of the leader; return the highest exit code."""
    return max(_print_response(address, "/nodes") for address in options.address)


def _print_job(options: argparse.Namespace) -> int:
    """Print a job's state."""
    return _print_response(options.address, f"/submissions/{options.id}")


def _print_error(text: str) -> None:
    print(f"appleshift: {text}", file=sys.stderr)


def _print_json(value: Any) -> None:
    print(msgspec.json.encode(value).decode())


def _query(address: str, path: str) -> tuple[int, Any]:
    """Send a GET request and return the status and the decoded body.

    Raises ClientError without a response, ProtocolError if the body is malformed, and ValueError
    if the address is.
    """
    status, body = HttpClient(split_address(address)).request("GET", path, None, QUERY_TIMEOUT_S)
    return status, decode(body) if body else None


def _print_response(address: str, path: str) -> int:
    """Query a node and print its response as JSON; return the exit code."""
    try:
        status, body = _query(address, path)
    except (ClientError, ProtocolError, ValueError) as error:
        _print_error(f"{address}: {error}")
        return EXIT_FAILURE
    _print_json(body)
    return EXIT_OK if status == 200 else EXIT_FAILURE


def _print_counted_resources(options: argparse.Namespace) -> int:
    """Print counted resources, or the history of their grants and returns."""
    # Imported here because its libraries would delay the start of other commands.
    from appleshift.counted_resources import display

    deadline = time.monotonic() + COUNTED_RESOURCES_TIMEOUT_S

    def query(path: str) -> tuple[int, Any]:
        return _query_with_retries(options.address, path, deadline)

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


def _query_with_retries(address: str, path: str, deadline: float) -> tuple[int, Any]:
    """Like ``_query``, but retry after status 503 until ``deadline`` (monotonic seconds)."""
    while True:
        status, body = _query(address, path)
        if status != 503 or time.monotonic() > deadline:
            return status, body
        time.sleep(COUNTED_RESOURCES_RETRY_INTERVAL_S)


def _print_entry(entry: Any, to_text: Callable[[Any], str], as_json: bool) -> None:
    if as_json:
        _print_json(entry)
    else:
        print(to_text(entry))


_COMMAND_FUNCTIONS: dict[str, Callable[[argparse.Namespace], int]] = {
    "run": _run_controller,
    "check": _check_settings,
    "nodes": _print_leaders,
    "job": _print_job,
    "seats": _print_counted_resources,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code; SystemExit if arguments are invalid."""
    parser = _parser()
    options = parser.parse_args(arguments)
    _configure_logging()
    # Without a command, --config runs a controller.
    command = options.command or "run"
    if options.command is None and options.config is None:
        parser.print_usage(sys.stderr)
        _print_error("give --config FILE or a command")
        return EXIT_USAGE
    try:
        return _COMMAND_FUNCTIONS[command](options)
    except SettingsError as error:
        _print_error(str(error))
        return EXIT_USAGE
