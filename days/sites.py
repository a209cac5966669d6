"""Site files as the bench reads them, multiplied, and days made for one of them."""

from __future__ import annotations

import copy
import shutil
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

Table = dict[str, Any]

COUNTED = {"count", "spot", "initial"}
LIMITS = {"cpus", "cpus_max", "gpus", "gpus_max"}


def multiplied(site: Table, factor: float, restart_s: float | None) -> Table:
    """A site with its machines, its load and its teams' limits times ``factor``; a process
    that ends is started again after ``restart_s`` (None: as the site says)."""
    made = copy.deepcopy(site)
    if restart_s is not None:
        made["nodes"]["restart_delay_s"] = restart_s
    if factor == 1.0:
        return made
    made["name"] = f"{site['name']}-x{factor:g}"
    for pool in [*made.get("capacity", ()), *made.get("machines", ())]:
        for key in COUNTED & pool.keys():
            if isinstance(pool[key], int) and not isinstance(pool[key], bool):
                pool[key] = round(pool[key] * factor)
    for team in made.get("teams", ()):
        for key in LIMITS & team.keys():
            team[key] *= factor
    for job in made["jobs"]:
        if "initial" in job:
            job["initial"] = round(job["initial"] * factor)
        job["arrivals"]["rate"] = round(job["arrivals"]["rate"] * factor, 5)
    return made


def machines(site: Table) -> int:
    """How many machines the cloud of a site has, ordinary and spot."""
    return sum(pool["count"] + pool.get("spot", 0) for pool in site["capacity"])


def _named(text: str, names: list[str]) -> list[str]:
    """``#2``: the third name, or the last if there are fewer; ``*``: all of them."""
    if text == "*":
        return names
    if not text.startswith("#"):
        return [text]
    return [names[min(int(text[1:]), len(names) - 1)]]


def _known(names: list[str], known: list[str], what: str) -> list[str]:
    if unknown := [name for name in names if name not in known]:
        raise ValueError(f"the site has no {what} {', '.join(unknown)}")
    return names


def _count(count: Any, site: Table) -> int:
    nodes = site["nodes"]["count"]
    if count == "all":
        return int(nodes)
    if isinstance(count, str) and count.startswith("all but "):
        return max(1, nodes - int(count.removeprefix("all but ")))
    if isinstance(count, str) and count.endswith("%"):
        return max(1, round(machines(site) * float(count[:-1]) / 100))
    if not isinstance(count, int):
        raise ValueError(f"count = {count!r} is neither a number, a share nor 'all'")
    return min(count, nodes)


def _market(fault: Table, site: Table) -> list[Table]:
    rest = {key: value for key, value in fault.items() if key not in ("kind", "keep")}
    return [
        {
            **rest,
            "kind": "capacity",
            "type": pool["type"],
            "zone": pool["zone"],
            "count": fault["keep"],
            "spot": fault["keep"],
        }
        for pool in site["capacity"]
    ]


def day_for(day: Table, site: Table) -> Table:
    """A day of ours in the terms of a site; ValueError if it says what none can mean."""
    made = {key: value for key, value in day.items() if key != "restart_s"}
    classes = [job["name"] for job in site["jobs"]]
    zones = list(dict.fromkeys(pool["zone"] for pool in site["capacity"]))
    made.setdefault("slot", "scale")
    if "jobs" in day:
        # What the day changes of a class.
        made["jobs"] = [
            {**job, "name": name}
            for job in day["jobs"]
            for name in _known(_named(job["name"], classes), classes, "class")
        ]
    faults: list[Table] = []
    for each in day["faults"]:
        fault = dict(each)
        times, every_s = fault.pop("times", 1), fault.pop("every_s", 0.0)
        if fault["kind"] == "node_roll":
            # Of a roll, it is the pause between two nodes.
            fault["every_s"] = every_s
        if "count" in fault:
            fault["count"] = _count(fault["count"], site)
        some = _market(fault, site) if fault["kind"] == "market" else [fault]
        for key, names in (("class", classes), ("zone", zones)):
            some = [
                {**one, key: name} if key in one else one
                for one in some
                for name in (_known(_named(one[key], names), names, key) if key in one else [""])
            ]
        for number in range(times):
            at_s = fault["at_s"] + number * every_s
            faults += [{**one, "at_s": at_s} for one in some]
    made["faults"] = sorted(faults, key=lambda fault: float(fault["at_s"]))
    return made


def write(
    site_file: Path, factor: float, days: list[Table], folder: Path
) -> list[tuple[Path, str]]:
    """Put a site, multiplied, and days into a folder of their own; returns, for each day, the
    site file to play it on and the day's file. What the site file refers to goes with it."""
    site = tomllib.loads(site_file.read_text())
    found: list[tuple[Path, str]] = []
    for day in days:
        own = multiplied(site, factor, day.get("restart_s"))
        place = folder / f"{site_file.stem}-x{factor:g}" / day["name"]
        place.mkdir(parents=True, exist_ok=True)
        target = place / f"{site_file.stem}.toml"
        target.write_text(tomli_w.dumps(own))
        shutil.copyfile(site_file.parent / str(site["wire"]), place / str(site["wire"]))
        name = day["name"]
        if "faults" in day:
            made = place / f"{name}.toml"
            made.write_text(tomli_w.dumps(day_for(day, own)))
            name = str(made)
        found.append((target, name))
    return found
