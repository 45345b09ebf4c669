"""Slow start over a fleet: what all instances together send a warming endpoint (see `warming_fleet`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from balancer.slow_start import SlowStart
from tests.support.warming_fleet import (
    EARLY_OVERLOAD,
    LATE_OVERLOAD,
    START_TIME,
    Case,
    Fleet,
    assert_holds,
    play,
)

if TYPE_CHECKING:
    from balancer.settings import Rules

DELIVERIES = ["at once", "one after another", "some restart"]
INSTANCES = pytest.mark.parametrize("instances", [20, 30, 200])


@INSTANCES
@pytest.mark.parametrize("warming", ["fifth", "six in ten", "zone"])
@pytest.mark.parametrize("delivery", DELIVERIES)
def test_all_instances_together_stay_within_the_budget(instances: int, warming: str, delivery: str) -> None:
    rules = EARLY_OVERLOAD if warming == "six in ten" else LATE_OVERLOAD
    assert_holds(Case(instances, delivery, warming, rules, tier=int(warming != "fifth")))


@INSTANCES
@pytest.mark.parametrize(
    ("warming", "rules", "tier"), [("six in ten", EARLY_OVERLOAD, 1), ("zone", LATE_OVERLOAD, 1)]
)
@pytest.mark.parametrize("neighbours", [False, True])
def test_the_budget_holds_where_a_few_have_most_of_the_traffic(
    *, instances: int, warming: str, rules: Rules, tier: int, neighbours: bool
) -> None:
    assert_holds(Case(instances, "at once", warming, rules, tier, skew=6.0, neighbours=neighbours))


@INSTANCES
def test_the_budget_holds_where_new_endpoints_join(instances: int) -> None:
    assert_holds(Case(instances, "one after another", "fifth", LATE_OVERLOAD, joins=True))


@INSTANCES
@pytest.mark.parametrize(("rules", "tier"), [(EARLY_OVERLOAD, 1), (LATE_OVERLOAD, 0)])
def test_the_budget_holds_where_all_warm_up_and_rejected_clients_retry(
    instances: int, rules: Rules, tier: int
) -> None:
    """With no warm endpoint the budget counts calls offered: a client's retry must not be counted again."""
    case = Case(instances, "at once", "all", rules, tier, endpoints=30, skew=6.0, neighbours=True)
    for seed in range(3):
        play(case, seed).assert_budgets()


@pytest.mark.parametrize("delivery", DELIVERIES)
def test_a_fleet_that_ignores_slow_start_is_caught(monkeypatch: pytest.MonkeyPatch, delivery: str) -> None:
    monkeypatch.setattr(SlowStart, "should_skip", lambda _self, _now, _state, _pool, _pools: False)
    with pytest.raises(AssertionError, match="allowed"):
        assert_holds(Case(200, delivery, "six in ten", LATE_OVERLOAD, 1, skew=6.0, neighbours=True))


def test_the_checker_counts_informed_calls_alone() -> None:
    fleet = Fleet(Case(20), 0)
    fleet.now = START_TIME
    fleet.start_endpoints()
    endpoint = fleet.endpoints[min(fleet.warming)]
    endpoint.calls = [START_TIME + 0.01 * n for n in range(100)]
    fleet.assert_budgets()  # no instance knew of the start
    endpoint.informed_calls = endpoint.calls[:60]
    with pytest.raises(AssertionError, match="allowed"):
        fleet.assert_budgets()
