"""Prints the names that leave the process, one a line.

Names are the fields and tags of messages, operator settings, and every other string of the
package that is a single word: keys, paths, header names, states. A rename must not change
them. ``outer_names.txt`` holds the last list. Log lines are printed with ``--events``.

    python -m tests.golden.collect_outer_names [--events]
"""

from __future__ import annotations

import ast
import importlib
import pkgutil
import re
import sys
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

import msgspec

import appleshift
from appleshift.protocol.operator import OperatorSettings
from tests.test_documentation import LOG_METHODS, log_lines_in

PACKAGE = Path(appleshift.__file__).parent
MODULES_WITHOUT_MESSAGES = {"appleshift.contracts.events", "appleshift.heartbeat_ingest.relay"}
"""Their structs never leave the process."""
SINGLE_WORD = re.compile(r"[A-Za-z_][\w./{}<>:-]*|/[\w./{}<>:-]*|--?[\w-]+")
INTERNAL_VARIABLES = {"__slots__", "__all__"}


def message_names() -> set[str]:
    """Return the encoded field names and tags of all messages."""
    names = {field.name for field in fields(OperatorSettings)}
    for struct in structs():
        names |= set(struct.__struct_encode_fields__)
        if isinstance(struct.__struct_config__.tag, str):
            names.add(struct.__struct_config__.tag)
    return names


def structs() -> Iterator[Any]:
    for info in pkgutil.walk_packages(appleshift.__path__, "appleshift."):
        if info.name.endswith("__main__") or info.name in MODULES_WITHOUT_MESSAGES:
            continue
        for value in vars(importlib.import_module(info.name)).values():
            is_struct = isinstance(value, type) and issubclass(value, msgspec.Struct)
            if is_struct and value.__module__ == info.name:
                yield value


def is_log_call(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in LOG_METHODS
    )


def internal_parts(node: ast.AST) -> list[ast.AST | None]:
    """Return the parts of a node whose strings stay inside the process."""
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return [node]
    if isinstance(node, ast.Assign):
        targets = {target.id for target in node.targets if isinstance(target, ast.Name)}
        return [node.value] if targets & INTERNAL_VARIABLES else []
    if isinstance(node, ast.FunctionDef):
        return [node.returns]
    if isinstance(node, ast.arg):
        return [node.annotation]
    return [node] if is_log_call(node) else []


def single_words(tree: ast.Module) -> set[str]:
    """Return the single-word strings of a module that may leave the process."""
    internal = {
        id(child)
        for node in ast.walk(tree)
        for part in internal_parts(node)
        if part is not None
        for child in ast.walk(part)
    }
    words = set()
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in internal:
            continue
        if isinstance(node.value, (str, bytes)):
            text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
            words.add(text.strip())
    return {word for word in words if SINGLE_WORD.fullmatch(word)}


def main() -> None:
    sources = [path.read_text() for path in sorted(PACKAGE.rglob("*.py"))]
    if "--events" in sys.argv:
        found = set().union(*(log_lines_in(source) for source in sources))
    else:
        found = message_names().union(*(single_words(ast.parse(source)) for source in sources))
    print("\n".join(sorted(name for name in found if name.strip("_"))))


if __name__ == "__main__":
    main()
