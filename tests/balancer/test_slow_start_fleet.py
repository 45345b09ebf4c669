"""Slow start in a fleet: all proxies together must not overload a warming endpoint (see `warming_fleet`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from balancer.slow_start import SlowStart
from tests.support.warming_fleet import (
    FAST_WARMUP,
    SLOW_WARMUP,
    START_TIME,
    Case,
    Fleet,
    assert_budgets_hold,
    simulate,
)

if TYPE_CHECKING:
    from balancer.settings import Rules

NOTIFICATIONS = ["simultaneous", "staggered", "some_proxies_restart"]
PROXY_COUNTS = pytest.mark.parametrize("proxy_count", [20, 30, 200])


@PROXY_COUNTS
@pytest.mark.parametrize("warming", ["one_fifth", "six_tenths", "one_zone"])
@pytest.mark.parametrize("notification", NOTIFICATIONS)
def test_all_proxies_together_stay_within_the_budget(
    proxy_count: int, warming: str, notification: str
) -> None:
    rules = FAST_WARMUP if warming == "six_tenths" else SLOW_WARMUP
    assert_budgets_hold(Case(proxy_count, notification, warming, rules, tier=int(warming != "one_fifth")))


@PROXY_COUNTS
@pytest.mark.parametrize(
    ("warming", "rules", "tier"), [("six_tenths", FAST_WARMUP, 1), ("one_zone", SLOW_WARMUP, 1)]
)
@pytest.mark.parametrize("hot_proxies_adjacent", [False, True])
def test_the_budget_holds_where_a_few_proxies_have_most_of_the_traffic(
    *, proxy_count: int, warming: str, rules: Rules, tier: int, hot_proxies_adjacent: bool
) -> None:
    assert_budgets_hold(
        Case(
            proxy_count,
            "simultaneous",
            warming,
            rules,
            tier,
            hot_proxy_multiple=6.0,
            hot_proxies_adjacent=hot_proxies_adjacent,
        )
    )


@PROXY_COUNTS
def test_the_budget_holds_where_endpoints_are_added(proxy_count: int) -> None:
    assert_budgets_hold(Case(proxy_count, "staggered", "one_fifth", SLOW_WARMUP, endpoints_are_new=True))


@PROXY_COUNTS
@pytest.mark.parametrize(("rules", "tier"), [(FAST_WARMUP, 1), (SLOW_WARMUP, 0)])
def test_the_budget_holds_where_all_endpoints_warm_up_and_rejected_clients_retry(
    proxy_count: int, rules: Rules, tier: int
) -> None:
    """Without warm endpoints the offered rate counts: retries of rejected clients must not increase it."""
    case = Case(
        proxy_count,
        "simultaneous",
        "all",
        rules,
        tier,
        endpoint_count=30,
        hot_proxy_multiple=6.0,
        hot_proxies_adjacent=True,
    )
    for seed in range(3):
        simulate(case, seed).assert_budgets()


@pytest.mark.parametrize("notification", NOTIFICATIONS)
def test_the_check_detects_a_fleet_that_ignores_slow_start(
    monkeypatch: pytest.MonkeyPatch, notification: str
) -> None:
    monkeypatch.setattr(SlowStart, "should_skip", lambda _self, _now, _state, _pool, _pools: False)
    with pytest.raises(AssertionError, match="allowed"):
        assert_budgets_hold(
            Case(
                200,
                notification,
                "six_tenths",
                SLOW_WARMUP,
                1,
                hot_proxy_multiple=6.0,
                hot_proxies_adjacent=True,
            )
        )


def test_the_check_counts_only_attempts_of_informed_proxies() -> None:
    fleet = Fleet(Case(20), 0)
    fleet.now = START_TIME
    fleet.start_endpoints()
    endpoint = fleet.endpoints[min(fleet.warming)]
    endpoint.attempt_times = [START_TIME + 0.01 * number for number in range(100)]
    fleet.assert_budgets()  # no proxy has been notified of the start
    endpoint.informed_attempt_times = endpoint.attempt_times[:60]
    with pytest.raises(AssertionError, match="allowed"):
        fleet.assert_budgets()
