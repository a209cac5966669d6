"""Stored data and messages of earlier versions stay readable and are written byte for byte.

The samples were written before identifiers in the code were renamed
(``tests/golden/README.md``). A failure means that this version would misread data of an older
version, or that an older version would misread data of this one: fix the code, not the sample.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.golden import adapter, describe, write_samples

FOLDER = Path(__file__).parent / "golden"


def load_samples(name: str) -> list[Any]:
    samples: list[Any] = json.loads((FOLDER / name).read_text())
    assert samples
    return samples


def sample_titles(name: str) -> list[str]:
    return [sample["sampleTitle"] for sample in load_samples(name)]


def sample_with_title(name: str, title: str) -> dict[str, Any]:
    return next(sample for sample in load_samples(name) if sample["sampleTitle"] == title)


def decode_hex(text: str) -> Any:
    return adapter.from_bytes(bytes.fromhex(text))


def assert_same_fields(made: dict[str, Any], sample: dict[str, Any]) -> None:
    """Compares field by field, so that a failure names the field that differs."""
    as_stored = json.loads(json.dumps(made))
    assert as_stored.keys() == sample.keys()
    for name, value in sample.items():
        assert as_stored[name] == value, name


# -- log records ------------------------------------------------------------------------------


@pytest.mark.parametrize("title", sample_titles("log_records.json"))
def test_log_records_read_and_rewritten_keep_state_and_bytes(title: str) -> None:
    sample = sample_with_title("log_records.json", title)
    records = [decode_hex(text) for text in sample["recordsHex"]]
    assert records == sample["plainView"]
    for text, written in zip(sample["recordsHex"], sample["writtenHex"], strict=True):
        assert written == [text], "the rewritten record differs"
    assert_same_fields(describe.replayed_records(title, records), sample)


def test_log_records_every_kind_has_golden_sample() -> None:
    records = [each for sample in load_samples("log_records.json") for each in sample["plainView"]]
    assert {record[0] for record in records} == adapter.record_kinds()
    forms = {(record[0], len(record)) for record in records}
    assert {("J", 4), ("J", 5), ("M", 6), ("M", 8), ("A", 6), ("A", 7)} <= forms
    assert {("F", 3), ("F", 4), ("D", 3), ("D", 4)} <= forms


@pytest.mark.parametrize("title", sample_titles("log_records.json"))
def test_snapshot_read_back_gives_state_of_log(title: str) -> None:
    """Compares only live state: a snapshot does not keep finished jobs and deleted machines."""
    sample = sample_with_title("log_records.json", title)
    after, restored = sample["stateAfter"], sample["stateFromSnapshot"]
    for name in ("nextJobNumber", "openJobs", "knownMachines", "machinesGivenAway",
                 "machineTypes", "spotGroups", "countedResources"):  # fmt: skip
        assert restored[name] == after[name], name


# -- the log in the key-value store -----------------------------------------------------------


@pytest.mark.parametrize("title", sample_titles("stored_logs.json"))
def test_write_ahead_log_writes_same_transactions_as_golden_sample(title: str) -> None:
    sample = sample_with_title("stored_logs.json", title)
    made = describe.written_log(
        title,
        sample["keyPrefix"],
        sample["alsoGuarded"],
        sample["recordsView"],
        sample["finalsView"],
    )
    assert_same_fields(made, sample)


@pytest.mark.parametrize("title", sample_titles("stored_logs.json"))
def test_stored_log_and_snapshots_recover_same_state(title: str) -> None:
    sample = sample_with_title("stored_logs.json", title)
    prefix = sample["keyPrefix"]
    for stage in sample["rowsStages"]:
        rows = {key: decode_hex(text) for key, text in stage["rowsHex"].items()}
        assert list(rows) == stage["rowKeys"]
        assert_same_fields(describe.stored_rows(prefix, rows), stage)


def test_stored_rows_every_kind_has_golden_sample() -> None:
    kinds, headers = set(), set()
    for sample in load_samples("stored_logs.json"):
        prefix, last = sample["keyPrefix"], sample["rowsStages"][-1]
        kinds |= {key.removeprefix(prefix).split("/")[0] for key in last["rowKeys"]}
        headers |= {len(decode_hex(last["rowsHex"][f"{prefix}meta"]))}
    assert kinds == {"audit", "final", "log", "meta", "snap"}
    assert headers == {5, 6}, "headers with and without an audit log"
    assert (
        adapter.audit_page_key(1)
        in load_samples("stored_logs.json")[0]["rowsStages"][-1]["rowKeys"]
    )


# -- shard map, leader keys ----------------------------------------------------------


@pytest.mark.parametrize("title", sample_titles("share_maps.json"))
def test_shard_map_read_and_rewritten_keeps_bytes(title: str) -> None:
    sample = sample_with_title("share_maps.json", title)
    value = decode_hex(sample["changeHex"])["v"]
    assert_same_fields(
        describe.shard_map(title, value, sample["jobsView"], sample["machinesView"]), sample
    )


@pytest.mark.parametrize("title", sample_titles("share_epochs.json"))
def test_shard_map_new_epoch_equals_golden_sample(title: str) -> None:
    sample = sample_with_title("share_epochs.json", title)
    assert_same_fields(describe.new_epoch(title, sample["argumentsView"]), sample)


@pytest.mark.parametrize("title", sample_titles("holder_keys.json"))
def test_leader_keys_read_and_rewritten_keep_bytes(title: str) -> None:
    sample = sample_with_title("holder_keys.json", title)
    leader_value = decode_hex(sample["holderRowHex"])
    made = describe.election(
        title, sample["shareNumber"], sample["tokenRow"], sample["alsoGuarded"], leader_value
    )
    assert_same_fields(made, sample)


# -- messages --------------------------------------------------------------------------------


def message_labels(name: str) -> list[str]:
    return sorted({sample["messageLabel"] for sample in load_samples(name)})


def samples_with_label(name: str, label: str) -> list[dict[str, Any]]:
    return [sample for sample in load_samples(name) if sample["messageLabel"] == label]


@pytest.mark.parametrize("label", message_labels("messages_read.json"))
def test_messages_read_and_rewritten_keep_bytes(label: str) -> None:
    for sample in samples_with_label("messages_read.json", label):
        data = bytes.fromhex(sample["messageHex"])
        assert_same_fields(describe.read_message(label, data), sample)


@pytest.mark.parametrize("label", message_labels("messages_refused.json"))
def test_messages_malformed_are_refused_with_same_status(label: str) -> None:
    for sample in samples_with_label("messages_refused.json", label):
        data = bytes.fromhex(sample["messageHex"])
        assert_same_fields(describe.refused_message(label, data), sample)


@pytest.mark.parametrize("label", message_labels("messages_built.json"))
def test_messages_built_equal_golden_bytes(label: str) -> None:
    for sample in samples_with_label("messages_built.json", label):
        assert_same_fields(describe.built_message(label, sample["argumentsView"]), sample)


def test_messages_every_struct_has_golden_sample() -> None:
    assert message_labels("messages_read.json") == sorted(adapter.READERS)
    assert message_labels("messages_built.json") == sorted(adapter.BUILDERS)
    seen: set[type] = set()
    for sample in load_samples("messages_read.json"):
        data = bytes.fromhex(sample["messageHex"])
        seen |= adapter.structs_within(adapter.read_message(sample["messageLabel"], data))
    assert {kind.__name__ for kind in adapter.message_structs() - seen} == set()


# -- the samples themselves -----------------------------------------------------------------


def test_sample_writer_makes_same_files_and_overwrites_none(
    capsys: pytest.CaptureFixture[str],
) -> None:
    inputs = write_samples.contents()
    for name, make in write_samples.FILES.items():
        assert write_samples.formatted(make(inputs)) == (FOLDER / name).read_text(), name
    assert write_samples.main() == 1
    assert "not overwritten" in capsys.readouterr().err
