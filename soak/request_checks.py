"""Checks of the responses that clients received: each request has a genuine response, in time."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from soak.history import Execution, RequestOutcome, RetrySafety
from soak.violations import Rule, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.history import Request
    from soak.indexed_history import IndexedHistory

RESPONSE_SLACK = 0.5  # seconds after its client's timeout until which a response counts as in time
REJECTION_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
#: Smallest fraction of the complete close-delimited responses that the proxies have to forward, among those
#: whose clients received a response.
MIN_FORWARDED_FRACTION = 0.5


def check_request(history: IndexedHistory, request: Request) -> Iterator[Violation]:
    """Check how one request ended for its client."""
    due_at = max(request.sent_at + request.timeout, request.response_due_at) + RESPONSE_SLACK
    label = _label(request)
    if request.outcome is RequestOutcome.TIMED_OUT and not history.is_excused(request):
        yield Violation(Rule.NO_RESPONSE, due_at, f"{label}: no response")
    elif request.outcome is RequestOutcome.CONNECTION_CLOSED and _is_lost(history, request):
        detail = f"{label}: closed at {request.ended_at:.3f}, no response"
        yield Violation(Rule.NO_RESPONSE, request.ended_at, detail)
    elif request.outcome is RequestOutcome.RESPONDED:
        if request.ended_at > due_at + history.slack(request.ended_at, request.proxy):
            detail = f"{label}: response {request.ended_at - due_at:.3f} s late"
            yield Violation(Rule.LATE_RESPONSE, request.ended_at, detail)
        yield from _check_response(history, request)


def _check_response(history: IndexedHistory, request: Request) -> Iterator[Violation]:
    """Check that a response is genuine, and that no executed request was rejected."""
    label = _label(request)
    if request.status == HTTPStatus.OK and not request.body_is_genuine:
        yield Violation(
            Rule.FORGED_RESPONSE, request.ended_at, f"{label}: a body that no backend produced for it"
        )
    if request.status in REJECTION_STATUSES and request.safety is RetrySafety.NON_IDEMPOTENT:
        possibly_executed = [
            each
            for each in history.arrivals.get(request.id, [])
            if each.execution is not Execution.NOT_EXECUTED
        ]
        if possibly_executed:
            detail = f"{label}: {request.status} after {possibly_executed[0]}"
            yield Violation(Rule.REJECTED_AFTER_EXECUTION, request.ended_at, detail)


def _label(request: Request) -> str:
    return f"request {request.id} at proxy {request.proxy}, sent {request.sent_at:.3f}"


def _is_lost(history: IndexedHistory, request: Request) -> bool:
    """Return whether a request whose connection ended without a response counts as lost.

    A proxy may close an idle connection that has served earlier requests before it reads the next request.
    The client then retries the request, and it is not lost. The proxy has read the request if a backend
    received it from this proxy.
    """
    if history.is_excused(request):
        return False
    was_read = any(
        arrival.proxy == request.proxy and request.began_at <= arrival.received_at <= request.ended_at
        for arrival in history.arrivals.get(request.id, [])
    )
    return was_read or (request.new_connection and not request.pipelined)


def check_close_delimited(history: IndexedHistory) -> Iterator[Violation]:
    """Check that clients received at least half of the complete responses that had no Content-Length."""
    completed = [each for each in history.records.arrivals if not each.has_length and each.response_completed]
    responded = [
        request
        for each in completed
        for request in history.requests.get(each.id, [])
        if request.proxy == each.proxy and request.outcome is RequestOutcome.RESPONDED
    ]
    forwarded_count = sum(request.status == HTTPStatus.OK for request in responded)
    if forwarded_count < len(responded) * MIN_FORWARDED_FRACTION:
        detail = f"{forwarded_count} of {len(responded)} responses without a length were forwarded"
        yield Violation(Rule.CLOSE_DELIMITED_RESPONSES_LOST, 0.0, detail)
