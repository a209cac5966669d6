"""What a report of the bench and the service's log say of a day."""

from __future__ import annotations

import re
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

MOST_PROCESSOR_S = 400.0
LEAST = 0.5
LINE = re.compile(r"^\s*(\d+\.\d+) (\S+) (.*)$")
TAKEN = re.compile(r"first submission of this term is durable")
LED = re.compile(r"term started shard=0 token=(\d+)")
THREADS = re.compile(r"node load .* threads=(\d+)")
CRASHES = re.compile(r"^(\S+) crashes$")
FIGURE = re.compile(r"^(\S+)\s+\d+\s+(\d\.\d+)\s+\d+/\d+")


@dataclass
class Row:
    """One day as the table shows it; times in seconds, memory in MB."""

    site: str
    size: float
    day: str
    figure: float | None = None
    least_class: tuple[float, str] = (1.0, "")
    least_team: tuple[float, str] = (1.0, "")
    least_largest: tuple[float, str] = (1.0, "")
    """Of the largest jobs of each class."""
    neglected: int = 0
    """Jobs that waited beside room once all troubles were over."""
    rules: int = 0
    killed: int = 0
    no_node: int = 0
    ended: int = 0
    processor_s: float = 0.0
    memory: float = 0.0
    connections: int = 0
    threads: int = 0
    again: list[float] = field(default_factory=list)
    trouble: str = ""

    def failed(self) -> str:
        """Why the day counts as lost, if it does."""
        found = [self.trouble] if self.trouble else []
        if self.rules:
            found.append("rules")
        if self.least_class[0] < LEAST:
            found.append("class")
        if self.least_team[0] < LEAST:
            found.append("team")
        if self.least_largest[0] < LEAST:
            found.append("largest")
        if self.neglected:
            found.append("neglected")
        if self.ended:
            found.append("ended")
        if self.processor_s > MOST_PROCESSOR_S:
            found.append("processor")
        return " ".join(found)


def least_served(report: dict[str, Any]) -> tuple[float, str]:
    """The least served class: of what its jobs started, ended and had in time."""
    found: list[tuple[float, str]] = []
    for name, each in report["classes"].items():
        if not each["jobs"]:
            continue
        found.append((each["started"] / each["jobs"], f"{name} started"))
        if each.get("up") is not None and not each["done"]:
            found.append((each["up"], f"{name} up"))
        else:
            over = each["done"] + each["cancelled"]
            found.append((min(1.0, over / each["jobs"]), f"{name} ended"))
    for aim in report["targets"]:
        if aim.get("class") and aim.get("value") is not None and "worst_s" not in aim:
            limit = aim.get("within_s", aim.get("times", ""))
            found.append((aim["value"], f"{aim['class']} {aim['kind']} {limit}".rstrip()))
    return min(found, default=(1.0, ""))


def least_begun(groups: dict[str, Any]) -> tuple[float, str]:
    """Of teams, or of the largest jobs of classes: the one of which least has begun."""
    found = [
        (each["started"] / each["jobs"], name) for name, each in groups.items() if each["jobs"]
    ]
    return min(found, default=(1.0, ""))


def taken_again(
    crashes: Iterable[tuple[float, str]], led: Iterable[tuple[float, str]], taken: Iterable[float]
) -> list[float]:
    """After each crash of the node that led: how long until a submission was durable again.

    ``led``: when which node began to lead. A successor that ends before it has taken
    anything makes the wait longer, and no second one of it.
    """
    marks = [
        *((at, 0, node) for at, node in crashes),
        *((at, 1, node) for at, node in led),
        *((at, 2, "") for at in taken),
    ]
    found = []
    leader, waiting = "", None
    for at, what, node in sorted(marks):
        if what == 0 and node == leader:
            leader, waiting = "", at if waiting is None else waiting
        elif what == 1:
            leader = node
        elif what == 2 and waiting is not None:
            found.append(at - waiting)
            waiting = None
    return found


def read(row: Row, report: dict[str, Any], output: str) -> Row:
    """Fill a row from the bench's report and all it printed."""
    row.least_class, row.least_team = least_served(report), least_begun(report["teams"])
    row.least_largest = least_begun(report.get("largest", {}))
    row.neglected = report.get("idle", {}).get("neglected", 0)
    row.rules = report["rules_broken"]["total"]
    row.killed = report["fleet"].get("tasks_killed_by_lease", 0)
    row.no_node = report["users"].get("errors", {}).get("no_node", 0)
    nodes = report["node_stats"]
    row.memory = max(each["memory_peak_mb"] for each in nodes)
    row.connections = max(each["connections_peak"] for each in nodes)
    row.ended = sum(1 for each in nodes for end in each["restarts"] if end["why"] != "fault") + sum(
        each["panics"] for each in nodes
    )
    row.processor_s = sum(sum(report["spent"][part]) for part in ("world", "processes"))
    led: list[tuple[float, str]] = []
    taken: list[float] = []
    for line in output.splitlines():
        if (figure := FIGURE.match(line)) and figure[1] == report["scenario"]:
            row.figure = float(figure[2])
        if not (found := LINE.match(line)):
            continue
        if LED.search(found[3]):
            led.append((float(found[1]), found[2]))
        elif TAKEN.search(found[3]):
            taken.append(float(found[1]))
        elif threads := THREADS.search(found[3]):
            row.threads = max(row.threads, int(threads[1]))
    crashes = [
        (each["at_s"], crash[1])
        for each in report["events"]
        if (crash := CRASHES.match(each["what"]))
    ]
    row.again = taken_again(crashes, led, taken)
    return row


def headings() -> list[str]:
    return [
        "site", "size", "day", "figure", "least class", "", "least team", "", "largest",
        "neglected", "rules", "killed", "no node", "processor s", "MB", "conns", "threads",
        "again s", "worst", "",
    ]  # fmt: skip


def cells(row: Row) -> list[Any]:
    again = row.again
    return [
        row.site, row.size, row.day, row.figure, row.least_class[0], row.least_class[1],
        row.least_team[0], row.least_team[1], row.least_largest[0],
        row.neglected, row.rules, row.killed, row.no_node,
        round(row.processor_s), round(row.memory), row.connections, row.threads,
        round(statistics.median(again), 2) if again else None,
        round(max(again), 2) if again else None, row.failed(),
    ]  # fmt: skip
