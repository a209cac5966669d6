"""The node settings: a TOML file provided by the platform, validated when it is read.

Fields have the names that the file uses, except where ``rename`` maps them to others.
"""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import msgspec

MIN_VALUE_KB = 2.0
"""Smallest ``StateSettings.value_kb``: a log record must fit into one value of the store."""


class SettingsError(Exception):
    """A settings file is invalid or cannot be read.

    The text contains location and reason. ``path`` is the file; ``line`` (starting at 1) and
    ``field`` are the location in it, or None if unknown.
    """

    def __init__(
        self, text: str, path: Path, line: int | None = None, field: str | None = None
    ) -> None:
        """``text`` becomes the text of the exception; it must contain the location."""
        super().__init__(text)
        self.path = path
        self.line = line
        self.field = field


class PeerSettings(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """Name, zone and address of a peer (another controller node)."""

    name: str
    zone: str
    peer_addr: str
    """``host:port`` on which the peer listens for other nodes."""


class ExternalServices(msgspec.Struct, frozen=True):
    """Addresses (``host:port``) of external services."""

    cloud: str
    """The cloud's API."""
    state: str
    """The key-value store."""


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's guarantees (``cpus``, ``gpus``) and limits (``..._max``); 0: none."""

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
    """Fraction of the jobs that must meet the objective."""
    job_class: str | None = None
    """Class of the jobs to which the objective applies; None: the objective is ignored."""
    within_s: float = 0.0
    """For ``wait`` and ``finished``: time limit in seconds from the job's submission."""
    times: float = 1.0
    """For ``deadline``: factor by which the deadline in the job's submission is multiplied."""


class WorkerSettings(msgspec.Struct, frozen=True):
    """Behaviour of the workers; all durations are in seconds."""

    report_s: float
    """Interval of a worker's heartbeats."""
    lease_s: float
    """Time from the last answered heartbeat until the worker's lease expires."""
    gang_wait_s: float
    """Time for which a started task of a gang waits for the gang's other tasks to start."""
    gang_peer_s: float
    """Time within which the tasks of a gang detect that one of them has ended. All tasks of a
    gang must also receive their stop commands within this time."""
    cancel_s: float
    """Time within which all tasks of a cancelled job must have stopped."""


class StateSettings(msgspec.Struct, frozen=True):
    """Limits of the key-value store."""

    rps: float
    """Requests per second of all nodes together."""
    write_rps: float
    """Puts and deletes per second of all nodes together."""
    value_kb: float
    """Largest size of a value, in KiB of its JSON encoding."""
    txn_ops: int
    """Largest number of puts and deletes in one transaction."""


class CloudSettings(msgspec.Struct, frozen=True):
    """Limits of the cloud's API."""

    rps: float
    """Requests per second."""
    list_lag_s: float
    """Usual delay of the cloud's machine list in seconds; it may reach twice this value."""


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that the node's host grants to the node's process."""

    core_share: float = 1.0
    """Fraction of one CPU core."""
    memory_mb: float = 256.0
    max_sockets: int = 1024


class Deployment(msgspec.Struct, frozen=True):
    """Settings that are the same for all nodes of a deployment."""

    zones: list[str]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    initial_size: int = 1
    """Initial number of nodes; nodes may have been added or removed since."""
    clock_off_ms: float = 0.0
    """Largest error of a node's wall clock, in milliseconds."""
    teams: list[TeamLimits] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True, rename={"name": "host_name", "zone": "site"}):
    """The settings of one node."""

    name: str
    zone: str
    listen: str
    """``host:port`` on which the node listens for users, workers and operators."""
    cluster_listen: str
    """``host:port`` on which the node listens for peers."""
    external: ExternalServices
    deployment: Deployment
    siblings: list[PeerSettings] = []
    """The peers of this node."""


def split_address(address: str) -> tuple[str, int]:
    """Split a ``host:port`` address such as ``10.0.0.1:8080``; ValueError if it is not one."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not a host:port address: {address!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    """Raise ValueError with the reason if a value is invalid."""
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
        # Not ``value <= 0``: every comparison with NaN is false, and NaN must be rejected.
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
    """Read and validate a settings file; SettingsError if it is invalid or unreadable.

    Unknown fields are ignored, since newer versions of the platform may add fields.
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
