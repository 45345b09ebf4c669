"""Reconfiguration: learned state follows the names of classes and the ids of endpoints."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import Outcome
from tests.support.random_events import (
    RULES,
)

if TYPE_CHECKING:
    from balancer.balancer import Balancer
    from balancer.circuit_breaker import CircuitBreaker
from tests.support.reconfiguration import (
    BASE,
    ENDPOINTS,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    OTHER,
    endpoints_sent_to,
    learned_state,
    make_checker,
    respond_to_requests,
)


def breakers_by_endpoint(balancer: Balancer) -> dict[int, CircuitBreaker | None]:
    return {endpoint_id: state.breaker for endpoint_id, state in balancer.endpoints.states.items()}


def test_equal_settings_change_nothing() -> None:
    checker, twin = make_checker(), make_checker()
    for each in (checker, twin):
        respond_to_requests(each, 0, 0.1)
        request_id = each.request(1, 4.0)
    equal = replace(BASE, classes=tuple(replace(request_class) for request_class in BASE.classes))
    pools = checker.balancer.assignment.pools
    assert checker.balancer.reconfigure(checker.now, equal) == []
    assert checker.balancer.assignment.pools is pools
    assert learned_state(checker) == learned_state(twin)
    assert checker.finish_attempt(request_id, 0, Outcome.ERROR) == twin.finish_attempt(
        request_id, 0, Outcome.ERROR
    )
    for _ in range(20):  # the random numbers that follow are the same
        assert endpoints_sent_to(checker, checker.request(0, 4.0)) == endpoints_sent_to(
            twin, twin.request(0, 4.0)
        )


def test_learned_state_of_a_class_follows_its_name() -> None:
    checker = make_checker()
    respond_to_requests(checker, 0, 0.1)
    respond_to_requests(checker, 1, 0.3)
    before = learned_state(checker)
    assert before["idempotent"][0] < before["non-idempotent"][0]
    checker.reconfigure(
        replace(BASE, classes=(OTHER, replace(NON_IDEMPOTENT, latency_objective=3.0), IDEMPOTENT))
    )
    after = learned_state(checker)
    assert after["idempotent"] == before["idempotent"]
    assert after["non-idempotent"] == before["non-idempotent"]
    assert after["other"] == (0.0, 0, 0, 0)
    checker.reconfigure(BASE)
    assert learned_state(checker)["keyed"] == (0.0, 0, 0, 0)  # the class was removed in between


def test_response_to_a_removed_class_is_not_counted_for_another_class() -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    before, mean = learned_state(checker), checker.balancer.statistics.response_latency
    checker.advance(0.5)
    checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
    assert learned_state(checker) == before
    assert checker.balancer.statistics.response_latency == mean


def test_settings_without_a_common_class_reset_the_latency_statistics() -> None:
    checker = make_checker()
    respond_to_requests(checker, 0, 0.1, 40)
    assert checker.balancer.statistics.sample_count
    assert checker.balancer.statistics.response_baseline > 0.0
    checker.reconfigure(replace(BASE, classes=(OTHER,)))
    balancer = checker.balancer
    assert (
        balancer.statistics.tier_latency,
        balancer.statistics.tier_deviation,
        balancer.statistics.response_latency,
        balancer.statistics.response_baseline,
        balancer.statistics.latency_per_cost,
        balancer.statistics.sample_count,
    ) == (0.0, 0.0, 0.0, 0.0, 0.0, 0)


def test_endpoints_retain_their_breakers_tokens_and_status() -> None:
    checker = make_checker(replace(BASE, rules=RULES), [*ENDPOINTS[:5], Endpoint(9, started=99.0)])
    checker.update_endpoints(UpdateKind.DELTA, [replace(ENDPOINTS[0], status=EndpointStatus.DRAINING)])
    for _ in range(60):
        checker.request(0, 4.0)
        checker.advance(0.05)
    warming = checker.balancer.endpoints.states[9]
    breakers = breakers_by_endpoint(checker.balancer)
    tokens = warming.warmup_tokens
    assert warming.refilled_at > 0.0
    checker.reconfigure(replace(BASE, rules=RULES, classes=(OTHER,), fleet_size=2))
    assert breakers_by_endpoint(checker.balancer) == breakers
    assert warming.warmup_tokens == tokens
    for _ in range(60):  # the checker fails if one is sent to the draining endpoint
        checker.request(0, 4.0)


@pytest.mark.parametrize("ordinal", [0, 3, 6])
def test_subset_after_a_change_of_the_fleet_size_is_that_of_a_new_instance(ordinal: int) -> None:
    endpoints = [Endpoint(i) for i in range(40)]
    checker = make_checker(replace(BASE, fleet_size=2, ordinal=1), endpoints)
    resized = replace(BASE, fleet_size=7, ordinal=ordinal)
    checker.reconfigure(resized)
    new_balancer = make_checker(resized, endpoints).balancer

    def subset_of(balancer: Balancer) -> list[int]:
        return [state.endpoint.id for state in balancer.assignment.pools[0].subset]

    assert subset_of(checker.balancer) == subset_of(new_balancer)
    assert (
        checker.balancer.admission.shedding_strength,
        checker.balancer.admission.sole_proxy_allowance,
    ) == (
        new_balancer.admission.shedding_strength,
        new_balancer.admission.sole_proxy_allowance,
    )
