"""Checks of the code's structure: no import cycles, and size limits of modules, classes and functions."""

from pathlib import Path

import pytest

from testbed.paths import PROJECT_ROOT
from tests.support.code_structure import (
    MAX_FUNCTION_LINES,
    MAX_METHODS,
    MAX_MODULE_LINES,
    MAX_TEST_MODULE_LINES,
    import_cycles,
    import_graph,
    read_module,
    size_violations,
    source_modules,
)

MODULES = source_modules(PROJECT_ROOT)


def test_there_are_no_import_cycles() -> None:
    assert import_cycles(import_graph(MODULES)) == []


def test_no_module_class_or_function_exceeds_its_size_limit() -> None:
    assert [violation for module in MODULES for violation in size_violations(module)] == []


def test_balancer_imports_no_other_package_and_proxy_only_the_balancer() -> None:
    graph = import_graph(MODULES)
    imported_packages = {
        package: {
            imported.split(".")[0]
            for importer, imported_modules in graph.items()
            if importer.split(".")[0] == package
            for imported in imported_modules
        }
        for package in ("balancer", "proxy")
    }
    assert imported_packages == {"balancer": {"balancer"}, "proxy": {"balancer", "proxy"}}


def test_import_cycle_through_type_checking_imports_is_detected() -> None:
    first = read_module(Path("a/first.py"), "from a import second\n")
    second = read_module(Path("a/second.py"), "if TYPE_CHECKING:\n    from a.third import Third\n")
    third = read_module(Path("a/third.py"), "import a.first\n")
    fourth = read_module(Path("a/fourth.py"), "import a.first\n")
    graph = import_graph([first, second, third, fourth])
    assert import_cycles(graph) == [["a.first", "a.second", "a.third"]]


@pytest.mark.parametrize(
    ("path", "text", "excess"),
    [
        ("proxy/a.py", "\n" * MAX_MODULE_LINES, 0),
        ("proxy/a.py", "\n" * (MAX_MODULE_LINES + 1), 1),
        ("tests/a.py", "\n" * MAX_TEST_MODULE_LINES, 0),
        ("tests/a.py", "\n" * (MAX_TEST_MODULE_LINES + 1), 1),
        ("proxy/a.py", "def f():\n" + "    x()\n" * (MAX_FUNCTION_LINES - 1), 0),
        ("proxy/a.py", "def f():\n" + "    x()\n" * MAX_FUNCTION_LINES, 1),
        ("proxy/a.py", "class A:\n" + "    def f(self): x()\n" * MAX_METHODS, 0),
        ("proxy/a.py", "class A:\n" + "    def f(self): x()\n" * (MAX_METHODS + 1), 1),
    ],
)
def test_size_one_over_a_limit_is_reported_and_size_at_the_limit_is_not(
    path: str, text: str, excess: int
) -> None:
    assert len(size_violations(read_module(Path(path), text))) == excess
