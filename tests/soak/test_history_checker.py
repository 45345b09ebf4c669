"""Tests of the history checker: for each rule, a history that violates it and a similar one that does not."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from soak.history import (
    NEVER,
    Arrival,
    Drain,
    Execution,
    History,
    ProxyIncarnation,
    Request,
    RequestOutcome,
    RetrySafety,
    SchedulingDelay,
    StalledClient,
    TimeSpan,
)
from soak.history_checker import HistoryChecker
from soak.violations import Rule

if TYPE_CHECKING:
    from collections.abc import Callable

SENT_AT = 100.0


def responded_request(
    safety: RetrySafety = RetrySafety.NON_IDEMPOTENT, status: int = 200, ended_at: float = 100.5
) -> Request:
    """Return a request that received a response, the first on its connection."""
    return Request(
        "r1",
        safety,
        proxy=0,
        timeout=1.0,
        began_at=SENT_AT,
        sent_at=SENT_AT,
        new_connection=True,
        ended_at=ended_at,
        outcome=RequestOutcome.RESPONDED,
        status=status,
    )


def request_without_response(outcome: RequestOutcome, at: float) -> Request:
    """Return a request that received no response."""
    return replace(responded_request(), outcome=outcome, ended_at=at, status=0)


def closed_after_reuse() -> Request:
    """Return a request without a response on a connection that had served earlier requests."""
    return replace(request_without_response(RequestOutcome.CONNECTION_CLOSED, 100.3), new_connection=False)


def arrival(
    at: float = 100.1,
    timeout: float = 0.9,
    execution: Execution = Execution.CONFIRMED,
    backend: str = "a",
) -> Arrival:
    """Return the arrival of the request at a backend."""
    return Arrival(
        "r1",
        proxy=0,
        backend=backend,
        began_at=at,
        received_at=at,
        timeout=timeout,
        execution=execution,
        response_completed=True,
    )


def incarnation(**changed: object) -> ProxyIncarnation:
    """Return a process that runs during the complete history, with some attributes changed."""
    return replace(ProxyIncarnation(0, 50.0, 51.0), **changed)  # type: ignore[arg-type]


def history(
    requests: list[Request] | None = None,
    arrivals: list[Arrival] | None = None,
    *,
    drains: list[Drain] | None = None,
    incarnations: list[ProxyIncarnation] | None = None,
    stalled_clients: list[StalledClient] | None = None,
    scheduling_delays: list[SchedulingDelay] | None = None,
) -> History:
    """Return the history of one successful request, with the given records in place of the default ones."""
    return History(
        [responded_request()] if requests is None else requests,
        [arrival()] if arrivals is None else arrivals,
        drains or [],
        incarnations or [incarnation()],
        stalled_clients or [],
        scheduling_delays or [],
        deduplication_window=0.5,
    )


def with_idempotency_key() -> list[Request]:
    """Return one successful request with an idempotency key."""
    return [responded_request(RetrySafety.KEYED)]


def close_delimited(status: int) -> History:
    """Return the history of a complete response without a Content-Length.

    Args:
        status: The status of the response that the client received from the proxy.
    """
    return history([responded_request(status=status)], [replace(arrival(), has_length=False)])


#: By case: the rule, a history that violates it, and a history that does not.
CASES: dict[str, tuple[Rule, Callable[[], History], Callable[[], History]]] = {
    "no response": (
        Rule.NO_RESPONSE,
        lambda: history([request_without_response(RequestOutcome.TIMED_OUT, 101.7)]),
        lambda: history(
            [request_without_response(RequestOutcome.TIMED_OUT, 101.7)],
            incarnations=[incarnation(killed_at=101.0, ended_at=101.0, exit_code=-9)],
        ),
    ),
    "connection closed": (
        Rule.NO_RESPONSE,
        lambda: history([request_without_response(RequestOutcome.CONNECTION_CLOSED, 100.3)]),
        lambda: history([closed_after_reuse()], arrivals=[]),
    ),
    "connection closed after it was read": (
        Rule.NO_RESPONSE,
        lambda: history([closed_after_reuse()]),
        lambda: history([closed_after_reuse()], [arrival(100.4, timeout=0.5)]),
    ),
    "killed after SIGTERM": (
        Rule.NO_RESPONSE,
        lambda: history(
            [request_without_response(RequestOutcome.TIMED_OUT, 101.7)],
            incarnations=[incarnation(terminated_at=99.0, killed_at=101.0, ended_at=101.0, exit_code=-9)],
        ),
        lambda: history(
            [request_without_response(RequestOutcome.TIMED_OUT, 101.7)],
            incarnations=[incarnation(terminated_at=99.5, killed_at=101.0, ended_at=101.0, exit_code=-9)],
        ),
    ),
    "late response": (
        Rule.LATE_RESPONSE,
        lambda: history([responded_request(ended_at=101.6)]),
        lambda: history([responded_request(ended_at=101.6)], scheduling_delays=[SchedulingDelay(101.5, 0.1)]),
    ),
    "late, in a pipeline": (
        Rule.LATE_RESPONSE,
        lambda: history([replace(responded_request(ended_at=101.9), response_due_at=101.2)]),
        lambda: history([replace(responded_request(ended_at=101.9), response_due_at=101.5)]),
    ),
    "forged response": (
        Rule.FORGED_RESPONSE,
        lambda: history([replace(responded_request(), body_is_genuine=False)]),
        lambda: history([replace(responded_request(status=502), body_is_genuine=False)]),
    ),
    "rejected after it was executed": (
        Rule.REJECTED_AFTER_EXECUTION,
        lambda: history([responded_request(status=503)]),
        lambda: history([responded_request(status=503)], [arrival(execution=Execution.NOT_EXECUTED)]),
    ),
    "executed twice": (
        Rule.UNSAFE_RETRY,
        lambda: history(arrivals=[arrival(), arrival(100.2)]),
        lambda: history(arrivals=[arrival(execution=Execution.NOT_EXECUTED), arrival(100.2)]),
    ),
    "repeated after the deduplication window": (
        Rule.UNSAFE_RETRY,
        lambda: history(with_idempotency_key(), [arrival(), arrival(100.75)]),
        lambda: history(with_idempotency_key(), [arrival(), arrival(100.55, timeout=0.4)]),
    ),
    "drain": (
        Rule.SENT_TO_DRAINING_BACKEND,
        lambda: history(drains=[Drain("a", {0: 99.7})]),
        lambda: history(drains=[Drain("a", {0: 99.8}), Drain("a", {0: 99.0}, 100.0), Drain("b", {0: 99.0})]),
    ),
    "sent after its client disconnected": (
        Rule.SENT_AFTER_DISCONNECT,
        lambda: history(
            [request_without_response(RequestOutcome.DISCONNECTED, 100.1)], [arrival(100.3, timeout=0.7)]
        ),
        lambda: history(
            [request_without_response(RequestOutcome.DISCONNECTED, 100.1)],
            [arrival(100.3, timeout=0.7)],
            incarnations=[incarnation(paused=[TimeSpan(100.1, 100.24)])],
        ),
    ),
    "timeout too long": (
        Rule.TIMEOUT_TOO_LONG,
        lambda: history(arrivals=[arrival(100.5, timeout=0.8)]),
        lambda: history(arrivals=[arrival(100.5, timeout=0.6)]),
    ),
    "unexpected exit": (
        Rule.UNEXPECTED_EXIT,
        lambda: history(incarnations=[incarnation(ended_at=120.0, exit_code=0)]),
        lambda: history(incarnations=[incarnation(terminated_at=119.0, ended_at=120.0, exit_code=0)]),
    ),
    "exit with an error": (
        Rule.UNEXPECTED_EXIT,
        lambda: history(incarnations=[incarnation(terminated_at=119.0, ended_at=120.0, exit_code=1)]),
        lambda: history(incarnations=[incarnation(killed_at=119.0, ended_at=120.0, exit_code=-9)]),
    ),
    "memory": (
        Rule.MEMORY_EXCEEDED,
        lambda: history(incarnations=[incarnation(memory_limit=32 << 20, peak_resident=(32 << 20) + 1)]),
        lambda: history(incarnations=[incarnation(memory_limit=32 << 20, peak_resident=32 << 20)]),
    ),
    "not ready": (
        Rule.NOT_READY,
        lambda: history(incarnations=[incarnation(ready_at=61.0), incarnation(ready_at=NEVER)]),
        lambda: history(
            incarnations=[incarnation(ready_at=NEVER, killed_at=55.0, ended_at=55.0, exit_code=-9)]
        ),
    ),
    "stalled client": (
        Rule.STALLED_CLIENT_NOT_CLOSED,
        lambda: history(stalled_clients=[StalledClient(0, 100.0, 103.2)]),
        lambda: history(stalled_clients=[StalledClient(0, 100.0, 103.0)]),
    ),
    "error logged": (
        Rule.ERROR_LOGGED,
        lambda: history(incarnations=[incarnation(log=["Traceback (most recent call last):"])]),
        lambda: history(incarnations=[incarnation(log=["proxy: reload: version 2 is in force"])]),
    ),
    "response without a length": (
        Rule.CLOSE_DELIMITED_RESPONSES_LOST,
        lambda: close_delimited(502),
        lambda: close_delimited(200),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_checker_reports_a_violation_but_not_a_similar_allowed_history(name: str) -> None:
    rule, violating, satisfying = CASES[name]
    assert rule in {violation.rule for violation in HistoryChecker(violating()).violations()}
    assert HistoryChecker(satisfying()).violations() == []


def test_every_rule_is_tested() -> None:
    assert {rule for rule, _, _ in CASES.values()} == set(Rule)
