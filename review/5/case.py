"""Accepted arrays of 100,000 tasks take more memory than a controller has, in every term."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from cluster import Cluster, Record, move_book, run_case  # noqa: E402

ARRAYS = 30
PIECES = 100_000
"""The most that a job may have."""
USUAL_PIECES = 200
"""Largest arrays of ``invoice-reprint`` by the brief: 212."""
ORDINARY = "job-000001"
RUN_S = 12.0
TOTAL_S = 112.0


def play(record: Record, trouble: bool) -> bool:
    """Return whether an ordinary accepted job never ran although its class is urgent."""
    began = time.monotonic()
    cluster = Cluster(move_book(), record)
    try:
        cluster.start_nodes()
        cluster.watch_memory()
        cluster.run_times[ORDINARY] = RUN_S
        ordinary = cluster.job(
            1, workload="route-plan", owner="dispatch", urgency="high", pieces=6, vcpus=2.0,
            ram_gb=6.5, image_gb=0.9, loaners=True, expected_s=RUN_S, due_s=28.0,
        )  # fmt: skip
        pieces = PIECES if trouble else USUAL_PIECES
        accepted = 0
        for number in range(ARRAYS):
            array = cluster.job(
                100 + number, workload="invoice-reprint", owner="billing", urgency="low",
                pieces=pieces, vcpus=2.0, ram_gb=4.8, image_gb=1.8, loaners=True,
                expected_s=30.0, due_s=100.0,
            )  # fmt: skip
            cluster.run_times[str(array["name_id"])] = 30.0
            accepted += cluster.submit(array, tries=2.0) in (200, 201)
            if number == 0 and cluster.submit(ordinary) not in (200, 201):
                # A job that was never accepted proves nothing.
                record.write("the ordinary job was not accepted")
                return False
        record.write(f"{accepted} arrays of {pieces} pieces accepted")
        answered = polls = 0
        while time.monotonic() - began < TOTAL_S:
            for name in cluster.names:
                status, answer = cluster.poll(name, ORDINARY)
                polls += 1
                answered += status == 200
                if status == 200 and answer["status"] == "done":
                    return False
            time.sleep(1.0)
        ended = len(cluster.ended_for_memory)
        record.write(
            f"ordinary job: {cluster.done_count(ORDINARY)} of 6 tasks completed,"
            f" {answered} of {polls} polls answered; processes ended for memory: {ended}"
        )
        return ended > 0
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
