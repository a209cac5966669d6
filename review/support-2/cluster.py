"""A small deployment for the cases of the second review: three node processes on loopback.

The nodes are started with the command of ``deploy/service.toml``. The key-value store, the cloud
and the workers are the project's stand-ins (``tests/support/stand_ins.py``), served over HTTP by
this process. Sizes and durations are those of one of the two deployments in the brief.
"""

from __future__ import annotations

import contextlib
import heapq
import http.client
import itertools
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

import msgspec  # noqa: E402

from tests.support.stand_ins import (  # noqa: E402
    FakeCloud,
    FakeKeyValueStore,
    FakeMachine,
    FakeTask,
    FakeWorker,
)

encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
Capacity = dict[tuple[str, str, bool], int]
Answer = tuple[int, Any]

HELD = 0
"""Case passed: the rule held."""
BROKEN = 1
COULD_NOT_RUN = 2
NO_ANSWER = 0
"""Status of a request without a response."""
HEARTBEAT_TIMEOUT_S = 4.0
MIN_HEARTBEAT_INTERVAL_S = 0.5
USER_TIMEOUT_S = 5.0
MIN_PORT, MAX_PORT = 10_000, 32_000
MAX_RECORDED_PIECES = 10
"""Starts and ends of the tasks of larger jobs are counted only."""


