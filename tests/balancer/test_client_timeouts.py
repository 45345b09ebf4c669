"""Client timeouts: until when an answer is of use, by the latency objective and the client's time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from balancer.events import Fail, IncomingRequest, Outcome, Reject, StartAttempt
from balancer.settings import Idempotency, Limits, RequestClass, Settings
from tests.support.balancer_helpers import IDEMPOTENT, NON_IDEMPOTENT, make_balancer

if TYPE_CHECKING:
    from balancer.balancer import Balancer


def test_attempts_end_at_the_latency_objective_where_late_answers_have_no_weight() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    [send] = balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert isinstance(send, StartAttempt)
    assert send.timeout == pytest.approx(0.98)
    [answer] = balancer.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98)
    assert isinstance(answer, Reject)


@pytest.mark.parametrize(("late_weight", "timeout"), [(0.0, 0.98), (0.3, 0.98), (0.5, 0.98), (0.8, 0.0)])
def test_attempts_run_to_the_deadline_where_late_answers_keep_most_of_their_weight(
    late_weight: float, timeout: float
) -> None:
    late = RequestClass(
        "a", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.IDEMPOTENT, late_weight=late_weight
    )
    [send] = make_balancer(Settings(classes=(late,))).on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert isinstance(send, StartAttempt)
    assert send.timeout == pytest.approx(timeout)


def first_actions(balancer: Balancer, timeouts: list[float]) -> list[type]:
    """Return the first action for attempts of clients that wait so long, a second apart."""
    actions = []
    for n, timeout in enumerate(timeouts):
        now = 200.0 + n
        actions.append(type(balancer.on_request(now, IncomingRequest(f"t{n}", deadline=now + timeout))[0]))
        balancer.on_attempt_finished(now + 0.01, f"t{n}", 0, Outcome.SUCCESS, 0.01, last=True)
    return actions


def test_a_clients_late_retry_is_rejected_at_once() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    # Only 2 s to go: its first attempt came 2 s ago, and its latency objective is past.
    assert first_actions(balancer, [3.0] * 5 + [2.0]) == [StartAttempt] * 5 + [Reject]


@pytest.mark.parametrize(("marks", "retry", "answer"), [(True, False, StartAttempt), (True, True, Reject)])
def test_a_short_timeout_means_a_retry_only_where_no_mark_says_otherwise(
    *, marks: bool, retry: bool, answer: type
) -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), clients_mark_retries=marks))
    first_actions(balancer, [3.0] * 5)
    assert isinstance(
        balancer.on_request(300.0, IncomingRequest("s", deadline=301.5, is_retry=retry))[0], answer
    )


def test_a_long_last_attempt_does_not_make_first_attempts_late() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,)))
    assert first_actions(balancer, [3.0] * 5 + [3.7, 3.0, 3.72, 3.0, 3.74, 3.0])[5:] == [StartAttempt] * 6


def test_a_lower_tier_keeps_to_the_deadline_that_its_caller_propagates() -> None:
    balancer = make_balancer(Settings(classes=(IDEMPOTENT,), tier=1, tier_count=2))
    assert isinstance(balancer.on_request(100.0, IncomingRequest("r", deadline=103.0))[0], StartAttempt)
    [send] = balancer.on_request(110.0, IncomingRequest("s", deadline=110.5))
    assert isinstance(send, StartAttempt)
    assert send.timeout == 0.0


def test_a_non_idempotent_request_that_may_have_run_fails_at_its_latency_objective() -> None:
    balancer = make_balancer(Settings(classes=(NON_IDEMPOTENT,), limits=Limits(max_attempts=4)))
    balancer.on_request(100.0, IncomingRequest("r", deadline=104.0))
    assert balancer.on_attempt_finished(100.98, "r", 0, Outcome.TIMEOUT, 0.98) == [Fail("r")]
