"""Three real processes on loopback, through kills and a restart."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import Loopback


@pytest.fixture
def loopback(tmp_path: Path) -> Iterator[Loopback]:
    made = Loopback(tmp_path)
    yield made
    made.close()


def test_three_processes_through_kills_and_a_restart(loopback: Loopback) -> None:
    first = loopback.submit(1)
    service = loopback.submit(2, shape="daemon", pieces=2)
    loopback.ask(first, "poll", "done")
    loopback.ask(service, "poll", "running")
    victim = loopback.leader()
    loopback.processes[victim].kill()
    loopback.processes[victim].wait()
    second = loopback.submit(3)
    loopback.ask(second, "poll", "done")
    loopback.ask(first, "submit", "done")
    loopback.ask(service, "poll", "running")
    loopback.launch(victim)
    for name in loopback.names:
        if name != victim:
            loopback.processes[name].kill()
            loopback.processes[name].wait()
    loopback.ask(second, "poll", "done")
    loopback.ask(service, "cancel", "aborted")
    loopback.ask(service, "submit", "aborted")
    # An orderly end gives leadership up and exits cleanly.
    loopback.processes[victim].terminate()
    assert loopback.processes[victim].wait(20.0) == 0
    assert not any(row[2] for row in loopback.state.rows.values())
    assert not loopback.rules.broken
