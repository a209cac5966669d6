"""Measures one HTTP listener with thousands of persistent connections on loopback.

    python -m tests.measurements.measure_connections [--connections 4000] [--seconds 20] [--gap 2.5]

Not a test: figures for docs/CAPACITY.md. One process runs the listener; another one keeps the
connections open and sends a request of the size of a heartbeat on each of them every ``--gap``
seconds. The handler responds immediately, so the figures are those of the listener: threads,
memory, CPU time, and the time from sending a request to its response. Both processes run on the
same machine.
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
MAX_CONNECTIONS, MAX_SECONDS = 6000, 120.0
REQUEST_BODY, RESPONSE_BODY = b"r" * 300, b"a" * 100
REQUEST_HEAD = f"POST /agent/beat HTTP/1.1\r\nContent-Length: {len(REQUEST_BODY)}\r\n\r\n".encode()
CONNECTS_PER_PAUSE, CONNECT_PAUSE_S = 50, 0.05
RESPONSE_TIMEOUT_S = 10.0
"""The measurement is aborted when a request gets no response for this long."""


@dataclass
class Usage:
    """Resource use of the listener process."""

    connections: int
    threads: int
    resident_mb: float
    cpu_s: float


def usage(listener: HttpListener) -> Usage:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    resident_mb = pages * resource.getpagesize() / 1e6
    return Usage(
        listener.connection_count(), threading.active_count(), resident_mb, time.process_time()
    )


def serve(pipe: Connection) -> None:
    """Runs the listener process: sends its address, then its usage on each request of the pipe."""
    limits = NodeLimits.from_machine_limits(LIMITS)
    ThreadRuntime()
    listener = HttpListener(
        ("127.0.0.1", 0),
        lambda request: handle(request),
        limits.connections,
        "measured",
        dedicated_threads=limits.threads,
        pool_threads=POOL_THREADS,
    )
    listener.start()
    pipe.send(listener.server_address[:2])
    while pipe.recv():
        pipe.send(usage(listener))
    listener.stop()


def handle(request: Request) -> Response:
    return Response(200 if request.body == REQUEST_BODY else 400, RESPONSE_BODY)


def request_usage(pipe: Connection) -> Usage:
    pipe.send(True)
    found: Usage = pipe.recv()
    return found


class Clients:
    """Client connections on one thread; each sends one request every ``gap_s`` seconds."""

    def __init__(self, address: tuple[str, int], count: int, gap_s: float) -> None:
        self._gap_s = gap_s
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, float] = {}
        self._partial_responses: dict[socket.socket, bytes] = {}
        self._next: list[tuple[float, int, socket.socket]] = []
        self.durations_s: list[float] = []
        self.send_delays_s: list[float] = []
        began = time.monotonic()
        for number in range(count):
            if number % CONNECTS_PER_PAUSE == 0:
                time.sleep(CONNECT_PAUSE_S)
            connection = socket.create_connection(address, timeout=RESPONSE_TIMEOUT_S)
            self._selector.register(connection, selectors.EVENT_READ)
            heapq.heappush(self._next, (began + gap_s * number / count, number, connection))
        # Shifts the first sends by the time that opening the connections took.
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
            if now - self._sent[connection] > RESPONSE_TIMEOUT_S:
                sys.exit(f"no response within {RESPONSE_TIMEOUT_S} s")
            return
        self.send_delays_s.append(now - at)
        self._sent[connection] = now
        connection.sendall(REQUEST_HEAD + REQUEST_BODY)

    def _receive(self, connection: socket.socket) -> None:
        data = connection.recv(65536)
        if not data:
            sys.exit("the listener closed a connection")
        received = self._partial_responses.pop(connection, b"") + data
        if not received.endswith(RESPONSE_BODY):
            self._partial_responses[connection] = received
            return
        if not received.startswith(b"HTTP/1.1 200 "):
            sys.exit(f"unexpected response {received[:60]!r}")
        self.durations_s.append(time.monotonic() - self._sent.pop(connection))

    def reset_samples(self) -> None:
        self.durations_s.clear()
        self.send_delays_s.clear()

    def close(self) -> None:
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()


def row(clients: Clients, before: Usage, after: Usage, seconds: float) -> list[str]:
    permilles = statistics.quantiles(clients.durations_s, n=1000)
    requests = len(clients.durations_s)
    cpu_s = after.cpu_s - before.cpu_s
    return [
        str(after.connections),
        str(after.threads),
        f"{after.resident_mb:.0f}",
        f"{requests / seconds:.0f}",
        f"{permilles[499] * 1000:.1f}",
        f"{permilles[989] * 1000:.1f}",
        f"{max(clients.durations_s) * 1000:.1f}",
        f"{cpu_s / seconds:.2f}",
        f"{cpu_s / requests * 1e6:.0f}",
        f"{max(clients.send_delays_s) * 1000:.0f}",
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--connections", type=int, nargs="+", default=[1000, 4000])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gap", type=float, default=2.5, help="seconds between two requests")
    arguments = parser.parse_args()
    if max(arguments.connections) > MAX_CONNECTIONS or arguments.seconds > MAX_SECONDS:
        parser.error(f"at most {MAX_CONNECTIONS} connections and {MAX_SECONDS:.0f} s")
    rows = []
    for count in arguments.connections:
        context = multiprocessing.get_context("spawn")
        pipe, child_pipe = context.Pipe()
        process = context.Process(target=serve, args=(child_pipe,), daemon=True)
        process.start()
        clients = Clients(pipe.recv(), count, arguments.gap)
        clients.run(2 * arguments.gap)
        clients.reset_samples()
        before = request_usage(pipe)
        clients.run(arguments.seconds)
        rows.append(row(clients, before, request_usage(pipe), arguments.seconds))
        clients.close()
        pipe.send(False)
        process.join(RESPONSE_TIMEOUT_S)
    headers = ["connections", "threads", "MB", "requests/s", "p50 ms", "p99 ms", "most ms"]
    headers += ["cores", "us a request", "sent late ms"]
    print(tabulate(rows, headers, disable_numparse=True))
    return 0


if __name__ == "__main__":
    sys.exit(main())
