"""A node with a planted defect: counted units are released when a task is told to stop."""

from __future__ import annotations

import sys

import pytest

from appleshift.cli import main
from tests.counted_resources.test_counted_resources_simulation import release_at_kill_order

if __name__ == "__main__":
    release_at_kill_order(pytest.MonkeyPatch())
    sys.exit(main())
