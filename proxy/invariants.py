"""Checks at run time, whenever attempts and responses are written, that the proxy's invariants hold.

The checks use only the attempts and responses that were written, not the state of the modules that make the
decisions, so that they detect faults of those modules. A violation is counted and logged, and changes nothing
else. This module owns the counts.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from balancer.settings import DeduplicationScope, Idempotency
from proxy.log import RateLimit
from proxy.logged_events import ViolationFound

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balancer.settings import RequestClass
    from proxy.event_log import EventLog
    from proxy.upstream import UpstreamAttempt

logger = logging.getLogger(__name__)

#: Seconds by which the timeout that is sent to a backend may exceed the time until the client's deadline.
TIMEOUT_SLACK = 0.15
#: Statuses that mean that the request did not run, so that the client may safely repeat it.
REJECTED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Invariant(StrEnum):
    """A rule that must hold at all times; each comment describes a violation."""

    SENT_AFTER_ANSWER = "sent_after_answer"  # an attempt was written when no response was pending any more
    SENT_OUT_OF_SERVICE = "sent_out_of_service"  # an attempt was written to a backend that is not in service
    REPEATED_UNSAFELY = "repeated_unsafely"  # forbidden repetition of a request that may have run
    TIMEOUT_TOO_LONG = "timeout_too_long"  # a backend got a timeout that ends after the client's deadline
    REJECTED_UNSAFELY = "rejected_unsafely"  # 429 or 503 for a request that may have run
    DROPPED_UNANSWERED = "dropped_unanswered"  # a connection was closed without a response to a request


class CheckedRequest(Protocol):
    """The fields of a request that the checks read; `ActiveRequest` has them."""

    @property
    def client_request_id(self) -> bytes:
        """The id that the client gave it."""

    @property
    def request_class(self) -> RequestClass:
        """Its class when it was accepted, restricted by later settings."""

    @property
    def response_sink(self) -> object | None:
        """The receiver of its final response; None once that is sent or the client disconnected."""

    @property
    def client_deadline(self) -> float:
        """The event loop's time until which the client waits."""

    @property
    def attempts(self) -> Sequence[UpstreamAttempt]:
        """All its attempts, in the order in which they were started."""


class InvariantMonitor:
    """Counts violations and logs them.

    Attributes:
        violations: The number of violations of each invariant.
    """

    def __init__(self, event_log: EventLog) -> None:
        self.violations: Counter[Invariant] = Counter()
        self._event_log = event_log
        self._log_limit = RateLimit()

    def on_written(
        self, now: float, active_request: CheckedRequest, attempt: UpstreamAttempt, timeout: float
    ) -> None:
        """Check an attempt whose first byte was just written.

        Args:
            now: The event loop's time.
            active_request: The request of the attempt.
            attempt: The attempt.
            timeout: Seconds that were sent to its backend as the timeout.
        """
        if active_request.response_sink is None:
            self.report(Invariant.SENT_AFTER_ANSWER, active_request.client_request_id)
        if not attempt.backend.in_service:
            self.report(Invariant.SENT_OUT_OF_SERVICE, active_request.client_request_id)
        if timeout > active_request.client_deadline - now + TIMEOUT_SLACK:
            self.report(Invariant.TIMEOUT_TOO_LONG, active_request.client_request_id)
        if len(active_request.attempts) > 1 and not _may_repeat(now, active_request, attempt):
            self.report(Invariant.REPEATED_UNSAFELY, active_request.client_request_id)

    def on_response(self, active_request: CheckedRequest, status: int) -> None:
        """Check a final response that is about to be written."""
        if status not in REJECTED_STATUSES:
            return
        request_class = active_request.request_class
        has_key = request_class.idempotency is Idempotency.KEYED
        deduplicated = has_key and request_class.deduplication_scope is DeduplicationScope.ALL
        safe_to_repeat = deduplicated or request_class.idempotency is Idempotency.IDEMPOTENT
        if not safe_to_repeat and any(attempt.may_have_run() for attempt in active_request.attempts):
            self.report(Invariant.REJECTED_UNSAFELY, active_request.client_request_id)

    def report(self, invariant: Invariant, client_request_id: bytes) -> None:
        """Count a violation and log it."""
        self.violations[invariant] += 1
        request_id = client_request_id.decode("latin-1")
        self._event_log.record(ViolationFound(rule=invariant, id=request_id))
        if self._log_limit.allows(asyncio.get_running_loop().time()):
            logger.error("violation: %s, request %s", invariant, request_id)

    def summary(self) -> str:
        """Return the counts as one line of text, which is empty if there was no violation."""
        return ", ".join(f"{invariant} {count}" for invariant, count in sorted(self.violations.items()))


def _may_repeat(now: float, active_request: CheckedRequest, attempt: UpstreamAttempt) -> bool:
    """Return whether an attempt that was just written is allowed, although other attempts may have run."""
    request_class = active_request.request_class
    others = [other for other in active_request.attempts if other is not attempt and other.may_have_run()]
    if not others or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    elapsed = now - min(other.written_at or 0.0 for other in others)
    return request_class.idempotency is Idempotency.KEYED and elapsed < request_class.deduplication_window
