"""Tests of scale-out: the machine limit, and machines missing from a cloud listing."""

from __future__ import annotations

import msgspec

from appleshift.contracts.actions import (
    DeleteMachines,
    ProbeMachine,
    RentMachines,
)
from appleshift.protocol.cloud import decode_machine_list
from appleshift.protocol.settings import MachineLimits
from appleshift.protocol.workers import Heartbeat
from tests.support.builders import submission
from tests.support.deployments import SMALL
from tests.support.scheduler_bench import SchedulerHarness, initial_records
from tests.support.tokens import TOKEN


def test_cloud_listing_with_malformed_rows_is_partial_and_deletes_no_machines() -> None:
    rows = [
        {"name_id": f"i-{number:06d}", "rig_kind": "small", "yard": "a", "loaners": False,
         "status": "running", "age_s": 5.0, "addr": f"10.1.0.{number}:9000"}
        for number in range(200)
    ]  # fmt: skip
    page = decode_machine_list(msgspec.msgpack.encode({"rigs": [*rows, 7, {"name_id": []}, None]}))
    assert len(page.machines) == 200
    assert not page.whole
    bench = SchedulerHarness(initial_records())
    bench.scheduler.fleet.machines_listed(page.machines, page.whole)
    assert len(bench.scheduler.cluster.machines) == 201
    machine = bench.scheduler.cluster.machine("i-000007")
    assert machine is not None
    for complete, deleted in ((False, False), (True, True)):
        bench.now += 200.0
        bench.scheduler.now = bench.now
        bench.scheduler.fleet.machines_listed([], complete)
        assert machine.deletion_requested is deleted


def test_scale_out_is_limited_by_heartbeat_connections() -> None:
    """Guards against renting more machines than the nodes have connections for.

    A deployment of three times the usual size once rented 8,677 machines although only 1,830
    could connect: machines without a free connection were deleted and replaced by others.
    """
    settings = SMALL.settings_for("n0")
    limits = MachineLimits(core_share=1.0, memory_mb=256.0, max_sockets=55)
    deployment = msgspec.structs.replace(settings.deployment, machine_limits=limits)
    bench = SchedulerHarness(
        initial_records(), msgspec.structs.replace(settings, deployment=deployment)
    )
    fleet = bench.scheduler.fleet
    fleet.listing_received = True
    for number in range(1, 40):
        spec = submission(id=f"job-{number:06d}", tasks=40, cpus=4.0, spot=False)
        bench.scheduler.job_requests.submit(spec, "user", 5000.0)
    probed: set[str] = set()
    rented: list[str] = []
    for _ in range(240):
        bench.commit_all()
        for action in bench.step(0.5):
            if isinstance(action, RentMachines):
                names = [f"i-{len(rented) + n}" for n in range(action.count)]
                rented += names
                fleet.rental_answered(action.request, names, False)
            elif isinstance(action, ProbeMachine):
                # The machine is up, but there is no free connection for its heartbeats.
                probed.add(action.machine)
                machine = bench.scheduler.cluster.machine(action.machine)
                assert machine is not None
                type_name = bench.scheduler.cluster.types[machine.type].name
                heartbeat = Heartbeat(
                    action.machine,
                    "10.1.0.9:1",
                    type_name,
                    "a",
                    False,
                    1,
                    machine.seq + 1,
                    TOKEN,
                    [],
                )
                bench.scheduler.probe_answered(action.machine, heartbeat)
            elif isinstance(action, DeleteMachines):
                bench.scheduler.deletion_answered(action.machines, True)
        rows = [
            {"name_id": name, "addr": "10.1.0.9:1", "rig_kind": "small", "yard": "a",
             "loaners": False, "status": "running", "age_s": 1.0}
            for name in rented
        ]  # fmt: skip
        listing = decode_machine_list(msgspec.msgpack.encode({"rigs": rows, "truncated": False}))
        fleet.machines_listed(listing.machines, False)
    assert fleet.max_machines == 27
    assert len(rented) == fleet.max_machines - 1, "the cluster had one machine before"
    assert len(probed) >= len(rented), "machines that boot late are probed before they are deleted"
