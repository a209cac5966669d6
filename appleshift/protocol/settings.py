"""The settings file that the platform hands over, checked at the door."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec

MIN_VALUE_KB = 2.0
"""A record must fit one value of the state service."""


class SettingsError(Exception):
    """The settings cannot be used; the message says where and why."""


class Sibling(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """Another controller node."""

    name: str
    zone: str
    peer_addr: str


class External(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class TeamLimits(msgspec.Struct, frozen=True):
    """Guarantee and limit of a team; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """What the users expect of a class of jobs."""

    kind: str
    share: float
    job_class: str | None = None
    within_s: float = 0.0
    times: float = 1.0


class WorkerSettings(msgspec.Struct, frozen=True):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class StateSettings(msgspec.Struct, frozen=True):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class CloudSettings(msgspec.Struct, frozen=True):
    rps: float
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    core_share: float = 1.0
    memory_mb: float = 256.0
    max_sockets: int = 1024


class Deployment(msgspec.Struct, frozen=True):
    zones: list[str]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    initial_size: int = 1
    clock_off_ms: float = 0.0
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """One node's settings."""

    name: str
    zone: str
    listen: str
    cluster_listen: str
    external: External
    deployment: Deployment
    siblings: list[Sibling] = []


def split_address(address: str) -> tuple[str, int]:
    """``"10.0.0.1:8080"`` as host and port."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not a host:port address: {address!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    for address in (
        settings.listen,
        settings.cluster_listen,
        settings.external.cloud,
        settings.external.state,
        *(peer.peer_addr for peer in settings.siblings),
    ):
        split_address(address)
    deployment = settings.deployment
    positive = {
        "deployment.workers.report_s": deployment.workers.report_s,
        "deployment.workers.lease_s": deployment.workers.lease_s,
        "deployment.workers.cancel_s": deployment.workers.cancel_s,
        "deployment.state.rps": deployment.state.rps,
        "deployment.state.write_rps": deployment.state.write_rps,
        "deployment.state.value_kb": deployment.state.value_kb,
        "deployment.state.txn_ops": deployment.state.txn_ops,
        "deployment.cloud.rps": deployment.cloud.rps,
        "deployment.machine_limits.max_sockets": deployment.machine_limits.max_sockets,
        "deployment.machine_limits.core_share": deployment.machine_limits.core_share,
        "deployment.machine_limits.memory_mb": deployment.machine_limits.memory_mb,
    }
    for where, value in positive.items():
        # A comparison with what is not a number is never true.
        if not 0 < value < math.inf:
            raise ValueError(f"{where} must be a number above 0, not {value}")
    if deployment.state.value_kb < MIN_VALUE_KB:
        raise ValueError(f"deployment.state.value_kb must be at least {MIN_VALUE_KB}")
    names = [settings.name, *(peer.name for peer in settings.siblings)]
    if len(set(names)) != len(names):
        raise ValueError("host_name: two nodes have the same name")
    if len({team.name for team in deployment.teams}) != len(deployment.teams):
        raise ValueError("deployment.teams: two teams have the same name")


def load_settings(path: Path) -> Settings:
    """Read and check a settings file; unknown fields are ignored."""
    try:
        with path.open("rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    try:
        settings = msgspec.convert(raw, Settings)
        _check(settings)
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from None
    return settings
