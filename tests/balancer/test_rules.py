"""The rules hold over random valid events, and the checker detects balancers that violate them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from balancer.attempts import RequestState
from balancer.balancer import Balancer
from balancer.endpoint_pool import EndpointPool
from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import StartAttempt
from balancer.settings import Limits, Settings, Tenant
from tests.support.random_events import (
    ANY_STEP,
    CLASSES,
    RULES,
    RULES_WITH_RETRY_BUDGET,
    Step,
    endpoints_in_two_zones,
    fail_attempts,
    random_settings,
    run_steps,
)
from tests.support.rules_checker import RulesChecker


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(ANY_STEP, min_size=20, max_size=120),
    seed=st.integers(0, 2**32),
    limits=st.builds(Limits, st.booleans(), st.booleans(), st.integers(1, 6)),
    is_polled=st.booleans(),
    has_retry_budget=st.booleans(),
    endpoint_count=st.integers(0, 14),
)
def test_rules_hold_over_random_events(
    *,
    steps: list[Step],
    seed: int,
    limits: Limits,
    is_polled: bool,
    has_retry_budget: bool,
    endpoint_count: int,
) -> None:
    rules = RULES_WITH_RETRY_BUDGET if has_retry_budget else RULES
    settings_in_force = random_settings(rules, limits, seed % 3, seed % 2, is_polled=is_polled)
    run_steps(RulesChecker(settings_in_force, seed, endpoints_in_two_zones(endpoint_count)), steps)


def test_checker_detects_a_balancer_that_ignores_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    def send_after_drain() -> None:
        checker = RulesChecker(Settings(classes=CLASSES), 1, [Endpoint(1), Endpoint(2)])
        checker.update_endpoints(UpdateKind.DELTA, [Endpoint(1, EndpointStatus.DRAINING)])
        for _ in range(20):
            checker.request(0, 3.0)

    send_after_drain()
    rebuild_pools = Balancer.rebuild_pools

    def rebuild_pools_as_if_all_were_up(self: Balancer, now: float) -> None:
        delivered = {state: state.endpoint for state in self.endpoints.states.values()}
        for state in delivered:
            state.endpoint = Endpoint(state.endpoint.id)
        rebuild_pools(self, now)
        for state, endpoint in delivered.items():
            state.endpoint = endpoint

    monkeypatch.setattr(Balancer, "rebuild_pools", rebuild_pools_as_if_all_were_up)
    with pytest.raises(AssertionError, match="drains or is removed"):
        send_after_drain()


def test_checker_detects_a_balancer_that_ignores_placement(monkeypatch: pytest.MonkeyPatch) -> None:
    def send_to_restricted_classes() -> int:
        endpoints = [Endpoint(i, zone=i % 2, machine_type=i % 3) for i in range(12)]
        settings_in_force = Settings(classes=CLASSES, zone_count=2, limits=Limits(max_attempts=4))
        checker = RulesChecker(settings_in_force, 1, endpoints)
        for number in range(40):
            fail_attempts(checker, 5 + number % 2, 4)
            checker.advance(0.5)
        removed = [
            replace(each, status=EndpointStatus.REMOVED) for each in endpoints if each.machine_type == 1
        ]
        checker.update_endpoints(UpdateKind.DELTA, removed)
        sent_before = sum(len(starts) for starts in checker.start_times_by_endpoint.values())
        checker.request(5, 3.0)
        assert sum(len(starts) for starts in checker.start_times_by_endpoint.values()) == sent_before
        return sent_before

    assert send_to_restricted_classes() > 15
    monkeypatch.setattr(EndpointPool, "allows", lambda _self, _endpoint: True)
    with pytest.raises(AssertionError, match="not open to its class"):
        send_to_restricted_classes()


def test_checker_detects_forbidden_hedged_requests_and_retries_of_streams() -> None:
    checker = RulesChecker(Settings(classes=CLASSES), 1, [Endpoint(1), Endpoint(2)])
    request_id = checker.request(0, 3.0)
    with pytest.raises(AssertionError, match="hedged request"):
        checker.check([StartAttempt(request_id, 2)])
    checker.start_response(request_id, 0)
    checker.advance(20.0)  # a response that has started has no deadline
    with pytest.raises(AssertionError, match="after its response started"):
        checker.check([StartAttempt(request_id, 2)])


def test_checker_detects_a_balancer_that_ignores_idempotency_or_never_responds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    request_and_timeout = [(0, 1, 250), (4, 0, 1), (0, 4, 250), (4, 0, 1), (0, 3, 250), (4, 0, 1)]
    steps = [Step(*step) for step in request_and_timeout * 12]
    endpoints = [Endpoint(1000 + i, EndpointStatus.UP, i % 2, i // 3) for i in range(9)]
    tenants = (Tenant("a"), Tenant("b"))
    limits = Limits(max_attempts=4)
    settings_in_force = Settings(classes=CLASSES, zone_count=2, rules=RULES, limits=limits, tenants=tenants)
    run_steps(RulesChecker(settings_in_force, 1, endpoints), steps)
    with monkeypatch.context() as patch:
        patch.setattr(RequestState, "retry_endpoints", lambda self, _now: self.pool.ready)
        with pytest.raises(AssertionError, match=r"sent twice|another"):
            run_steps(RulesChecker(settings_in_force, 1, endpoints), steps)
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_respond", lambda _self, *_args: [])
        with pytest.raises(AssertionError, match="final responses"):
            run_steps(RulesChecker(settings_in_force, 1, endpoints), steps)
