"""The shape of the project's own modules: what they import from each other, and how large they are.

Imports count wherever they stand, also those that only annotations need: two modules that name each other's
types can't be read one after the other.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from pathlib import Path

PACKAGES = ("balancer", "proxy", "testbed", "emulator", "soak", "tests")
MAX_MODULE_LINES = 300
MAX_TEST_MODULE_LINES = 400
MAX_FUNCTION_LINES = 35  # not for tests: a scenario reads best in one piece
MAX_METHODS = 20

FunctionNode = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(slots=True, frozen=True)
class SourceModule:
    """One module of the project.

    Attributes:
        name: Its dotted name.
        path: Its file, relative to the project's root.
        text: Its source.
        tree: The same, parsed.
    """

    name: str
    path: Path
    text: str
    tree: ast.Module

    @property
    def is_test(self) -> bool:
        """Whether it belongs to the tests."""
        return self.path.parts[0] == "tests"


def source_modules(root: Path) -> list[SourceModule]:
    """Read all modules of the project's packages."""
    return [
        read_module(path.relative_to(root), path.read_text())
        for package in PACKAGES
        for path in sorted((root / package).rglob("*.py"))
    ]


def read_module(path: Path, text: str) -> SourceModule:
    """Parse a module whose path is relative to the project's root."""
    name = ".".join(path.with_suffix("").parts).removesuffix(".__init__")
    return SourceModule(name, path, text, ast.parse(text))


def import_graph(modules: Iterable[SourceModule]) -> dict[str, set[str]]:
    """Return which of the modules each of them imports."""
    by_name = {module.name: module for module in modules}
    return {
        name: {imported for imported in _imported_names(module, by_name) if imported != name}
        for name, module in by_name.items()
    }


def _imported_names(module: SourceModule, by_name: Mapping[str, SourceModule]) -> Iterator[str]:
    for node in ast.walk(module.tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                yield from (name for name in (submodule, node.module) if name in by_name)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in by_name)


def import_cycles(graph: Mapping[str, set[str]]) -> list[list[str]]:
    """Return the groups of modules that import each other, directly or through others."""
    reachable = {name: _reachable_from(name, graph) for name in graph}
    groups = {
        tuple(sorted(other for other in reachable[name] if name in reachable[other]))
        for name in graph
        if name in reachable[name]
    }
    return [list(group) for group in sorted(groups)]


def _reachable_from(start: str, graph: Mapping[str, set[str]]) -> set[str]:
    reached: set[str] = set()
    pending = list(graph[start])
    while pending:
        name = pending.pop()
        if name not in reached:
            reached.add(name)
            pending.extend(graph[name])
    return reached


def oversized_parts(module: SourceModule) -> list[str]:
    """Return what in a module is over its bound: the module itself, its classes, its functions."""
    found = []
    line_count = module.text.count("\n")
    if line_count > (MAX_TEST_MODULE_LINES if module.is_test else MAX_MODULE_LINES):
        found.append(f"{module.path}: {line_count} lines")
    for node in ast.walk(module.tree):
        if isinstance(node, ast.ClassDef):
            methods = sum(isinstance(each, FunctionNode) for each in node.body)
            if methods > MAX_METHODS:
                found.append(f"{module.path}: {node.name} has {methods} methods")
        elif isinstance(node, FunctionNode) and not module.is_test:
            length = (node.end_lineno or node.lineno) - node.lineno + 1
            if length > MAX_FUNCTION_LINES:
                found.append(f"{module.path}: {node.name} has {length} lines")
    return found
