"""A planted defect of fencing tokens, for tests that have to detect it."""

from __future__ import annotations

import pytest

from appleshift.dispatch import worker_commands


def clear_under_the_token_of_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plant: an attempt is cleared under the token of its start, which then stays valid."""
    monkeypatch.setattr(worker_commands, "may_clear", lambda run, token: True)
    monkeypatch.setattr(worker_commands, "needs_higher_token", lambda machine, token: False)
