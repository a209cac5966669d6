"""The platform's settings file (TOML), which is checked as a whole when it is read.

Names of fields are those of the file, except where ``rename`` says otherwise.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec

MIN_VALUE_KB = 2.0
"""Least ``StateSettings.value_kb``: a log record must fit into one value of the store."""


class SettingsError(Exception):
    """The settings cannot be used.

    The text says where and why; ``path`` is the file, ``line`` (from 1) and ``field`` the
    place in it, as far as they are known.
    """

    def __init__(
        self, text: str, path: Path, line: int | None = None, field: str | None = None
    ) -> None:
        """The text of the exception is ``text`` alone, which names the place as well."""
        super().__init__(text)
        self.path = path
        self.line = line
        self.field = field


class PeerSettings(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """A peer: another controller node."""

    name: str
    zone: str
    peer_addr: str
    """``host:port`` on which it listens for its peers."""


class ExternalServices(msgspec.Struct, frozen=True):
    """``host:port`` of the cloud's API and of the key-value store."""

    cloud: str
    state: str


class TeamLimits(msgspec.Struct, frozen=True):
    """Guarantee (``cpus``, ``gpus``) and limit (``..._max``) of a team; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective for a class of jobs."""

    kind: str
    """``wait``, ``finished`` or ``deadline``."""
    share: float
    """Fraction of the jobs that are to be served within the objective."""
    job_class: str | None = None
    within_s: float = 0.0
    """Of ``wait`` and ``finished``: seconds from the submission."""
    times: float = 1.0
    """Of ``deadline``: factor on the deadline that the job itself names."""


class WorkerSettings(msgspec.Struct, frozen=True):
    """How workers behave. Durations are in seconds."""

    report_s: float
    """Time between two heartbeats of a worker."""
    lease_s: float
    """Time after the last answered heartbeat at which a worker's lease expires."""
    gang_wait_s: float
    """Time for which a task of a gang waits for the others to start."""
    gang_peer_s: float
    """Time within which the tasks of a gang notice that one of them is gone, and within which
    all must be told to stop."""
    cancel_s: float
    """Time within which all tasks of a cancelled job must have stopped."""


class StateSettings(msgspec.Struct, frozen=True):
    """Limits of the key-value store."""

    rps: float
    """Requests per second, of all nodes together."""
    write_rps: float
    """Puts and deletes per second, of all nodes together."""
    value_kb: float
    """Largest value, in KiB of its JSON form."""
    txn_ops: int
    """Most puts and deletes of one transaction."""


class CloudSettings(msgspec.Struct, frozen=True):
    """Limits of the cloud's API."""

    rps: float
    """Requests per second."""
    list_lag_s: float
    """Seconds by which the list of machines lags, at times up to twice that."""


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine that this node runs on grants to its process."""

    core_share: float = 1.0
    """Fraction of one CPU core."""
    memory_mb: float = 256.0
    max_sockets: int = 1024


class Deployment(msgspec.Struct, frozen=True):
    """What all nodes of a deployment have in common."""

    zones: list[str]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    initial_size: int = 1
    """Number of nodes at first; it may have changed since."""
    clock_off_ms: float = 0.0
    """Most milliseconds by which a node's time of day differs from true time."""
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """One node's settings."""

    name: str
    zone: str
    listen: str
    """``host:port`` for users, workers and operators."""
    cluster_listen: str
    """``host:port`` for peers."""
    external: ExternalServices
    deployment: Deployment
    siblings: list[PeerSettings] = []


def split_address(address: str) -> tuple[str, int]:
    """Split ``"10.0.0.1:8080"`` into host and port; ValueError if it is not of that form."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not a host:port address: {address!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    """ValueError with the reason if a value cannot be used."""
    _check_addresses(settings)
    _check_quantities(settings.deployment)
    _check_names(settings)


def _check_addresses(settings: Settings) -> None:
    for address in (
        settings.listen,
        settings.cluster_listen,
        settings.external.cloud,
        settings.external.state,
        *(peer.peer_addr for peer in settings.siblings),
    ):
        split_address(address)


def _check_quantities(deployment: Deployment) -> None:
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
    for field, value in positive.items():
        # Written this way round, since every comparison with NaN is false.
        if not 0 < value < math.inf:
            raise ValueError(f"{field} must be a number above 0, not {value}")
    if deployment.state.value_kb < MIN_VALUE_KB:
        raise ValueError(f"deployment.state.value_kb must be at least {MIN_VALUE_KB}")


def _check_names(settings: Settings) -> None:
    names = [settings.name, *(peer.name for peer in settings.siblings)]
    if len(set(names)) != len(names):
        raise ValueError("host_name: two nodes have the same name")
    teams = settings.deployment.teams
    if len({team.name for team in teams}) != len(teams):
        raise ValueError("deployment.teams: two teams have the same name")


def load_settings(path: Path) -> Settings:
    """Read and check a settings file; SettingsError if it cannot be used.

    Unknown fields are ignored, so that a newer platform may add some.
    """
    try:
        with path.open("rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}", path) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", path) from error
    try:
        settings = msgspec.convert(raw, Settings)
        _check(settings)
    except ValueError as error:
        raise SettingsError(f"{path}: {error}", path) from error
    return settings
