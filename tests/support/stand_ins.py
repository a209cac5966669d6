"""Fake key-value store, cloud and workers that implement the published protocol.

They use the field names of the wire and import nothing from appleshift, so a wrong wire name
in appleshift makes a test fail. ``clock`` is the virtual clock of a simulation or a real clock
behind a lock.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec

Response = tuple[int, Any]
Reply = Callable[[int, Any], None]


class Clock(Protocol):
    """Time, random numbers and timers of a simulation or a loopback cluster."""

    rng: random.Random

    @property
    def now(self) -> float: ...

    def after(self, delay: float, call: Callable[[], None]) -> None: ...


class FakeKeyValueStore:
    """A key-value store with leases, transactions, watches, rate limits and outages."""

    def __init__(self, clock: Clock, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.clock = clock
        self.write_rps, self.value_kb, self.txn_ops = write_rps, value_kb, txn_ops
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.unavailable = False
        self.unavailable_for: set[str] = set()
        self.history: deque[tuple[int, dict[str, Any]]] = deque(maxlen=10_000)
        self.compacted_revision = 0
        self.request_counts: Counter[str] = Counter()
        self.watches: list[tuple[str, int, Reply]] = []
        self._available_writes = write_rps
        self._writes_updated_at = 0.0
        self.rate_limited_writes = 0
        # Share of transactions that get no response and are executed 2 to 12 s later.
        self.delayed_write_share = 0.0
        self.delayed_write_statuses: Counter[int] = Counter()
        # Share of transactions that are executed at once but whose response is lost.
        self.lost_response_share = 0.0
        self.lost_response_statuses: Counter[int] = Counter()
        # Called with each change as it is applied.
        self.on_change: Callable[[dict[str, Any]], None] = lambda change: None

    def handle(self, caller: str, method: str, target: str, body: Any, reply: Reply) -> None:
        self.request_counts[caller] += 1
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.unavailable or caller in self.unavailable_for:
            reply(503, {"error": "trouble"})
            return
        self._end_expired_leases()
        if url.path == "/changes":
            self._watch(query, reply)
            return
        if (
            url.path == "/txn"
            and self.delayed_write_share
            and self.clock.rng.random() < self.delayed_write_share
        ):
            self.clock.after(self.clock.rng.uniform(2.0, 12.0), lambda: self._execute_delayed(body))
            return
        lost = self.lost_response_share
        if url.path == "/txn" and lost and self.clock.rng.random() < lost:
            self.lost_response_statuses[self._txn(body)[0]] += 1
            return
        reply(*self._response(method, url.path, query, body))

    def _execute_delayed(self, body: Any) -> None:
        """Execute a delayed transaction whose caller has timed out; its guards still apply."""
        if not self.unavailable:
            self._end_expired_leases()
            self.delayed_write_statuses[self._txn(body)[0]] += 1

    def _response(self, method: str, path: str, query: dict[str, str], body: Any) -> Response:
        if path == "/kv":
            return self._list(query)
        if path.startswith("/kv/"):
            row = self.rows.get(path[4:])
            if row is None:
                return 404, {"ledger_no": self.revision}
            response = {"key": path[4:], "v": row[0], "stamp": row[1]}
            return 200, response if row[2] is None else {**response, "permit": row[2]}
        if path == "/txn":
            return self._txn(body)
        if path == "/leases" and method == "POST":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self._renew_lease(lease, body["ttl_ms"] / 1000)
            return 200, {"permit": lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self._renew_lease(lease, self.leases[lease][1])
        return 200, {"permit": lease}

    def _renew_lease(self, lease: int, ttl: float) -> None:
        self.leases[lease] = (self.clock.now + ttl, ttl)
        self.clock.after(ttl + self.clock.rng.uniform(0.0, 0.1), self._end_expired_leases)

    def _end_expired_leases(self) -> None:
        if self.unavailable:
            return
        for lease, (until, _) in list(self.leases.items()):
            if until < self.clock.now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self._apply([{"remove": key} for key in keys])

    def recover(self) -> None:
        """End the outage and renew every lease for its full duration."""
        self.unavailable = False
        for lease, (_, ttl) in list(self.leases.items()):
            self._renew_lease(lease, ttl)

    def _list(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        limit = min(int(query.get("limit", "1000")), 1000)
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[:limit]:
            row = {"key": key, "v": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(msgspec.json.encode(row)) + 1
            if size > 512 * 1024 - 100:
                break
            rows.append(row)
        return 200, {
            "rows": rows, "truncated": len(keys) > len(rows), "ledger_no": self.revision
        }  # fmt: skip

    def _txn(self, body: Any) -> Response:
        changes = body.get("then", [])
        now = self.clock.now
        self._available_writes = min(
            self.write_rps,
            self._available_writes + (now - self._writes_updated_at) * self.write_rps,
        )
        self._writes_updated_at = now
        if len(changes) > self.txn_ops or len(body["guards"]) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        sizes = [len(msgspec.json.encode(change.get("v"))) for change in changes]
        if any(size > self.value_kb * 1024 for size in sizes):
            return 400, {"error": "value too large"}
        if self._available_writes < len(changes):
            self.rate_limited_writes += 1
            return 429, {"error": "too many changes"}
        self._available_writes -= len(changes)
        if any(change.get("permit", 1) not in {1, *self.leases} for change in changes):
            return 400, {"error": "no such lease"}
        if any("permit" in change and change["permit"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        failed = [
            guard["key"]
            for guard in body["guards"]
            if self.rows.get(guard["key"], (None, 0))[1] != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger_no": self.revision}
        self._apply(changes)
        return 200, {"ledger_no": self.revision}

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "put" in change:
                row = (change["v"], self.revision, change.get("permit"))
                self.rows[change["put"]] = row
            else:
                self.rows.pop(change["remove"], None)
            if len(self.history) == self.history.maxlen:
                self.compacted_revision = self.history[0][0]
            self.history.append((self.revision, {**change, "stamp": self.revision}))
            self.on_change(change)
        watches, self.watches = self.watches, []
        for prefix, after, reply in watches:
            self._notify(prefix, after, reply, last=False)

    def _notify(self, prefix: str, after: int, reply: Reply, last: bool) -> None:
        """Reply with the changes after a revision; without any, keep the watch unless ``last``."""
        news = [
            change
            for revision, change in self.history
            if revision > after and str(change.get("put") or change["remove"]).startswith(prefix)
        ]
        if news or last:
            reply(200, {"ledger_no": self.revision, "news": news})
        else:
            self.watches.append((prefix, after, reply))

    def _watch(self, query: dict[str, str], reply: Reply) -> None:
        if int(query["after"]) < self.compacted_revision:
            reply(410, {"error": "too old"})
            return
        entry = (query.get("prefix", ""), int(query["after"]), reply)
        self._notify(*entry, last=False)

        def end() -> None:
            if entry in self.watches:
                self.watches.remove(entry)
                reply(200, {"ledger_no": self.revision, "news": []})

        self.clock.after(int(query.get("hold_ms", "0")) / 1000, end)


class FakeMachine:
    """A machine with its status in the cloud."""

    def __init__(self, number: int, kind: dict[str, Any], zone: str, spot: bool) -> None:
        self.name = f"i-{number:06d}"
        self.addr = f"10.1.{number // 250}.{number % 250 + 1}:9000"
        self.kind, self.zone, self.spot = kind, zone, spot
        self.status = "starting"
        self.rented_at = 0.0
        self.ended_at: float | None = None


class FakeCloud:
    """A cloud that rents machines and whose machine listing lags behind."""

    def __init__(
        self,
        clock: Clock,
        kinds: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        lag: float,
        boot: Callable[[FakeMachine], None],
        end: Callable[[FakeMachine], None],
    ) -> None:
        self.clock, self.kinds, self.capacity, self.lag = clock, kinds, capacity, lag
        self.boot, self.end = boot, end
        self.machines: dict[str, FakeMachine] = {}
        self.rentals: dict[str, Any] = {}
        self.unavailable = False
        self.boot_failure_share = 0.05
        # Longest boot time of a machine in seconds; None: depends on the machine type.
        self.max_boot_s: float | None = None

    def handle(self, caller: str, method: str, target: str, body: Any, reply: Reply) -> None:
        if self.unavailable:
            reply(503, {"error": "trouble"})
            return
        url = urlsplit(target)
        if url.path == "/machine_types":
            reply(200, {"rig_kinds": self.kinds})
        elif url.path == "/machines/delete":
            for name in body["rigs"]:
                self.remove(name)
            reply(200, {})
        elif method == "POST":
            reply(*self._rent(body))
        else:
            reply(200, self._list(parse_qs(url.query)))

    def remove(self, name: str) -> None:
        machine = self.machines.get(name)
        if machine is not None and machine.ended_at is None:
            machine.ended_at = self.clock.now
            self.end(machine)

    def _rent(self, body: Any) -> Response:
        earlier = self.rentals.get(body["hire"])
        if earlier is not None:
            return 200, earlier
        pool = (body["rig_kind"], body["yard"], body["loaners"])
        held = sum(
            1
            for machine in self.machines.values()
            if machine.ended_at is None
            and (machine.kind["label"], machine.zone, machine.spot) == pool
        )
        count = min(body["count"], self.capacity.get(pool, 0) - held)
        if count <= 0:
            return 503, {"error": "no capacity"}
        kind = next(kind for kind in self.kinds if kind["label"] == body["rig_kind"])
        names = []
        for _ in range(count):
            machine = FakeMachine(len(self.machines) + 1, kind, body["yard"], body["loaners"])
            machine.rented_at = self.clock.now
            self.machines[machine.name] = machine
            names.append(machine.name)
            if self.clock.rng.random() >= self.boot_failure_share:
                delay = kind["ready_s"] * self.clock.rng.uniform(0.1, 1.5)
                if self.max_boot_s is not None:
                    delay = self.clock.rng.uniform(0.0, self.max_boot_s)
                self.clock.after(delay, lambda machine=machine: self._boot_finished(machine))
        self.rentals[body["hire"]] = {"rigs": names}
        return 200, {"rigs": names}

    def _boot_finished(self, machine: FakeMachine) -> None:
        if machine.ended_at is None:
            machine.status = "running"
            self.boot(machine)

    def _list(self, query: dict[str, list[str]]) -> Any:
        as_of = self.clock.now - self.clock.rng.uniform(0.2, 2.0) * self.lag
        after = query.get("after", [""])[0]
        rows = [
            {
                "name_id": machine.name,
                "addr": machine.addr,
                "rig_kind": machine.kind["label"],
                "yard": machine.zone,
                "loaners": machine.spot,
                "status": machine.status,
                "age_s": as_of - machine.rented_at,
            }
            for machine in self.machines.values()
            if machine.name > after
            and machine.rented_at <= as_of
            and (machine.ended_at is None or machine.ended_at > as_of)
        ]
        return {"rigs": rows, "truncated": False}


class FakeTask:
    """One attempt of a task on a fake worker."""

    def __init__(self, piece: str, attempt: int, spec: dict[str, Any]) -> None:
        self.piece, self.attempt, self.spec = piece, attempt, spec
        self.status = "fetching"
        self.cause: str | None = None
        self.saved = False
        self.occupies_machine = False

    def view(self) -> dict[str, Any]:
        """Return the task as a heartbeat reports it."""
        view = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            view["cause"] = self.cause
            view["saved"] = self.saved
        return view


class Registry(Protocol):
    """Job specifications for the fake workers, and callbacks for changes of their tasks."""

    def spec(self, job_id: str) -> dict[str, Any] | None: ...

    def run_time(self, piece: str) -> float: ...

    def finished(self, piece: str) -> bool: ...

    def task_started(self, piece: str, worker: FakeWorker) -> None: ...

    def task_ended(self, piece: str, worker: FakeWorker, done: bool) -> None: ...

    def gang_changed(self, task: FakeTask, worker: FakeWorker) -> None: ...


class FakeWorker:
    """The worker on a machine, with its lease, fencing token, tasks and images.

    It sends no heartbeats: its owner sends ``report`` and passes the response on.
    """

    def __init__(
        self, clock: Clock, machine: FakeMachine, lease_s: float, registry: Registry
    ) -> None:
        self.clock, self.machine, self.lease_s, self.registry = clock, machine, lease_s, registry
        self.agent_epoch, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], FakeTask] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.notice_at: float | None = None
        self.lease_renewed_at = clock.now
        clock.after(lease_s + 1e-3, self.check_lease)
        self.dead = False
        self.paused = False
        self.fails_tasks = False
        self.deferred: list[Callable[[], None]] = []

    def info(self) -> dict[str, Any]:
        machine = self.machine
        return {
            "name": machine.name,
            "type": machine.kind["label"],
            "zone": machine.zone,
            "spot": machine.spot,
        }

    def report(self) -> dict[str, Any]:
        self.seq += 1
        notice = None if self.notice_at is None else max(0.0, self.notice_at - self.clock.now)
        return {
            "rig": self.machine.name,
            "addr": self.machine.addr,
            "rig_kind": self.machine.kind["label"],
            "yard": self.machine.zone,
            "loaners": self.machine.spot,
            "shift": self.agent_epoch,
            "tally": self.seq,
            "baton": self.token,
            "recall_in_s": notice,
            "pieces": [task.view() for task in self.tasks.values()],
        }

    def apply_response(self, sent: float, agent_epoch: int, response: Any) -> None:
        """Apply a response with status 200 to a heartbeat.

        ``sent`` and ``agent_epoch`` belong to the time at which the heartbeat was sent.
        """
        if self.dead or agent_epoch != self.agent_epoch or response.get("baton", -1) < self.token:
            return
        self.token = response["baton"]
        if sent > self.lease_renewed_at:
            self.lease_renewed_at = sent
            self.clock.after(sent + self.lease_s + 1e-3 - self.clock.now, self.check_lease)
        self.execute(response.get("orders", []))

    def execute_request(self, body: Any) -> Response:
        """Execute commands that a leader sends directly; reply 409 to a stale token or epoch."""
        if "baton" not in body or "shift" not in body:
            return 400, {}
        if body["baton"] < self.token or body["shift"] != self.agent_epoch:
            return 409, self.report()
        self.token = body["baton"]
        self.execute(body["orders"])
        return 200, self.report()

    def check_lease(self) -> None:
        """End all tasks and begin a new agent epoch if the lease has expired."""
        if not self.dead and self.clock.now - self.lease_renewed_at > self.lease_s:
            self.end_all_tasks()
            self.agent_epoch += 1
            self.lease_renewed_at = self.clock.now
            self.clock.after(self.lease_s + 1e-3, self.check_lease)

    def end_all_tasks(self) -> None:
        tasks, self.tasks = list(self.tasks.values()), {}
        for task in tasks:
            self._release(task, done=False)

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self._start(*key)
            elif order["verb"] == "kill" and task is not None and task.status != "exited":
                self._kill(task, order["wind_down_s"])
            elif order["verb"] == "clear" and task is not None and task.status == "exited":
                del self.tasks[key]

    def _start(self, piece: str, attempt: int) -> None:
        spec = self.registry.spec(piece.split("/")[0])
        task = FakeTask(piece, attempt, spec or {})
        attempts = [other for other in self.tasks.values() if other.piece == piece]
        self.tasks[piece, attempt] = task
        if spec is None:
            self._exit(task, "unknown")
        elif any(other.status != "exited" for other in attempts):
            self._exit(task, "in_use")
        elif not self._has_room(spec):
            self._exit(task, "no_room")
        else:
            delay = 0.0
            if spec["bundle"] not in self.images:
                delay = spec["image_gb"] * self.clock.rng.uniform(0.5, 2.0)
            self.clock.after(delay, lambda: self._run_or_defer(lambda: self._fetched(task)))

    def _has_room(self, spec: dict[str, Any]) -> bool:
        for field in ("vcpus", "cards", "ram_gb"):
            used = sum(
                other.spec[field] for other in self.tasks.values() if other.status != "exited"
            )
            if used > self.machine.kind[field] + 1e-6:
                return False
        return True

    def _run_or_defer(self, call: Callable[[], None]) -> None:
        """Run a callback now, or when a paused machine resumes; drop it on a dead machine."""
        if self.paused:
            self.deferred.append(call)
        elif not self.dead:
            call()

    def _fetched(self, task: FakeTask) -> None:
        if task.status != "fetching" or self.tasks.get((task.piece, task.attempt)) is not task:
            return
        self.images[task.spec["bundle"]] = task.spec["image_gb"]
        task.occupies_machine = True
        self.registry.task_started(task.piece, self)
        if self.registry.finished(task.piece):
            self._exit(task, "done")
        elif self.fails_tasks:
            self._exit(task, "error")
        elif task.spec["shape"] == "ensemble":
            task.status = "waiting"
            self.registry.gang_changed(task, self)
        else:
            self.run(task)

    def run(self, task: FakeTask) -> None:
        task.status = "running"
        if task.spec["shape"] == "array":
            delay = self.registry.run_time(task.piece)
            self.clock.after(delay, lambda: self._run_or_defer(lambda: self.complete(task)))

    def complete(self, task: FakeTask) -> None:
        if task.status == "running" and self.tasks.get((task.piece, task.attempt)) is task:
            self._exit(task, "done")

    def _kill(self, task: FakeTask, grace: float) -> None:
        saves_checkpoint = task.spec.get("snapshot_every_s", 0) > 0 and task.status == "running"
        if saves_checkpoint and grace >= task.spec["snapshot_cost_s"] > 0:
            task.status = "saving"
            delay = task.spec["snapshot_cost_s"]
            self.clock.after(delay, lambda: self._run_or_defer(lambda: self._saved(task)))
        elif task.status != "saving" or grace <= 0:
            self._exit(task, "stopped")

    def _saved(self, task: FakeTask) -> None:
        if task.status == "saving":
            task.saved = True
            self._exit(task, "stopped")

    def _exit(self, task: FakeTask, cause: str) -> None:
        task.status, task.cause = "exited", cause
        self._release(task, done=cause == "done")

    def exit_gang(self, task: FakeTask, cause: str) -> None:
        if task.status != "exited":
            self._exit(task, cause)

    def _release(self, task: FakeTask, done: bool) -> None:
        if task.occupies_machine:
            task.occupies_machine = False
            self.registry.task_ended(task.piece, self, done)
        task.status = "exited"
        if task.spec and task.spec["shape"] == "ensemble":
            self.registry.gang_changed(task, self)
