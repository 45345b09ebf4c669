"""The shape of the code: no import cycles, and modules, classes and functions that stay small."""

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
    oversized_parts,
    read_module,
    source_modules,
)

MODULES = source_modules(PROJECT_ROOT)


def test_no_modules_import_each_other() -> None:
    assert import_cycles(import_graph(MODULES)) == []


def test_modules_classes_and_functions_stay_small() -> None:
    assert [part for module in MODULES for part in oversized_parts(module)] == []


def test_balancer_imports_no_other_package_and_the_proxy_only_the_balancer() -> None:
    graph = import_graph(MODULES)
    imported = {
        package: {
            each.split(".")[0]
            for name, names in graph.items()
            if name.split(".")[0] == package
            for each in names
        }
        for package in ("balancer", "proxy")
    }
    assert imported == {"balancer": {"balancer"}, "proxy": {"balancer", "proxy"}}


def test_cycle_through_type_checking_imports_is_found() -> None:
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
def test_bounds_are_inclusive_and_can_be_exceeded(path: str, text: str, excess: int) -> None:
    assert len(oversized_parts(read_module(Path(path), text))) == excess
