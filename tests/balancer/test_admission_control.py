"""Admission control: which requests are rejected before they cost work, and when clients may come back."""

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

PATIENT_CLASSES = tuple(replace(row, latency_objective=4.0) for row in (IDEMPOTENT, NON_IDEMPOTENT))


def test_overload_rejects_the_class_with_the_lowest_priority_first() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    now = 100.0
    for n in range(400):  # 100 a second, each served at once
        now += 0.01
        balancer.on_request(now, IncomingRequest(f"w{n}", class_index=1, deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, last=True)
    rejected = {0: 0, 1: 0}
    for n in range(120):  # then nothing comes back any more
        now += 0.001
        for class_index in (0, 1):
            if isinstance(
                balancer.on_request(
                    now, IncomingRequest(f"x{class_index}{n}", class_index=class_index, deadline=now + 4.0)
                )[0],
                Reject,
            ):
                rejected[class_index] += 1
        if n == 30:
            assert rejected[0] > 0 == rejected[1]
    assert rejected[1] > 0


@pytest.mark.parametrize("fleet_size", [2, 4, 7])
def test_latency_far_over_its_baseline_sheds_load_where_many_share_a_tier(fleet_size: int) -> None:
    """The latency objective alone allows seven times the baseline, at which endpoints hold far too much."""
    balancer = make_balancer(Settings(classes=PATIENT_CLASSES, fleet_size=fleet_size))
    now, in_flight = 100.0, list[tuple[float, str]]()

    def play(latency: float, seconds: float) -> list[int]:
        """Send forty a second, half of each class, each served after so long; count those rejected."""
        nonlocal now
        rejected = [0, 0]
        for _ in range(int(40 * seconds)):
            now += 1 / 40
            while in_flight and in_flight[0][0] <= now:
                end, request_id = in_flight.pop(0)
                balancer.on_attempt_finished(end, request_id, 0, Outcome.SUCCESS, latency, last=True)
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

    assert sum(play(0.2, 10.0)) == 0
    low_priority, high_priority = play(0.8, 2.0)
    assert (low_priority > high_priority) is (fleet_size > 2), (
        "two see it by themselves, and a burst is soon over"
    )
    play(0.2, 5.0)
    assert sum(play(0.2, 10.0)) == 0, "it goes on rejecting once the endpoints are quick again"


def test_work_that_varies_much_sheds_no_load() -> None:
    """Single latencies go far below their mean where work varies: their baseline is no measure of a mean."""
    balancer = make_balancer(Settings(classes=PATIENT_CLASSES, fleet_size=7))
    work = Random(5)
    requests = TimedRequests(balancer)
    rejected = 0
    for n in range(2000):  # forty a second; a tenth of them takes half of all time
        latency = 1.0 if work.random() < 0.1 else 0.2 * work.random()
        rejected += not requests.send(100.0 + n / 40, f"r{n}", n % 2, 4.0, latency)
    assert rejected < 40, rejected


def test_long_work_of_one_class_takes_no_capacity_from_short_work() -> None:
    short, long = (
        replace(IDEMPOTENT, latency_objective=0.75, priority_weight=5.0),
        replace(NON_IDEMPOTENT, latency_objective=3.0, deadline=8.0, priority_weight=8.0),
    )
    balancer = make_balancer(Settings(classes=(short, long), fleet_size=2))
    requests = TimedRequests(balancer)
    rejected = [0, 0]
    for n in range(1200):  # forty a second, three quarters of them short; each ends well within its objective
        class_index = int(n % 4 == 0)
        time_left, latency = (8.0, 2.4) if class_index else (2.0, 0.1)
        admitted = requests.send(100.0 + n / 40, f"r{n}", class_index, time_left, latency)
        if not admitted and n > 200:  # by then each class has been served for a while
            rejected[class_index] += 1
    assert sum(rejected) < 12, rejected


def test_lower_tiers_never_reject_for_overload() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT), tier=1, tier_count=2))
    answers = [
        balancer.on_request(100.0 + n / 1000, IncomingRequest(f"x{n}", deadline=104.0))[0] for n in range(200)
    ]
    assert all(isinstance(a, StartAttempt) for a in answers)


