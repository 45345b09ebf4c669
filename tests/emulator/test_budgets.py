"""The check of measured figures against their budgets."""

from __future__ import annotations

from emulator.measurement.budgets import Budget, check_budgets


def test_only_a_figure_over_an_enforced_budget_is_a_violation() -> None:
    enforced = {"a": True, "b": False, "c": True}
    budgets = [Budget(name, name, 1.0, "s", is_enforced, "") for name, is_enforced in enforced.items()]
    verdict = check_budgets({"a": 1.0, "b": 2.0}, budgets)
    assert verdict.violated == ()
    assert verdict.line() == "checked 2 budgets (a, b); not checked: c; over: b 2 of 1 s (known)"
    assert check_budgets({"a": 1.5, "c": 0.0}, budgets).violated == ("a",)
    assert check_budgets({"a": 0.5}, budgets).line().endswith("over: none")
