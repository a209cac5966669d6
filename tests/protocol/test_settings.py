"""Node and operator settings: accepted files, and the errors for invalid ones."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from appleshift.cli import main
from appleshift.node import Node
from appleshift.protocol.operator import OperatorSettings, load_operator_settings
from appleshift.protocol.settings import Settings, SettingsError, load_settings
from tests.support.deployments import SMALL

ROOT = Path(__file__).parent.parent.parent

VALID_SETTINGS = """
host_name = "n0"
site = "a"
listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
something_new = 5
[[siblings]]
host_name = "n1"
site = "a"
peer_addr = "127.0.0.1:8082"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
zones = ["a"]
also_new = { x = 1 }
[deployment.workers]
report_s = 1.5
lease_s = 14
gang_wait_s = 35.0
gang_peer_s = 5.0
cancel_s = 34.0
[deployment.state]
rps = 150.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 8
[deployment.cloud]
rps = 4.0
list_lag_s = 8.0
"""


def write_settings(tmp_path: Path, text: str) -> Path:
    """Write a settings file and return its path."""
    path = tmp_path / "settings"
    path.write_text(text)
    return path


def test_settings_unknown_fields_are_ignored(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, VALID_SETTINGS))
    assert settings.siblings[0].name == "n1"
    assert settings.deployment.workers.lease_s == 14.0


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ('listen = "127.0.0.1:8080"', "", "listen"),
        ('"127.0.0.1:8080"', '"nowhere"', "nowhere"),
        ("report_s = 1.5", 'report_s = "often"', "report_s"),
        ("write_rps = 15.0", "write_rps = 0.0", "write_rps"),
        ("value_kb = 8.0", "value_kb = 1.0", "value_kb"),
        ('host_name = "n1"', 'host_name = "n0"', "same name"),
        ("[external]", "[external", "not TOML"),
    ],
)
def test_settings_invalid_are_refused_with_location(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, reason: str
) -> None:
    path = write_settings(tmp_path, VALID_SETTINGS.replace(old, new, 1))
    with pytest.raises(SettingsError, match=reason):
        load_settings(path)
    assert main(["check", str(path)]) == 2
    assert reason in capsys.readouterr().err


def test_operator_settings_sample_contains_the_defaults() -> None:
    sample = load_operator_settings(ROOT / "deploy" / "operator.textproto")
    assert sample == OperatorSettings()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("spare_groups: 1\nmax_groups: 0", ":2: max_groups"),
        ("\n\nno_such_knob: 1", ":3:"),
        ("headroom: -1", ":1: headroom"),
        ("headroom: nan", ":1: headroom"),
        ("review_s: often", ":1:"),
        ("leader_lease_s: 2.0\nrenew_s: 1.5", ":2: renew_s"),
    ],
)
def test_operator_settings_invalid_are_refused_with_line_and_reason(
    tmp_path: Path, text: str, reason: str
) -> None:
    with pytest.raises(SettingsError, match=reason):
        load_operator_settings(write_settings(tmp_path, text))


def test_command_line_arguments_are_parsed_and_validated(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main([]) == 2
    assert "--config" in capsys.readouterr().err
    with pytest.raises(SystemExit) as exited:
        main(["--help"])
    assert exited.value.code == 0
    assert main(["nodes", "nonsense"]) == 1


@pytest.mark.parametrize("initial_size", [1, 3, 9])
def test_startup_hold_ends_once_all_peers_in_the_settings_reported(initial_size: int) -> None:
    """The startup hold of a node depends on the peers in its settings, not on ``initial_size``.

    The two differ once nodes were added to a deployment or removed from it.
    """
    values = msgspec.to_builtins(SMALL.settings_for("n0"))
    values["deployment"]["initial_size"] = initial_size
    node = Node(msgspec.convert(values, Settings), OperatorSettings())
    now = node.runtime.now()
    assert not node.lease.startup_hold_expired(now)
    node.lease.record_peer_not_leading("n1")
    assert not node.lease.startup_hold_expired(now)
    node.lease.record_peer_not_leading("n2")
    assert node.lease.startup_hold_expired(now)


@pytest.mark.parametrize("line", ["core_share = 0.0", "core_share = nan", "core_share = -1.0",
                                  "memory_mb = 0.0", "memory_mb = nan", "memory_mb = inf",
                                  "max_sockets = 0"])  # fmt: skip
def test_settings_without_enough_resources_are_refused_with_reason(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], line: str
) -> None:
    path = write_settings(tmp_path, f"{VALID_SETTINGS}[deployment.machine_limits]\n{line}\n")
    assert main(["check", str(path)]) == 2
    assert f"machine_limits.{line.split()[0]} must be a number above 0" in capsys.readouterr().err
