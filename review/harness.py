"""A small deployment on loopback: three controller processes, with stand-ins served over HTTP.

The key-value store, the cloud and the workers are the project's own stand-ins
(``tests/support/stand_ins.py``); this module serves them, starts and ends the controllers with
the command of ``deploy/service.toml``, and acts as users. Everything runs on the real clock.
"""

from __future__ import annotations

import heapq
import http.client
import itertools
import os
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402

from tests.support.stand_ins import FakeCloud, FakeKeyValueStore, FakeMachine, FakeWorker  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
MAX_RUN_S = 117
"""A case that runs for longer is given up."""
USER_TIMEOUT_S = 5.0
"""How long a user waits for the answer to a submission or a cancellation."""
POLL_TIMEOUT_S = 2.0
"""How long a user waits for the answer to a question about a job."""
BEAT_TIMEOUT_S = 4.0
"""How long a worker waits for the answer to its report."""
MIN_REPORT_INTERVAL_S = 0.5
"""A worker reports no more often than this."""
RETRY_S = 1.0
"""How long a user or a worker waits before the next attempt."""

NETWORK = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
"""Loopback addresses of this process, so that runs beside it can't take its ports."""
HOST = f"{NETWORK}.1"
"""The stand-ins' address."""
CONTROLLERS_HOST = f"{NETWORK}.2"
"""The controllers' address: no stand-in can take their ports before they are started."""
Address = tuple[str, int]
SMALL_NODE = {
    "label": "small-node", "vcpus": 4.0, "cards": 0.0, "ram_gb": 16.0, "cache_gb": 50.0,
    "pull_gb_per_s": 0.2, "price": 0.2, "low_price": 0.06, "ready_s": 15.0, "yards": ["athens-a"],
}  # fmt: skip
"""The small machine type of gr-donorslot, in one of its zones."""
WORKERS = """
[deployment.workers]
report_s = 2.5
lease_s = 14.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 44.0
"""
"""The workers of gr-donorslot; ``LEASE_S`` and ``REPORT_S`` repeat what the stand-ins need."""
LEASE_S, REPORT_S = 14.0, 2.5
LIMITS = """
[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 32.0
txn_ops = 12
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.machine_limits]
core_share = 0.4
memory_mb = 266.0
max_sockets = 1500
"""
OBJECTIVES = """
[[deployment.teams]]
name = "ops-core"
[[deployment.objectives]]
kind = "wait"
class = "donor-booking"
within_s = 1.0
share = 0.94
[[deployment.objectives]]
kind = "deadline"
class = "reminder-send"
share = 0.92
times = 1.0
[[deployment.objectives]]
kind = "wait"
class = "eligibility-check"
within_s = 1.0
share = 0.94
[[deployment.objectives]]
kind = "finished"
class = "eligibility-check"
within_s = 50.0
share = 0.95
"""


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


