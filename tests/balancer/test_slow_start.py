"""Slow start: how many attempts one proxy sends to a warming endpoint, and when."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import TYPE_CHECKING

import pytest

from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import IncomingRequest, Outcome, StartAttempt
from balancer.settings import Rules, Settings
from balancer.slow_start import SlowStart
from tests.support.balancer_helpers import IDEMPOTENT, make_balancer
from tests.support.random_events import CLASSES, RULES
from tests.support.rules_checker import RulesChecker

if TYPE_CHECKING:
    from balancer.balancer import Balancer
    from balancer.endpoint_state import EndpointState


def should_skip(balancer: Balancer, now: float, state: EndpointState) -> bool:
    """Return whether a warming endpoint is not considered for an attempt."""
    pools = balancer.assignment.pools
    return balancer.slow_start.should_skip(now, state, pools[0], pools)


def test_a_restart_discards_the_warm_up_tokens() -> None:
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=9.0, overload_multiple=3.0, overload_interval=2.0
    )
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT,), rules=rules), [Endpoint(1, started=99.0), Endpoint(2)]
    )
    state = balancer.endpoints.states[1]
    for _ in range(200):
        should_skip(balancer, 100.0, state)
    assert state.refilled_at > 0.0
    balancer.on_endpoints_updated(500.0, UpdateKind.DELTA, [Endpoint(1, started=499.0)])
    assert (state.refilled_at, state.warmup_tokens) == (0.0, 0.0)
    while state.refilled_at <= 0.0:
        should_skip(balancer, 500.0, state)
    assert state.warmup_tokens < 1.0, "has tokens from before the restart"


def test_warming_endpoints_outside_the_subset_get_no_attempts_while_its_breakers_reject() -> None:
    endpoints = [Endpoint(i) for i in range(1, 21)]
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), fleet_size=20), endpoints)
    [only] = balancer.assignment.pools[0].subset
    warming = [Endpoint(i, started=100.0) for i in range(1, 21) if i != only.endpoint.id]
    balancer.on_endpoints_updated(100.1, UpdateKind.DELTA, warming)
    assert balancer.assignment.pools[0].subset == [only]
    for number in range(60):
        now = 100.2 + number / 20
        for action in balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0)):
            assert not isinstance(action, StartAttempt) or action.endpoint == only.endpoint.id
            if isinstance(action, StartAttempt):
                balancer.on_attempt_finished(now + 0.01, f"r{number}", 0, Outcome.UNREACHABLE, 0.01)


def test_warming_endpoints_get_their_share_where_most_are_warming_up() -> None:
    """With 6 of 10 endpoints at 0.4 of their capacity, they get at least half of 2.4 / 6.4 of the load."""
    balancer = make_balancer(
        Settings(
            classes=(IDEMPOTENT,),
            rules=Rules(warmup_initial_capacity=0.4, warmup_duration=1e6, overload_interval=2.0),
        )
    )
    endpoints = [Endpoint(i, started=99.0 if i > 4 else 0.0) for i in range(1, 11)]
    balancer.on_endpoints_updated(100.0, UpdateKind.SNAPSHOT, endpoints)
    now, sent_to_warming, sent = 100.0, 0, 2000
    for number in range(sent):
        now += 0.02
        [start] = balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0))
        assert isinstance(start, StartAttempt)
        sent_to_warming += start.endpoint > 4
        balancer.on_attempt_finished(now + 0.01, f"r{number}", 0, Outcome.SUCCESS, 0.01, last=True)
    share = 2.4 / 6.4
    assert 0.5 * share <= sent_to_warming / sent <= share


def test_retries_of_rejected_clients_do_not_increase_the_warm_up_tokens() -> None:
    """With three rejected requests for each one sent, an endpoint must not get four times as many tokens."""
    rules = Rules(
        warmup_initial_capacity=0.3, warmup_duration=20.0, overload_multiple=3.0, overload_interval=2.0
    )

    def tokens(rejected_per_request: int) -> float:
        balancer = make_balancer(Settings(classes=(IDEMPOTENT,), rules=rules))
        now = 100.0
        for number in range(400):
            now += 0.01
            if isinstance(
                balancer.on_request(now, IncomingRequest(f"w{number}", deadline=now + 4.0))[0], StartAttempt
            ):
                balancer.on_attempt_finished(now, f"w{number}", 0, Outcome.SUCCESS, 0.1, last=True)
            for rejected_number in range(rejected_per_request):
                balancer.on_request(now, IncomingRequest(f"p{number}_{rejected_number}", deadline=now))
        balancer.on_endpoints_updated(now, UpdateKind.DELTA, [Endpoint(1, started=now)])
        state = balancer.endpoints.states[1]
        while state.refilled_at <= 0.0:
            should_skip(balancer, now, state)
        state.warmup_tokens = 0.0
        for _ in range(300):
            should_skip(balancer, now + 0.05, state)
        return state.warmup_tokens

    # The offered rate is four times the sent one. It counts at most for the one endpoint of eight that is
    # warming up: 7/8 + 4/8.
    assert 0.0 < tokens(3) <= 1.4 * tokens(0)


def serve_steadily(checker: RulesChecker, seconds: float, rate: float, rng: Random) -> None:
    """Send requests at a constant rate; after each, 3 of 10 open attempts succeed."""
    end = checker.now + seconds
    while checker.now < end:
        checker.request(0, 3.0)
        checker.advance(1.0 / rate)
        for request_id, number in checker.open_attempts():
            if rng.random() < 0.3:
                checker.finish_attempt(request_id, number, Outcome.SUCCESS)


def assert_restarted_endpoint_is_not_overloaded(seed: int) -> None:
    """Restart an endpoint under steady traffic; it must get at most twice its guaranteed share."""
    checker = RulesChecker(Settings(classes=CLASSES, rules=RULES), seed, [Endpoint(i) for i in range(10)])
    rng = Random(seed)
    serve_steadily(checker, 5.0, 100.0, rng)
    checker.update_endpoints(UpdateKind.DELTA, [Endpoint(3, started=checker.now)])
    restarted_at = checker.now
    checker.start_times_by_endpoint.clear()
    serve_steadily(checker, 4.0, 100.0, rng)
    starts_at_warming = [at for at in checker.start_times_by_endpoint.get(3, []) if at >= restarted_at]
    starts_at_others = [starts for key, starts in checker.start_times_by_endpoint.items() if key != 3]
    mean_of_others = sum(len(starts) for starts in starts_at_others) / 9
    # After 4 s its guaranteed capacity is 0.14 + 0.86 * 4 / 20 = 0.31; it fails at three times as much load.
    assert len(starts_at_warming) <= 0.31 * 2 * mean_of_others, "a warming endpoint was overloaded"
    for first, later in pairwise(starts_at_warming):
        assert later > first, "two attempts at once at an endpoint that has just started"


@pytest.mark.parametrize("seed", range(5))
def test_a_restarted_endpoint_is_not_overloaded(seed: int) -> None:
    assert_restarted_endpoint_is_not_overloaded(seed)


def test_the_check_detects_a_balancer_that_ignores_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "should_skip", lambda _self, _now, _state, _pool, _pools: False)
    with pytest.raises(AssertionError, match="a warming endpoint was overloaded"):
        assert_restarted_endpoint_is_not_overloaded(0)


@pytest.mark.parametrize("seed", range(5))
def test_where_all_endpoints_warm_up_they_get_about_their_guaranteed_capacity(seed: int) -> None:
    endpoints = [Endpoint(i, started=100.0) for i in range(10)]
    checker = RulesChecker(Settings(classes=CLASSES, rules=RULES), seed, endpoints)
    serve_steadily(checker, 3.0, 200.0, Random(seed))
    sent = sum(len(starts) for starts in checker.start_times_by_endpoint.values())
    # Without warm endpoints, about the guaranteed capacity of all endpoints is used.
    assert 0 < sent <= 600 * (0.14 + 0.86 * 3 / 20) * 2