def test_nothing_served_yet_is_no_overload() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    answers = [
        balancer.on_request(100.0 + n / 100, IncomingRequest(f"x{n}", deadline=110.0))[0] for n in range(30)
    ]
    assert sum(isinstance(a, StartAttempt) for a in answers) >= 27


def test_a_proxy_with_few_calls_sheds_by_the_requests_it_lost() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    now = 100.0
    for n in range(8):  # one call a second, all lost
        now += 1.0
        if isinstance(
            balancer.on_request(now, IncomingRequest(f"r{n}", class_index=1, deadline=now + 4.0))[0],
            StartAttempt,
        ):
            balancer.on_attempt_finished(now + 0.98, f"r{n}", 0, Outcome.TIMEOUT, 0.98)
    answers = [
        balancer.on_request(now + 1.0, IncomingRequest(f"s{n}", deadline=now + 5.0))[0] for n in range(2)
    ]
    later = balancer.on_request(now + 60.0, IncomingRequest("t", deadline=now + 64.0))[0]
    assert any(isinstance(a, Reject) for a in answers)
    assert isinstance(later, StartAttempt), "a loss long ago still counts"


def test_congestion_of_a_restricted_class_takes_no_capacity_from_the_others() -> None:
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
    for n in range(100):  # the only endpoint open to the restricted class answers nothing
        now += 0.02
        balancer.on_request(now, IncomingRequest(f"b{n}", class_index=1, deadline=now + 4.0))
        balancer.on_request(now, IncomingRequest(f"f{n}", deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"f{n}", 0, Outcome.SUCCESS, 0.1, last=True)
    assert isinstance(
        balancer.on_request(now, IncomingRequest("restricted", class_index=1, deadline=now + 4.0))[0], Reject
    )
    assert isinstance(balancer.on_request(now, IncomingRequest("free", deadline=now + 4.0))[0], StartAttempt)


@pytest.mark.parametrize(
    ("fifth", "answer"),
    [(Outcome.SUCCESS, StartAttempt), (Outcome.ERROR, StartAttempt), (Outcome.TIMEOUT, Reject)],
)
def test_the_wait_budget_shrinks_where_load_makes_requests_fail(fifth: Outcome, answer: type) -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,)))
    now = serve_with_failures(balancer, 0, fifth)
    for n in range(27):  # the wait budget allows 0.7 x 50, or 0.4 x 40
        balancer.on_request(now, IncomingRequest(f"x{n}", deadline=now + 4.0))
    assert isinstance(balancer.on_request(now, IncomingRequest("y", deadline=now + 4.0))[0], answer)


@pytest.mark.parametrize("protection", [1.0, 1000.0])
def test_requests_are_throttled_by_pool_where_each_endpoint_is_seldom_called(
    protection: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("balancer.admission_control.POOL_PROTECTED_REQUESTS", protection)
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), fleet_size=40), [Endpoint(i) for i in range(40)])
    sent = 0
    for n in range(20):  # four a second, each at another endpoint, none answered
        now = 100.0 + n / 4.0
        actions = balancer.on_request(now, IncomingRequest(f"r{n}", deadline=now + 4.0))
        if isinstance(actions[0], StartAttempt):
            sent += 1
            balancer.on_attempt_finished(now + 0.2, f"r{n}", 0, Outcome.TIMEOUT, 0.2)
            balancer.on_client_disconnected(now + 0.2, f"r{n}")
        for state in balancer.endpoints.states.values():
            state.breaker = None  # as if it had not been called before
    assert (sent < 14) is (protection == 1.0)


