"""Requests get the documented status, also with invalid input."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from appleshift.protocol import users
from appleshift.protocol.wire import ProtocolError
from appleshift.transport.http_messages import Request
from tests.support.invariants import ObservedJob
from tests.support.simulated_world import World

VALID_SUBMISSION: dict[str, Any] = {
    "name_id": "job-000412", "workload": "train", "owner": "red", "shape": "array",
    "urgency": "high", "pieces": 2, "vcpus": 1.0, "cards": 0.0, "ram_gb": 4.0,
    "bundle": "img-07", "image_gb": 6.2, "rig_kinds": None, "yard": None, "together": False,
    "spread": False, "loaners": True, "expected_s": 24.0, "snapshot_every_s": 0.0,
    "snapshot_cost_s": 0.0, "due_s": None,
}  # fmt: skip


def encoded(**changes: Any) -> bytes:
    """An encoded valid submission with changed fields; the value "-" removes a field."""
    body = {**VALID_SUBMISSION, **changes}
    return msgspec.msgpack.encode({key: value for key, value in body.items() if value != "-"})


def test_submission_nullable_fields_may_be_missing() -> None:
    body = encoded(rig_kinds="-", yard="-", due_s="-", brand_new=1)
    assert users.decode_submission(body).deadline_s is None


@pytest.mark.parametrize(
    "body",
    [
        b"\xc1", b"", msgspec.msgpack.encode([1]), encoded()[:-3], encoded(owner="-"),
        encoded(pieces=0), encoded(pieces=100_001), encoded(pieces=1.5), encoded(pieces="2"),
        encoded(vcpus=-1.0), encoded(vcpus=math.nan), encoded(ram_gb=math.inf),
        encoded(shape="circle"), encoded(urgency=1), encoded(together=1), encoded(name_id="412"),
        encoded(name_id="job-000412/3"), encoded(name_id="job-41\u0662000"), encoded(owner=""),
        encoded(bundle="x" * 300), encoded(rig_kinds="small"), encoded(due_s=-5.0),
        b"\x91" * 5000,
    ],
)  # fmt: skip
def test_submission_malformed_is_refused_with_400(body: bytes) -> None:
    with pytest.raises(ProtocolError) as refused:
        users.decode_submission(body)
    assert refused.value.status == 400


def ask(world: World, host: str, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
    answers: list[tuple[int, bytes]] = []
    world.serve_request(
        world.hosts[host], "public", Request(method, path, body),
        lambda status, raw: answers.append((status, raw)),
    )  # fmt: skip
    world.run(world.sim.now + 5.0)
    ((status, raw),) = answers
    return status, msgspec.msgpack.decode(raw)


def test_api_every_call_on_every_node_returns_documented_status() -> None:
    world = World(5)
    world.loss_share = 0.0
    try:
        world.run(10.0)
        for node in world.site.nodes:
            job_id = f"job-10000{node[1]}"
            path = f"/submissions/{job_id}"
            spec = {**VALID_SUBMISSION, "name_id": job_id, "shape": "daemon", "ram_gb": 1.0}
            world.invariants.jobs[job_id] = ObservedJob(spec)
            body = msgspec.msgpack.encode(spec)
            assert ask(world, node, "GET", path)[0] == 404
            assert ask(world, node, "POST", path + "/abort")[0] == 404
            assert ask(world, node, "POST", "/submissions", body) == (
                201, {"name_id": job_id, "status": "pending"},
            )  # fmt: skip
            assert ask(world, node, "POST", "/submissions", body)[0] == 200
            assert ask(world, node, "GET", path)[1]["name_id"] == job_id
            world.invariants.jobs[job_id].tried_cancel = True
            done = {"name_id": job_id, "status": "aborted"}
            assert ask(world, node, "POST", path + "/abort") == (200, done)
            world.run(world.sim.now + 30.0)
            # Only the job's final record is left: a resubmission must still find the job.
            assert ask(world, node, "POST", "/submissions", body) == (200, done)
            assert ask(world, node, "GET", path)[1]["status"] == "aborted"
            assert ask(world, node, "POST", path + "/abort") == (200, done)
            for changes in ({"owner": "nobody"}, {"vcpus": 99.0}, {"cards": 4.0, "yard": "c"}):
                other = encoded(name_id="job-555555", **changes)
                assert ask(world, node, "POST", "/submissions", other)[0] == 422
            too_many = encoded(name_id="job-555555", shape="daemon", pieces=100)
            assert ask(world, node, "POST", "/submissions", too_many)[0] == 422
            assert ask(world, node, "POST", "/submissions", b"junk")[0] == 400
            assert ask(world, node, "POST", "/agent/beat", b"junk")[0] == 400
            assert ask(world, node, "GET", "/submissions/no-such-form")[0] == 404
            assert ask(world, node, "DELETE", path)[0] == 405
            assert ask(world, node, "GET", "/elsewhere")[0] == 404
            assert ask(world, node, "GET", "/ready")[0] == 200
    finally:
        world.close()


def test_submission_during_store_outage_is_refused_promptly() -> None:
    world = World(6)
    world.loss_share = 0.0
    try:
        world.run(10.0)
        world.store.unavailable = True
        ask(world, "n0", "POST", "/submissions", encoded(name_id="job-000001"))
        before = world.sim.now
        for node in world.site.nodes:
            answers: list[tuple[float, int]] = []
            world.serve_request(
                world.hosts[node], "public",
                Request("POST", "/submissions", encoded(name_id="job-000002")),
                lambda status, raw, answers=answers: answers.append((world.sim.now, status)),
            )  # fmt: skip
            world.run(world.sim.now + 0.5)
            assert [status for _, status in answers] == [503]
            assert answers[0][0] - before < 3.0
    finally:
        world.close()
