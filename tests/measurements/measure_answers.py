"""Measures answers about jobs on three real nodes on loopback.

    python -m tests.measurements.measure_answers [--polls 300] [--jobs 40] [--checkout DIR]

Not a test: figures for docs/CAPACITY.md. Polls go one after the other to a node that does not
lead; each cancellation goes to the leader right after such a poll, or after none; each short job
is polled at both until it is called done.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

from tests.support.loopback_cluster import ROOT, LoopbackCluster

SERVICE_RUN_S = 3600.0
SETTLE_S = 5.0
SHORT_RUN_S = 0.5
DONE_POLL_S = 0.05


class AnswerMeasurement:
    """A cluster whose jobs run until they are cancelled, and the times of its answers."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        self.cluster = cluster
        self.leader = cluster.leader()
        self.follower = next(name for name in cluster.names if name != self.leader)
        self.number = 0

    def timed(self, job_id: str, call: str, node: str) -> tuple[float, int, str | None]:
        began = time.monotonic()
        status, state = self.cluster.request(job_id, call, node)
        return (time.monotonic() - began) * 1000, status, state

    def submit(self, run_time_s: float) -> tuple[str, float]:
        """Submit a job at the leader; return its id and the time to the answer in ms."""
        self.number += 1
        job_id = self.cluster.add_job(self.number, pieces=1)
        self.cluster.run_times[job_id] = run_time_s
        return job_id, self.timed(job_id, "submit", self.leader)[0]

    def polls(self, count: int) -> None:
        job_id, _ = self.submit(SERVICE_RUN_S)
        time.sleep(SETTLE_S)
        began = time.monotonic()
        found = [self.timed(job_id, "poll", self.follower) for _ in range(count)]
        rate = count / (time.monotonic() - began)
        statuses = dict(Counter(status for _, status, _ in found))
        print(
            f"polls at a follower: {rate:.0f}/s, {statuses}, ms {spread([t for t, _, _ in found])}"
        )

    def cancellations(self, count: int, after_poll: bool) -> None:
        submissions, times = [], []
        for _ in range(count):
            job_id, submitted_ms = self.submit(SERVICE_RUN_S)
            submissions.append(submitted_ms)
            time.sleep(SHORT_RUN_S)
            if after_poll:
                self.timed(job_id, "poll", self.follower)
            times.append(self.timed(job_id, "cancel", self.leader)[0])
        what = "right after a poll at a follower" if after_poll else "without a poll"
        print(f"submissions: ms {spread(submissions)}")
        print(f"cancellations {what}: ms {spread(times)}")

    def ends(self, count: int) -> None:
        delays = []
        for _ in range(count):
            job_id, _ = self.submit(SHORT_RUN_S)
            job = self.cluster.invariants.jobs[job_id]
            ended_at = None
            while job.reported_state is None:
                for node in (self.follower, self.leader):
                    self.timed(job_id, "poll", node)
                if ended_at is None and job.done:
                    ended_at = time.monotonic()
                time.sleep(DONE_POLL_S)
            delays.append((time.monotonic() - (ended_at or time.monotonic())) * 1000)
        print(f"done after the end was seen: ms {spread(delays)}")


def spread(times_ms: list[float]) -> str:
    """Return median, 95th percentile and maximum."""
    percentiles = statistics.quantiles(times_ms, n=20)
    return f"p50 {percentiles[9]:.0f} p95 {percentiles[18]:.0f} max {max(times_ms):.0f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--polls", type=int, default=300)
    parser.add_argument("--jobs", type=int, default=40)
    parser.add_argument("--checkout", type=Path, default=ROOT)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = LoopbackCluster(Path(folder), checkout=options.checkout)
        try:
            measurement = AnswerMeasurement(cluster)
            measurement.polls(options.polls)
            measurement.cancellations(options.jobs, after_poll=True)
            measurement.cancellations(options.jobs, after_poll=False)
            measurement.ends(options.jobs // 2)
            print(f"rules broken: {cluster.invariants.violations}")
        finally:
            cluster.close()


if __name__ == "__main__":
    main()
