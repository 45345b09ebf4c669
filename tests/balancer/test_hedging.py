"""Hedging: which attempts get a hedged request, and by which budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.events import CancelAttempt, IncomingRequest, Outcome, SetTimer, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer, serve_sequentially

if TYPE_CHECKING:
    from balancer.balancer import Balancer


def hedging_balancer(request_class: RequestClass = IDEMPOTENT, *, hedging: bool = True) -> Balancer:
    """Return a balancer that has seen 40 answers after 50 ms each."""
    limits = Limits(cancel=True, hedging=hedging, max_attempts=3)
    balancer = make_balancer(Settings(classes=(request_class,), limits=limits))
    serve_sequentially(balancer)
    return balancer


def test_an_attempt_that_is_never_answered_is_hedged_elsewhere() -> None:
    balancer = hedging_balancer()
    send, timer = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
    assert isinstance(send, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert 200.09 < timer.at < 200.5  # far over the usual 50 ms, with time left for the hedged request
    [hedge] = balancer.on_timer(timer.at, timer.token)
    assert isinstance(hedge, StartAttempt)
    assert hedge.endpoint != send.endpoint
    assert balancer.on_attempt_finished(timer.at + 0.05, "r", 1, Outcome.SUCCESS, 0.05, last=True) == [
        CancelAttempt("r", 0)
    ]
    balancer.on_attempt_finished(timer.at + 0.05, "r", 0, Outcome.CANCELLED, timer.at - 199.95)
    assert balancer.endpoints.states[send.endpoint].mean_latency > 0.07  # it took at least that long
    assert not balancer.requests
    assert timer.token not in balancer.hedging.pending


def test_an_attempt_that_ended_in_time_is_not_hedged() -> None:
    balancer = hedging_balancer()
    _, timer = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
    retry, later = balancer.on_attempt_finished(200.05, "r", 0, Outcome.ERROR, 0.05)
    assert isinstance(retry, StartAttempt)
    assert isinstance(timer, SetTimer)
    assert isinstance(later, SetTimer)
    assert balancer.on_timer(timer.at, timer.token) == []  # the second attempt has a timer of its own
    balancer.on_attempt_finished(200.1, "r", 1, Outcome.SUCCESS, 0.05, last=True)
    assert balancer.on_timer(later.at, later.token) == []


def test_nothing_is_hedged_where_it_may_not_be_or_all_endpoints_are_slow() -> None:
    non_idempotent = RequestClass(
        "b", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NON_IDEMPOTENT
    )
    slow = make_balancer(Settings(classes=(IDEMPOTENT,), limits=Limits(cancel=True, hedging=True)))
    serve_sequentially(slow, 0.4)
    limits = Limits(cancel=True, hedging=True)
    upper = make_balancer(Settings(classes=(IDEMPOTENT,), limits=limits, tier_count=2))
    serve_sequentially(upper)
    for balancer in (hedging_balancer(non_idempotent), hedging_balancer(hedging=False), slow, upper):
        [send] = balancer.on_request(200.0, IncomingRequest("r", deadline=204.0))
        assert isinstance(send, StartAttempt)


def test_hedged_requests_are_few_and_leave_the_retry_budget_alone() -> None:
    balancer = hedging_balancer()
    hedges = 0
    for n in range(20):
        now = 200.0 + n / 4.0
        _, timer = balancer.on_request(now, IncomingRequest(f"r{n}", deadline=now + 4.0))
        assert isinstance(timer, SetTimer)
        hedges += len(balancer.on_timer(timer.at, timer.token))
        balancer.on_attempt_finished(
            timer.at + 0.01, f"r{n}", 0, Outcome.SUCCESS, timer.at + 0.01 - now, last=True
        )
    assert 0 < hedges <= 3
    assert not balancer.retry_budgets.retries.retry_times
