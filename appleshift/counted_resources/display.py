"""Counted resources on an operator's terminal."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from typing import Any

from tabulate import tabulate

from appleshift.counted_resources.audit_log import DEFINE
from appleshift.state.name_index import from_ranges

HttpGet = Callable[[str], tuple[int, Any]]
"""Asks a node for a path; returns status and body."""


class UnusableResponseError(Exception):
    """A node gave no usable answer; the message says which path and why."""


def _get(ask: HttpGet, path: str) -> Any:
    status, body = ask(path)
    if status != 200:
        reason = body.get("error", "") if isinstance(body, dict) else ""
        raise UnusableResponseError(f"{path}: {status} {reason}".rstrip())
    return body


def fetch_resources(ask: HttpGet) -> dict[str, Any]:
    """The resources as a node shows them now; UnusableResponseError if it does not."""
    view: dict[str, Any] = _get(ask, "/seats")
    return view


def fetch_history(ask: HttpGet) -> Iterator[list[Any]]:  # noqa: C901 - left whole: listed in docs/ROADMAP.md
    """All entries of the audit that are kept, in order.

    Pages are written while this reads: what moved from the tail into a page
    meanwhile is read there. A number that is missing is said, not passed over.
    """
    seen = -1
    while True:
        answer = _get(ask, f"/seats/after/{seen + 1}")
        first, following = answer["pages"]
        entries = answer["entries"]
        gap = entries and entries[0][0] > seen + 1
        if (gap or not entries) and following > first:
            # The tail does not reach back to what was read last.
            for page in range(first, following):
                for entry in _get(ask, f"/seats/pages/{page}")["entries"]:
                    if entry[0] > seen:
                        if seen >= 0 and entry[0] > seen + 1:
                            raise UnusableResponseError(
                                f"entries {seen + 1} to {entry[0] - 1} are gone"
                            )
                        seen = entry[0]
                        yield entry
        for entry in entries:
            if entry[0] > seen:
                if seen >= 0 and entry[0] > seen + 1:
                    raise UnusableResponseError(f"entries {seen + 1} to {entry[0] - 1} are gone")
                seen = entry[0]
                yield entry
        if not answer["more"]:
            return


def format_resources(view: dict[str, Any]) -> str:
    """What is held, by team and by job, and how old the knowledge is."""
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
    heads = ["resource", "total", "may use", "held", "free", "waiting", "outside", "age", "teams"]
    parts = [tabulate(rows, heads, tablefmt="plain")]
    jobs = [[entry["name"], *job] for entry in view["resources"] for job in entry["jobs"]]
    if jobs:
        parts.append(tabulate(jobs, ["resource", "job", "team", "held"], tablefmt="plain"))
    hidden = sum(entry["jobs_not_shown"] for entry in view["resources"])
    if hidden:
        notes.append(f"{hidden} more jobs hold seats")
    return "\n\n".join([*parts, "\n".join(notes)] if notes else parts)


def format_entry(entry: list[Any]) -> str:
    """One entry of the audit: number, UTC time, what happened."""
    number, wall, kind, *about = entry
    when = datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
    if kind == DEFINE:
        name, definition = about
        told = "no longer counted" if definition is None else f"total {definition['total']}"
        return f"{number} {when} define {name}: {told}"
    job, ranges, attempt, machine, seats = about
    tasks = from_ranges(ranges)
    counts = ", ".join(f"{count * len(tasks)} {name}" for name, count in sorted(seats.items()))
    return f"{number} {when} {kind} {counts}: {job}/{_short(ranges)}#{attempt} on {machine}"


def _short(ranges: list[int]) -> str:
    pairs = zip(ranges[::2], ranges[1::2], strict=True)
    return ",".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs)
