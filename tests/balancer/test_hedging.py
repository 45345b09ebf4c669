"""Hedging: which attempts get a hedged request, and which budget it counts against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.events import CancelAttempt, IncomingRequest, Outcome, SetTimer, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer, serve_sequentially

if TYPE_CHECKING:
    from balancer.balancer import Balancer


def hedging_balancer(request_class: RequestClass = IDEMPOTENT, *, hedging: bool = True) -> Balancer:
    """Return a balancer that has recorded 40 responses with a latency of 50 ms each."""
    limits = Limits(cancel=True, hedging=hedging, max_attempts=3)
    balancer = make_balancer(Settings(classes=(request_class,), limits=limits))
    serve_sequentially(balancer)
    return balancer


def test_an_attempt_without_a_response_is_hedged_at_another_endpoint() -> None:
    balancer = hedging_balancer()
    start, timer = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
    assert isinstance(start, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert 200.09 < timer.at < 200.5  # well above 50 ms, with time left for the hedged request
    [hedge] = balancer.on_timer(timer.at, timer.token)
    assert isinstance(hedge, StartAttempt)
    assert hedge.endpoint != start.endpoint
    assert balancer.on_attempt_finished(timer.at + 0.05, "r", 1, Outcome.SUCCESS, 0.05, last=True) == [
        CancelAttempt("r", 0)
    ]
    balancer.on_attempt_finished(timer.at + 0.05, "r", 0, Outcome.CANCELLED, timer.at - 199.95)
    # The cancelled attempt was open for longer than 50 ms.
    assert balancer.endpoints.states[start.endpoint].mean_latency > 0.07
    assert not balancer.requests
    assert timer.token not in balancer.hedging.pending


def test_an_attempt_that_has_ended_is_not_hedged() -> None:
    balancer = hedging_balancer()
    _, timer = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
    retry, timer_of_retry = balancer.on_attempt_finished(200.05, "r", 0, Outcome.ERROR, 0.05)
    assert isinstance(retry, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert isinstance(timer_of_retry, SetTimer)
    assert balancer.on_timer(timer.at, timer.token) == []  # the retry has its own timer
    balancer.on_attempt_finished(200.1, "r", 1, Outcome.SUCCESS, 0.05, last=True)
    assert balancer.on_timer(timer_of_retry.at, timer_of_retry.token) == []


def test_no_hedging_where_it_is_not_allowed_or_all_endpoints_are_slow() -> None:
    non_idempotent = RequestClass(
        "b", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NON_IDEMPOTENT
    )
    balancer_of_slow_endpoints = make_balancer(
        Settings(classes=(IDEMPOTENT,), limits=Limits(cancel=True, hedging=True))
    )
    serve_sequentially(balancer_of_slow_endpoints, 0.4)
    limits = Limits(cancel=True, hedging=True)
    balancer_of_upper_tier = make_balancer(Settings(classes=(IDEMPOTENT,), limits=limits, tier_count=2))
    serve_sequentially(balancer_of_upper_tier)
    for balancer in (
        hedging_balancer(non_idempotent),
        hedging_balancer(hedging=False),
        balancer_of_slow_endpoints,
        balancer_of_upper_tier,
    ):
        [start] = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
        assert isinstance(start, StartAttempt)


def test_hedged_requests_are_few_and_do_not_use_the_retry_budget() -> None:
    balancer = hedging_balancer()
    hedges = 0
    for number in range(20):
        now = 200.0 + number / 4.0
        _, timer = balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0))
        assert isinstance(timer, SetTimer)
        hedges += len(balancer.on_timer(timer.at, timer.token))
        balancer.on_attempt_finished(
            timer.at + 0.01, f"r{number}", 0, Outcome.SUCCESS, timer.at + 0.01 - now, last=True
        )
    assert 0 < hedges <= 3
    assert not balancer.retry_budgets.retries.retry_times
