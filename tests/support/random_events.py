"""Random valid events for a `RulesChecker`, and the classes and rules of the balancers that receive them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from hypothesis import strategies as st

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import Outcome
from balancer.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.support.rules_checker import RulesChecker

RULES = Rules(
    response_grace=0.02,
    warmup_initial_capacity=0.14,
    warmup_duration=20.0,
    overload_multiple=3.0,
    overload_interval=1.0,
)
RULES_WITH_RETRY_BUDGET = replace(
    RULES, retry_budget_floor=1.0, retry_budget_ratio=0.3, retry_budget_window=1.5
)
CLASSES = (
    RequestClass("idempotent", 1.0, 3.0, Idempotency.IDEMPOTENT, DeduplicationScope.CELL, 1.5, 1.0, 0.3),
    RequestClass("non-idempotent", 0.5, 3.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 1.5, 5.0),
    RequestClass("keyed-all", 1.0, 3.0, Idempotency.KEYED, DeduplicationScope.ALL, 1.5, 2.0),
    RequestClass("keyed-zone", 1.0, 3.0, Idempotency.KEYED, DeduplicationScope.ZONE, 1.5, 8.0, 0.5),
    RequestClass("keyed-cell", 0.8, 3.0, Idempotency.KEYED, DeduplicationScope.CELL, 1.5, 1.0),
    RequestClass("one-machine-type", 1.0, 3.0, Idempotency.IDEMPOTENT, allowed_machine_types=(1,)),
    RequestClass(
        "one-zone",
        1.0,
        3.0,
        Idempotency.KEYED,
        DeduplicationScope.CELL,
        1.5,
        allowed_machine_types=(0, 1),
        allowed_zones=(0,),
    ),
)
OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.CANCELLED]


class Step(NamedTuple):
    """One event of a random sequence.

    Attributes:
        kind: The kind of event, from 0 to 9 (see `run_step`).
        first: Selects the subject of the event, such as a class or an open attempt.
        second: Selects its details, such as a deadline or an outcome.
    """

    kind: int
    first: int
    second: int


#: Generates any step.
ANY_STEP = st.builds(Step, st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 10_000))


def random_settings(rules: Rules, limits: Limits, ordinal: int, tier: int, *, is_polled: bool) -> Settings:
    """Return the settings of one of three proxies in two tiers, with two tenants."""
    return Settings(
        classes=CLASSES,
        tenants=(Tenant("a", 0.6, 5.0), Tenant("b", 0.4, 3.0)),
        zone_count=2,
        rules=rules,
        fleet_size=3,
        ordinal=ordinal,
        tier=tier,
        tier_count=2,
        over_quota_weight=0.1,
        discovery=DiscoveryMode.POLLED if is_polled else DiscoveryMode.PUSHED,
        limits=limits,
    )


def endpoints_in_two_zones(count: int) -> list[Endpoint]:
    """Return endpoints in two zones, of three machine types, with three endpoints in each cell."""
    return [Endpoint(1000 + i, EndpointStatus.UP, i % 2, i // 3, machine_type=i % 3) for i in range(count)]


def run_steps(checker: RulesChecker, steps: Sequence[Step], settle_seconds: float = 10.0) -> None:
    """Run the steps, then advance the clock by `settle_seconds`."""
    for step in steps:
        run_step(checker, step)
    checker.advance(settle_seconds)


def run_step(checker: RulesChecker, step: Step) -> None:
    """Run one step.

    Kinds 0 to 3 send a request, 4 to 6 end an attempt, 7 updates the endpoint list, 8 starts a response or
    disconnects a client, and 9 (or 8 before the first request) advances the clock.
    """
    kind, first, second = step
    classes, tenants = len(checker.settings.classes), max(1, len(checker.settings.tenants))
    open_attempts = checker.open_attempts()
    if kind <= 3:
        checker.request(first % classes, 0.05 + (second % 300) / 100.0, first % tenants)
    elif kind <= 6:
        if open_attempts:
            attempt = open_attempts[first % len(open_attempts)]
            checker.finish_attempt(*attempt, OUTCOMES[second % len(OUTCOMES)])
    elif kind == 7:
        _update_endpoints(checker, first, second)
    elif kind == 8 and checker.requests:
        _start_response_or_disconnect(checker, first, second)
    else:
        checker.advance((first % 1000) / 1000.0)


def _update_endpoints(checker: RulesChecker, first: int, second: int) -> None:
    """Change one endpoint and deliver the change, or report a failed poll."""
    endpoints = list(checker.endpoints.values())
    if not endpoints:
        return
    endpoint = endpoints[first % len(endpoints)]
    status = (EndpointStatus.UP, EndpointStatus.DRAINING, EndpointStatus.REMOVED)[second % 3]
    restarts = status is EndpointStatus.UP and second % 2
    changed = replace(endpoint, status=status, started=checker.now - 0.5 if restarts else endpoint.started)
    kind = (UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.FAILED)[second // 3 % 3]
    if kind is UpdateKind.SNAPSHOT:
        others = [
            other
            for other in endpoints
            if other.id != endpoint.id and other.status is not EndpointStatus.REMOVED
        ]
        checker.update_endpoints(kind, others if status is EndpointStatus.REMOVED else [*others, changed])
    else:
        checker.update_endpoints(kind, [changed] if kind is UpdateKind.DELTA else [])


def _start_response_or_disconnect(checker: RulesChecker, first: int, second: int) -> None:
    """Start the response of a request's latest open attempt, or disconnect its client."""
    request_id = list(checker.requests)[first % len(checker.requests)]
    request = checker.requests[request_id]
    numbers = [number for owner, number in checker.open_attempts() if owner == request_id]
    if second % 3 == 0 and numbers and not request.responded and not request.response_started:
        checker.start_response(request_id, numbers[-1])
    else:
        checker.disconnect(request_id)


def fail_attempts(checker: RulesChecker, class_index: int, count: int) -> None:
    """Send a request, and end each of its first `count` attempts as unreachable."""
    request_id = checker.request(class_index, 3.0)
    for number in range(count):
        if (request_id, number) in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.UNREACHABLE)
