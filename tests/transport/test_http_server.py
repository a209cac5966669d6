"""Tests of the HTTP listener and client with faulty peers, and of thread exhaustion."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from appleshift.transport import connection_deadlines, server
from appleshift.transport.client import ClientError, HttpClient
from appleshift.transport.concurrency import ThreadRuntime
from appleshift.transport.http_messages import Request, Response
from appleshift.transport.server import HttpListener
from appleshift.transport.thread_pool import ThreadPool


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[HttpListener]:
    """A listener with at most four connections and short timeouts that echoes request bodies."""
    monkeypatch.setattr(connection_deadlines, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.1)
    listener_under_test = HttpListener(
        ("127.0.0.1", 0),
        lambda request: Response(200, request.body),
        max_connections=4,
        name="test",
    )
    listener_under_test.start()
    yield listener_under_test
    listener_under_test.stop()


def send_request_lines(listener: HttpListener, *lines: str) -> bytes:
    """Send lines and an empty line; return all bytes received until the connection is closed."""
    with socket.create_connection(listener.server_address[:2], timeout=5.0) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        received = b""
        while data := connection.recv(65536):
            received += data
        return received


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
def test_http_server_unacceptable_bodies_are_refused(
    listener: HttpListener, header: str, status: int
) -> None:
    response = send_request_lines(listener, "POST /submissions HTTP/1.1", header)
    assert response.startswith(f"HTTP/1.1 {status}".encode())


def test_http_server_malformed_or_partial_request_closes_connection(listener: HttpListener) -> None:
    assert send_request_lines(listener, "this is not http at all, is it").startswith(
        b"HTTP/1.1 400"
    )
    # The rest of the body is never sent: the connection must be closed, not kept open.
    assert send_request_lines(listener, "POST / HTTP/1.1", "Content-Length: 10", "", "12345") == b""
    client = HttpClient(listener.server_address[:2])
    assert client.request("POST", "/", b"still serving")[1] == b"still serving"
    client.close()


def test_http_server_connections_beyond_limit_are_refused_until_released(
    listener: HttpListener, caplog: pytest.LogCaptureFixture
) -> None:
    open_sockets = [socket.create_connection(listener.server_address[:2]) for _ in range(4)]
    for connection in open_sockets:
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
    fifth = socket.create_connection(listener.server_address[:2], timeout=5.0)
    assert fifth.recv(10) == b""
    for _ in range(200):
        if "connections refused listener=test refused=1 open=4 limit=4" in caplog.text:
            break
        threading.Event().wait(0.02)
    else:
        pytest.fail("refused connections are not logged")
    for connection in [*open_sockets, fifth]:
        connection.close()
    client = HttpClient(listener.server_address[:2])
    for _ in range(200):
        try:
            assert client.request("GET", "/")[0] == 200
            break
        except ClientError:
            threading.Event().wait(0.02)
    else:
        pytest.fail("no connection was released")
    client.close()


def test_http_server_slow_request_closes_connection(listener: HttpListener) -> None:
    """Guards against a request timeout that starts again with each received byte.

    With that defect, each byte extended the deadline by half a minute.
    """
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
            pytest.fail("a slow request body does not time out")


def test_http_server_idle_connections_are_closed_for_new_clients(
    listener: HttpListener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_deadlines, "AT_LIMIT_IDLE_TIMEOUT_S", 0.0)
    worker = HttpClient(listener.server_address[:2])
    assert worker.request("POST", "/", b"1")[0] == 200
    open_sockets = [socket.create_connection(listener.server_address[:2]) for _ in range(10)]
    for _ in range(200):
        try:
            assert HttpClient(listener.server_address[:2]).request("POST", "/", b"2")[0] == 200
            break
        except ClientError:
            threading.Event().wait(0.02)
    else:
        pytest.fail("idle connections were not closed for a new client")
    for connection in open_sockets:
        connection.close()
    worker.close()


def test_http_client_connection_is_reused(listener: HttpListener) -> None:
    client = HttpClient(listener.server_address[:2])
    for _ in range(20):
        assert client.request("POST", "/", b"x" * 30000)[1] == b"x" * 30000
    assert listener.connection_count() == 1
    client.close()


def test_http_client_after_server_restart_fails_at_most_one_request() -> None:
    """Guards against one failed request for each idle connection after a server restart."""

    def app(request: Request) -> Response:
        may_respond.wait(5.0)
        return Response(200, b"again")

    may_respond = threading.Event()
    listener_under_test = HttpListener(("127.0.0.1", 0), app, max_connections=20, name="test")
    listener_under_test.start()
    address = listener_under_test.server_address[:2]
    client = HttpClient(address)
    client_threads = [threading.Thread(target=client.request, args=("GET", "/")) for _ in range(4)]
    for thread in client_threads:
        thread.start()
    while listener_under_test.connection_count() < 4:
        threading.Event().wait(0.005)
    may_respond.set()
    for thread in client_threads:
        thread.join()
    assert len(client._idle_connections) == 4
    listener_under_test.stop()
    restarted_listener = HttpListener(address, app, max_connections=20, name="test")
    restarted_listener.start()
    failed_requests = 0
    for _ in range(8):
        try:
            assert client.request("GET", "/") == (200, b"again")
        except ClientError:
            failed_requests += 1
    assert failed_requests <= 1
    client.close()
    restarted_listener.stop()


def test_thread_pool_unable_to_start_threads_continues_with_existing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against ``submit`` raising when the operating system refuses another thread.

    The scheduler's loop submits calls, and the exception ended the scheduler's term.
    """

    class RuntimeWithOneThread(ThreadRuntime):
        threads_left = 1

        def spawn(self, name: str, target: Any, *args: Any) -> None:
            if not self.threads_left:
                raise RuntimeError("can't start new thread")
            self.threads_left -= 1
            super().spawn(name, target, *args)

    runtime = RuntimeWithOneThread()
    pool = ThreadPool(runtime, "call", 4)
    done: Any = queue.SimpleQueue()
    release = threading.Event()
    pool.submit(lambda: (release.wait(5.0), done.put(0)))
    for number in range(1, 6):
        pool.submit(done.put, number)
    assert "thread pool cannot grow pool=call threads=1" in caplog.text
    release.set()
    assert [done.get(timeout=5.0) for _ in range(6)] == list(range(6))
    pool.stop()


