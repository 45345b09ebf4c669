"""Classes, settings and helpers that the tests of reconfiguration share."""

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


def make_checker(stated: Settings = BASE, endpoints: list[Endpoint] = ENDPOINTS) -> RulesChecker:
    """Return a checker of a balancer with these settings and endpoints."""
    return RulesChecker(stated, 1, endpoints)


def sent(checker: RulesChecker, request_id: str) -> list[int]:
    """Return the endpoints that a request went to."""
    return [attempt.endpoint.id for attempt in checker.requests[request_id].attempts]


def learned(checker: RulesChecker) -> dict[str, tuple[float, int, int, int]]:
    """Return what is known of each class, by its name."""
    balancer = checker.balancer
    return {
        row.name: (
            balancer.statistics.class_latency[n],
            balancer.statistics.class_samples[n],
            balancer.client_timeouts.usual_buckets[n],
            len(balancer.client_timeouts.bucket_counts[n]),
        )
        for n, row in enumerate(balancer.settings.classes)
    }


def respond_to_requests(checker: RulesChecker, class_index: int, after: float, times: int = 8) -> None:
    """Send requests one after another, each answered `after` so many seconds."""
    for _ in range(times):
        request_id = checker.request(class_index, 4.0)
        checker.advance(after)
        for number in [n for r, n in checker.open_attempts() if r == request_id]:
            checker.finish_attempt(request_id, number, Outcome.SUCCESS)
