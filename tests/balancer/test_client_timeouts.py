"""Client timeouts: until when a response is useful, by the latency objective and the client's deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from balancer.events import Fail, IncomingRequest, Outcome, Reject, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from tests.support.balancer_helpers import IDEMPOTENT, NON_IDEMPOTENT, make_balancer

if TYPE_CHECKING:
    from balancer.balancer import Balancer


def test_attempts_end_at_the_latency_objective_where_late_responses_have_no_weight() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    [start] = balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert isinstance(start, StartAttempt)
    assert start.timeout == pytest.approx(0.98)
    [action] = balancer.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98)
    assert isinstance(action, Reject)


@pytest.mark.parametrize(("late_weight", "timeout"), [(0.0, 0.98), (0.3, 0.98), (0.5, 0.98), (0.8, 0.0)])
def test_attempts_last_until_the_deadline_where_late_responses_keep_most_of_their_weight(
    late_weight: float, timeout: float
) -> None:
    late = RequestClass(
        "a", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT, late_weight=late_weight
    )
    [start] = make_balancer(Settings(classes=(late,))).on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert isinstance(start, StartAttempt)
    assert start.timeout == pytest.approx(timeout)


def first_actions(balancer: Balancer, timeouts: list[float]) -> list[type]:
    """Send requests with these timeouts, one per second, and return the first action for each."""
    actions = []
    for number, timeout in enumerate(timeouts):
        now = 200.0 + number
        actions.append(
            type(balancer.on_request(now, IncomingRequest(f"t{number}", deadline=now + timeout))[0])
        )
        balancer.on_attempt_finished(now + 0.01, f"t{number}", 0, Outcome.SUCCESS, 0.01, last=True)
    return actions


def test_a_retry_after_the_latency_objective_is_rejected_immediately() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    # With 2 s left of 4 s, the client's first attempt was 2 s ago: the latency objective is over.
    assert first_actions(balancer, [3.0] * 5 + [2.0]) == [StartAttempt] * 5 + [Reject]


@pytest.mark.parametrize(
    ("clients_mark_retries", "is_retry", "expected_action"),
    [(True, False, StartAttempt), (True, True, Reject)],
)
def test_a_short_timeout_of_an_unmarked_request_is_no_retry_where_clients_mark_retries(
    *, clients_mark_retries: bool, is_retry: bool, expected_action: type
) -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), clients_mark_retries=clients_mark_retries))
    first_actions(balancer, [3.0] * 5)
    assert isinstance(
        balancer.on_request(300.0, IncomingRequest("s", deadline=301.5, is_retry=is_retry))[0],
        expected_action,
    )


def test_rare_longer_timeouts_do_not_reject_first_attempts() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    assert first_actions(balancer, [3.0] * 5 + [3.7, 3.0, 3.72, 3.0, 3.74, 3.0])[5:] == [StartAttempt] * 6


def test_a_lower_tier_uses_the_deadline_that_its_caller_propagates() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), tier=1, tier_count=2))
    assert isinstance(balancer.on_request(100.0, IncomingRequest("r", deadline=103.0))[0], StartAttempt)
    [start] = balancer.on_request(110.0, IncomingRequest("s", deadline=110.5))
    assert isinstance(start, StartAttempt)
    assert start.timeout == 0.0


def test_a_non_idempotent_request_that_may_have_run_fails_at_its_latency_objective() -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,), limits=Limits(max_attempts=4)))
    balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert balancer.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98) == [Fail("r")]
