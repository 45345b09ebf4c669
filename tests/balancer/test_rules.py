"""The rules hold over random legal events, and the checker catches balancers that break them."""

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
def test_the_rules_hold(
    *,
    steps: list[Step],
    seed: int,
    limits: Limits,
    is_polled: bool,
    has_retry_budget: bool,
    endpoint_count: int,
) -> None:
    rules = RULES_WITH_RETRY_BUDGET if has_retry_budget else RULES
    config = random_settings(rules, limits, seed % 3, seed % 2, is_polled=is_polled)
    run_steps(RulesChecker(config, seed, endpoints_in_two_zones(endpoint_count)), steps)


def test_a_balancer_that_ignores_drains_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def send_after_drain() -> None:
        checker = RulesChecker(Settings(classes=CLASSES), 1, [Endpoint(1), Endpoint(2)])
        checker.update_endpoints(UpdateKind.DELTA, [Endpoint(1, EndpointStatus.DRAINING)])
        for _ in range(20):
            checker.request(0, 3.0)

    send_after_drain()
    rebuild_pools = Balancer.rebuild_pools

    def keep_all_ready(self: Balancer, now: float) -> None:
        delivered = {state: state.endpoint for state in self.endpoints.states.values()}
        for state in delivered:
            state.endpoint = Endpoint(state.endpoint.id)
        rebuild_pools(self, now)
        for state, endpoint in delivered.items():
            state.endpoint = endpoint

    monkeypatch.setattr(Balancer, "rebuild_pools", keep_all_ready)
    with pytest.raises(AssertionError, match="drains or is removed"):
        send_after_drain()


def test_a_balancer_that_ignores_placement_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def send_to_restricted_classes() -> int:
        endpoints = [Endpoint(i, zone=i % 2, machine_type=i % 3) for i in range(12)]
        config = Settings(classes=CLASSES, zone_count=2, limits=Limits(max_attempts=4))
        checker = RulesChecker(config, 1, endpoints)
        for n in range(40):
            fail_attempts(checker, 5 + n % 2, 4)
            checker.advance(0.5)
        none_open = [replace(e, status=EndpointStatus.REMOVED) for e in endpoints if e.machine_type == 1]
        checker.update_endpoints(UpdateKind.DELTA, none_open)
        before = sum(len(starts) for starts in checker.start_times_by_endpoint.values())
        checker.request(5, 3.0)
        assert sum(len(starts) for starts in checker.start_times_by_endpoint.values()) == before
        return before

    assert send_to_restricted_classes() > 15
    monkeypatch.setattr(EndpointPool, "allows", lambda _self, _endpoint: True)
    with pytest.raises(AssertionError, match="not open to its class"):
        send_to_restricted_classes()


def test_the_checker_covers_hedged_requests_and_streams() -> None:
    checker = RulesChecker(Settings(classes=CLASSES), 1, [Endpoint(1), Endpoint(2)])
    request_id = checker.request(0, 3.0)
    with pytest.raises(AssertionError, match="hedged request"):
        checker.check([StartAttempt(request_id, 2)])
    checker.start_response(request_id, 0)
    checker.advance(20.0)  # a stream that has started knows no deadline...
    with pytest.raises(AssertionError, match="after its response started"):
        checker.check([StartAttempt(request_id, 2)])


def test_a_balancer_that_ignores_idempotency_or_never_answers_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    request_and_timeout = [(0, 1, 250), (4, 0, 1), (0, 4, 250), (4, 0, 1), (0, 3, 250), (4, 0, 1)]
    steps = [Step(*step) for step in request_and_timeout * 12]
    endpoints = [Endpoint(1000 + i, EndpointStatus.UP, i % 2, i // 3) for i in range(9)]
    tenants = (Tenant("a"), Tenant("b"))
    limits = Limits(max_attempts=4)
    config = Settings(classes=CLASSES, zone_count=2, rules=RULES, limits=limits, tenants=tenants)
    run_steps(RulesChecker(config, 1, endpoints), steps)
    with monkeypatch.context() as patch:
        patch.setattr(RequestState, "retry_endpoints", lambda self, _now: self.pool.ready)
        with pytest.raises(AssertionError, match=r"sent twice|another"):
            run_steps(RulesChecker(config, 1, endpoints), steps)
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_respond", lambda _self, *_args: [])
        with pytest.raises(AssertionError, match="final responses"):
            run_steps(RulesChecker(config, 1, endpoints), steps)
