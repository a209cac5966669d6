"""A TCP proxy between two nodes on loopback that can hold the answers back."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class HeldLink:
    """Forwards connections to a port; while it is held, bytes of answers wait, in order."""

    def __init__(self, target_port: int) -> None:
        self._target = ("127.0.0.1", target_port)
        self._held_until = 0.0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def hold(self, seconds: float) -> None:
        """Hold answers back from now on for some seconds."""
        self._held_until = time.monotonic() + seconds

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._forward, args=(near, far, False), daemon=True).start()
        self._forward(far, near, True)

    def _forward(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BUFFER_BYTES):
                while answers and (left_s := self._held_until - time.monotonic()) > 0:
                    time.sleep(left_s)
                sink.sendall(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            if answers:
                end.close()
