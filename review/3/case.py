"""A job is cancelled while a controller still waits for the leader's answer to a question."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
import links  # noqa: E402

INTERRUPTION_S = 0.8
"""How long the network between the two controllers is interrupted."""
FINAL = ("done", "aborted")


class LinkedDeployment(harness.Deployment):
    """A deployment whose controllers reach each other through links that can be interrupted."""

    def peer_address(self, name: str, other: str) -> harness.Address:
        """Return the address of the link from ``name`` to ``other``."""
        if not hasattr(self, "links"):
            self.links: dict[tuple[str, str], links.Link] = {}
        link = self.links[name, other] = links.Link(harness.HOST, self.cluster[other])
        return link.address


def case(deployment: harness.Deployment, trouble: bool) -> bool:
    """Return whether the user gets no answer that is older than the confirmed cancellation."""
    assert isinstance(deployment, LinkedDeployment)
    deployment.start()
    deployment.leader()
    deployment.run_time_s = lambda piece: 60.0
    job = deployment.job(1, expected_s=60.0)
    deployment.submit(job)
    deployment.wait_for("the task runs", lambda: bool(deployment.jobs[job].on_machines.get(0)), 20)
    # By now all controllers know the leader, and the worker has reported its task.
    time.sleep(6.0)
    leader = deployment.leader()
    follower = next(name for name in deployment.names if name != leader)
    deployment.note(f"{leader} leads")
    link = deployment.links[follower, leader]
    if trouble:
        link.interrupt_after(f"GET /submissions/{job}".encode(), INTERRUPTION_S)
    answers: list[tuple[float, int, str | None]] = []

    def poll() -> None:
        status, body = deployment.ask(follower, "GET", f"/submissions/{job}")
        answers.append((time.monotonic(), status, body.get("status") if status == 200 else None))

    poller = threading.Thread(target=poll)
    poller.start()
    time.sleep(0.3)
    if trouble:
        if link.interrupted_at is None:
            raise harness.CannotRunError("the question did not pass the link in time")
        deployment.note(f"the network between {follower} and {leader} is interrupted since 0.3 s")
    status, body = deployment.ask(leader, "POST", f"/submissions/{job}/abort")
    told_at = time.monotonic()
    if status != 200 or body["status"] not in FINAL:
        raise harness.CannotRunError("the cancellation was not confirmed")
    poller.join()
    at, status, state = answers[0]
    if status == 200 and state != body["status"] and at > told_at:
        deployment.note(
            f"{follower} calls the job {state}, {at - told_at:.3f} s after {leader} has told its"
            f" user that it is {body['status']}"
        )
        return False
    return True


if __name__ == "__main__":
    sys.exit(harness.main(HERE / "record.txt", case, LinkedDeployment))
