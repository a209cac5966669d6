"""Checks the public surface: settings, operator settings, commands, exit codes, HTTP responses.

The expected values are in ``tests/golden/public_surface.json`` rather than here, so that a
whole-word rename in Python files cannot change the code and the expectation together.
"""

from __future__ import annotations

import json
import signal
import threading
import tomllib
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.golden import surface_adapter as adapter
from tests.support.loopback_cluster import free_ports

ROOT = Path(__file__).parent.parent
SURFACE: dict[str, Any] = json.loads(
    (Path(__file__).parent / "golden" / "public_surface.json").read_text()
)
SETTINGS_TEXT = "\n".join(SURFACE["settingsSample"]) + "\n"


def field_paths(answer: Any, path: str = "") -> list[str]:
    """Paths of all fields of a response body; all entries of a list have the same path."""
    if isinstance(answer, dict):
        names = [(str(key) if isinstance(key, str) else "<number>") for key in answer]
        inner = [
            field_paths(value, f"{path}.{name}" if path else name)
            for name, value in zip(names, answer.values(), strict=True)
        ]
        return sorted({line for lines in inner for line in lines})
    if isinstance(answer, list):
        rows = [line for entry in answer for line in field_paths(entry, f"{path}[]")]
        return sorted({*rows}) or [f"{path}[]"]
    return [path]


# -- settings -----------------------------------------------------------------------------


def test_settings_fields_equal_frozen_list() -> None:
    assert adapter.settings_lines() == SURFACE["settingsLines"]


def test_settings_every_field_is_read(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS_TEXT)
    assert adapter.read_settings(path) == tomllib.loads(SETTINGS_TEXT)


@pytest.mark.parametrize(("reason", "old", "new"), SURFACE["settingsRefused"])
def test_settings_invalid_files_are_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], reason: str, old: str, new: str
) -> None:
    path = tmp_path / "settings.toml"
    assert old in SETTINGS_TEXT
    path.write_text(SETTINGS_TEXT.replace(old, new, 1))
    assert adapter.run_command(["check", str(path)]) == 2
    assert reason in capsys.readouterr().err


def test_operator_settings_defaults_and_bounds_equal_frozen_list() -> None:
    assert adapter.operator_lines() == SURFACE["operatorLines"]


@pytest.mark.parametrize(("name", "differing"), SURFACE["operatorSamples"])
def test_operator_settings_shipped_files_are_accepted(name: str, differing: list[str]) -> None:
    assert adapter.differs_from_defaults([ROOT / name]) == differing


@pytest.mark.parametrize("text", SURFACE["operatorAccepted"])
def test_operator_settings_valid_texts_are_accepted(tmp_path: Path, text: str) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text(text)
    assert adapter.operator_refusal(path) is None


@pytest.mark.parametrize(("text", "reason"), SURFACE["operatorRefused"])
def test_operator_settings_invalid_texts_are_refused(
    tmp_path: Path, text: str, reason: str
) -> None:
    path = tmp_path / "operator.textproto"
    path.write_text(text)
    refusal = adapter.operator_refusal(path)
    assert refusal is not None
    assert refusal.startswith(f"{path}:1:")
    assert reason in refusal


def test_deploy_file_has_build_and_run() -> None:
    text = (ROOT / "deploy" / "service.toml").read_text()
    assert text == SURFACE["serviceFile"]
    assert sorted(tomllib.loads(text)) == SURFACE["serviceKeys"]


# -- the command line ------------------------------------------------------------------------


def test_cli_commands_and_options_equal_frozen_list() -> None:
    assert adapter.command_lines() == SURFACE["commandLines"]


def test_cli_log_levels_equal_frozen_list() -> None:
    assert [[*level] for level in adapter.log_levels().items()] == SURFACE["logLevels"]


@pytest.fixture
def node_address() -> Iterator[str]:
    """Address of a fake node that answers requests with ``nodeAnswers`` of the frozen surface."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            status, body = SURFACE["nodeAnswers"][self.path]
            data = msgspec.msgpack.encode(body)
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_: Any) -> None:
            """Logs nothing."""

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()


@pytest.fixture
def restored_signal_handlers() -> Iterator[None]:
    """Restores the signal handlers of the process, which the ``run`` command replaces."""
    previous = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    yield
    for number, handler in previous.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("restored_signal_handlers")
@pytest.mark.parametrize(("arguments", "code", "text"), SURFACE["exitCodes"])
def test_cli_exit_codes_equal_frozen_list(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    node_address: str,
    arguments: list[str],
    code: int,
    text: str,
) -> None:
    files = {
        "{good}": SETTINGS_TEXT,
        "{bad}": "nonsense [",
        # 192.0.2.0/24 is reserved for documentation, so no machine has this address.
        "{unheard}": SETTINGS_TEXT.replace("127.0.0.1:808", "192.0.2.1:808"),
        "{operator}": "spare_groups: 2\n",
    }
    substitutions = {
        "{node}": node_address,
        "{nobody}": f"127.0.0.1:{free_ports(1)[0]}",
        "{missing}": str(tmp_path / "missing"),
    }
    for name, content in files.items():
        path = tmp_path / name.strip("{}")
        path.write_text(content)
        substitutions[name] = str(path)
    assert adapter.run_command([substitutions.get(each, each) for each in arguments]) == code
    output = capsys.readouterr()
    assert text in output.out + output.err


# -- HTTP --------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def idle_node() -> adapter.IdleNode:
    return adapter.IdleNode()


@pytest.mark.parametrize(
    "expected",
    SURFACE["idleAnswers"],
    ids=lambda each: f"{each['listenerName']} {each['requestLine']} {each['answerStatus']}",
)
def test_api_paths_without_leader_answer_as_frozen(
    idle_node: adapter.IdleNode, expected: dict[str, Any]
) -> None:
    method, path = expected["requestLine"].split(" ")
    listener, body = expected["listenerName"], expected["requestBody"]
    status, answer, headers = idle_node.answer(listener, method, path, body)
    assert status == expected["answerStatus"]
    assert field_paths(answer) == expected["answerFields"]
    assert headers == expected["answerHeaders"]


def test_api_answers_of_leader_and_requests_of_nodes_equal_frozen() -> None:
    """With shards and counted resources: some units are held, some jobs wait for units."""
    cluster = adapter.ServedCluster()
    try:
        cluster.submit(**SURFACE["servedJob"])
        cluster.run(18.0)
        for expected in SURFACE["servedAnswers"]:
            method, path = expected["requestLine"].split(" ")
            status, answer, headers = cluster.answer(method, path, expected["requestBody"])
            assert status == expected["answerStatus"], expected["requestLine"]
            assert field_paths(answer) == expected["answerFields"], expected["requestLine"]
            assert headers == expected["answerHeaders"], expected["requestLine"]
            if "forwardedHeaders" in expected:
                # A peer passes the answer on, for as long as the header says.
                forwarded = cluster.answer(method, path, expected["requestBody"], "cluster")
                assert forwarded == (status, answer, expected["forwardedHeaders"])
        cluster.run(30.0)
        sent = cluster.sent()
    finally:
        cluster.close()
    expected_requests = {**SURFACE["requestsAlwaysSent"], **SURFACE["requestsSometimesSent"]}
    assert {
        line: fields for line, fields in sent.items() if expected_requests.get(line) != fields
    } == {}
    assert SURFACE["requestsAlwaysSent"].keys() <= sent.keys()
