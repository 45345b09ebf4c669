"""Endpoint selection: scores, and which endpoints are used if the subset is busy or unreachable."""

from __future__ import annotations

from collections import Counter

import pytest

from balancer.endpoints import Endpoint
from balancer.events import IncomingRequest, Outcome, StartAttempt
from balancer.settings import Limits, Settings
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer


def test_all_other_endpoints_are_used_if_the_subset_is_unreachable() -> None:
    endpoints = [Endpoint(i) for i in range(1, 21)]
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT,), fleet_size=20, limits=Limits(max_attempts=3)), endpoints
    )
    [subset_endpoint] = balancer.assignment.pools[0].subset
    for number in range(40):  # the only endpoint of the subset is unreachable
        now = 100.0 + number / 10
        actions = balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0))
        if isinstance(actions[0], StartAttempt) and actions[0].endpoint == subset_endpoint.endpoint.id:
            [retry] = balancer.on_attempt_finished(now + 0.01, f"r{number}", 0, Outcome.UNREACHABLE, 0.01)
            assert not isinstance(retry, StartAttempt) or retry.endpoint != subset_endpoint.endpoint.id
            if isinstance(retry, StartAttempt):
                balancer.on_attempt_finished(now + 0.02, f"r{number}", 1, Outcome.SUCCESS, 0.01, last=True)
        elif isinstance(actions[0], StartAttempt):
            balancer.on_attempt_finished(now + 0.02, f"r{number}", 0, Outcome.SUCCESS, 0.01, last=True)
    endpoints_used = {
        state.endpoint.id for state in balancer.endpoints.states.values() if state.breaker is not None
    }
    assert len(endpoints_used) > 8


def test_only_the_fallback_subset_is_used_if_the_subset_is_busy() -> None:
    endpoints_used: Counter[int] = Counter()
    for ordinal in range(100):
        settings = Settings(classes=(IDEMPOTENT,), fleet_size=100, ordinal=ordinal)
        balancer = make_balancer(settings, [Endpoint(i) for i in range(1, 101)])
        subset = {state.endpoint.id for state in balancer.assignment.pools[0].subset}
        assert len(subset) == 1
        sent = set()
        for number in range(60):  # from the fourth on, three are always in flight: the subset is busy
            now = 100.0 + number / 100
            [start] = balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0))
            assert isinstance(start, StartAttempt)
            sent.add(start.endpoint)
            if number >= 3:
                balancer.on_attempt_finished(now, f"r{number - 3}", 0, Outcome.SUCCESS, 0.03, last=True)
        assert subset < sent
        assert len(sent) <= 5
        endpoints_used.update(sent)
    assert len(endpoints_used) == 100
    assert max(endpoints_used.values()) <= 5


def test_mean_latency_of_an_endpoint_without_new_samples_approaches_the_tier_latency() -> None:
    state = make_balancer(Settings(classes=(IDEMPOTENT,))).endpoints.states[1]
    state.record_latency(100.0, 1.0)
    assert state.score(100.0, 0.1) == pytest.approx(1.0)
    assert state.score(105.0, 0.1) == pytest.approx(0.55)
    assert state.score(1000.0, 0.1) < 0.11


def test_age_of_the_oldest_attempt_in_flight_counts_as_a_latency() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)), [Endpoint(1)])
    balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert balancer.endpoints.states[1].score(100.9, 0.1) == pytest.approx(0.9 * 2.0)


def test_fast_failure_counts_as_the_latency_objective() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)), [Endpoint(1)])
    balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    balancer.on_attempt_finished(100.001, "r", 0, Outcome.ERROR, 0.001)
    assert balancer.endpoints.states[1].mean_latency == pytest.approx(1.0)


def test_one_slow_first_response_does_not_set_the_latency_baseline() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)), [Endpoint(1)])
    balancer.statistics.tier_latency = 0.1
    balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    balancer.on_attempt_finished(100.9, "r", 0, Outcome.SUCCESS, 0.9, last=True)
    breaker = balancer.endpoints.states[1].breaker
    assert breaker is not None
    assert breaker.latency_baseline < 0.11
