"""Budgets, and the verdict on a set of figures."""

from __future__ import annotations

from emulator.measurement.budgets import Budget, check_budgets


def test_a_violated_budget_is_named_and_a_known_one_violates_nothing() -> None:
    enforced = {"a": True, "b": False, "c": True}
    budgets = [Budget(name, name, 1.0, "s", is_enforced, "") for name, is_enforced in enforced.items()]
    fine = check_budgets({"a": 1.0, "b": 2.0}, budgets)
    assert fine.violated == ()
    assert fine.line() == "checked 2 budgets (a, b); not checked: c; over: b 2 of 1 s (known)"
    assert check_budgets({"a": 1.5, "c": 0.0}, budgets).violated == ("a",)
    assert check_budgets({"a": 0.5}, budgets).line().endswith("over: none")