def test_a_request_too_heavy_for_its_time_is_rejected() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    now = 100.0
    for n in range(50):
        now += 1.0
        balancer.on_request(now, IncomingRequest(f"r{n}", deadline=now + 4.0, cost=0.1))
        balancer.on_attempt_finished(now + 0.2, f"r{n}", 0, Outcome.SUCCESS, 0.2, last=True)
    assert isinstance(
        balancer.on_request(now + 1.0, IncomingRequest("heavy", deadline=now + 5.0, cost=5.0))[0], Reject
    )
    assert isinstance(
        balancer.on_request(now + 1.0, IncomingRequest("light", deadline=now + 5.0, cost=0.1))[0],
        StartAttempt,
    )


def test_unfair_first_samples_reject_nothing() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    for n in range(3):  # 90 times their cost: they stood in a queue
        balancer.on_request(100.0 + n, IncomingRequest(f"r{n}", deadline=104.0 + n, cost=0.01))
        balancer.on_attempt_finished(100.9 + n, f"r{n}", 0, Outcome.SUCCESS, 0.9, last=True)
    assert isinstance(
        balancer.on_request(110.0, IncomingRequest("s", deadline=114.0, cost=0.1))[0], StartAttempt
    )


def test_an_unfair_cost_baseline_does_not_reject_for_good() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    balancer.statistics.latency_per_cost, balancer.statistics.sample_count = 90.0, 100
    answers = [
        balancer.on_request(110.0 + n, IncomingRequest(f"s{n}", deadline=114.0 + n, cost=0.1))[0]
        for n in range(60)
    ]
    assert isinstance(answers[0], Reject)
    assert any(isinstance(a, StartAttempt) for a in answers)


def test_requests_stuck_at_dead_endpoints_do_not_take_all_capacity() -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,)))
    now = 100.0
    for n in range(250):
        now += 0.02
        balancer.on_request(now, IncomingRequest(f"w{n}", deadline=now + 4.0))
        balancer.on_attempt_finished(now, f"w{n}", 0, Outcome.SUCCESS, 0.1, last=True)
    sent: dict[str, float] = {}
    for n in range(500):  # ten seconds in which every attempt ends by its timeout alone
        now += 0.02
        for request_id, ends_by in list(sent.items()):
            if ends_by <= now:
                del sent[request_id]
                balancer.on_attempt_finished(now, request_id, 0, Outcome.TIMEOUT, 0.98)
        if isinstance(
            balancer.on_request(now, IncomingRequest(f"x{n}", deadline=now + 4.0))[0], StartAttempt
        ):
            sent[f"x{n}"] = now + 0.98
    tried = sum(
        isinstance(balancer.on_request(now, IncomingRequest(f"y{n}", deadline=now + 4.0))[0], StartAttempt)
        for n in range(2)
    )
    assert len(sent) + tried > 2, "only what is always admitted was sent"


@pytest.mark.parametrize(("fleet_size", "admitted"), [(2, 4), (3, 3)])
def test_a_burst_at_a_proxy_alone_in_its_zone_is_no_overload(fleet_size: int, admitted: int) -> None:
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
        (0, Limits(retry_after=True, max_retry_after=2.5), 0.05, 0.5),  # answers take about a third of one
        (0, Limits(retry_after=True, max_retry_after=0.01), 0.01, 0.01),
        (0, Limits(), 0.0, 0.0),
        (1, Limits(retry_after=True, max_retry_after=2.5), 0.0, 0.0),
    ],
)
def test_rejected_clients_are_advised_when_to_come_back(
    tier: int, limits: Limits, shortest: float, longest: float
) -> None:
    checker = RulesChecker(
        Settings(classes=(IDEMPOTENT,), tier=tier, tier_count=2, limits=limits), 3, ENDPOINTS
    )
    send_steadily(checker, 4.0, 10.0)
    balancer = checker.balancer
    # No endpoint is left: rejected, at any capacity.
    balancer.on_endpoints_updated(checker.now, UpdateKind.SNAPSHOT, [])
    [rejection] = balancer.on_request(checker.now, IncomingRequest("r", deadline=checker.now + 4.0))
    assert isinstance(rejection, Reject)
    assert shortest <= rejection.retry_after <= longest
