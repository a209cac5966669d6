"""The listener against clients that misbehave."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from appleshift.transport import server
from appleshift.transport.client import ClientError, HttpClient
from appleshift.transport.concurrency import ThreadPool, ThreadRuntime
from appleshift.transport.server import HttpListener, Request, Response


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[HttpListener]:
    monkeypatch.setattr(server, "REQUEST_S", 0.3)
    monkeypatch.setattr(server, "DEADLINE_CHECK_S", 0.1)
    made = HttpListener(
        ("127.0.0.1", 0), lambda request: Response(200, request.body), limit=4, name="test"
    )
    made.start()
    yield made
    made.stop()


def talk(listener: HttpListener, *lines: str) -> bytes:
    with socket.create_connection(listener.server_address[:2], timeout=5.0) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        answer = b""
        while data := connection.recv(65536):
            answer += data
        return answer


@pytest.mark.parametrize(
    ("header", "status"),
    [
        ("Content-Length: 65537", 413),
        ("Content-Length: 99999999999", 413),
        ("Content-Length: -1", 400),
        ("Content-Length: twelve", 400),
        ("Transfer-Encoding: chunked", 411),
        ("Content-Length: 3\r\nContent-Length: 4", 400),
        ("no colon in this line", 400),
        ("X-Long: " + "x" * 20000, 431),
    ],
)
def test_bodies_that_cannot_be_taken(listener: HttpListener, header: str, status: int) -> None:
    answer = talk(listener, "POST /submissions HTTP/1.1", header)
    assert answer.startswith(f"HTTP/1.1 {status}".encode())


def test_nonsense_and_half_a_request_end_the_connection(listener: HttpListener) -> None:
    assert talk(listener, "this is not http at all, is it").startswith(b"HTTP/1.1 400")
    # The rest of the body never comes: the connection is closed, not kept.
    assert talk(listener, "POST / HTTP/1.1", "Content-Length: 10", "", "12345") == b""
    client = HttpClient(listener.server_address[:2])
    assert client.request("POST", "/", b"still serving")[1] == b"still serving"
    client.close()


def test_connections_beyond_the_limit_are_refused_and_places_come_back(
    listener: HttpListener, caplog: pytest.LogCaptureFixture
) -> None:
    held = [socket.create_connection(listener.server_address[:2]) for _ in range(4)]
    for connection in held:
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
    fifth = socket.create_connection(listener.server_address[:2], timeout=5.0)
    assert fifth.recv(10) == b""
    for _ in range(200):
        if "test: 1 connections refused, 4 of 4 places are taken" in caplog.text:
            break
        threading.Event().wait(0.02)
    else:
        pytest.fail("nobody says that places are short")
    for connection in [*held, fifth]:
        connection.close()
    client = HttpClient(listener.server_address[:2])
    for _ in range(200):
        try:
            assert client.request("GET", "/")[0] == 200
            break
        except ClientError:
            threading.Event().wait(0.02)
    else:
        pytest.fail("no place came back")
    client.close()


def test_a_request_that_trickles_ends_its_connection(listener: HttpListener) -> None:
    """Each byte once bought another half minute of a routine and a place."""
    with socket.create_connection(listener.server_address[:2], timeout=5.0) as connection:
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")
        connection.settimeout(0.02)
        for _ in range(900):
            connection.sendall(b"x")
            try:
                assert connection.recv(1) == b""
                break
            except TimeoutError:
                continue
        else:
            pytest.fail("the body may trickle for as long as it likes")


def test_those_who_only_hold_connections_lose_them_to_others(
    listener: HttpListener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "CROWDED_IDLE_S", 0.0)
    worker = HttpClient(listener.server_address[:2])
    assert worker.request("POST", "/", b"1")[0] == 200
    held = [socket.create_connection(listener.server_address[:2]) for _ in range(10)]
    for _ in range(200):
        try:
            assert HttpClient(listener.server_address[:2]).request("POST", "/", b"2")[0] == 200
            break
        except ClientError:
            threading.Event().wait(0.02)
    else:
        pytest.fail("idle connections kept every place")
    for connection in held:
        connection.close()
    worker.close()


def test_a_connection_is_used_again(listener: HttpListener) -> None:
    client = HttpClient(listener.server_address[:2])
    for _ in range(20):
        assert client.request("POST", "/", b"x" * 30000)[1] == b"x" * 30000
    assert listener.connections() == 1
    client.close()


def test_a_process_that_is_back_within_a_moment_costs_one_request() -> None:
    """Each connection kept to the one before it once failed a request of its own."""

    def app(request: Request) -> Response:
        held.wait(5.0)
        return Response(200, b"again")

    held = threading.Event()
    made = HttpListener(("127.0.0.1", 0), app, limit=20, name="test")
    made.start()
    address = made.server_address[:2]
    client = HttpClient(address)
    asking = [threading.Thread(target=client.request, args=("GET", "/")) for _ in range(4)]
    for each in asking:
        each.start()
    while made.connections() < 4:
        threading.Event().wait(0.005)
    held.set()
    for each in asking:
        each.join()
    assert len(client._free) == 4
    made.stop()
    second = HttpListener(address, app, limit=20, name="test")
    second.start()
    failed = 0
    for _ in range(8):
        try:
            assert client.request("GET", "/") == (200, b"again")
        except ClientError:
            failed += 1
    assert failed <= 1
    client.close()
    second.stop()


def test_a_pool_without_threads_goes_on_with_those_it_has(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The core's routine submits: what it could not start once cost it its term."""

    class Scarce(ThreadRuntime):
        left = 1

        def spawn(self, name: str, target: Any, *args: Any) -> None:
            if not self.left:
                raise RuntimeError("can't start new thread")
            self.left -= 1
            super().spawn(name, target, *args)

    runtime = Scarce()
    pool = ThreadPool(runtime, "call", 4)
    done: Any = queue.SimpleQueue()
    release = threading.Event()
    pool.submit(lambda: (release.wait(5.0), done.put(0)))
    for number in range(1, 6):
        pool.submit(done.put, number)
    assert "no thread for another routine" in caplog.text
    release.set()
    assert [done.get(timeout=5.0) for _ in range(6)] == list(range(6))
    pool.stop()


def test_no_answer_is_an_error_not_a_hang() -> None:
    silent = socket.create_server(("127.0.0.1", 0))
    client = HttpClient(silent.getsockname()[:2])
    with pytest.raises(ClientError):
        client.request("GET", "/", timeout=0.2)
    silent.close()


def test_application_errors_do_not_end_the_listener() -> None:
    def app(request: Request) -> Response:
        raise RuntimeError("broken")

    made = HttpListener(("127.0.0.1", 0), app, limit=2, name="test")
    made.start()
    client = HttpClient(made.server_address[:2])
    for _ in range(3):
        with pytest.raises(ClientError):
            client.request("GET", "/", timeout=2.0)
    made.stop()
