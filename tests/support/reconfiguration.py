"""Classes, settings and helpers for the tests of reconfiguration."""

from __future__ import annotations

from balancer.endpoints import Endpoint
from balancer.events import Outcome
from balancer.settings import (
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
)
from tests.support.rules_checker import RulesChecker

IDEMPOTENT = RequestClass("idempotent", 1.0, 4.0, Idempotency.IDEMPOTENT)
NON_IDEMPOTENT = RequestClass("non-idempotent", 1.0, 4.0, Idempotency.NON_IDEMPOTENT, priority_weight=5.0)
KEYED = RequestClass("keyed", 1.0, 4.0, Idempotency.KEYED, DeduplicationScope.ALL, 3.0)
OTHER = RequestClass("other", 2.0, 4.0, Idempotency.IDEMPOTENT)
BASE = Settings(classes=(IDEMPOTENT, NON_IDEMPOTENT, KEYED))
ENDPOINTS = [Endpoint(i, zone=i % 2, cell=i % 3) for i in range(1, 7)]


def make_checker(settings: Settings = BASE, endpoints: list[Endpoint] = ENDPOINTS) -> RulesChecker:
    """Return a checker of a balancer with these settings and endpoints."""
    return RulesChecker(settings, 1, endpoints)


def endpoints_sent_to(checker: RulesChecker, request_id: str) -> list[int]:
    """Return the ids of the endpoints that a request was sent to, in order."""
    return [attempt.endpoint.id for attempt in checker.requests[request_id].attempts]


def learned_state(checker: RulesChecker) -> dict[str, tuple[float, int, int, int]]:
    """Return what the balancer has learned about each class, by the name of the class."""
    balancer = checker.balancer
    return {
        request_class.name: (
            balancer.statistics.class_latency[index],
            balancer.statistics.class_samples[index],
            balancer.client_timeouts.usual_buckets[index],
            len(balancer.client_timeouts.bucket_counts[index]),
        )
        for index, request_class in enumerate(balancer.settings.classes)
    }


def respond_to_requests(checker: RulesChecker, class_index: int, latency: float, count: int = 8) -> None:
    """Send requests one after another, each of which succeeds after `latency` seconds."""
    for _ in range(count):
        request_id = checker.request(class_index, 4.0)
        checker.advance(latency)
        for number in [number for open_id, number in checker.open_attempts() if open_id == request_id]:
            checker.finish_attempt(request_id, number, Outcome.SUCCESS)
