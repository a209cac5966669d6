"""A proxy for one link that can hold packets back."""

from __future__ import annotations

import contextlib
import socket
import threading
import time


class Link:
    """Passes connections on; while it is interrupted, bytes are held back in order."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        """Listen at a free port of ``host``, and pass connections on to ``target``."""
        self._target = target
        # By direction, True for requests: until when bytes are held back.
        self._held_until = {True: 0.0, False: 0.0}
        self._trigger: tuple[bytes, float, bool] | None = None
        self.interrupted_at: float | None = None
        self._listener = socket.create_server((host, 0))
        self.address = (host, int(self._listener.getsockname()[1]))
        threading.Thread(target=self._accept, daemon=True).start()

    def interrupt_after(self, request: bytes, for_s: float, answers_only: bool = False) -> None:
        """Hold bytes back for ``for_s`` seconds from when a request begins to pass.

        ``request`` is how it begins. ``answers_only``: only the bytes of answers.
        """
        self._trigger = (request, for_s, answers_only)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            try:
                far = socket.create_connection(self._target, 1.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for source, sink, outward in ((near, far, True), (far, near, False)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self._pass_on, args=(source, sink, outward), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket, outward: bool) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                # Also holds what has been read while the link was still sound.
                while (wait_s := self._held_until[outward] - time.monotonic()) > 0:
                    time.sleep(wait_s)
                trigger = self._trigger
                if outward and trigger is not None and data.startswith(trigger[0]):
                    self._trigger = None
                    self.interrupted_at = time.monotonic()
                    until = self.interrupted_at + trigger[1]
                    self._held_until = {True: 0.0 if trigger[2] else until, False: until}
                sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
