"""Tests of the project's own simulated days: generating day files and reading their reports."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
import tomli_w

from days.play import own_days
from days.reading import Row, cells, headings, read, taken_again
from days.sites import day_for, machines, multiplied, write

SITE = {
    "name": "small", "wire": "wire.json",
    "nodes": {"count": 3, "restart_delay_s": 3.0},
    "capacity": [
        {"type": "t", "zone": "a", "count": 40, "spot": 20},
        {"type": "u", "zone": "b", "count": 30, "spot": 10},
    ],
    "machines": [{"type": "t", "zone": "a", "spot": False, "count": 4}],
    "teams": [{"name": "red", "gpus": 10.0, "weight": 0.5}],
    "jobs": [
        {"name": "first", "initial": 10, "arrivals": {"rate": 0.1}},
        {"name": "second", "arrivals": {"rate": 0.2}},
    ],
}  # fmt: skip


def test_scaled_site_multiplies_all_counts_and_leaves_original_unchanged() -> None:
    made = multiplied(SITE, 1.5, 0.2)
    assert machines(made) == 150
    assert made["machines"] == [{"type": "t", "zone": "a", "spot": False, "count": 6}]
    assert made["teams"] == [{"name": "red", "gpus": 15.0, "weight": 0.5}]
    assert [job["arrivals"]["rate"] for job in made["jobs"]] == [0.15, 0.3]
    assert made["jobs"][0]["initial"] == 15
    assert made["nodes"] == {"count": 3, "restart_delay_s": 0.2}
    assert SITE["nodes"] == {"count": 3, "restart_delay_s": 3.0}


def test_day_file_names_only_classes_and_zones_of_the_site() -> None:
    days = own_days(None)
    assert len(days) > 10
    for day in days:
        made = day_for(day, SITE)
        assert made["faults"], day["name"]
        assert [each["at_s"] for each in made["faults"]] == sorted(
            each["at_s"] for each in made["faults"]
        )
        for fault in made["faults"]:
            assert fault.get("class", "first") in ("first", "second")
            assert fault.get("zone", "a") in ("a", "b")
            assert isinstance(fault.get("count", 1), int) or fault["kind"] == "capacity"
            assert "times" not in fault
    all_classes = {"name": "x", "faults": [{"at_s": 1.0, "kind": "job_burst", "class": "*"}]}
    assert len(day_for(all_classes, SITE)["faults"]) == 2
    with pytest.raises(ValueError, match="neither a number"):
        day_for({"faults": [{"at_s": 1.0, "kind": "machine_die", "count": "some"}]}, SITE)
    burst = {"at_s": 1.0, "kind": "job_burst", "class": "third"}
    with pytest.raises(ValueError, match="the site has no class third"):
        day_for({"faults": [burst]}, SITE)
    with pytest.raises(ValueError, match="the site has no class third"):
        day_for({"faults": [], "jobs": [{"name": "third", "cancelled": 0.5}]}, SITE)
    changed = day_for({"faults": [], "jobs": [{"name": "#9", "cancelled": 0.5}]}, SITE)
    assert changed["jobs"] == [{"name": "second", "cancelled": 0.5}]
    with pytest.raises(ValueError, match="no such day: nowhere"):
        own_days(["nowhere"])


def test_written_day_files_are_read_back_unchanged(tmp_path: Path) -> None:
    site = tmp_path / "small.toml"
    site.write_text(tomli_w.dumps(SITE))
    (tmp_path / "wire.json").write_text("{}")
    day = {"name": "own", "restart_s": 0.05, "faults": [
        {"at_s": 5.0, "kind": "node_crash", "count": "all but 1", "times": 3, "every_s": 2.0},
        {"at_s": 4.0, "kind": "machine_die", "count": "10%"},
    ]}  # fmt: skip
    [(file, own), (_, named)] = write(site, 1.25, [day, {"name": "busy"}], tmp_path / "out")
    assert named == "busy"
    assert tomllib.loads(file.read_text())["nodes"]["restart_delay_s"] == 0.05
    assert (file.parent / "wire.json").exists()
    faults = tomllib.loads(Path(own).read_text())["faults"]
    assert [(each["at_s"], each["count"]) for each in faults] == [
        (4.0, 12), (5.0, 2), (7.0, 2), (9.0, 2)
    ]  # fmt: skip


REPORT = {
    "scenario": "own",
    "classes": {
        "first": {"jobs": 10, "started": 9, "done": 6, "cancelled": 0, "up": None},
        "second": {"jobs": 4, "started": 4, "done": 0, "cancelled": 1, "up": 0.99},
        "none": {"jobs": 0, "started": 0, "done": 0, "cancelled": 0, "up": None},
    },
    "targets": [
        {"kind": "deadline", "class": "first", "times": 1.0, "value": 0.45},
        {"kind": "up", "class": "second", "worst_s": 30.0, "value": 0.1},
        {"kind": "price", "value": 1.1},
    ],
    "teams": {"red": {"jobs": 10, "started": 9}, "blue": {"jobs": 0, "started": 0}},
    "largest": {"first": {"jobs": 4, "started": 1}, "second": {"jobs": 2, "started": 2}},
    "idle": {"neglected": 1},
    "rules_broken": {"total": 0},
    "fleet": {"tasks_killed_by_lease": 3},
    "users": {"errors": {"503": 5, "no_node": 2}},
    "node_stats": [
        {"memory_peak_mb": 50.0, "connections_peak": 900, "panics": 0,
         "restarts": [{"at_s": 10.0, "why": "fault"}, {"at_s": 30.0, "why": "exit"}]},
    ],
    "spent": {"world": [1.0, 2.0], "processes": [10.0, 3.0]},
    "events": [{"at_s": 10.0, "what": "rig-0 crashes"}, {"at_s": 9.0, "what": "zone a is cut"}],
}  # fmt: skip
OUTPUT = """scenario  boxes result
own                882   0.88  16/18  submit
    0.4000 rig-0 2026 INFO shard_replica: term started shard=0 token=1 jobs=0
    0.9000 rig-0 2026 INFO requests: first submission of this term is durable
   10.8000 rig-1 2026 INFO shard_replica: term started shard=0 token=2 jobs=3
   11.0000 rig-1 2026 INFO requests: first submission of this term is durable
   30.0000 rig-1 2026 INFO load_monitor: node load busy_percent=5 requests_at_once=3 threads=812
"""


def test_report_row_holds_figures_and_failed_criteria() -> None:
    row = read(Row("small", 1.5, "own"), REPORT, OUTPUT)
    assert (row.figure, row.killed, row.no_node, row.processor_s) == (0.88, 3, 2, 16.0)
    assert row.least_class == (0.45, "first deadline 1.0")
    assert row.least_team == (0.9, "red")
    assert (row.threads, row.connections, row.again) == (812, 900, [1.0])
    assert (row.least_largest, row.neglected) == ((0.25, "first"), 1)
    assert row.failed() == "class largest neglected ended"
    assert len(cells(row)) == len(headings())


def test_recovery_time_counts_from_first_crash_that_ended_a_term() -> None:
    terms = [(0.5, "a"), (10.8, "b"), (11.5, "c"), (40.0, "a")]
    # The leader, its successor before its first submission, a follower, a later leader.
    crashes = [(10.0, "a"), (11.0, "b"), (20.0, "a"), (39.0, "c")]
    assert taken_again(crashes, terms, [0.9, 12.0, 41.0]) == [2.0, 2.0]
    assert taken_again([(20.0, "b")], terms[:1], [0.9, 30.0]) == []
