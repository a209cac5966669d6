"""Fetches counted resources and their audit log from a node, and formats them for a terminal."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from typing import Any

from tabulate import tabulate

from appleshift.counted_resources.audit_log import DEFINE
from appleshift.state.task_set import TaskSet

HttpGet = Callable[[str], tuple[int, Any]]
"""Sends a GET request for a path to a node; returns HTTP status and decoded body."""


class UnusableResponseError(Exception):
    """A node's response was not usable; the message gives the path or entries and the reason."""


def _get(http_get: HttpGet, path: str) -> Any:
    status, body = http_get(path)
    if status != 200:
        reason = body.get("error", "") if isinstance(body, dict) else ""
        raise UnusableResponseError(f"{path}: {status} {reason}".rstrip())
    return body


def fetch_resources(http_get: HttpGet) -> dict[str, Any]:
    """Fetch the current state of the resources; UnusableResponseError if that fails."""
    view: dict[str, Any] = _get(http_get, "/seats")
    return view


def fetch_history(http_get: HttpGet) -> Iterator[list[Any]]:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
    """Fetch all entries of the audit log that are kept, in order.

    Pages may be written meanwhile: entries that move from the newest entries into a page
    are then read from the page. Raises UnusableResponseError if an entry is missing.
    """
    last_number = -1
    while True:
        response = _get(http_get, f"/seats/after/{last_number + 1}")
        first_page, end_page = response["pages"]
        entries = response["entries"]
        is_gap = entries and entries[0][0] > last_number + 1
        if (is_gap or not entries) and end_page > first_page:
            # The newest entries begin after the last entry read: continue in the pages.
            for page in range(first_page, end_page):
                for entry in _get(http_get, f"/seats/pages/{page}")["entries"]:
                    if entry[0] > last_number:
                        if last_number >= 0 and entry[0] > last_number + 1:
                            raise UnusableResponseError(
                                f"entries {last_number + 1} to {entry[0] - 1} are gone"
                            )
                        last_number = entry[0]
                        yield entry
        for entry in entries:
            if entry[0] > last_number:
                if last_number >= 0 and entry[0] > last_number + 1:
                    raise UnusableResponseError(
                        f"entries {last_number + 1} to {entry[0] - 1} are gone"
                    )
                last_number = entry[0]
                yield entry
        if not response["more"]:
            return


def format_resources(view: dict[str, Any]) -> str:
    """Format a table of the resources with the units held by team and by job.

    Notes below it list stale license servers and other conditions.
    """
    rows = []
    notes = []
    for entry in view["resources"]:
        server = entry.get("server")
        outside, age = "-", "-"
        if server is not None:
            outside = "?" if server["outside"] is None else str(server["outside"])
            age = "never" if server["age_s"] is None else f"{server['age_s']:.0f} s"
            if server["stale"]:
                age += ", stale"
                notes.append(
                    f"{entry['name']}: STALE: {server['address']} does not answer; "
                    f"{entry['capacity']} seats may be granted meanwhile"
                )
            if server["refused"]:
                notes.append(f"{entry['name']}: answer not counted: {server['refused']}")
        if not entry["defined"]:
            notes.append(f"{entry['name']}: not defined any more; work that needs it waits")
        if entry["held"] > entry["total"]:
            notes.append(f"{entry['name']}: more is held than the total: nothing new is granted")
        teams = ", ".join(f"{team['name']} {team['held']}" for team in entry["teams"])
        rows.append(
            [
                entry["name"],
                entry["total"],
                entry["capacity"],
                entry["held"],
                entry["free"],
                entry["waiting"],
                outside,
                age,
                teams or "-",
            ]
        )
    headers = ["resource", "total", "may use", "held", "free", "waiting", "outside", "age", "teams"]
    sections = [tabulate(rows, headers, tablefmt="plain")]
    jobs = [[entry["name"], *job] for entry in view["resources"] for job in entry["jobs"]]
    if jobs:
        sections.append(tabulate(jobs, ["resource", "job", "team", "held"], tablefmt="plain"))
    hidden = sum(entry["jobs_not_shown"] for entry in view["resources"])
    if hidden:
        notes.append(f"{hidden} more jobs hold seats")
    return "\n\n".join([*sections, "\n".join(notes)] if notes else sections)


def format_entry(entry: list[Any]) -> str:
    """Format an entry of the audit log: number, UTC time, kind and details."""
    number, wall, kind, *details = entry
    timestamp = datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
    if kind == DEFINE:
        name, definition = details
        change = "no longer counted" if definition is None else f"total {definition['total']}"
        return f"{number} {timestamp} define {name}: {change}"
    job, ranges, attempt, machine, units_per_task = details
    tasks = TaskSet.from_ranges(ranges)
    counts = ", ".join(
        f"{count * len(tasks)} {name}" for name, count in sorted(units_per_task.items())
    )
    return (
        f"{number} {timestamp} {kind} {counts}: "
        f"{job}/{_format_ranges(ranges)}#{attempt} on {machine}"
    )


def _format_ranges(ranges: list[int]) -> str:
    pairs = zip(ranges[::2], ranges[1::2], strict=True)
    return ",".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs)
