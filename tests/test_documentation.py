"""Checks that the documentation names only log lines, files and identifiers that exist."""

from __future__ import annotations

import ast
import importlib
import re
from dataclasses import fields
from pathlib import Path

import pytest

from appleshift.protocol.operator import OperatorSettings

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "appleshift"
ARCHITECTURE = (ROOT / "docs" / "architecture.md").read_text()
OPERATING = (ROOT / "docs" / "operating.md").read_text()

LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
LOG_OBJECTS = {"log", "logger", "logging"}
CURRENT_PAGES = [
    "README.md",
    "days/README.md",
    *(f"docs/{path.name}" for path in sorted((ROOT / "docs").glob("*.md"))),
]
PAGES_WITH_FORMER_NAMES = {"docs/rounds.md", "docs/naming.md"}
FILE_SUFFIXES = {"py", "md", "toml", "textproto"}
MIN_LOG_LINES = 40
MIN_CODE_NAMES = 80

FIRST_VALUE = re.compile(r"\w+=")


def event_text(line: str) -> str:
    """The text of a log line before its first ``key=value``, or the whole line without one."""
    return FIRST_VALUE.split(line, maxsplit=1)[0].strip(" :,") or line.strip()


def literal_text(node: ast.expr) -> str | None:
    """The value of a string literal, with ``%s`` for each placeholder of an f-string."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else "%s" for part in node.values
        )
    return None


def log_lines_in(source: str) -> set[str]:
    """Format strings of all log calls in a module's source."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args):
            continue
        owner = node.func.value
        if not (isinstance(owner, ast.Name) and owner.id in LOG_OBJECTS):
            continue
        text = literal_text(node.args[0])
        if node.func.attr in LOG_METHODS and text is not None:
            found.add(text)
    return found


def event_texts_in_code() -> set[str]:
    lines = [
        line for path in sorted(PACKAGE.rglob("*.py")) for line in log_lines_in(path.read_text())
    ]
    return {event_text(line) for line in lines}


def listed_log_lines(page: str) -> list[tuple[str, str]]:
    """Rows of the section "Log lines": the line, and its text in the last release if it differs."""
    section = page.split("\n## Log lines\n", 1)[1].split("\n## ", 1)[0]
    rows = []
    for text in section.splitlines():
        cells = [cell.strip() for cell in text.strip().strip("|").split(" | ")]
        if text.startswith("| `"):
            assert len(cells) == 3, f"row without three columns: {text}"
            rows.append((cells[0].strip("`"), cells[1].strip("`-")))
    return rows


def code_names(page: str) -> list[str]:
    """Dotted names in backticks, such as ``scheduler.Scheduler.step`` or ``storage.recover``."""
    names = re.findall(r"`([A-Za-z_]\w*(?:\.[A-Za-z_]\w*)+)`", page)
    return sorted({name for name in names if name.rsplit(".", 1)[1] not in FILE_SUFFIXES})


def module_names() -> list[str]:
    return [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.stem not in ("__init__", "__main__")
    ]


def has_attribute(owner: object, name: str) -> bool:
    return hasattr(owner, name) or name in getattr(owner, "__annotations__", {})


def exists_in_code(name: str) -> bool:
    """Whether ``module.function``, ``module.Class.method`` or ``package.Class`` exists."""
    module_or_package, *attributes = name.split(".")
    for module_name in module_names():
        if module_or_package not in module_name.split(".")[-2:]:
            continue
        owner: object = importlib.import_module(module_name)
        for attribute in attributes[:-1]:
            owner = getattr(owner, attribute, None)
        if owner is not None and has_attribute(owner, attributes[-1]):
            return True
    return False


def python_files() -> list[str]:
    folders = ("appleshift", "tests", "days")
    paths = [path for folder in folders for path in (ROOT / folder).rglob("*.py")]
    return [f"/{path.relative_to(ROOT)}" for path in paths]


def test_operating_page_lists_enough_log_lines() -> None:
    assert len(listed_log_lines(OPERATING)) >= MIN_LOG_LINES


@pytest.mark.parametrize("line", [line for line, _ in listed_log_lines(OPERATING)])
def test_listed_log_line_exists_in_a_log_call(line: str) -> None:
    assert event_text(line) in event_texts_in_code(), f"no log call begins with {line!r}"


@pytest.mark.parametrize("path", sorted(set(re.findall(r"appleshift/[\w/]+\.py", ARCHITECTURE))))
def test_path_named_in_architecture_page_exists(path: str) -> None:
    assert (ROOT / path).is_file()


@pytest.mark.parametrize("page", [p for p in CURRENT_PAGES if p not in PAGES_WITH_FORMER_NAMES])
def test_python_files_named_in_page_exist(page: str) -> None:
    named = set(re.findall(r"`([\w/]+\.py)(?:::[^`]*)?`", (ROOT / page).read_text()))
    existing = python_files()
    missing = [name for name in named if not any(path.endswith(f"/{name}") for path in existing)]
    assert not missing


def test_architecture_page_names_enough_code() -> None:
    assert len(code_names(ARCHITECTURE)) >= MIN_CODE_NAMES


@pytest.mark.parametrize("name", code_names(ARCHITECTURE))
def test_name_in_architecture_page_exists(name: str) -> None:
    assert exists_in_code(name), f"no {name} under appleshift/"


def test_packages_named_in_architecture_page_are_those_that_exist() -> None:
    section = ARCHITECTURE.split("\n## Packages\n", 1)[1].split("\n## ", 1)[0]
    named = set(re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE))
    assert named == {path.parent.name for path in PACKAGE.glob("*/__init__.py")}


def test_operating_page_documents_every_operator_setting() -> None:
    section = OPERATING.split("\n## Settings and knobs\n", 1)[1].split("\n## ", 1)[0]
    documented = set(re.findall(r"`(\w+)`", section))
    assert {field.name for field in fields(OperatorSettings)} <= documented


def test_wrong_log_line_is_detected() -> None:
    page = "\n## Log lines\n\n| `lease expird machine=%s` | - | a mistyped event |\n"
    ((line, _),) = listed_log_lines(page)
    assert event_text(line) == "lease expird"
    assert event_text(line) not in {event_text("lease expired machine=%s epoch=%d")}
    source = 'log.info("lease expired machine=%s", name)\nprint("lease expird")\n'
    assert {event_text(each) for each in log_lines_in(source)} == {"lease expired"}


@pytest.mark.parametrize("name", ["scheduler.Scheduler.step_twice", "no_such_module.run"])
def test_wrong_code_name_is_detected(name: str) -> None:
    assert not exists_in_code(name)