class RealClock:
    """The real clock with timers on one thread; all stand-ins are used under its ``lock``."""

    def __init__(self) -> None:
        """Start the thread of the timers."""
        self.rng = random.Random(1)
        self.lock = threading.RLock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def now(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call ``call`` once, ``delay`` seconds from now; at once without a delay."""
        with self.lock:
            if delay <= 0.0:
                call()
                return
            heapq.heappush(self._heap, (self.now + delay, next(self._count), call))

    def _run(self) -> None:
        while True:
            with self.lock:
                while self._heap and self._heap[0][0] <= self.now:
                    heapq.heappop(self._heap)[2]()
            time.sleep(0.005)


def controller_addresses(count: int) -> list[Address]:
    """Return addresses that are free for controllers."""
    sockets = [socket.create_server((CONTROLLERS_HOST, 0)) for _ in range(count)]
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return [(CONTROLLERS_HOST, port) for port in ports]


def text(address: Address) -> str:
    """Return an address as settings name it."""
    return f"{address[0]}:{address[1]}"


def call(
    address: Address, method: str, path: str, body: Any = None, timeout: float = USER_TIMEOUT_S
) -> tuple[int, Any]:
    """Send one request; status 0 if no answer arrives."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    raw = None if body is None else msgspec.msgpack.encode(body)
    try:
        headers = {"Content-Type": "application/msgpack", "Connection": "close"}
        connection.request(method, path, raw, headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, msgspec.msgpack.decode(data) if data else None
    except (OSError, http.client.HTTPException, msgspec.DecodeError):
        return 0, None
    finally:
        connection.close()


class _Handler(BaseHTTPRequestHandler):
    """Passes requests to the stand-in of its server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    answer: Callable[[str, str, Any], tuple[int, Any]]

    def _serve(self) -> None:
        raw = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = msgspec.msgpack.decode(raw) if raw else None
        status, value = self.answer(self.command, self.path, body)
        data = msgspec.msgpack.encode(value)
        self.send_response(status)
        self.send_header("Content-Type", "application/msgpack")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815 (names of http.server)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def server_bind(self) -> None:
        """Bind the address without looking its name up: there may be no name service."""
        socketserver.TCPServer.server_bind(self)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore clients that have gone away."""


class Job:
    """A job as its user and the workers know it."""

    def __init__(self, spec: dict[str, Any]) -> None:
        """Create a job that has not been submitted."""
        self.spec = spec
        self.done: set[int] = set()
        self.on_machines: dict[int, set[str]] = {}


class Deployment:
    """Three controllers, the store, the cloud and the workers of a small deployment."""

    def __init__(
        self,
        record: Path,
        machines: int = 2,
        capacity: int = 2,
    ) -> None:
        """Start the stand-ins; ``start`` starts the controllers."""
        self.clock = RealClock()
        self.began = time.monotonic()
        self._record = record.open("w")
        self._record_lock = threading.Lock()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.run_time_s: Callable[[str], float] = lambda piece: 1.0
        self.violations: list[str] = []
        # When each machine sent its last report.
        self.report_sent_at: dict[str, float] = {}
        # Machines that send their next report late, or when they are in ``report_due``.
        self.reports_late: set[str] = set()
        self.report_due: set[str] = set()
        self.store = FakeKeyValueStore(self.clock, 100.0, 32.0, 12)
        pool = ("small-node", "athens-a", False)
        self.cloud = FakeCloud(
            self.clock, [SMALL_NODE], {pool: capacity}, 3.0, self._boot, self._end
        )
        self.cloud.boot_failure_share = 0.0
        self.names = ["rig-0", "rig-1", "rig-2"]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._write_settings()
        for _ in range(machines):
            self._boot_at_start()

    def _boot_at_start(self) -> None:
        """Add a machine that is up at the start: of gr-donorslot's machines, some are."""
        number = len(self.cloud.machines) + 1
        machine = FakeMachine(number, SMALL_NODE, "athens-a", False)
        machine.rented_at, machine.status = self.clock.now - 60.0, "running"
        self.cloud.machines[machine.name] = machine
        self._boot(machine)

    def _write_settings(self) -> None:
        state, cloud = self.serve(self._store_answer), self.serve(self._cloud_answer)
        addresses = controller_addresses(6)
        self.public = dict(zip(self.names, addresses[:3], strict=True))
        self.cluster = dict(zip(self.names, addresses[3:], strict=True))
        self.config: dict[str, Path] = {}
        for name in self.names:
            siblings = "".join(
                f'[[siblings]]\nhost_name = "{other}"\nsite = "athens-a"\n'
                f'peer_addr = "{text(self.peer_address(name, other))}"\n'
                for other in self.names
                if other != name
            )
            self.config[name] = self.folder / f"{name}.toml"
            self.config[name].write_text(
                f'host_name = "{name}"\nsite = "athens-a"\n'
                f'listen = "{text(self.public[name])}"\n'
                f'cluster_listen = "{text(self.cluster[name])}"\n{siblings}'
                f'[external]\ncloud = "{text(cloud)}"\nstate = "{text(state)}"\n'
                '[deployment]\ninitial_size = 3\nzones = ["athens-a"]\nclock_off_ms = 5.0\n'
                f"{OBJECTIVES}{WORKERS}{LIMITS}"
            )

    def peer_address(self, name: str, other: str) -> Address:
        """Return the address at which ``name`` finds the cluster listener of ``other``."""
        return self.cluster[other]

    # -- controllers ------------------------------------------------------------------

    def start(self, names: list[str] | None = None) -> None:
        """Start controllers with the command of the deploy file."""
        for name in names or self.names:
            log = (self.folder / f"{name}.log").open("ab")
            self.processes[name] = subprocess.Popen(
                ["python3", "run.py", "--config", str(self.config[name])],
                cwd=ROOT,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                stderr=log,
                stdout=subprocess.DEVNULL,
            )
            self.note(f"controller {name} started")

    def kill(self, name: str) -> None:
        """End a controller without notice."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.note(f"controller {name} killed")

    def suspend(self, name: str) -> None:
        """Let a controller stand still."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self.note(f"controller {name} stands still")

    def resume(self, name: str) -> None:
        """Let a controller go on."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.note(f"controller {name} goes on")

    def leader(self, timeout: float = 20.0) -> str:
        """Return the controller that says that it leads; waits for one."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            for name in self.names:
                status, body = call(self.public[name], "GET", "/nodes", None, 1.0)
                if status == 200 and body.get("leading"):
                    return name
            time.sleep(0.1)
        raise CannotRunError("no controller leads")

    def close(self) -> None:
        """End all processes that this deployment started, and remove its folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        with self._record_lock:
            self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        with self._record_lock:
            if not self._record.closed:
                self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
                self._record.flush()

    # -- stand-ins --------------------------------------------------------------------

    def serve(self, answer: Callable[[str, str, Any], tuple[int, Any]]) -> Address:
        """Serve a stand-in over HTTP; return its address."""
        handler = type("BoundHandler", (_Handler,), {"answer": staticmethod(answer)})
        server = _Server((HOST, 0), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return HOST, int(server.server_address[1])

    def _wait_for(self, handle: Callable[..., None], *request: Any) -> tuple[int, Any]:
        answered = threading.Event()
        answers: list[tuple[int, Any]] = []

        def reply(status: int, body: Any) -> None:
            answers.append((status, body))
            answered.set()

        with self.clock.lock:
            handle("node", *request, reply)
        answered.wait(70.0)
        return answers[0]

    def _store_answer(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        return self._wait_for(self.store.handle, method, path, body)

    def _cloud_answer(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        answer = self._wait_for(self.cloud.handle, method, path, body)
        if method == "POST":
            self.note(f"cloud {path} {body} -> {answer}")
        return answer

    def _boot(self, machine: FakeMachine) -> None:
        worker = self.workers[machine.name] = FakeWorker(self.clock, machine, LEASE_S, self)

        def answer(method: str, path: str, body: Any) -> tuple[int, Any]:
            if path == "/do":
                self.before_commands(worker, body)
            with self.clock.lock:
                if path != "/do":
                    return 200, worker.report()
                status, report = worker.execute_request(body)
            self.note(f"{machine.name} /do {body} -> {status} {report['pieces']}")
            return status, report

        machine.addr = text(self.serve(answer))
        threading.Thread(target=self._send_reports, args=(worker,), daemon=True).start()
        self.note(f"{machine.name} is up ({machine.kind['label']})")

    def _end(self, machine: FakeMachine) -> None:
        worker = self.workers.pop(machine.name, None)
        if worker is not None:
            worker.dead = True
            worker.end_all_tasks()
        self.note(f"{machine.name} is gone")

    def before_commands(self, worker: FakeWorker, body: Any) -> None:
        """Do something before a worker carries out direct commands; cases replace this."""

    def report_address(self, worker: FakeWorker, name: str) -> Address:
        """Return the address at which a worker finds a controller."""
        return self.public[name]

    def _send_reports(self, worker: FakeWorker) -> None:
        number = 0
        while not worker.dead:
            with self.clock.lock:
                sent, session = time.monotonic(), worker.agent_epoch
                report = worker.report()
                listed = [dict(each) for each in report["pieces"]]
                self.report_sent_at[worker.machine.name] = sent
            name = self.names[number]
            address = self.report_address(worker, name)
            status, body = call(address, "POST", "/agent/beat", report, BEAT_TIMEOUT_S)
            in_time = time.monotonic() - sent < BEAT_TIMEOUT_S
            if status == 200 and in_time:
                if body["orders"]:
                    self.note(f"{worker.machine.name} gets {body} from {name}")
                with self.clock.lock:
                    worker.apply_response(sent, session, body)
                self._pause(worker, sent, listed)
            elif status == 421 and body.get("foreman") in set(self.names) - {name}:
                number = self.names.index(body["foreman"])
            else:
                number = (number + 1) % len(self.names)
                time.sleep(RETRY_S)

    def _pause(self, worker: FakeWorker, sent: float, listed: list[Any]) -> None:
        """Wait until the next report is due.

        That is ``REPORT_S``, give or take a quarter, after the last one, or earlier if a task
        has changed, but not within half a second.
        """
        time.sleep(max(0.0, sent + MIN_REPORT_INTERVAL_S - time.monotonic()))
        name = worker.machine.name
        factor = self.clock.rng.uniform(0.75, 1.25)
        while not worker.dead:
            if time.monotonic() > sent + REPORT_S * (1.25 if name in self.reports_late else factor):
                return
            with self.clock.lock:
                changed = [task.view() for task in worker.tasks.values()] != listed
                if changed or name in self.report_due:
                    self.report_due.discard(name)
                    return
            time.sleep(0.01)

    # -- callbacks of the workers -------------------------------------------------------

    def spec(self, job_id: str) -> dict[str, Any] | None:
        """Return the description that the user has uploaded."""
        job = self.jobs.get(job_id)
        return None if job is None else job.spec

    def run_time(self, piece: str) -> float:
        """Return how long a task runs."""
        return self.run_time_s(piece)

    def finished(self, piece: str) -> bool:
        """Return whether a task is done, so that another start of it is done at once."""
        job_id, task = piece.split("/")
        return int(task) in self.jobs[job_id].done

    def task_started(self, piece: str, worker: FakeWorker) -> None:
        """Record that a task has its image, and check that it is on no other machine."""
        job_id, task = piece.split("/")
        others = self.jobs[job_id].on_machines.setdefault(int(task), set())
        name = worker.machine.name
        self.note(f"{piece} starts on {name}")
        if others - {name}:
            self.violations.append(f"ran_twice: {piece} on {name} and {sorted(others)}")
        others.add(name)

    def task_ended(self, piece: str, worker: FakeWorker, done: bool) -> None:
        """Record that a task left its machine."""
        job_id, task = piece.split("/")
        self.jobs[job_id].on_machines.setdefault(int(task), set()).discard(worker.machine.name)
        if done:
            self.jobs[job_id].done.add(int(task))
        self.note(f"{piece} {'is done' if done else 'ended'} on {worker.machine.name}")

    def gang_changed(self, task: Any, worker: FakeWorker) -> None:
        """Run gangs of one task; larger ones are not used by these cases."""
        if task.status == "waiting":
            worker.run(task)
            delay = self.run_time_s(task.piece)
            self.clock.after(delay, lambda: worker.complete(task))

    # -- users --------------------------------------------------------------------------

    def job(self, number: int, **changes: Any) -> str:
        """Describe a job; return its id."""
        job_id = f"job-{number:06d}"
        self.jobs[job_id] = Job(
            {
                "name_id": job_id, "workload": "eligibility-check", "owner": "ops-core",
                "shape": "array", "urgency": "high", "pieces": 1, "vcpus": 1.0, "cards": 0.0,
                "ram_gb": 4.0, "bundle": "img-01", "image_gb": 0.2, "rig_kinds": None, "yard": None,
                "together": False, "spread": False, "loaners": False, "expected_s": 1.0,
                "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None, **changes,
            }
        )  # fmt: skip
        return job_id

    def ask(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a user's request to a controller and record the answer."""
        timeout = POLL_TIMEOUT_S if method == "GET" else USER_TIMEOUT_S
        sent = time.monotonic()
        status, answer = call(self.public[name], method, path, body, timeout)
        took_ms = (time.monotonic() - sent) * 1000
        self.note(f"user {method} {path} at {name} -> {status} {answer} ({took_ms:.0f} ms)")
        return status, answer

    def until_answered(
        self, method: str, path: str, body: Any = None, for_s: float = 60.0
    ) -> tuple[int, Any]:
        """Repeat a user's request at the controllers in turn until it is answered."""
        until = time.monotonic() + for_s
        for name in itertools.cycle(self.names):
            status, answer = self.ask(name, method, path, body)
            if status in (200, 201, 400, 404, 422) or time.monotonic() > until:
                return status, answer
            time.sleep(RETRY_S)
        return 0, None

    def submit(self, job_id: str, for_s: float = 60.0) -> None:
        """Submit a job until it is accepted."""
        status, _ = self.until_answered("POST", "/submissions", self.jobs[job_id].spec, for_s)
        if status not in (200, 201):
            raise CannotRunError(f"{job_id} is not accepted: {status}")

    def state(self, job_id: str) -> str | None:
        """Return what a job is called now; None without an answer."""
        status, answer = self.until_answered("GET", f"/submissions/{job_id}", None, 10.0)
        return answer["status"] if status == 200 else None

    def wait_for(self, what: str, holds: Callable[[], bool], for_s: float) -> None:
        """Wait until a condition of the set-up holds."""
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            with self.clock.lock:
                if holds():
                    return
            time.sleep(0.05)
        raise CannotRunError(f"not in time: {what}")


def _time_is_up(*_: Any) -> None:
    raise CannotRunError(f"not done after {MAX_RUN_S} s")


def main(
    record: Path,
    case: Callable[[Deployment, bool], bool],
    deployment_class: type[Deployment] = Deployment,
    **options: Any,
) -> int:
    """Run a case; ``TROUBLE=0`` leaves out its disruption. Return the exit code."""
    deployment = deployment_class(record, **options)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    signal.signal(signal.SIGALRM, _time_is_up)
    signal.alarm(MAX_RUN_S)
    try:
        held = case(deployment, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:
        deployment.note(f"could not run: {error!r}")
        return NOT_RUN
    else:
        deployment.note("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    finally:
        deployment.close()
