"""Admission control: which requests are rejected on arrival, and which retry delay is advised."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import IncomingRequest, Outcome, Reject, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from tests.support.balancer_helpers import (
    ENDPOINTS,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    TimedRequests,
    make_balancer,
    send_steadily,
    serve_with_failures,
)
from tests.support.rules_checker import RulesChecker

CLASSES_WITH_LONG_OBJECTIVE = tuple(
    replace(each, latency_objective=4.0) for each in (IDEMPOTENT, NON_IDEMPOTENT)
)


def test_overload_rejects_the_class_with_the_lowest_priority_first() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    now = 100.0
    for number in range(400):  # 100 requests per second, each served immediately
        now += 0.01
        balancer.on_request(now, IncomingRequest(f"w{number}", class_index=1, deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"w{number}", 0, Outcome.SUCCESS, 0.1, last=True)
    rejected = {0: 0, 1: 0}
    for number in range(120):  # from here on, no attempt ends
        now += 0.001
        for class_index in (0, 1):
            if isinstance(
                balancer.on_request(
                    now,
                    IncomingRequest(f"x{class_index}{number}", class_index=class_index, deadline=now + 4.0),
                )[0],
                Reject,
            ):
                rejected[class_index] += 1
        if number == 30:
            assert rejected[0] > 0 == rejected[1]
    assert rejected[1] > 0


@pytest.mark.parametrize("fleet_size", [2, 4, 7])
def test_latency_far_above_its_baseline_sheds_load_only_in_larger_fleets(fleet_size: int) -> None:
    """The latency objective alone admits waits of 7 times the baseline, when endpoints are overloaded."""
    balancer = make_balancer(Settings(classes=CLASSES_WITH_LONG_OBJECTIVE, fleet_size=fleet_size))
    now, in_flight = 100.0, list[tuple[float, str]]()

    def rejections_by_class(latency: float, seconds: float) -> list[int]:
        """Send 40 requests per second, alternating classes, each served after `latency` seconds."""
        nonlocal now
        rejected = [0, 0]
        for _ in range(int(40 * seconds)):
            now += 1 / 40
            while in_flight and in_flight[0][0] <= now:
                finished_at, request_id = in_flight.pop(0)
                balancer.on_attempt_finished(finished_at, request_id, 0, Outcome.SUCCESS, latency, last=True)
            request_id = f"r{round(40 * now)}"
            class_index = round(40 * now) % 2
            if isinstance(
                balancer.on_request(
                    now, IncomingRequest(request_id, class_index=class_index, deadline=now + 4.0)
                )[0],
                StartAttempt,
            ):
                in_flight.append((now + latency, request_id))
            else:
                rejected[class_index] += 1
        return rejected

    assert sum(rejections_by_class(0.2, 10.0)) == 0
    low_priority, high_priority = rejections_by_class(0.8, 2.0)
    assert (low_priority > high_priority) is (fleet_size > 2), (
        "two proxies must not shed load by latency, larger fleets must"
    )
    rejections_by_class(0.2, 5.0)
    assert sum(rejections_by_class(0.2, 10.0)) == 0, "still rejects after the endpoints have recovered"


def test_varying_work_is_not_mistaken_for_overload() -> None:
    """Where work varies, a baseline that follows single latencies is far below their mean, and sheds load."""
    balancer = make_balancer(Settings(classes=CLASSES_WITH_LONG_OBJECTIVE, fleet_size=7))
    work = Random(5)
    requests = TimedRequests(balancer)
    rejected = 0
    for number in range(2000):  # 40 per second; a tenth of them have half of the total latency
        latency = 1.0 if work.random() < 0.1 else 0.2 * work.random()
        rejected += not requests.send(100.0 + number / 40, f"r{number}", number % 2, 4.0, latency)
    assert rejected < 40, rejected


def test_long_work_of_one_class_does_not_reject_short_work_of_another() -> None:
    short, long = (
        replace(IDEMPOTENT, latency_objective=0.75, priority_weight=5.0),
        replace(NON_IDEMPOTENT, latency_objective=3.0, deadline=8.0, priority_weight=8.0),
    )
    balancer = make_balancer(Settings(classes=(short, long), fleet_size=2))
    requests = TimedRequests(balancer)
    rejected = [0, 0]
    for number in range(1200):  # 40 per second, three quarters short; all within their objectives
        class_index = int(number % 4 == 0)
        time_left, latency = (8.0, 2.4) if class_index else (2.0, 0.1)
        admitted = requests.send(100.0 + number / 40, f"r{number}", class_index, time_left, latency)
        if not admitted and number > 200:  # by then there are enough samples of each class
            rejected[class_index] += 1
    assert sum(rejected) < 12, rejected


def test_lower_tiers_never_reject_for_overload() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT), tier=1, tier_count=2))
    actions = [
        balancer.on_request(100.0 + number / 1000, IncomingRequest(f"x{number}", deadline=104.0))[0]
        for number in range(200)
    ]
    assert all(isinstance(action, StartAttempt) for action in actions)


def test_requests_are_admitted_before_any_was_served() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    actions = [
        balancer.on_request(100.0 + number / 100, IncomingRequest(f"x{number}", deadline=110.0))[0]
        for number in range(30)
    ]
    assert sum(isinstance(action, StartAttempt) for action in actions) >= 27


def test_a_proxy_with_few_requests_rejects_some_after_timeouts() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    now = 100.0
    for number in range(8):  # one request per second, all time out
        now += 1.0
        if isinstance(
            balancer.on_request(now, IncomingRequest(f"r{number}", class_index=1, deadline=now + 4.0))[0],
            StartAttempt,
        ):
            balancer.on_attempt_finished(now + 0.98, f"r{number}", 0, Outcome.TIMEOUT, 0.98)
    actions = [
        balancer.on_request(now + 1.0, IncomingRequest(f"s{number}", deadline=now + 5.0))[0]
        for number in range(2)
    ]
    action_later = balancer.on_request(now + 60.0, IncomingRequest("t", deadline=now + 64.0))[0]
    assert any(isinstance(action, Reject) for action in actions)
    assert isinstance(action_later, StartAttempt), "timeouts of a minute ago still count"


def test_congestion_of_a_restricted_class_takes_no_capacity_from_other_classes() -> None:
    restricted = RequestClass(
        "restricted",
        latency_objective=1.0,
        deadline=4.0,
        idempotency=Idempotency.IDEMPOTENT,
        allowed_machine_types=(1,),
    )
    balancer = make_balancer(
        Settings(classes=(IDEMPOTENT, restricted)), [*ENDPOINTS, Endpoint(9, machine_type=1)]
    )
    now = 100.0
    for number in range(100):  # the only endpoint of the restricted class never responds
        now += 0.02
        balancer.on_request(now, IncomingRequest(f"b{number}", class_index=1, deadline=now + 4.0))
        balancer.on_request(now, IncomingRequest(f"f{number}", deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"f{number}", 0, Outcome.SUCCESS, 0.1, last=True)
    assert isinstance(
        balancer.on_request(now, IncomingRequest("restricted", class_index=1, deadline=now + 4.0))[0], Reject
    )
    assert isinstance(balancer.on_request(now, IncomingRequest("free", deadline=now + 4.0))[0], StartAttempt)


@pytest.mark.parametrize(
    ("outcome_of_every_fifth", "expected_action"),
    [(Outcome.SUCCESS, StartAttempt), (Outcome.ERROR, StartAttempt), (Outcome.TIMEOUT, Reject)],
)
def test_the_wait_budget_shrinks_while_requests_fail_from_overload(
    outcome_of_every_fifth: Outcome, expected_action: type
) -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,)))
    now = serve_with_failures(balancer, 0, outcome_of_every_fifth)
    # The wait budget allows 0.7 s x 50/s pending requests, and 0.4 s x 40/s after timeouts.
    for number in range(27):
        balancer.on_request(now, IncomingRequest(f"x{number}", deadline=now + 4.0))
    action = balancer.on_request(now, IncomingRequest("y", deadline=now + 4.0))[0]
    assert isinstance(action, expected_action)


@pytest.mark.parametrize("protection", [1.0, 1000.0])
def test_failures_spread_over_many_endpoints_throttle_the_pool(
    protection: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("balancer.admission_control.POOL_PROTECTED_REQUESTS", protection)
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), fleet_size=40), [Endpoint(i) for i in range(40)])
    sent = 0
    for number in range(20):  # 4 per second, each at another endpoint, all time out
        now = 100.0 + number / 4.0
        actions = balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0))
        if isinstance(actions[0], StartAttempt):
            sent += 1
            balancer.on_attempt_finished(now + 0.2, f"r{number}", 0, Outcome.TIMEOUT, 0.2)
            balancer.on_client_disconnected(now + 0.2, f"r{number}")
        for state in balancer.endpoints.states.values():
            state.breaker = None  # as if no attempt had been sent there
    assert (sent < 14) is (protection == 1.0)


def test_a_request_whose_work_takes_longer_than_its_time_left_is_rejected() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    now = 100.0
    for number in range(50):
        now += 1.0
        balancer.on_request(now, IncomingRequest(f"r{number}", deadline=now + 4.0, cost=0.1))
        balancer.on_attempt_finished(now + 0.2, f"r{number}", 0, Outcome.SUCCESS, 0.2, last=True)
    assert isinstance(
        balancer.on_request(now + 1.0, IncomingRequest("heavy", deadline=now + 5.0, cost=5.0))[0], Reject
    )
    assert isinstance(
        balancer.on_request(now + 1.0, IncomingRequest("light", deadline=now + 5.0, cost=0.1))[0],
        StartAttempt,
    )


def test_slow_first_responses_do_not_reject_later_requests() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    for number in range(3):  # they waited in a queue for 90 times their cost
        balancer.on_request(100.0 + number, IncomingRequest(f"r{number}", deadline=104.0 + number, cost=0.01))
        balancer.on_attempt_finished(100.9 + number, f"r{number}", 0, Outcome.SUCCESS, 0.9, last=True)
    assert isinstance(
        balancer.on_request(110.0, IncomingRequest("s", deadline=114.0, cost=0.1))[0], StartAttempt
    )


def test_a_cost_baseline_that_is_too_high_does_not_reject_permanently() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    balancer.statistics.latency_per_cost, balancer.statistics.sample_count = 90.0, 100
    actions = [
        balancer.on_request(110.0 + index, IncomingRequest(f"s{index}", deadline=114.0 + index, cost=0.1))[0]
        for index in range(60)
    ]
    assert isinstance(actions[0], Reject)
    assert any(isinstance(action, StartAttempt) for action in actions)


def test_requests_stuck_at_dead_endpoints_do_not_block_all_others() -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,)))
    now = 100.0
    for number in range(250):
        now += 0.02
        balancer.on_request(now, IncomingRequest(f"w{number}", deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"w{number}", 0, Outcome.SUCCESS, 0.1, last=True)
    in_flight: dict[str, float] = {}  # when each request times out
    for number in range(500):  # for 10 s, every attempt times out
        now += 0.02
        for request_id, times_out_at in list(in_flight.items()):
            if times_out_at <= now:
                del in_flight[request_id]
                balancer.on_attempt_finished(now, request_id, 0, Outcome.TIMEOUT, 0.98)
        if isinstance(
            balancer.on_request(now, IncomingRequest(f"x{number}", deadline=now + 4.0))[0], StartAttempt
        ):
            in_flight[f"x{number}"] = now + 0.98
    admitted = sum(
        isinstance(
            balancer.on_request(now, IncomingRequest(f"y{number}", deadline=now + 4.0))[0], StartAttempt
        )
        for number in range(2)
    )
    assert len(in_flight) + admitted > 2, "no more than the allowance was admitted"


@pytest.mark.parametrize(("fleet_size", "admitted"), [(2, 4), (3, 3)])
def test_the_only_proxy_of_a_zone_admits_a_short_burst(fleet_size: int, admitted: int) -> None:
    settings = Settings(
        classes=(NON_IDEMPOTENT,), fleet_size=fleet_size, zone_count=2, limits=Limits(cancel=True)
    )
    checker = RulesChecker(settings, 5, ENDPOINTS)
    for _ in range(8):
        request_id = checker.request(0, 4.0)
        checker.advance(0.05)
        checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
        checker.advance(0.95)
    request_ids = [checker.request(0, 4.0) for _ in range(4)]
    assert sum(bool(checker.requests[request_id].attempts) for request_id in request_ids) == admitted


@pytest.mark.parametrize(
    ("tier", "limits", "shortest", "longest"),
    [
        # Responses take about a third of a second.
        (0, Limits(retry_after=True, max_retry_after=2.5), 0.05, 0.5),
        (0, Limits(retry_after=True, max_retry_after=0.01), 0.01, 0.01),
        (0, Limits(), 0.0, 0.0),
        (1, Limits(retry_after=True, max_retry_after=2.5), 0.0, 0.0),
    ],
)
def test_a_rejection_advises_a_retry_delay_within_the_limits(
    tier: int, limits: Limits, shortest: float, longest: float
) -> None:
    checker = RulesChecker(
        Settings(classes=(IDEMPOTENT,), tier=tier, tier_count=2, limits=limits), 3, ENDPOINTS
    )
    send_steadily(checker, 4.0, 10.0)
    balancer = checker.balancer
    # Without any endpoint, every request is rejected.
    balancer.on_endpoints_updated(checker.now, UpdateKind.SNAPSHOT, [])
    [rejection] = balancer.on_request(checker.now, IncomingRequest("r", deadline=checker.now + 4.0))
    assert isinstance(rejection, Reject)
    assert shortest <= rejection.retry_after <= longest
