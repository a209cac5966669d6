"""Play days of our own on simulated machines and print one table; see README.md beside it."""

from __future__ import annotations

import argparse
import csv
import json
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tabulate import tabulate

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from days.reading import Row, cells, headings, read  # noqa: E402
from days.sites import Table, write  # noqa: E402


def own_days(names: list[str] | None) -> list[Table]:
    """The days of this folder; ValueError if one is asked for that is not there."""
    found = {path.stem: tomllib.loads(path.read_text()) for path in sorted(HERE.glob("*.toml"))}
    if unknown := set(names or ()) - found.keys():
        raise ValueError(f"no such day: {', '.join(sorted(unknown))}")
    return [day for name, day in found.items() if names is None or name in names]


def standard_days(site: Path, restart_s: float) -> list[Table]:
    """The site file's own days, by name, with quick restarts."""
    named = tomllib.loads(site.read_text()).get("day", ())
    return [{"name": day["name"], "restart_s": restart_s} for day in named]


def play(bench: str, site: Path, day: str, row: Row, options: argparse.Namespace) -> Row:
    place = site.parent
    report = place / "report.json"
    command = [bench, "run", str(site), day, "--log", "info", "--report", str(report)]
    command += ["--seed", str(options.seed)] if options.seed is not None else []
    command += ["--no-cpu"] if options.no_cpu else []
    ran = subprocess.run(command, cwd=HERE.parent, capture_output=True, text=True, check=False)
    (place / "output.txt").write_text(ran.stdout + ran.stderr)
    try:
        read(row, json.loads(report.read_text()), ran.stdout + ran.stderr)
    except (OSError, ValueError, KeyError) as error:
        row.trouble = f"no report: {error!r}"
    line = f"{row.site} x{row.size:g} {row.day}: {row.figure} {row.least_class} {row.failed()}"
    print(line, file=sys.stderr, flush=True)
    return row


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="+", type=Path, metavar="SITE", help="site files")
    parser.add_argument("--bench", required=True, metavar="PROGRAM", help="the operators' bench")
    parser.add_argument("--sizes", nargs="+", type=float, default=[1.0, 1.25, 1.5], metavar="N")
    parser.add_argument("--days", nargs="+", metavar="NAME", help="only these days of ours")
    parser.add_argument("--standard", action="store_true", help="the site files' own days as well")
    parser.add_argument(
        "--restart", type=float, default=0.2, metavar="S", help="restarts on those (0.2 s)"
    )
    parser.add_argument("--seed", type=int, metavar="N", help="other luck than the days' own")
    parser.add_argument("--no-cpu", action="store_true", help="charge no processor time")
    parser.add_argument("--jobs", type=int, default=4, metavar="N", help="days at once (4)")
    parser.add_argument("--folder", type=Path, help="where reports and logs are left")
    parser.add_argument("--csv", type=Path, metavar="FILE", help="the rows, for later")
    options = parser.parse_args()
    folder = options.folder or Path(tempfile.mkdtemp(prefix="days-"))
    calls: list[tuple[Path, str, Row]] = []
    try:
        for size in sorted(options.sizes, reverse=True):
            for site in options.sites:
                days = own_days(options.days)
                days += standard_days(site, options.restart) if options.standard else []
                for (file, name), day in zip(write(site, size, days, folder), days, strict=True):
                    calls.append((file, name, Row(site.stem, size, day["name"])))
    except (OSError, ValueError) as error:
        parser.error(str(error))
    with ThreadPoolExecutor(options.jobs) as pool:
        rows = list(pool.map(lambda call: play(options.bench, *call, options), calls))
    rows.sort(key=lambda row: (row.site, row.size, row.day))
    table = [cells(row) for row in rows]
    print(tabulate(table, headings(), floatfmt=".3g", disable_numparse=[2, 5, 7, 19]))
    print(f"simulated machines; reports and logs are in {folder}")
    if options.csv:
        with options.csv.open("w", newline="") as file:
            csv.writer(file).writerows([headings(), *table])
    return 1 if any(row.failed() for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
