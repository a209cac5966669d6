"""Writes the golden samples with the current code: ``python -m tests.golden.write_samples``.

``contents.json`` defines the contents of the samples, with the field names of the wire.
Existing files are never overwritten, because a sample represents data that earlier versions
have stored or sent. To change a sample, remove its file first and give the reason.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.golden import adapter, describe
from tests.golden.describe import Sample

FOLDER = Path(__file__).parent

Contents = dict[str, Any]


def contents() -> Contents:
    loaded: Contents = json.loads((FOLDER / "contents.json").read_text())
    return loaded


def replayed_records(inputs: Contents) -> list[Sample]:
    return [describe.replayed_records(*log) for log in inputs["logStories"].items()]


def written_logs(inputs: Contents) -> list[Sample]:
    logs = inputs["logStories"]
    finals = inputs["finalStatesSaved"]["finalRows"]
    return [
        describe.written_log(
            title, each["keyPrefix"], each["alsoGuarded"], logs[each["storyTitle"]], finals
        )
        for title, each in inputs["logRanges"].items()
    ]


def shard_maps(inputs: Contents) -> list[Sample]:
    names = inputs["mappedNames"]
    return [
        describe.shard_map(title, value, names["jobIds"], names["machineNames"])
        for title, value in inputs["shareMaps"].items()
    ]


def new_epochs(inputs: Contents) -> list[Sample]:
    return [describe.new_epoch(*each) for each in inputs["newEpochs"].items()]


def elections(inputs: Contents) -> list[Sample]:
    leader_value = inputs["holderRow"]["rowValue"]
    return [
        describe.election(
            title, each["shareNumber"], each["tokenRow"], each["alsoGuarded"], leader_value
        )
        for title, each in inputs["shareElections"].items()
    ]


def _messages(cases: dict[str, list[Any]], make: Callable[[str, Any], Sample]) -> list[Sample]:
    return [make(label, value) for label, values in cases.items() for value in values]


def read_messages(inputs: Contents) -> list[Sample]:
    return _messages(
        inputs["messagesRead"],
        lambda label, value: describe.read_message(label, adapter.to_bytes(value)),
    )


def refused_messages(inputs: Contents) -> list[Sample]:
    return _messages(
        inputs["messagesRefused"],
        lambda label, value: describe.refused_message(label, adapter.to_bytes(value)),
    )


def built_messages(inputs: Contents) -> list[Sample]:
    return _messages(inputs["messagesBuilt"], describe.built_message)


FILES: dict[str, Callable[[Contents], list[Sample]]] = {
    "log_records.json": replayed_records,
    "stored_logs.json": written_logs,
    "share_maps.json": shard_maps,
    "share_epochs.json": new_epochs,
    "holder_keys.json": elections,
    "messages_read.json": read_messages,
    "messages_refused.json": refused_messages,
    "messages_built.json": built_messages,
}


def formatted(entries: list[Sample]) -> str:
    """JSON with one line per field of a sample, to keep diffs small."""
    blocks = []
    for entry in entries:
        lines = [f"  {json.dumps(name)}: {json.dumps(value)}" for name, value in entry.items()]
        blocks.append("{\n" + ",\n".join(lines) + "\n}")
    return "[\n" + ",\n".join(blocks) + "\n]\n"


def main() -> int:
    """Writes the missing sample files; returns exit code 1 if none is missing."""
    missing = [name for name in FILES if not (FOLDER / name).exists()]
    for name in FILES.keys() - missing:
        print(f"{name}: already exists, not overwritten", file=sys.stderr)
    inputs = contents()
    for name in missing:
        (FOLDER / name).write_text(formatted(FILES[name](inputs)))
    return 0 if missing else 1


if __name__ == "__main__":
    sys.exit(main())
