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
    make_checker,
    sent,
)


@pytest.mark.parametrize(
    "order", [(NON_IDEMPOTENT, IDEMPOTENT, KEYED), (KEYED, OTHER, NON_IDEMPOTENT), (OTHER, IDEMPOTENT, KEYED)]
)
def test_a_request_keeps_its_class_when_the_list_of_them_changes(order: tuple[RequestClass, ...]) -> None:
    checker = make_checker()
    once = checker.request(1, 4.0)
    safe = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, classes=order))
    assert checker.finish_attempt(once, 0, Outcome.TIMEOUT) == [Fail(once)]
    [retry] = checker.finish_attempt(safe, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)


@pytest.mark.parametrize("then", [Idempotency.IDEMPOTENT, Idempotency.KEYED])
def test_what_may_have_run_is_not_retried_though_the_new_class_allows_it(then: Idempotency) -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(
        replace(
            BASE,
            classes=(
                IDEMPOTENT,
                replace(
                    NON_IDEMPOTENT,
                    idempotency=then,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window=3.0,
                ),
            ),
        )
    )
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize("first", [0, 2])
@pytest.mark.parametrize("swaps", [1, 2])
def test_what_the_new_class_no_longer_allows_is_not_retried(first: int, swaps: int) -> None:
    checker = make_checker()
    request_id = checker.request(first, 4.0)
    strict = tuple(replace(row, idempotency=Idempotency.NON_IDEMPOTENT) for row in BASE.classes)
    checker.reconfigure(replace(BASE, classes=strict))
    if swaps == 2:  # back again: it was forbidden meanwhile
        checker.reconfigure(BASE)
    assert checker.finish_attempt(request_id, 0, Outcome.TIMEOUT) == [Fail(request_id)]


@pytest.mark.parametrize(
    "stricter",
    [
        replace(KEYED, deduplication_scope=DeduplicationScope.CELL),
        replace(KEYED, deduplication_window=0.01),
    ],
)
def test_a_keyed_request_is_retried_only_where_both_settings_allow_it(stricter: RequestClass) -> None:
    checker = make_checker()
    request_id = checker.request(2, 4.0)
    checker.reconfigure(replace(BASE, classes=(IDEMPOTENT, NON_IDEMPOTENT, stricter)))
    checker.advance(0.1)
    assert not any(
        isinstance(action, StartAttempt) for action in checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    )


def test_what_never_ran_is_retried_though_its_class_was_removed() -> None:
    checker = make_checker()
    request_id = checker.request(1, 4.0)
    checker.reconfigure(replace(BASE, classes=(OTHER,)))
    [retry] = checker.finish_attempt(request_id, 0, Outcome.UNREACHABLE)
    assert isinstance(retry, StartAttempt)
    assert checker.finish_attempt(request_id, 1, Outcome.SUCCESS) == []
    assert not checker.balancer.requests


def test_a_request_of_a_removed_class_is_not_cancelled_and_avoids_draining_endpoints() -> None:
    stated = replace(BASE, limits=Limits(cancel=True))
    checker = make_checker(stated)
    request_id = checker.request(0, 4.0)
    [first] = sent(checker, request_id)
    assert checker.balancer.reconfigure(checker.now, replace(stated, classes=(OTHER,))) == []
    only_ready = next(row for row in ENDPOINTS if row.id != first)
    checker.update_endpoints(
        UpdateKind.DELTA,
        [replace(row, status=EndpointStatus.DRAINING) for row in ENDPOINTS if row != only_ready],
    )
    [retry] = checker.finish_attempt(request_id, 0, Outcome.TIMEOUT)
    assert isinstance(retry, StartAttempt)
    assert retry.endpoint == only_ready.id


@pytest.mark.parametrize(("before", "after", "tries"), [(4, 2, 2), (2, 4, 2), (4, 4, 4)])
def test_attempts_are_limited_by_the_lower_of_both_limits(before: int, after: int, tries: int) -> None:
    checker = make_checker(replace(BASE, limits=Limits(max_attempts=before)))
    request_id = checker.request(0, 4.0)
    checker.reconfigure(replace(BASE, limits=Limits(max_attempts=after)))
    for number in range(6):
        if (request_id, number) in checker.open_attempts():
            checker.finish_attempt(request_id, number, Outcome.UNREACHABLE)
    assert len(sent(checker, request_id)) == tries


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True), (True, True), (False, False)])
def test_cancelling_has_to_be_permitted_by_both_settings(*, before: bool, after: bool) -> None:
    checker = make_checker(replace(BASE, limits=Limits(cancel=before)))
    request_id = checker.request(0, 4.0)
    checker.balancer.reconfigure(checker.now, replace(BASE, limits=Limits(cancel=after)))
    assert checker.balancer.on_client_disconnected(checker.now, request_id) == [
        CancelAttempt(request_id, 0)
    ] * (before and after)


@pytest.mark.parametrize("forbids", ["limits", "class", "nothing"])
def test_a_due_hedged_request_is_not_sent_where_the_new_settings_forbid_it(forbids: str) -> None:
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
