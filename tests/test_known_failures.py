"""Tests of the list of known failures: what the run passes over, and which lists it refuses."""

from __future__ import annotations

from pathlib import Path

import pytest

REPOSITORY = Path(__file__).parent.parent
CONFTEST = f"""
import sys

sys.path.insert(0, {str(REPOSITORY)!r})
from tests.support.known_failures import KnownFailuresPlugin


def pytest_configure(config):
    config.pluginmanager.register(KnownFailuresPlugin(config.rootpath))
"""
ENTRY = """Tests that fail.

test_listed.py::test_listed
    command: pytest test_listed.py
    seed: none
    seen: AssertionError "never ends"; since when
      is not known
    issue: 50
"""


def run_listed_test(pytester: pytest.Pytester, body: str, entry: str) -> pytest.RunResult:
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_listed=f"import pytest\n\n\n{body}")
    (pytester.path / "KNOWN-RED.txt").write_text(entry)
    return pytester.runpytest_subprocess("-p", "no:cacheprovider", "test_listed.py")


def test_known_failure_that_fails_as_listed_is_passed_over(pytester: pytest.Pytester) -> None:
    body = "def test_listed():\n    raise AssertionError('job-1 never ends')\n"
    result = run_listed_test(pytester, body, ENTRY)
    result.assert_outcomes(xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["KNOWN-RED.txt: test_listed.py::test_listed failed as expected"])


@pytest.mark.parametrize(
    "body",
    [
        "def test_listed():\n    raise AssertionError('job-1 is lost')\n",
        "def test_listed():\n    raise ValueError('never ends')\n",
        "def test_listed():\n    pass\n",
        "def test_listed():\n    pytest.exit\n    pytest.fail('never ends')\n",
    ],
    ids=["other text", "other exception", "passes", "other kind of failure"],
)
def test_known_failure_that_ends_otherwise_fails_the_run(
    pytester: pytest.Pytester, body: str
) -> None:
    result = run_listed_test(pytester, body, ENTRY)
    result.assert_outcomes(failed=1)
    assert result.ret == 1


# Guards against a broken fixture that counts as the known failure.
def test_known_failure_whose_setup_fails_fails_the_run(pytester: pytest.Pytester) -> None:
    body = (
        "@pytest.fixture\ndef broken():\n    raise OSError('no room')\n\n\n"
        "def test_listed(broken):\n    pass\n"
    )
    result = run_listed_test(pytester, body, ENTRY)
    result.assert_outcomes(errors=1)
    assert result.ret == 1


@pytest.mark.parametrize(
    ("removed", "replacement", "message"),
    [
        ("    command: pytest test_listed.py\n", "", "line 3: *has no command"),
        ("    seed: none\n", "", "line 3: *has no seed"),
        ("    issue: 50\n", "", "line 3: *has no issue"),
        ('AssertionError "never ends"', "it fails", "line 3: seen of *must start with"),
        ("::test_listed", "::test_renamed", "line 3: *names no test"),
        ("::test_listed", "::test_listed[1]", "line 3: *names no test"),
        ("test_listed.py::", "test_gone.py::", "line 3: *names no test"),
        ("    issue: 50\n", "    issue: 50\nanything else\n", "line 9: *the id of a test"),
    ],
)
def test_malformed_known_failure_fails_the_run_and_names_its_line(
    pytester: pytest.Pytester, removed: str, replacement: str, message: str
) -> None:
    body = "def test_listed():\n    raise AssertionError('job-1 never ends')\n"
    result = run_listed_test(pytester, body, ENTRY.replace(removed, replacement))
    assert result.ret == 4
    result.stderr.fnmatch_lines([f"*KNOWN-RED.txt {message}*"])


def test_empty_list_of_known_failures_is_accepted(pytester: pytest.Pytester) -> None:
    result = run_listed_test(pytester, "def test_listed():\n    pass\n", "Tests that fail.\n")
    result.assert_outcomes(passed=1)
