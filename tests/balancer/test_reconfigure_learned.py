"""Reconfiguration: what was learned stays with the names of classes, and with the endpoints."""

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
from tests.support.reconfiguration import (
    BASE,
    ENDPOINTS,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    OTHER,
    learned,
    make_checker,
    respond_to_requests,
    sent,
)


def test_equal_settings_change_nothing() -> None:
    checker, twin = make_checker(), make_checker()
    for one in (checker, twin):
        respond_to_requests(one, 0, 0.1)
        request_id = one.request(1, 4.0)
    equal = replace(BASE, classes=tuple(replace(row) for row in BASE.classes))
    pools = checker.balancer.assignment.pools
    assert checker.balancer.reconfigure(checker.now, equal) == []
    assert checker.balancer.assignment.pools is pools
    assert learned(checker) == learned(twin)
    assert checker.finish_attempt(request_id, 0, Outcome.ERROR) == twin.finish_attempt(
        request_id, 0, Outcome.ERROR
    )
    for _ in range(20):  # the same random numbers follow
        assert sent(checker, checker.request(0, 4.0)) == sent(twin, twin.request(0, 4.0))


def test_what_was_learned_of_a_class_stays_with_its_name() -> None:
    checker = make_checker()
    respond_to_requests(checker, 0, 0.1)
    respond_to_requests(checker, 1, 0.3)
    before = learned(checker)
    assert before["idempotent"][0] < before["non-idempotent"][0]
    checker.reconfigure(
        replace(BASE, classes=(OTHER, replace(NON_IDEMPOTENT, latency_objective=3.0), IDEMPOTENT))
    )
    after = learned(checker)
    assert after["idempotent"] == before["idempotent"]
    assert after["non-idempotent"] == before["non-idempotent"]
    assert after["other"] == (0.0, 0, 0, 0)
    checker.reconfigure(BASE)
    assert learned(checker)["keyed"] == (0.0, 0, 0, 0)  # it was gone meanwhile


def test_an_answer_to_a_removed_class_is_not_counted_for_another() -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT)))
    before, mean = learned(checker), checker.balancer.statistics.response_latency
    checker.advance(0.5)
    checker.finish_attempt(request_id, 0, Outcome.SUCCESS)
    assert learned(checker) == before
    assert checker.balancer.statistics.response_latency == mean


def test_settings_without_a_common_class_begin_with_no_baseline() -> None:
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


def test_endpoints_keep_their_breakers_tokens_and_status() -> None:
    checker = make_checker(replace(BASE, rules=RULES), [*ENDPOINTS[:5], Endpoint(9, started=99.0)])
    checker.update_endpoints(UpdateKind.DELTA, [replace(ENDPOINTS[0], status=EndpointStatus.DRAINING)])
    for _ in range(60):
        checker.request(0, 4.0)
        checker.advance(0.05)
    known = checker.balancer.endpoints.states[9]
    breakers = {server: entry.breaker for server, entry in checker.balancer.endpoints.states.items()}
    tokens = known.warmup_tokens
    assert known.refilled_at > 0.0
    checker.reconfigure(replace(BASE, rules=RULES, classes=(OTHER,), fleet_size=2))
    assert {server: entry.breaker for server, entry in checker.balancer.endpoints.states.items()} == breakers
    assert known.warmup_tokens == tokens
    for _ in range(60):  # the checker sees to it that none goes to the one that drains
        checker.request(0, 4.0)


@pytest.mark.parametrize("ordinal", [0, 3, 6])
def test_another_fleet_size_moves_the_subset(ordinal: int) -> None:
    endpoints = [Endpoint(i) for i in range(40)]
    checker = make_checker(replace(BASE, fleet_size=2, ordinal=1), endpoints)
    resized = replace(BASE, fleet_size=7, ordinal=ordinal)
    checker.reconfigure(resized)
    anew = make_checker(resized, endpoints).balancer

    def subset_of(balancer: Balancer) -> list[int]:
        return [server.endpoint.id for server in balancer.assignment.pools[0].subset]

    assert subset_of(checker.balancer) == subset_of(anew)
    assert (
        checker.balancer.admission.shedding_strength,
        checker.balancer.admission.sole_proxy_allowance,
    ) == (
        anew.admission.shedding_strength,
        anew.admission.sole_proxy_allowance,
    )
