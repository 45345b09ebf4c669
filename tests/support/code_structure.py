"""Reads the project's modules, and reports import cycles and code that exceeds a size limit.

All imports count, including those inside functions and those for annotations only: a reader can't understand
one of two modules that use each other's types without the other.
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
MAX_FUNCTION_LINES = 35  # except in tests, where a long scenario is easier to read in one function
MAX_METHODS = 20

FunctionNode = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(slots=True, frozen=True)
class SourceModule:
    """One module of the project.

    Attributes:
        name: The dotted name.
        path: The path, relative to the project's root.
        text: The source code.
        tree: The syntax tree of the source code.
    """

    name: str
    path: Path
    text: str
    tree: ast.Module

    @property
    def is_test(self) -> bool:
        """Whether the module belongs to the tests."""
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
    """Return, for each module, the names of the given modules that it imports."""
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
    """Return the groups of modules that import each other, directly or through other modules."""
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


def size_violations(module: SourceModule) -> list[str]:
    """Return a message for each size limit that a module, its classes or its functions exceed."""
    violations = []
    line_count = module.text.count("\n")
    if line_count > (MAX_TEST_MODULE_LINES if module.is_test else MAX_MODULE_LINES):
        violations.append(f"{module.path}: {line_count} lines")
    for node in ast.walk(module.tree):
        if isinstance(node, ast.ClassDef):
            method_count = sum(isinstance(each, FunctionNode) for each in node.body)
            if method_count > MAX_METHODS:
                violations.append(f"{module.path}: {node.name} has {method_count} methods")
        elif isinstance(node, FunctionNode) and not module.is_test:
            length = (node.end_lineno or node.lineno) - node.lineno + 1
            if length > MAX_FUNCTION_LINES:
                violations.append(f"{module.path}: {node.name} has {length} lines")
    return violations
