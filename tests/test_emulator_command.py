"""The command line and the budgets."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from emulator.budgets import Budget, check

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    "words",
    [
        [],
        ["odd"],
        ["slopes", "--seed", "x"],
        ["fleet", "--odd"],
        ["hollow", "--out", __file__],
        ["settings", "--program", __file__],
        ["slopes", "--program", "."],
    ],
)
def test_bad_arguments_are_one_line_and_2(words: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "emulator", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == ""
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith("emulator: ")


def test_a_broken_budget_is_named_and_a_known_one_breaks_nothing() -> None:
    held = {"a": True, "b": False, "c": True}
    budgets = [Budget(name, name, 1.0, "s", must, "") for name, must in held.items()]
    fine = check({"a": 1.0, "b": 2.0}, budgets)
    assert fine.broken == ()
    assert fine.line() == "checked 2 budgets (a, b); not checked: c; over: b 2 of 1 s (known)"
    assert check({"a": 1.5, "c": 0.0}, budgets).broken == ("a",)
    assert check({"a": 0.5}, budgets).line().endswith("over: none")
