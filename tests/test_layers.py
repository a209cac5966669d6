"""Checks that modules of a lower layer import no higher layer."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "appleshift"
LAYERS = [
    "transport",
    "protocol",
    "state",
    "storage",
    "connectivity",
    "heartbeat_ingest",
    "node_limits",
    "objectives",
    "placement",
    "contracts",
    "leader_election",
    "dispatch",
    "provisioning",
    "machines",
    "scheduler",
    "api",
    "counted_resources",
]
TOP_MODULES = [
    "node_context",
    "shard_event_handlers",
    "term_recovery",
    "shard_replica",
    "sharding",
    "node",
    "cli",
]


def imported_modules(path: Path) -> set[str]:
    """Modules of appleshift that a file imports, including type-only and function-level imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("appleshift"):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
            found |= {name if is_module(name) else str(node.module) for name in names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name.startswith("appleshift")}
    return found


def is_module(name: str) -> bool:
    path = PACKAGE.parent / Path(*name.split("."))
    return path.with_suffix(".py").exists() or path.is_dir()


def test_module_imports_have_no_cycle() -> None:
    graph = {
        ".".join(path.relative_to(PACKAGE.parent).with_suffix("").parts): imported_modules(path)
        for path in PACKAGE.rglob("*.py")
        if path.name != "__init__.py"
    }
    assert len(graph) > 40
    try:
        list(TopologicalSorter(graph).static_order())
    except CycleError as error:
        pytest.fail(f"import cycle: {' -> '.join(error.args[1])}")


@pytest.mark.parametrize("layer", LAYERS)
def test_layer_imports_only_lower_layers(layer: str) -> None:
    higher = {f"appleshift.{name}" for name in [*LAYERS[LAYERS.index(layer) + 1 :], *TOP_MODULES]}
    files = sorted((PACKAGE / layer).rglob("*.py"))
    assert files
    for path in files:
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            for name in names:
                assert ".".join(name.split(".")[:2]) not in higher, f"{path.name} imports {name}"


def test_wire_field_names_appear_only_in_protocol_layer() -> None:
    wire_names = ["rig_kind", "loaners", "baton", "tally", "pieces", "ledger_no", "recall_in_s"]
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name != "protocol":
            assert not [name for name in wire_names if name in path.read_text()], path
