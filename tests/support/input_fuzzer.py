"""Coverage-guided fuzzing of messages and files from outside, with atheris.

    python -m tests.support.input_fuzzer FOLDER -runs=100000

FOLDER receives valid messages as seeds and the inputs that the fuzzer adds. Each input must be
either accepted or rejected with the documented error of its decoder. A reservation at a license
server must keep its bounds for each response of the server.
"""

from __future__ import annotations

import contextlib
import os
import sys
import tempfile
from pathlib import Path

import atheris
import msgspec

with atheris.instrument_imports(include=["appleshift"]):
    from appleshift.counted_resources import license_reservation
    from appleshift.protocol import (
        counted_resources,
        license_server,
        operator,
        settings,
        users,
        wire,
        workers,
    )

SERVER = counted_resources.LicenseServer("10.0.0.1:1")
TEXT = Path(tempfile.mkdtemp()) / "seats.textproto"
PLANTED = os.environ.get("PLANTED") == "1"


def submission(body: bytes) -> None:
    """Decode a submission; counts of requested resources must be within their bounds."""
    with contextlib.suppress(wire.ProtocolError):
        spec = users.decode_submission(body)
        wanted = counted_resources.parse_requested_counts(spec.counted_resources)
        assert len(wanted) <= counted_resources.MAX_RESOURCES_PER_SUBMISSION
        assert all(0 < count <= counted_resources.MAX_COUNT for count in wanted.values())


def heartbeat(body: bytes) -> None:
    """Decode a heartbeat."""
    with contextlib.suppress(wire.ProtocolError):
        workers.decode_heartbeat(body)


def reservation_reply(body: bytes) -> None:
    """Apply a license server's reply; the capacity must never exceed the reservation."""
    reservation = license_reservation.LicenseReservation("lic", SERVER, 1)
    reservation.checked_out("job-000001/0#1", 2)
    reservation.checked_out("job-000001/1#1", 1)
    reservation.checked_in("job-000001/1#1", 1, started=True)
    request = reservation.next_request(10.0, 5).heartbeat
    with contextlib.suppress(wire.ProtocolError):
        reply = license_server.decode_reservation_reply(body)
        reservation.reply_received(
            request.serial, msgspec.structs.replace(reply, serial=request.serial), 10.5
        )
    limit = request.reserve - (1 if PLANTED else 0)
    assert 0 <= reservation.capacity(10.6, 100) <= limit
    assert reservation.pending_returns() >= 0
    assert reservation.capacity(10.0 + SERVER.silent_s + 0.1, 100) == 0
    wire.encode(reservation.view(10.6))


def definitions(body: bytes) -> None:
    """Load an operator file."""
    TEXT.write_bytes(body)
    with contextlib.suppress(settings.SettingsError):
        operator.load_operator_settings(TEXT)


TARGETS = [submission, heartbeat, reservation_reply, definitions]


def fuzz_one_input(data: bytes) -> None:
    if data:
        TARGETS[data[0] % len(TARGETS)](data[1:])


def write_seeds(folder: Path) -> None:
    """Write one valid message for each target."""
    spec = {
        "name_id": "job-000001", "workload": "w", "owner": "red", "shape": "array",
        "urgency": "low", "pieces": 2, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "i", "image_gb": 1.0, "rig_kinds": None, "yard": None, "together": False,
        "spread": False, "loaners": True, "expected_s": 1.0, "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0, "due_s": None, "seats": {"lic": 1},
    }  # fmt: skip
    heartbeat_fields = {
        "rig": "m", "addr": "a:1", "rig_kind": "t", "yard": "a", "loaners": False, "shift": 1,
        "tally": 1, "baton": 1, "pieces": [{"piece": "job-000001/0", "try": 1, "status": "exited"}],
    }  # fmt: skip
    reply = {
        "serial": 1, "total": 9, "others": 1, "reserved": 5, "ttl_s": 60.0,
        "holders": [{"holder": "job-000001/0#1", "count": 2}],
    }  # fmt: skip
    text = (Path(__file__).parent.parent.parent / "deploy" / "seats.textproto").read_bytes()
    messages = [*(msgspec.msgpack.encode(each) for each in (spec, heartbeat_fields, reply)), text]
    for number, message in enumerate(messages):
        (folder / f"seed-{number}").write_bytes(bytes([number]) + message)


if __name__ == "__main__":
    write_seeds(Path(sys.argv[1]))
    atheris.Setup(sys.argv, fuzz_one_input)
    atheris.Fuzz()
