"""Coverage-guided fuzzing of what comes from outside, with atheris.

    python -m tests.support.input_fuzzer FOLDER -runs=100000

FOLDER gets valid messages to start from, and what the fuzzer finds new. Every
input is either taken or refused with the one error that its door promises; an
account at a licence server keeps its bounds whatever the server answers.
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
    from appleshift.counted_resources import license_reservation as accounts
    from appleshift.protocol import counted_resources as seats
    from appleshift.protocol import license_server as licences
    from appleshift.protocol import operator, settings, users, wire, workers

SERVER = seats.LicenseServer("10.0.0.1:1")
TEXT = Path(tempfile.mkdtemp()) / "seats.textproto"
PLANTED = os.environ.get("PLANTED") == "1"


def submission(body: bytes) -> None:
    with contextlib.suppress(wire.ProtocolError):
        spec = users.decode_submission(body)
        wanted = seats.parse_requested_counts(spec.counted_resources)
        assert len(wanted) <= seats.MAX_RESOURCES_PER_SUBMISSION
        assert all(0 < count <= seats.MAX_COUNT for count in wanted.values())


def report(body: bytes) -> None:
    with contextlib.suppress(wire.ProtocolError):
        workers.decode_heartbeat(body)


def standing(body: bytes) -> None:
    account = accounts.LicenseReservation("lic", SERVER, 1)
    account.checked_out("job-000001/0#1", 2)
    account.checked_out("job-000001/1#1", 1)
    account.checked_in("job-000001/1#1", 1, started=True)
    asked = account.next_request(10.0, 5).heartbeat
    with contextlib.suppress(wire.ProtocolError):
        told = licences.decode_reservation_reply(body)
        account.reply_received(
            asked.serial, msgspec.structs.replace(told, serial=asked.serial), 10.5
        )
    most = asked.reserve - (1 if PLANTED else 0)
    assert 0 <= account.capacity(10.6, 100) <= most
    assert account.pending_returns() >= 0
    assert account.capacity(10.0 + SERVER.silent_s + 0.1, 100) == 0
    wire.encode(account.view(10.6))


def definitions(body: bytes) -> None:
    TEXT.write_bytes(body)
    with contextlib.suppress(settings.SettingsError):
        operator.load_operator_settings(TEXT)


DOORS = [submission, report, standing, definitions]


def one(data: bytes) -> None:
    if data:
        DOORS[data[0] % len(DOORS)](data[1:])


def start_from(folder: Path) -> None:
    """One valid message for each door."""
    spec = {
        "name_id": "job-000001", "workload": "w", "owner": "red", "shape": "array",
        "urgency": "low", "pieces": 2, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "i", "image_gb": 1.0, "rig_kinds": None, "yard": None, "together": False,
        "spread": False, "loaners": True, "expected_s": 1.0, "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0, "due_s": None, "seats": {"lic": 1},
    }  # fmt: skip
    beat = {
        "rig": "m", "addr": "a:1", "rig_kind": "t", "yard": "a", "loaners": False, "shift": 1,
        "tally": 1, "baton": 1, "pieces": [{"piece": "job-000001/0", "try": 1, "status": "exited"}],
    }  # fmt: skip
    answer = {
        "serial": 1, "total": 9, "others": 1, "reserved": 5, "ttl_s": 60.0,
        "holders": [{"holder": "job-000001/0#1", "count": 2}],
    }  # fmt: skip
    text = (Path(__file__).parent.parent.parent / "deploy" / "seats.textproto").read_bytes()
    messages = [*(msgspec.msgpack.encode(each) for each in (spec, beat, answer)), text]
    for number, message in enumerate(messages):
        (folder / f"seed-{number}").write_bytes(bytes([number]) + message)


if __name__ == "__main__":
    start_from(Path(sys.argv[1]))
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
