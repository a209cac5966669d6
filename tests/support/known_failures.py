"""Known failures: a pytest plugin that passes over the failures that ``KNOWN-RED.txt`` lists.

Text before the first entry is a description. An entry starts with the id of a test in the
first column; its fields follow, indented, and may continue on further lines::

    tests/sharding/test_sharding_model.py::test_name
        command: pytest -n 0 tests/sharding/test_sharding_model.py -k test_name
        seed: none, one fixed history
        seen: AssertionError "job-000002 never ends"; what else is known
        issue: 50

The run passes over a listed test only if it fails with the exception and the text that
``seen`` starts with. A test that passes, or fails otherwise, fails the run.
"""

from __future__ import annotations

import ast
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
REQUIRED_FIELDS = ("command", "seed", "seen", "issue")
SEEN_PATTERN = re.compile(r'(?P<exception>\w+) "(?P<text>[^"]+)"')
FIELD_PATTERN = re.compile(r"\s+(?P<name>[a-z]+): *(?P<value>.*)")


class KnownFailuresError(pytest.UsageError):
    """An entry of the list is malformed."""

    def __init__(self, line: int, problem: str) -> None:
        super().__init__(f"{FILE_NAME} line {line}: {problem}")


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """An entry of the list."""

    test: str
    line: int
    exception: str
    text: str

    def matches(self, error: BaseException) -> bool:
        """Whether the test failed as the entry says."""
        return type(error).__name__ == self.exception and self.text in str(error)


def parse_known_failures(content: str) -> list[KnownFailure]:
    """Parse the list; KnownFailuresError if an entry is malformed."""
    starts: list[tuple[int, str]] = []
    fields: list[dict[str, str]] = []
    last_field = ""
    for number, line in enumerate(content.splitlines(), 1):
        if not line.strip():
            continue
        if not line[0].isspace():
            if "::" in line:
                starts.append((number, line.strip()))
                fields.append({})
            elif starts:
                raise KnownFailuresError(number, "an entry must start with the id of a test")
            continue
        if not starts:
            raise KnownFailuresError(number, "a field precedes the first entry")
        field = FIELD_PATTERN.fullmatch(line)
        if field is not None and field["name"] in REQUIRED_FIELDS:
            last_field = field["name"]
            fields[-1][last_field] = field["value"]
        elif last_field in fields[-1]:
            fields[-1][last_field] += " " + line.strip()
        else:
            raise KnownFailuresError(number, f"expected one of {', '.join(REQUIRED_FIELDS)}")
    return [_entry(*start, found) for start, found in zip(starts, fields, strict=True)]


def _entry(line: int, test: str, fields: dict[str, str]) -> KnownFailure:
    for name in REQUIRED_FIELDS:
        if not fields.get(name, "").strip():
            raise KnownFailuresError(line, f"{test} has no {name}")
    seen = SEEN_PATTERN.match(fields["seen"])
    if seen is None:
        raise KnownFailuresError(line, f'seen of {test} must start with EXCEPTION "TEXT"')
    return KnownFailure(test, line, seen["exception"], seen["text"])


def _defines_test(root: Path, test: str) -> bool:
    """Whether the file of a test id exists and defines the test function."""
    file_name, *_, function = test.split("::")
    path = root / file_name
    if not path.is_file():
        return False
    name = function.split("[")[0]
    tree = ast.parse(path.read_text())
    return any(isinstance(node, ast.FunctionDef) and node.name == name for node in ast.walk(tree))


class KnownFailuresPlugin:
    """Marks the listed tests as expected to fail, and checks how they fail."""

    def __init__(self, root: Path) -> None:
        """Read the list in ``root``; KnownFailuresError if it is malformed."""
        path = root / FILE_NAME
        content = path.read_text() if path.exists() else ""
        self._entries = {entry.test: entry for entry in parse_known_failures(content)}
        for entry in self._entries.values():
            if not _defines_test(root, entry.test):
                raise KnownFailuresError(entry.line, f"{entry.test} names no test")

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark the listed tests; strictly, so that one that passes again fails the run."""
        collected = {item.nodeid for item in items}
        files = {nodeid.split("::")[0] for nodeid in collected}
        whole_files = not any("::" in argument for argument in config.args)
        for entry in self._entries.values():
            if whole_files and entry.test.split("::")[0] in files and entry.test not in collected:
                raise KnownFailuresError(entry.line, f"{entry.test} names no test")
        for item in items:
            if item.nodeid in self._entries:
                item.add_marker(pytest.mark.xfail(reason=FILE_NAME, strict=True))

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> pytest.TestReport:
        """Report a listed test as failed if it fails otherwise than its entry says."""
        report: pytest.TestReport = yield
        entry = self._entries.get(item.nodeid)
        if entry is None or call.excinfo is None or not hasattr(report, "wasxfail"):
            return report
        if not entry.matches(call.excinfo.value):
            del report.wasxfail
            report.outcome = "failed"
            expected = f'{FILE_NAME} line {entry.line} expects {entry.exception} "{entry.text}"'
            report.sections.append((FILE_NAME, expected))
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests that failed as expected."""
        for report in terminalreporter.stats.get("xfailed", []):
            terminalreporter.write_line(f"{FILE_NAME}: {report.nodeid} failed as expected")
