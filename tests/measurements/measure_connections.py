"""Measures one listener with thousands of kept connections, on loopback.

    python -m tests.measurements.measure_connections [--connections 4000] [--seconds 20] [--gap 2.5]

Not a test: figures for docs/CAPACITY.md. One process listens, another one keeps the connections
and sends a report-sized request on each of them once in a gap. The application answers at once,
so what is measured is the listener: its threads, its memory, its processor time, and how long a
request took from being sent to its answer. Both processes share the machine.
"""

from __future__ import annotations

import argparse
import heapq
import multiprocessing
import resource
import selectors
import socket
import statistics
import sys
import threading
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection

from tabulate import tabulate

from appleshift.node_limits.node_limits import POOL_THREADS, NodeLimits
from appleshift.protocol.settings import MachineLimits
from appleshift.transport.concurrency import ThreadRuntime
from appleshift.transport.http_messages import Request, Response
from appleshift.transport.server import HttpListener

LIMITS = MachineLimits(core_share=1.0, memory_mb=1200.0, max_sockets=6000)
MOST_CONNECTIONS, MOST_SECONDS = 6000, 120.0
BODY, ANSWER = b"r" * 300, b"a" * 100
HEAD = f"POST /agent/beat HTTP/1.1\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
CONNECTS_A_PAUSE, CONNECT_PAUSE_S = 50, 0.05
LATE_S = 10.0
"""A request without an answer for so long ends the measurement."""


@dataclass
class Usage:
    """What the listening process takes."""

    connections: int
    threads: int
    resident_mb: float
    processor_s: float


def usage(listener: HttpListener) -> Usage:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    resident_mb = pages * resource.getpagesize() / 1e6
    return Usage(
        listener.connection_count(), threading.active_count(), resident_mb, time.process_time()
    )


def serve(pipe: Connection) -> None:
    """The listening process: says where it listens, then what it takes when asked."""
    most = NodeLimits.from_machine_limits(LIMITS)
    ThreadRuntime()
    listener = HttpListener(
        ("127.0.0.1", 0),
        lambda request: answer(request),
        most.connections,
        "measured",
        dedicated_threads=most.threads,
        pool_threads=POOL_THREADS,
    )
    listener.start()
    pipe.send(listener.server_address[:2])
    while pipe.recv():
        pipe.send(usage(listener))
    listener.stop()


def answer(request: Request) -> Response:
    return Response(200 if request.body == BODY else 400, ANSWER)


def ask(pipe: Connection) -> Usage:
    pipe.send(True)
    found: Usage = pipe.recv()
    return found


class Clients:
    """All connections, on one thread: each sends a request once in a gap."""

    def __init__(self, address: tuple[str, int], count: int, gap_s: float) -> None:
        self._gap_s = gap_s
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, float] = {}
        self._parts: dict[socket.socket, bytes] = {}
        self._next: list[tuple[float, int, socket.socket]] = []
        self.took_s: list[float] = []
        self.late_s: list[float] = []
        began = time.monotonic()
        for number in range(count):
            if number % CONNECTS_A_PAUSE == 0:
                time.sleep(CONNECT_PAUSE_S)
            connection = socket.create_connection(address, timeout=LATE_S)
            self._selector.register(connection, selectors.EVENT_READ)
            heapq.heappush(self._next, (began + gap_s * number / count, number, connection))
        # From now on, each in its turn, however long it took to open them.
        shift = time.monotonic() - began
        self._next = [(at + shift, number, each) for at, number, each in self._next]

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            while self._next and self._next[0][0] <= now:
                self._send(*heapq.heappop(self._next))
            wait = min(self._next[0][0], until) - now if self._next else until - now
            for key, _ in self._selector.select(max(0.0, wait)):
                assert isinstance(key.fileobj, socket.socket)
                self._receive(key.fileobj)

    def _send(self, at: float, number: int, connection: socket.socket) -> None:
        heapq.heappush(self._next, (at + self._gap_s, number, connection))
        now = time.monotonic()
        if connection in self._sent:
            if now - self._sent[connection] > LATE_S:
                sys.exit(f"no answer within {LATE_S} s")
            return
        self.late_s.append(now - at)
        self._sent[connection] = now
        connection.sendall(HEAD + BODY)

    def _receive(self, connection: socket.socket) -> None:
        data = connection.recv(65536)
        if not data:
            sys.exit("the listener closed a connection")
        whole = self._parts.pop(connection, b"") + data
        if not whole.endswith(ANSWER):
            self._parts[connection] = whole
            return
        if not whole.startswith(b"HTTP/1.1 200 "):
            sys.exit(f"unexpected answer {whole[:60]!r}")
        self.took_s.append(time.monotonic() - self._sent.pop(connection))

    def forget(self) -> None:
        self.took_s.clear()
        self.late_s.clear()

    def close(self) -> None:
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()


def row(clients: Clients, before: Usage, after: Usage, seconds: float) -> list[str]:
    cuts = statistics.quantiles(clients.took_s, n=1000)
    requests = len(clients.took_s)
    processor_s = after.processor_s - before.processor_s
    return [
        str(after.connections),
        str(after.threads),
        f"{after.resident_mb:.0f}",
        f"{requests / seconds:.0f}",
        f"{cuts[499] * 1000:.1f}",
        f"{cuts[989] * 1000:.1f}",
        f"{max(clients.took_s) * 1000:.1f}",
        f"{processor_s / seconds:.2f}",
        f"{processor_s / requests * 1e6:.0f}",
        f"{max(clients.late_s) * 1000:.0f}",
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--connections", type=int, nargs="+", default=[1000, 4000])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gap", type=float, default=2.5, help="seconds between two requests")
    arguments = parser.parse_args()
    if max(arguments.connections) > MOST_CONNECTIONS or arguments.seconds > MOST_SECONDS:
        parser.error(f"at most {MOST_CONNECTIONS} connections and {MOST_SECONDS:.0f} s")
    rows = []
    for count in arguments.connections:
        context = multiprocessing.get_context("spawn")
        pipe, other = context.Pipe()
        process = context.Process(target=serve, args=(other,), daemon=True)
        process.start()
        clients = Clients(pipe.recv(), count, arguments.gap)
        clients.run(2 * arguments.gap)
        clients.forget()
        before = ask(pipe)
        clients.run(arguments.seconds)
        rows.append(row(clients, before, ask(pipe), arguments.seconds))
        clients.close()
        pipe.send(False)
        process.join(LATE_S)
    headers = ["connections", "threads", "MB", "requests/s", "p50 ms", "p99 ms", "most ms"]
    headers += ["cores", "us a request", "sent late ms"]
    print(tabulate(rows, headers, disable_numparse=True))
    return 0


if __name__ == "__main__":
    sys.exit(main())
