"""Helpers of the balancer's tests: two request classes, eight endpoints, and functions that send requests."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from balancer.balancer import Balancer
from balancer.endpoints import Endpoint, UpdateKind
from balancer.events import IncomingRequest, Outcome, SetTimer, StartAttempt
from balancer.settings import Idempotency, RequestClass, Settings

if TYPE_CHECKING:
    from tests.support.rules_checker import RulesChecker

IDEMPOTENT = RequestClass(
    "a", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT, priority_weight=1.0
)
NON_IDEMPOTENT = RequestClass(
    "b", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=10.0
)
ENDPOINTS = [Endpoint(i) for i in range(1, 9)]


def make_balancer(settings: Settings, endpoints: list[Endpoint] = ENDPOINTS) -> Balancer:
    """Return a balancer with a list of endpoints, started at 100 s."""
    balancer = Balancer(settings, 1)
    balancer.on_endpoints_updated(100.0, UpdateKind.CACHED, endpoints)
    balancer.start(100.0)
    return balancer


def send_steadily(checker: RulesChecker, seconds: float, rate: float, class_index: int = 0) -> None:
    """Send requests at a constant rate; each succeeds after about a third of a second."""
    rng = Random(7)
    end_time = checker.now + seconds
    while checker.now < end_time:
        checker.request(class_index, 4.0)
        checker.advance(1.0 / rate)
        for request_id, number in checker.open_attempts():
            if rng.random() < 3.0 / rate:
                checker.finish_attempt(request_id, number, Outcome.SUCCESS)


def serve_sequentially(balancer: Balancer, latency: float = 0.05, count: int = 40) -> None:
    """Send one request per second; each succeeds after `latency` seconds."""
    for number in range(count):
        now = 101.0 + number
        balancer.on_request(now, IncomingRequest(f"s{number}", deadline=now + 4.0))
        balancer.on_attempt_finished(now + latency, f"s{number}", 0, Outcome.SUCCESS, latency, last=True)


def serve_with_failures(balancer: Balancer, tenant: int, outcome_of_every_fifth: Outcome) -> float:
    """Send 50 requests per second for 8 s, every fifth with the given outcome; return the time after them."""
    now = 100.0
    for number in range(400):
        now += 0.02
        balancer.on_request(now, IncomingRequest(f"w{number}", tenant=tenant, deadline=now + 4.0))
        outcome = Outcome.SUCCESS if number % 5 else outcome_of_every_fifth
        balancer.on_attempt_finished(now, f"w{number}", 0, outcome, 0.1)
    return now


class TimedRequests:
    """Sends overlapping requests, each of which succeeds after the latency given for it."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._in_flight: list[tuple[float, str, float]] = []

    def send(self, now: float, request_id: str, class_index: int, time_left: float, latency: float) -> bool:
        """Finish the attempts that have ended by now, then send a request; return whether it was admitted."""
        while self._in_flight and self._in_flight[0][0] <= now:
            ended_at, ended_id, ended_latency = heappop(self._in_flight)
            self._balancer.on_attempt_finished(
                ended_at, ended_id, 0, Outcome.SUCCESS, ended_latency, last=True
            )
        action = self._balancer.on_request(
            now, IncomingRequest(request_id, class_index=class_index, deadline=now + time_left)
        )[0]
        if not isinstance(action, StartAttempt):
            return False
        heappush(self._in_flight, (now + latency, request_id, latency))
        return True


class DueHedge(NamedTuple):
    """A balancer with a late request in flight, and the timer that hedges it."""

    balancer: Balancer
    timer: SetTimer


def balancer_with_due_hedge(settings: Settings) -> DueHedge:
    """Return a balancer with a request of class 0 in flight since 130 s, and the timer that hedges it."""
    balancer = make_balancer(settings)
    for number in range(20):
        balancer.on_request(100.0 + number, IncomingRequest(f"r{number}", deadline=104.0 + number))
        balancer.on_attempt_finished(100.1 + number, f"r{number}", 0, Outcome.SUCCESS, 0.1, last=True)
    _, timer = balancer.on_request(130.0, IncomingRequest("late", deadline=134.0))
    assert isinstance(timer, SetTimer)
    return DueHedge(balancer, timer)
