"""Counted resources on real controllers: 400 jobs contend for 40 units of a license server."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from appleshift.cli import main
from appleshift.transport.client import ClientError, HttpClient
from tests.support.loopback_cluster import TIMEOUT_S, LoopbackCluster
from tests.support.stand_ins import FakeWorker

LICENSES = 40
OPERATOR = """
silent_s: 2.0
seats {
  name: "lic"
  total: 100
  server { address: "127.0.0.1:LICENCES" ask_s: 1 silent_s: 10 }
}
"""
SMALL: dict[str, Any] = {"seats": {"lic": 1}, "pieces": 1, "vcpus": 0.25, "ram_gb": 0.25}
SMALL_WITH_CHECKPOINTS: dict[str, Any] = {**SMALL, "snapshot_every_s": 1.0, "snapshot_cost_s": 0.8}


def job_status(cluster: LoopbackCluster, job_id: str) -> str | None:
    """Return the job's status from the first node that answers with it, else None."""
    node_names = itertools.cycle(cluster.names)
    for _ in range(6):
        client = HttpClient(("127.0.0.1", cluster.public[next(node_names)]))
        try:
            status, body = client.request("GET", f"/submissions/{job_id}", None, 3.0)
        except ClientError:
            continue
        finally:
            client.close()
        if status == 200:
            return str(msgspec.msgpack.decode(body)["status"])
    return None


def wait_until_done(cluster: LoopbackCluster, jobs: list[str]) -> None:
    deadline = time.monotonic() + 2 * TIMEOUT_S
    unfinished = list(jobs)
    while unfinished:
        unfinished = [job_id for job_id in unfinished if job_status(cluster, job_id) != "done"]
        if time.monotonic() > deadline:
            pytest.fail(
                f"{len(unfinished)} of {len(jobs)} jobs have not ended, first {unfinished[:3]}"
            )
        time.sleep(0.3)


def busiest_worker(cluster: LoopbackCluster) -> FakeWorker:
    """Wait until a live machine has tasks, and return the one with the most."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        with cluster.clock.lock:
            workers = [each for each in cluster.workers.values() if each.tasks and not each.dead]
            if workers:
                return max(workers, key=lambda worker: len(worker.tasks))
        time.sleep(0.05)
    pytest.fail("no machine has tasks")


@pytest.fixture
def loopback(tmp_path: Path) -> Iterator[LoopbackCluster]:
    cluster = LoopbackCluster(tmp_path, operator=OPERATOR, licences={"lic": LICENSES})
    yield cluster
    cluster.close()


def check_operator_view(
    cluster: LoopbackCluster, jobs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Check the command-line views: no unit is held, and the audit log is complete."""
    address = f"127.0.0.1:{cluster.public[cluster.names[0]]}"
    assert main(["seats", address, "--json"]) == 0
    (resource,) = msgspec.json.decode(capsys.readouterr().out)["resources"]
    assert (resource["held"], resource["waiting"], resource["jobs"]) == (0, 0, [])
    assert main(["seats", address]) == 0
    assert capsys.readouterr().out.splitlines()[1].split()[:2] == ["lic", "100"]
    assert main(["seats", address, "--history", "--json"]) == 0
    entries = [msgspec.json.decode(line) for line in capsys.readouterr().out.splitlines()]
    assert [entry[0] for entry in entries] == list(range(len(entries)))
    held: Counter[str] = Counter()
    for _, _, kind, *details in entries[1:]:
        held[f"{details[0]}#{details[2]}"] += 1 if kind == "grant" else -1
    assert set(held.values()) == {0}, "each grant has exactly one return"
    assert {holder.split("#")[0] for holder in held} == set(jobs)


def test_loopback_cluster_400_jobs_on_40_licenses_survive_kills(
    loopback: LoopbackCluster, capsys: pytest.CaptureFixture[str]
) -> None:
    cluster = loopback
    jobs = [cluster.submit(n, urgency="low", **SMALL_WITH_CHECKPOINTS) for n in range(1, 61)]
    cluster.run_times = dict.fromkeys(jobs, 1.5)
    jobs += [cluster.submit(n, **SMALL) for n in range(61, 201)]
    for round_number in range(2):
        # The jobs may all be submitted before the first machine has booted.
        cluster.die(busiest_worker(cluster))
        first = 201 + 100 * round_number
        jobs += [cluster.submit(n, urgency="critical", **SMALL) for n in range(first, first + 100)]
        leader = cluster.leader()
        cluster.processes[leader].kill()
        cluster.processes[leader].wait()
        cluster.launch(leader)
    wait_until_done(cluster, jobs)
    assert len(jobs) == 400
    assert cluster.licences.over_issued == []
    assert cluster.licences.refused_check_outs == []
    assert cluster.invariants.violations == []
    check_operator_view(cluster, jobs, capsys)
    assert cluster.licences.max_used > LICENSES // 2, "the jobs contended for licenses"


def test_planted_release_at_kill_command_is_detected_by_loopback_check(tmp_path: Path) -> None:
    cluster = LoopbackCluster(
        tmp_path, ("-m", "tests.support.planted_defects"), OPERATOR, {"lic": LICENSES}
    )
    try:
        # Set before the first submission: on a busy machine a job with the usual short run
        # time ended before the last one was submitted and was never observed running.
        cluster.run_times = {f"job-{n:06d}": 60.0 for n in range(1, LICENSES + 1)}
        jobs = [
            cluster.submit(n, urgency="low", **SMALL_WITH_CHECKPOINTS)
            for n in range(1, LICENSES + 1)
        ]
        for job_id in jobs:
            cluster.request_until(job_id, "poll", "running")
        for n in range(LICENSES + 1, 2 * LICENSES + 1):
            cluster.submit(n, urgency="critical", **SMALL)
        deadline = time.monotonic() + TIMEOUT_S
        while not cluster.invariants.violations and time.monotonic() < deadline:
            time.sleep(0.1)
        assert any(broken.startswith("seats") for broken in cluster.invariants.violations)
    finally:
        cluster.close()