class CannotRunError(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Site(msgspec.Struct, kw_only=True):
    """Figures of a deployment, as the brief gives them."""

    zones: list[str]
    kinds: list[dict[str, Any]]
    capacity: Capacity
    settings: str
    """Teams and objectives, as in the settings file."""
    report_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float
    gang_peer_s: float
    state_rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    core_share: float
    memory_mb: float
    max_sockets: int
    restart_s: float


def kind(label: str, vcpus: float, ram_gb: float, **other: Any) -> dict[str, Any]:
    """Return a machine type of the cloud."""
    return {
        "label": label, "vcpus": vcpus, "cards": 0.0, "ram_gb": ram_gb, "cache_gb": 50.0,
        "pull_gb_per_s": 0.8, "price": 0.2, "low_price": 0.05, "ready_s": 2.0,
        "yards": ["a"], **other,
    }  # fmt: skip


def move_book(**changes: Any) -> Site:
    """Return the figures of the booking cluster (tw-movebook); boots take 10 s here."""
    here, there = "taipei-room", "kaohsiung-room"
    both: dict[str, Any] = {"yards": [there, here], "ready_s": 10.0}
    teams = (
        ("dispatch", 4.0, 12.0),
        ("pricing", 4.0, 12.0),
        ("claims", 8.0, 16.0),
        ("billing", 8.0, 12.0),
    )
    objectives = (
        ("wait", "quote-desk", "within_s = 2.0\nshare = 0.95"),
        ("wait", "damage-scan", "within_s = 25.0\nshare = 0.82"),
        ("finished", "damage-scan", "within_s = 250.0\nshare = 0.82"),
        ("deadline", "invoice-reprint", "share = 0.93\ntimes = 1.0"),
        ("deadline", "route-plan", "share = 0.96\ntimes = 1.0"),
        ("deadline", "route-plan", "share = 0.97\ntimes = 1.5"),
        ("wait", "route-plan", "within_s = 2.0\nshare = 0.9"),
    )
    site = Site(
        zones=[there, here],
        kinds=[
            kind("tiny-box", 4.0, 16.0, price=0.19, cache_gb=40.0, ready_s=10.0, yards=[here]),
            kind("mid-box", 16.0, 64.0, price=0.77, low_price=0.18, pull_gb_per_s=0.5, **both),
            kind("lens-box", 24.0, 96.0, cards=4.0, price=14.16, low_price=2.9, **both),
        ],
        capacity={
            ("tiny-box", here, False): 19, ("tiny-box", here, True): 5,
            ("mid-box", here, False): 9, ("mid-box", here, True): 2,
            ("mid-box", there, False): 6, ("mid-box", there, True): 1,
            ("lens-box", here, False): 2, ("lens-box", here, True): 2,
            ("lens-box", there, False): 1, ("lens-box", there, True): 1,
        },
        settings="".join(
            f'[[deployment.teams]]\nname = "{name}"\ngpus = {gpus}\ngpus_max = {most}\n'
            for name, gpus, most in teams
        )
        + "".join(
            f'[[deployment.objectives]]\nkind = "{name}"\nclass = "{job_class}"\n{rest}\n'
            for name, job_class, rest in objectives
        ),
        report_s=1.5, lease_s=14.0, cancel_s=34.0, gang_wait_s=35.0, gang_peer_s=5.0,
        state_rps=150.0, write_rps=15.0, value_kb=8.0, txn_ops=8, cloud_rps=4.0, list_lag_s=8.0,
        core_share=1.0, memory_mb=186.0, max_sockets=1200, restart_s=8.0,
    )  # fmt: skip
    return msgspec.structs.replace(site, **changes)


def donor_slot(**changes: Any) -> Site:
    """Return the figures of the blood service (gr-donorslot); boots take 10 s here."""
    zones = ["athens-a", "athens-b", "heraklion", "thessaloniki"]
    everywhere: dict[str, Any] = {"yards": zones, "ready_s": 10.0}
    kinds = [
        kind("small-node", 4.0, 16.0, low_price=0.06, pull_gb_per_s=0.2, **everywhere),
        kind("big-node", 64.0, 256.0, price=3.34, low_price=0.9, pull_gb_per_s=0.5, **everywhere),
        kind("gpu-node", 16.0, 64.0, cards=2.0, price=4.23, low_price=1.2, **everywhere),
    ]
    counts = {"small-node": (3, 4), "big-node": (1, 1), "gpu-node": (3, 1)}
    site = Site(
        zones=zones,
        kinds=kinds,
        capacity={
            (label, zone, spot): count
            for label, both in counts.items()
            for spot, count in zip((False, True), both, strict=True)
            for zone in zones
        },
        settings='[[deployment.teams]]\nname = "ops-core"\n',
        report_s=2.5, lease_s=14.0, cancel_s=44.0, gang_wait_s=30.0, gang_peer_s=4.0,
        state_rps=250.0, write_rps=100.0, value_kb=32.0, txn_ops=12, cloud_rps=5.0,
        list_lag_s=3.0, core_share=0.4, memory_mb=266.0, max_sockets=1500, restart_s=3.0,
    )  # fmt: skip
    return msgspec.structs.replace(site, **changes)


class Clock:
    """The real clock with timers on one thread; the stand-ins run under its ``lock``."""

    def __init__(self) -> None:
        """Start the thread."""
        self.rng = random.Random(1)
        self.lock = threading.RLock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def now(self) -> float:
        """Seconds of the steady clock."""
        return time.monotonic()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function later."""
        with self.lock:
            heapq.heappush(self._heap, (self.now + delay, next(self._count), call))

    def _run(self) -> None:
        while True:
            with self.lock:
                while self._heap and self._heap[0][0] <= self.now:
                    heapq.heappop(self._heap)[2]()
            time.sleep(0.005)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections."""


def serve(answer: Callable[[str, str, Any], Answer]) -> tuple[int, _Server]:
    """Serve a stand-in on a free loopback port; return the port and the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self) -> None:
            raw = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            status, body = answer(self.command, self.path, decode(raw) if raw else None)
            data = encode(body)
            self.send_response(status)
            self.send_header("Content-Type", "application/msgpack")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = _handle  # noqa: N815 (names of http.server)

        def log_message(self, *_: Any) -> None:
            """Log nothing."""

    server = _Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.2,), daemon=True).start()
    return server.server_address[1], server


def free_ports(count: int) -> list[int]:
    """Return neighbouring loopback ports that are free now.

    They are below the ports that the system gives away, so no stand-in takes one meanwhile.
    """
    choose = random.SystemRandom()
    while True:
        first = choose.randrange(MIN_PORT, MAX_PORT, count)
        sockets: list[socket.socket] = []
        try:
            for port in range(first, first + count):
                # One by one: those opened before an error are closed below.
                sockets.append(socket.create_server(("127.0.0.1", port)))  # noqa: PERF401
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return list(range(first, first + count))


class HttpConnection:
    """A persistent connection to one node."""

    def __init__(self, port: int) -> None:
        """Connect at the first request."""
        self.port = port
        self._connection: http.client.HTTPConnection | None = None

    def request(self, method: str, path: str, body: bytes | None, timeout: float) -> Answer:
        """Return status and body; status ``NO_ANSWER`` without a response."""
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection("127.0.0.1", self.port)
            self._connection.timeout = timeout
            if self._connection.sock is not None:
                self._connection.sock.settimeout(timeout)
            self._connection.request(method, path, body)
            response = self._connection.getresponse()
            raw = response.read()
            if response.will_close:
                self.close()
            return response.status, decode(raw) if raw else None
        except (OSError, http.client.HTTPException):
            self.close()
            return NO_ANSWER, None

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Record:
    """The file ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Cluster:
    """Three nodes with their store, cloud and workers; ends all of them on exit."""

    def __init__(self, site: Site, record: Record) -> None:
        """Start the stand-ins; ``start_nodes`` starts the nodes."""
        self.site, self.record = site, record
        self.clock = Clock()
        self.folder = Path(tempfile.mkdtemp(prefix="appleshift-review-"))
        self.specs: dict[str, dict[str, Any]] = {}
        self.run_times: dict[str, float] = {}
        self.done: set[str] = set()
        self.on_machine: dict[str, set[str]] = {}
        self.starts: dict[str, int] = {}
        self.ended_runs: dict[str, int] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.heartbeat_statuses: dict[str, list[int]] = {}
        self.rentals: list[tuple[float, str, int, int]] = []
        """Rental requests: time, machine type, machines wanted, status of the answer."""
        self.ended_for_memory: list[str] = []
        run = f"{os.getpid():x}"
        self.names = [f"rig-{number}-{run}" for number in range(3)]
        """Unique to this run, so that another run's nodes are not taken for these."""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.closing = False
        self._closing_lock = threading.Lock()
        """Held while a node is started again, so that none is started after ``close``."""
        self.store = FakeKeyValueStore(self.clock, site.write_rps, site.value_kb, site.txn_ops)
        self.cloud = FakeCloud(
            self.clock, site.kinds, site.capacity, site.list_lag_s, self._boot, self._end
        )
        self.cloud.boot_failure_share = 0.0
        state_port, _ = serve(lambda *call: self._ask(self.store.handle, *call))
        cloud_port, _ = serve(self._ask_cloud)
        ports = free_ports(6)
        self.public = dict(zip(self.names, ports[:3], strict=True))
        self.peer_ports = dict(zip(self.names, ports[3:], strict=True))
        for name in self.names:
            (self.folder / f"{name}.toml").write_text(
                self._settings(name, cloud_port, state_port), encoding="utf-8"
            )

    def _ask(self, handle: Callable[..., None], method: str, path: str, body: Any) -> Answer:
        replied = threading.Event()
        answers: list[Answer] = []

        def reply(status: int, answer: Any) -> None:
            answers.append((status, answer))
            replied.set()

        with self.clock.lock:
            handle("node", method, path, body, reply)
        replied.wait(60.0)
        return answers[0] if answers else (503, {"error": "trouble"})

    def _ask_cloud(self, method: str, path: str, body: Any) -> Answer:
        status, answer = self._ask(self.cloud.handle, method, path, body)
        if path == "/machines" and method == "POST":
            self.rentals.append((time.monotonic(), body["rig_kind"], body["count"], status))
            what = f"{body['count']} {body['rig_kind']} in {body['yard']}"
            spot = "cheap" if body["loaners"] else "steady"
            self.record.write(f"cloud: asked for {what}, {spot}: {status} {answer}")
        elif path == "/machines/delete":
            self.record.write(f"cloud: asked to delete {body['rigs']}: {status}")
        return status, answer

    def free_machines(self, label: str) -> int:
        """Return how many steady machines of a type the cloud could still rent out."""
        with self.clock.lock:
            held = sum(
                machine.ended_at is None and not machine.spot and machine.kind["label"] == label
                for machine in self.cloud.machines.values()
            )
        capacity = self.site.capacity.items()
        return sum(n for (name, _, spot), n in capacity if name == label and not spot) - held

    def _settings(self, name: str, cloud: int, state: int) -> str:
        site = self.site
        siblings = "".join(
            f'[[siblings]]\nhost_name = "{other}"\nsite = "{site.zones[0]}"\n'
            f'peer_addr = "127.0.0.1:{self.peer_ports[other]}"\n'
            for other in self.names
            if other != name
        )
        return (
            f'host_name = "{name}"\nsite = "{site.zones[0]}"\n'
            f'listen = "127.0.0.1:{self.public[name]}"\n'
            f'cluster_listen = "127.0.0.1:{self.peer_ports[name]}"\n{siblings}'
            f'[external]\ncloud = "127.0.0.1:{cloud}"\nstate = "127.0.0.1:{state}"\n'
            f"[deployment]\ninitial_size = 3\nzones = {site.zones!r}\nclock_off_ms = 5.0\n"
            f"{site.settings}"
            f"[deployment.workers]\nreport_s = {site.report_s}\nlease_s = {site.lease_s}\n"
            f"gang_wait_s = {site.gang_wait_s}\ngang_peer_s = {site.gang_peer_s}\n"
            f"cancel_s = {site.cancel_s}\n"
            f"[deployment.state]\nrps = {site.state_rps}\nwrite_rps = {site.write_rps}\n"
            f"value_kb = {site.value_kb}\ntxn_ops = {site.txn_ops}\n"
            f"[deployment.cloud]\nrps = {site.cloud_rps}\nlist_lag_s = {site.list_lag_s}\n"
            f"[deployment.machine_limits]\ncore_share = {site.core_share}\n"
            f"memory_mb = {site.memory_mb}\nmax_sockets = {site.max_sockets}\n"
        )

    # -- nodes -----------------------------------------------------------------

    def start_nodes(self) -> None:
        """Start all nodes and wait until one leads."""
        for name in self.names:
            self.start_node(name)
        self.leader()

    def start_node(self, name: str) -> None:
        """Start a node with the command of the deploy file."""
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        # The file's own log; what it says is kept in the temporary folder during the run.
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*command, str(self.folder / f"{name}.toml")],
                cwd=ROOT,
                stderr=log,
                stdout=subprocess.DEVNULL,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.record.write(f"platform: starts {name}")

    def kill_node(self, name: str, why: str) -> None:
        """Kill a node without a signal that it could handle."""
        self.record.write(f"platform: kills {name}, {why}")
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of a node's process in MB; 0 if it has ended."""
        path = Path(f"/proc/{self.processes[name].pid}/statm")
        try:
            pages = int(path.read_text(encoding="ascii").split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def watch_memory(self) -> None:
        """Kill nodes over their limit of memory and start them again, as the platform does."""
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def _watch_memory(self) -> None:
        limit_mb = self.site.memory_mb * 1.048576
        due: dict[str, float] = {}
        while not self.closing:
            time.sleep(0.2)
            for name in self.names:
                if name in due:
                    if time.monotonic() >= due[name]:
                        del due[name]
                        self._start_again(name)
                elif (used := self.resident_mb(name)) > limit_mb:
                    self.kill_node(name, f"{used:.0f} MB are over its {limit_mb:.0f} MB")
                    self.ended_for_memory.append(name)
                    due[name] = time.monotonic() + self.site.restart_s

    def _start_again(self, name: str) -> None:
        with self._closing_lock:
            if not self.closing:
                self.start_node(name)

    def leader(self, timeout: float = 20.0) -> str:
        """Wait until a node says that it leads, and return its name."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            for name in self.names:
                status, body = self.ask(name, "GET", "/nodes", None, 1.0)
                if status == 200 and body["name"] != name:
                    raise CannotRunError(f"another program has the port of {name}")
                if status == 200 and body["leading"]:
                    return name
            time.sleep(0.1)
        raise CannotRunError("no node leads")

    # -- users -----------------------------------------------------------------

    def ask(
        self, name: str, method: str, path: str, body: Any, timeout: float = USER_TIMEOUT_S
    ) -> Answer:
        """Send one request to a node on a new connection."""
        connection = HttpConnection(self.public[name])
        raw = None if body is None else encode(body)
        try:
            return connection.request(method, path, raw, timeout)
        finally:
            connection.close()

    def user(self, method: str, path: str, body: Any, timeout: float, tries: float) -> Answer:
        """Send a user's request, again after a second for ``tries`` seconds, to nodes in turn."""
        until = time.monotonic() + tries
        for name in itertools.cycle(self.names):
            status, answer = self.ask(name, method, path, body, timeout)
            state = answer.get("status") if isinstance(answer, dict) else None
            self.record.write(f"user: {method} {path} at {name}: {status or 'no answer'} {state}")
            if status in (200, 201, 400, 404, 422) or time.monotonic() > until:
                return status, answer
            time.sleep(1.0)
        raise AssertionError

    def job(self, number: int, **changes: Any) -> dict[str, Any]:
        """Describe a job; the workers can then read its description."""
        spec = {
            "name_id": f"job-{number:06d}", "workload": "w", "owner": "red", "shape": "array",
            "urgency": "standard", "pieces": 1, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
            "bundle": "img", "image_gb": 0.1, "rig_kinds": None, "yard": None,
            "together": False, "spread": False, "loaners": False, "expected_s": 1.0,
            "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None, **changes,
        }  # fmt: skip
        with self.clock.lock:
            self.specs[spec["name_id"]] = spec
        return spec

    def submit(self, spec: dict[str, Any], tries: float = 60.0) -> int:
        """Submit a job as a user does; return the last status."""
        what = f"{spec['name_id']} {spec['shape']} pieces={spec['pieces']} vcpus={spec['vcpus']}"
        self.record.write(f"user: submits {what}")
        return self.user("POST", "/submissions", spec, USER_TIMEOUT_S, tries)[0]

    def poll(self, name: str, job_id: str) -> Answer:
        """Poll a job once at a node, as a user does."""
        status, answer = self.ask(name, "GET", f"/submissions/{job_id}", None, 2.0)
        self.record.write(f"user: polls {job_id} at {name}: {status or 'no answer'} {answer}")
        return status, answer

    # -- workers ---------------------------------------------------------------

    def _boot(self, machine: FakeMachine) -> None:
        worker = self.workers[machine.name] = FakeWorker(
            self.clock, machine, self.site.lease_s, self
        )

        def answer(_: str, path: str, body: Any) -> Answer:
            with self.clock.lock:
                if path == "/do":
                    return worker.execute_request(body)
                return 200, worker.report()

        port, server = serve(answer)
        machine.addr = f"127.0.0.1:{port}"
        self.record.write(f"cloud: {machine.name} {machine.kind['label']} is up")
        threading.Thread(target=self._report, args=(worker, server), daemon=True).start()

    def _end(self, machine: FakeMachine) -> None:
        worker = self.workers.pop(machine.name, None)
        self.record.write(f"cloud: {machine.name} is gone")
        if worker is not None:
            worker.dead = True
            worker.end_all_tasks()

    def _report(self, worker: FakeWorker, server: _Server) -> None:
        """Send a worker's heartbeats, one at a time, to one node after the other."""
        number, last_epoch = 0, 1
        statuses = self.heartbeat_statuses.setdefault(worker.machine.name, [])
        connection = HttpConnection(self.public[self.names[number]])
        while not (worker.dead or self.closing):
            with self.clock.lock:
                sent, epoch = time.monotonic(), worker.agent_epoch
                report = worker.report()
            if epoch != last_epoch:
                last_epoch = epoch
                self.record.write(f"{worker.machine.name}: its lease ran out, session {epoch}")
            before = (worker.token, [task["status"] for task in report["pieces"]])
            status, answer = connection.request(
                "POST", "/agent/beat", encode(report), HEARTBEAT_TIMEOUT_S
            )
            if not statuses or statuses[-1] != status:
                self.record.write(
                    f"{worker.machine.name}: report with {len(report['pieces'])} pieces"
                    f" answered {status or 'not at all'}"
                )
            statuses.append(status)
            if status == 200:
                with self.clock.lock:
                    worker.apply_response(sent, epoch, answer)
                self._wait_for_change(worker, before, sent)
                continue
            foreman = answer.get("foreman") if status == 421 and answer else None
            pause = 0.2 if foreman in self.names else 1.0
            here = self.names[number]
            known = foreman in self.names and foreman != here
            number = self.names.index(foreman) if known else (number + 1) % len(self.names)
            connection.close()
            connection = HttpConnection(self.public[self.names[number]])
            time.sleep(pause if known else 1.0)
        connection.close()
        server.shutdown()
        server.server_close()

    def _wait_for_change(self, worker: FakeWorker, before: Any, sent: float) -> None:
        due = sent + self.site.report_s * self.clock.rng.uniform(0.75, 1.25)
        time.sleep(MIN_HEARTBEAT_INTERVAL_S)
        while time.monotonic() < due and not worker.dead:
            with self.clock.lock:
                if before != (worker.token, [task.status for task in worker.tasks.values()]):
                    return
            time.sleep(0.05)

    # -- callbacks of the stand-ins --------------------------------------------

    def spec(self, job_id: str) -> dict[str, Any] | None:
        """Return a job's description."""
        return self.specs.get(job_id)

    def run_time(self, piece: str) -> float:
        """Return how long a task runs."""
        return self.run_times.get(piece.split("/")[0], 1.0)

    def finished(self, piece: str) -> bool:
        """Return whether a task has completed before."""
        return piece in self.done

    def task_started(self, piece: str, worker: FakeWorker) -> None:
        """A task has its image and is on its machine from now on."""
        job_id = piece.split("/")[0]
        self.starts[job_id] = self.starts.get(job_id, 0) + 1
        self.on_machine.setdefault(piece, set()).add(worker.machine.name)
        if self.specs[job_id]["pieces"] <= MAX_RECORDED_PIECES:
            self.record.write(f"{worker.machine.name}: starts {piece}")

    def task_ended(self, piece: str, worker: FakeWorker, done: bool) -> None:
        """A task is no longer on its machine."""
        self.on_machine.get(piece, set()).discard(worker.machine.name)
        job_id = piece.split("/")[0]
        if self.specs[job_id]["pieces"] <= MAX_RECORDED_PIECES:
            how = "completed" if done else "ended without completing"
            self.record.write(f"{worker.machine.name}: {piece} {how}")
        if done:
            self.done.add(piece)
        else:
            self.ended_runs[job_id] = self.ended_runs.get(job_id, 0) + 1

    def gang_changed(self, task: FakeTask, worker: FakeWorker) -> None:
        """Start a gang once all tasks of an attempt wait; they complete together."""
        if task.status != "waiting":
            return
        job_id = task.piece.split("/")[0]
        gang = [
            (each, member)
            for each in self.workers.values()
            for member in each.tasks.values()
            if member.piece.startswith(job_id + "/") and member.attempt == task.attempt
        ]
        if sum(member.status == "waiting" for _, member in gang) < task.spec["pieces"]:
            return
        for each, member in gang:
            each.run(member)

        def complete() -> None:
            if all(member.status == "running" for _, member in gang):
                for each, member in gang:
                    each.complete(member)

        self.clock.after(self.run_time(task.piece), complete)

    def done_count(self, job_id: str) -> int:
        """Return how many tasks of a job have completed on the workers."""
        with self.clock.lock:
            return sum(piece.startswith(job_id + "/") for piece in self.done)

    def close(self) -> None:
        """End all processes that were started."""
        with self._closing_lock:
            self.closing = True
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
            process.wait()
        for path in self.folder.iterdir():
            if not os.environ.get("KEEP_LOGS"):
                path.unlink()
        if not os.environ.get("KEEP_LOGS"):
            self.folder.rmdir()


def run_case(folder: Path, play: Callable[[Record, bool], bool]) -> int:
    """Play a case with or without its trouble; return the script's exit code.

    ``play`` returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the nodes as well if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record.write(f"case {folder.name}, trouble {'on' if trouble else 'off'}")
    try:
        broken = play(record, trouble)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        return COULD_NOT_RUN
    except Exception as error:
        record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.write("result: rule broken" if broken else "result: rule held")
    return BROKEN if broken else HELD
