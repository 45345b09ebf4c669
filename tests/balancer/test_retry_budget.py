"""Retry budgets: the number of retries stays within the budget, also across reloads."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.endpoints import Endpoint
from balancer.events import StartAttempt
from balancer.retry_budget import RetryBudget
from balancer.settings import Limits, Rules, Settings
from tests.support.balancer_helpers import IDEMPOTENT, balancer_with_due_hedge
from tests.support.random_events import CLASSES, RULES, RULES_WITH_RETRY_BUDGET, fail_attempts
from tests.support.rules_checker import RulesChecker

MANY_ENDPOINTS = [Endpoint(i) for i in range(40)]
#: Settings of a lower tier, which admits every request.
LOWER_TIER = Settings(classes=(IDEMPOTENT,), tier=1, tier_count=2)


def retries_in_20_seconds(rules: Rules) -> int:
    """Return the number of retries in 20 s in which every attempt fails to connect."""
    checker = RulesChecker(Settings(classes=CLASSES, rules=rules), 1, MANY_ENDPOINTS)
    for _ in range(200):
        fail_attempts(checker, 0, 3)
        checker.advance(0.1)
    return sum(max(0, len(request.attempts) - 1) for request in checker.requests.values())


def count_retries(checker: RulesChecker, request_count: int) -> int:
    """Send requests whose attempts all fail to connect, and return the number of retries."""
    retries_before = len(checker.retry_times)
    for _ in range(request_count):
        fail_attempts(checker, 0, 3)
    return len(checker.retry_times) - retries_before


def lower_tier_checker(rules: Rules) -> RulesChecker:
    return RulesChecker(replace(LOWER_TIER, rules=rules), 1, MANY_ENDPOINTS)


@pytest.mark.parametrize(
    ("rules", "min_retries", "max_retries"), [(RULES_WITH_RETRY_BUDGET, 8, 77), (RULES, 8, 50)]
)
def test_retries_stay_within_the_budget(rules: Rules, min_retries: int, max_retries: int) -> None:
    assert min_retries <= retries_in_20_seconds(rules) <= max_retries


def test_the_checker_detects_a_balancer_that_ignores_the_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryBudget, "allows", lambda _self, _now: True)
    with pytest.raises(AssertionError, match="beyond the retry budget"):
        retries_in_20_seconds(RULES_WITH_RETRY_BUDGET)


def test_a_reload_does_not_refill_the_budget() -> None:
    rules = replace(
        RULES_WITH_RETRY_BUDGET, retry_budget_floor=6.0, retry_budget_ratio=0.0, retry_budget_window=5.0
    )
    checker = lower_tier_checker(rules)
    assert count_retries(checker, 20) == 6
    for reload in range(3):
        checker.reconfigure(replace(LOWER_TIER, rules=replace(rules, warmup_duration=float(reload))))
        assert count_retries(checker, 5) == 0
    checker.reconfigure(replace(LOWER_TIER, rules=replace(rules, retry_budget_floor=8.0)))
    assert count_retries(checker, 5) == 2


def test_a_budget_added_by_a_reload_counts_earlier_retries() -> None:
    checker = lower_tier_checker(RULES)
    earlier_retries = count_retries(checker, 20)
    assert earlier_retries > 5
    with_budget = replace(RULES, retry_budget_floor=earlier_retries + 1.0, retry_budget_window=9.0)
    checker.reconfigure(replace(LOWER_TIER, rules=with_budget))
    assert count_retries(checker, 5) == 1
    checker.reconfigure(replace(LOWER_TIER, rules=RULES))  # without a stated budget again
    budgets = checker.balancer.retry_budgets
    assert budgets.hedges is not budgets.retries
    assert not budgets.hedges.allows(checker.now)


def test_a_budget_added_by_a_reload_counts_earlier_hedged_requests() -> None:
    balancer, timer = balancer_with_due_hedge(Settings(classes=(IDEMPOTENT,), limits=Limits(hedging=True)))
    [hedge] = balancer.on_timer(timer.at, timer.token)
    assert isinstance(hedge, StartAttempt)
    rules = replace(RULES, retry_budget_floor=1.0, retry_budget_window=9.0)
    balancer.reconfigure(timer.at, replace(balancer.settings, rules=rules))
    assert not balancer.retry_budgets.retries.allows(timer.at)


def test_a_longer_window_counts_retries_that_have_left_the_shorter_one() -> None:
    short = replace(RULES, retry_budget_floor=2.0, retry_budget_window=1.0)
    checker = lower_tier_checker(short)
    assert count_retries(checker, 5) == 2
    checker.advance(3.0)
    assert count_retries(checker, 5) == 2
    longer = replace(short, retry_budget_floor=4.0, retry_budget_window=8.0)
    checker.reconfigure(replace(LOWER_TIER, rules=longer))
    assert count_retries(checker, 5) == 0
    checker.advance(5.5)
    assert count_retries(checker, 5) == 2  # the first two have left the window