def test_http_client_without_response_raises_error_within_timeout() -> None:
    silent_server = socket.create_server(("127.0.0.1", 0))
    client = HttpClient(silent_server.getsockname()[:2])
    with pytest.raises(ClientError):
        client.request("GET", "/", timeout=0.2)
    silent_server.close()


@pytest.fixture
def pooled_listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[HttpListener]:
    """A listener with two dedicated threads, and two pool threads for 38 other connections."""
    monkeypatch.setattr(connection_deadlines, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.1)
    listener_under_test = HttpListener(
        ("127.0.0.1", 0),
        lambda request: Response(200, request.body),
        max_connections=40,
        name="test",
        dedicated_threads=2,
        pool_threads=2,
    )
    listener_under_test.start()
    yield listener_under_test
    listener_under_test.stop()


def create_connected_clients(listener: HttpListener, count: int) -> list[HttpClient]:
    """Create clients that have sent one request each and keep their connections open."""
    clients = [HttpClient(listener.server_address[:2]) for _ in range(count)]
    for client in clients:
        assert client.request("POST", "/", b"first")[1] == b"first"
    return clients


def open_connections(listener: HttpListener, count: int) -> list[socket.socket]:
    """Open connections one by one, in the order in which the listener accepts them."""
    open_sockets = []
    for number in range(1, count + 1):
        open_sockets.append(socket.create_connection(listener.server_address[:2], timeout=5.0))
        wait_until(lambda number=number: listener.connection_count() == number)
    return open_sockets


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; fail the test after about five seconds."""
    for _ in range(500):
        if condition():
            return
        threading.Event().wait(0.01)
    pytest.fail("condition not reached within five seconds")


def test_pooled_listener_with_more_connections_than_threads_serves_all(
    pooled_listener: HttpListener,
) -> None:
    threads_before = threading.active_count()
    clients = create_connected_clients(pooled_listener, 40)
    assert pooled_listener.connection_count() == 40
    # Two dedicated threads and two of the pool.
    assert threading.active_count() <= threads_before + 4
    echoed: Any = queue.SimpleQueue()

    def send_requests(client: HttpClient) -> None:
        for number in range(10):
            body = str(number).encode() * 5000
            echoed.put(client.request("POST", "/", body)[1] == body)

    client_threads = [threading.Thread(target=send_requests, args=(client,)) for client in clients]
    for thread in client_threads:
        thread.start()
    for thread in client_threads:
        thread.join()
    assert [echoed.get_nowait() for _ in range(400)] == [True] * 400
    assert pooled_listener.connection_count() == 40, "every connection was kept"
    for client in clients:
        client.close()
    wait_until(lambda: pooled_listener.connection_count() == 0)
    assert create_connected_clients(pooled_listener, 40), "all connections were released"


def test_pooled_listener_requests_in_one_packet_are_all_answered(
    pooled_listener: HttpListener,
) -> None:
    open_sockets = open_connections(pooled_listener, 3)
    open_sockets[2].sendall(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none" * 3)
    received = b""
    while received.count(b"one") < 3:
        received += open_sockets[2].recv(65536)
    assert received.count(b"HTTP/1.1 200") == 3
    for connection in open_sockets:
        connection.close()


@pytest.mark.parametrize(
    "partial_request", [b"P", b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"]
)
def test_pooled_listener_partial_request_releases_thread(
    pooled_listener: HttpListener, partial_request: bytes
) -> None:
    open_sockets = open_connections(pooled_listener, 6)
    for connection in open_sockets[2:]:
        connection.sendall(partial_request)
    # Two connections occupy both threads of the pool, and two wait for a thread.
    for connection in open_sockets[2:]:
        assert connection.recv(10) == b""
    assert create_connected_clients(pooled_listener, 3)
    for connection in open_sockets:
        connection.close()


def test_pooled_listener_idle_connection_is_closed(
    pooled_listener: HttpListener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_deadlines, "IDLE_TIMEOUT_S", 0.4)
    open_sockets = open_connections(pooled_listener, 4)
    open_sockets[3].sendall(b"GET / HTTP/1.1\r\n\r\n")
    assert open_sockets[3].recv(1000).startswith(b"HTTP/1.1 200")
    for connection in open_sockets:
        assert connection.recv(10) == b""
        connection.close()
    wait_until(lambda: pooled_listener.connection_count() == 0)


def test_pooled_listener_at_limit_closes_longest_idle_connection(
    pooled_listener: HttpListener, monkeypatch: pytest.MonkeyPatch
) -> None:
    open_sockets = open_connections(pooled_listener, 40)
    # The oldest two have dedicated threads. They send partial requests, so that they are not
    # idle and the longest idle connection is a pooled one.
    for connection in open_sockets[:2]:
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n")
    # Until the threads have read the partial requests, the two count as idle for longest.
    deadlines = pooled_listener._deadlines._deadlines
    wait_until(lambda: sum(deadline.idle for deadline in list(deadlines.values())) == 38)
    monkeypatch.setattr(connection_deadlines, "AT_LIMIT_IDLE_TIMEOUT_S", 0.0)
    refused = socket.create_connection(pooled_listener.server_address[:2], timeout=5.0)
    assert refused.recv(10) == b""
    assert open_sockets[2].recv(10) == b"", "the connection that was idle for longest is closed"
    wait_until(lambda: pooled_listener.connection_count() < 40)
    assert create_connected_clients(pooled_listener, 1)
    for connection in [*open_sockets, refused]:
        connection.close()


def test_pooled_listener_response_that_is_not_read_closes_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_deadlines, "RESPONSE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.1)
    large_response = Response(200, b"x" * 30_000_000)
    listener_under_test = HttpListener(
        ("127.0.0.1", 0),
        lambda _: large_response,
        max_connections=3,
        name="test",
        dedicated_threads=1,
        pool_threads=1,
    )
    listener_under_test.start()
    open_sockets = open_connections(listener_under_test, 2)
    open_sockets[1].sendall(b"GET / HTTP/1.1\r\n\r\n")
    wait_until(lambda: listener_under_test.connection_count() == 1)
    for connection in open_sockets:
        connection.close()
    listener_under_test.stop()


def test_pooled_listener_application_error_closes_connection_but_not_thread() -> None:
    def app(request: Request) -> Response:
        if request.path == "/broken":
            raise RuntimeError("broken")
        return Response(200)

    listener_under_test = HttpListener(
        ("127.0.0.1", 0), app, max_connections=9, name="test", dedicated_threads=1, pool_threads=1
    )
    listener_under_test.start()
    [dedicated_connection] = open_connections(listener_under_test, 1)
    for _ in range(3):
        client = HttpClient(listener_under_test.server_address[:2])
        with pytest.raises(ClientError):
            client.request("GET", "/broken", timeout=2.0)
    assert HttpClient(listener_under_test.server_address[:2]).request("GET", "/")[0] == 200
    dedicated_connection.close()
    listener_under_test.stop()


def test_pooled_listener_stop_closes_connections_and_ends_threads(
    pooled_listener: HttpListener,
) -> None:
    threads_before = threading.active_count()
    open_sockets = open_connections(pooled_listener, 10)
    for connection in open_sockets:
        connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
    pooled_listener.stop()
    for connection in open_sockets:
        assert connection.recv(10) == b""
        connection.close()
    wait_until(lambda: threading.active_count() < threads_before)


def test_http_server_keeps_listening_after_application_error() -> None:
    def app(request: Request) -> Response:
        raise RuntimeError("broken")

    listener_under_test = HttpListener(("127.0.0.1", 0), app, max_connections=2, name="test")
    listener_under_test.start()
    client = HttpClient(listener_under_test.server_address[:2])
    for _ in range(3):
        with pytest.raises(ClientError):
            client.request("GET", "/", timeout=2.0)
    listener_under_test.stop()
