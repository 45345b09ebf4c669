"""Reconfiguration: the rules hold over random events and reloads; the checker detects faulty balancers."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balancer.events import Outcome
from balancer.settings import (
    Idempotency,
    Limits,
)
from tests.support.random_events import (
    ANY_STEP,
    RULES,
    Step,
    endpoints_in_two_zones,
    random_settings,
    run_step,
)
from tests.support.reconfiguration import (
    BASE,
    ENDPOINTS,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    make_checker,
)
from tests.support.rules_checker import RulesChecker
from tests.support.settings_changes import CHANGES, SettingsChange, change_settings


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(st.one_of(ANY_STEP, ANY_STEP, ANY_STEP, CHANGES), min_size=20, max_size=120),
    seed=st.integers(0, 2**32),
    is_polled=st.booleans(),
    endpoint_count=st.integers(0, 14),
)
def test_rules_hold_over_random_events_and_reloads(
    *, steps: list[Step | SettingsChange], seed: int, is_polled: bool, endpoint_count: int
) -> None:
    limits = Limits(cancel=True, hedging=True, max_attempts=4)
    initial_settings = random_settings(RULES, limits, seed % 3, seed % 2, is_polled=is_polled)
    checker = RulesChecker(initial_settings, seed, endpoints_in_two_zones(endpoint_count))
    for step in steps:
        if isinstance(step, SettingsChange):
            checker.reconfigure(change_settings(checker.settings, step))
        else:
            run_step(checker, step)
    checker.advance(10.0)
    unfinished = checker.balancer.requests.values()
    assert all(request.response_started for request in unfinished)  # started streams have no deadline
    pending = sum(pool.pending for pool in checker.balancer.assignment.pools)
    assert pending == sum(not request.responded for request in unfinished)


@pytest.mark.parametrize(
    ("class_index", "change", "message"),
    [
        (0, "later", "sent twice"),
        (1, "later", "rejected although"),
        (0, "places", "not open"),
    ],
)
def test_checker_detects_a_balancer_that_applies_only_one_of_both_classes(
    monkeypatch: pytest.MonkeyPatch, class_index: int, change: str, message: str
) -> None:
    new_classes = {
        "later": (
            replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT),
            replace(NON_IDEMPOTENT, idempotency=Idempotency.IDEMPOTENT),
        ),
        "places": (replace(IDEMPOTENT, allowed_zones=(1,)), NON_IDEMPOTENT),
    }[change]
    # The balancer applies only the class with which the request was admitted, or only the class in force.
    faulty_restrict_class = (
        (lambda admitted, _current: admitted) if class_index == 0 else (lambda _admitted, current: current)
    )
    monkeypatch.setattr("balancer.reconfiguration.restrict_class", faulty_restrict_class)
    endpoints = [each for each in ENDPOINTS if each.zone == 0] if change == "places" else ENDPOINTS
    checker = make_checker(
        replace(BASE, limits=Limits(max_attempts=1 if class_index else 3), zone_count=2), endpoints
    )
    request_id = checker.request(class_index, 4.0)
    checker.reconfigure(replace(checker.settings, classes=new_classes))
    with pytest.raises(AssertionError, match=message):
        checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
