"""Checks of the requests that backends received: retries, drains, disconnected clients and timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.history import Execution, RequestOutcome, RetrySafety
from soak.violations import Rule, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.history import Arrival, Drain
    from soak.indexed_history import IndexedHistory

#: Seconds after the notification of a drain in which requests may still be sent to the backend: 0.25 of the
#: rule (`DrainGrace` in the settings), and 0.05 of delay on the sockets.
DRAIN_GRACE = 0.3
DISCONNECT_GRACE = 0.1  # seconds after a client's disconnect in which an attempt may still be sent
TIMEOUT_SLACK = 0.15  # seconds by which the timeout sent to a backend may exceed the client's remaining time
DEDUPLICATION_SLACK = 0.05  # seconds by which a retry may appear to be after the deduplication window


def check_retries(history: IndexedHistory, arrivals: list[Arrival]) -> Iterator[Violation]:
    """Check that no request was retried unsafely after it may have been executed.

    Args:
        history: The history of the run.
        arrivals: All arrivals of one request id, in the order of time.
    """
    requests = history.requests.get(arrivals[0].id, [])
    if not requests or requests[0].safety is RetrySafety.IDEMPOTENT:
        return
    possibly_executed = (each for each in arrivals if each.execution is not Execution.NOT_EXECUTED)
    first = next(possibly_executed, None)
    if first is None:
        return
    for arrival in arrivals:
        if arrival.received_at <= first.received_at:
            continue
        elapsed = arrival.received_at - first.received_at
        window = history.records.deduplication_window + DEDUPLICATION_SLACK
        window += history.slack(arrival.received_at, arrival.proxy)
        if requests[0].safety is RetrySafety.NON_IDEMPOTENT or elapsed > window:
            detail = f"request {arrival.id}: {first}, then {elapsed:.3f} s later {arrival}"
            yield Violation(Rule.UNSAFE_RETRY, arrival.received_at, detail)


def check_arrival(history: IndexedHistory, arrival: Arrival) -> Iterator[Violation]:
    """Check that an arrival's client still waited for a response, and that its timeout is not too long."""
    slack = history.slack(arrival.received_at, arrival.proxy)
    requests = [each for each in history.requests.get(arrival.id, []) if each.proxy == arrival.proxy]
    if not requests:
        return
    if all(each.outcome is RequestOutcome.DISCONNECTED for each in requests):
        elapsed = arrival.received_at - max(each.ended_at for each in requests)
        if elapsed > DISCONNECT_GRACE + slack:
            detail = f"{arrival}: its client disconnected {elapsed:.3f} s before"
            yield Violation(Rule.SENT_AFTER_DISCONNECT, arrival.received_at, detail)
    times_out_at = max(each.sent_at + each.timeout for each in requests)
    excess = arrival.timeout - (times_out_at - arrival.received_at)
    if excess > TIMEOUT_SLACK + slack:
        detail = f"{arrival}: a timeout {excess:.3f} s too long"
        yield Violation(Rule.TIMEOUT_TOO_LONG, arrival.received_at, detail)


def check_drain(history: IndexedHistory, drain: Drain) -> Iterator[Violation]:
    """Check that no proxy sent requests to a draining backend after the grace period.

    The grace period of a proxy begins when the proxy is notified of the drain.
    """
    for arrival in history.records.arrivals:
        if arrival.backend != drain.backend or arrival.began_at >= drain.ended_at:
            continue
        notified_at = drain.notified_at.get(arrival.proxy)
        if notified_at is None:
            continue
        excess = arrival.began_at - notified_at - DRAIN_GRACE
        if excess > history.slack(arrival.began_at, arrival.proxy):
            detail = f"{arrival}: {excess:.3f} s after the grace period that began at {notified_at:.3f}"
            yield Violation(Rule.SENT_TO_DRAINING_BACKEND, arrival.began_at, detail)
