"""Reconfiguration: requests in flight may do only what the old and the new settings allow."""

from __future__ import annotations

from dataclasses import replace

import pytest

from balancer.endpoints import EndpointStatus, UpdateKind
from balancer.events import CancelAttempt, Fail, Outcome, StartAttempt
from balancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    RequestClass,
)
from tests.support.balancer_helpers import balancer_with_due_hedge
from tests.support.reconfiguration import (
    BASE,
    ENDPOINTS,
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    OTHER,
    endpoints_sent_to,
    make_checker,
)


@pytest.mark.parametrize(
    "order", [(NON_IDEMPOTENT, IDEMPOTENT, KEYED), (KEYED, OTHER, NON_IDEMPOTENT), (OTHER, IDEMPOTENT, KEYED)]
)
def test_request_retains_its_class_if_the_list_of_classes_changes(order: tuple[RequestClass, ...]) -> None:
    checker = make_checker()
    non_idempotent = checker.request(1, 4.0)
    idempotent = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, classes=order))
    assert checker.finish_attempt(non_idempotent, 0, Outcome.TIMEOUT) == [Fail(non_idempotent)]
    [retry] = checker.finish_attempt(idempotent, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)


@pytest.mark.parametrize("new_idempotency", [Idempotency.IDEMPOTENT, Idempotency.KEYED])
def test_non_idempotent_request_is_not_retried_although_the_new_class_allows_it(
    new_idempotency: Idempotency,
) -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(
        replace(
            BASE,
            classes=(
                IDEMPOTENT,
                replace(
                    NON_IDEMPOTENT,
                    idempotency=new_idempotency,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window=3.0,
                ),
            ),
        )
    )
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize("class_index", [0, 2])
@pytest.mark.parametrize("reloads", [1, 2])
def test_request_is_not_retried_if_a_new_class_has_forbidden_it(class_index: int, reloads: int) -> None:
    checker = make_checker()
    request_id = checker.request(class_index, 4.0)
    non_idempotent_classes = tuple(
        replace(each, idempotency=Idempotency.NON_IDEMPOTENT) for each in BASE.classes
    )
    checker.reconfigure(replace(BASE, classes=non_idempotent_classes))
    if reloads == 2:  # the original class is restored, but retries were forbidden in between
        checker.reconfigure(BASE)
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize(
    "restricted",
    [
        replace(KEYED, deduplication_scope=DeduplicationScope.CELL),
        replace(KEYED, deduplication_window=0.01),
    ],
)
def test_keyed_request_is_retried_only_within_the_scope_and_window_of_both_settings(
    restricted: RequestClass,
) -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT, restricted)))
    checker.advance(0.1)
    assert not any(
        isinstance(action, StartAttempt) for action in checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    )


def test_request_that_was_not_executed_is_retried_although_its_class_was_removed() -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(replace(BASE, classes=(OTHER,)))
    [retry] = checker.finish_attempt(request_id, 0, Outcome.UNREACHABLE)
    assert isinstance(retry, StartAttempt)
    assert checker.finish_attempt(request_id, 1, Outcome.SUCCESS) == []
    assert not checker.balancer.requests


def test_request_of_a_removed_class_is_not_cancelled_and_avoids_draining_endpoints() -> None:
    stated = replace(BASE, limits=Limits(cancel=True))
    checker = make_checker(stated)
    request_id = checker.request(0, 4.0)
    [first_endpoint] = endpoints_sent_to(checker, request_id)
    assert checker.balancer.reconfigure(checker.now, replace(stated, classes=(OTHER,))) == []
    only_ready = next(each for each in ENDPOINTS if each.id != first_endpoint)
    checker.update_endpoints(
        UpdateKind.DELTA,
        [replace(each, status=EndpointStatus.DRAINING) for each in ENDPOINTS if each != only_ready],
    )
    [retry] = checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)
    assert retry.endpoint == only_ready.id


@pytest.mark.parametrize(("before", "after", "attempts"), [(4, 2, 2), (2, 4, 2), (4, 4, 4)])
def test_number_of_attempts_is_limited_by_the_lower_of_both_limits(
    before: int, after: int, attempts: int
) -> None:
    checker = make_checker(replace(BASE, limits=Limits(max_attempts=before)))
    request_id = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, limits=Limits(max_attempts=after)))
    for number in range(6):
        if (request_id, number) in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.UNREACHABLE)
    assert len(endpoints_sent_to(checker, request_id)) == attempts


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True), (True, True), (False, False)])
def test_attempts_are_cancelled_only_if_both_settings_permit_it(*, before: bool, after: bool) -> None:
    checker = make_checker(replace(BASE, limits=Limits(cancel=before)))
    request_id = checker.request(0, 4.0)
    checker.balancer.reconfigure(checker.now, replace(BASE, limits=Limits(cancel=after)))
    assert checker.balancer.on_client_disconnected(checker.now, request_id) == [
        CancelAttempt(request_id, 0)
    ] * (before and after)


@pytest.mark.parametrize("forbids", ["limits", "class", "nothing"])
def test_due_hedged_request_is_not_sent_if_the_new_settings_forbid_it(forbids: str) -> None:
    balancer, timer = balancer_with_due_hedge(replace(BASE, limits=Limits(hedging=True)))
    allowed = balancer.settings
    if forbids == "limits":
        balancer.reconfigure(130.1, BASE)
    elif forbids == "class":
        balancer.reconfigure(
            130.1, replace(allowed, classes=(replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT),))
        )
    else:
        balancer.reconfigure(130.1, replace(allowed, classes=(IDEMPOTENT, OTHER)))
    assert len(balancer.on_timer(timer.at, timer.token)) == (forbids == "nothing")
