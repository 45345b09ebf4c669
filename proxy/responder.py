"""Sends the one final answer to each request.

It owns the answers that the proxy itself gives: their status and body. Which answer a request gets is up to
the balancer and the dispatcher; the bytes on the wire are up to `proxy.downstream`.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from balancer.events import Outcome, Reject
from proxy.logged_events import ResponseSent

if TYPE_CHECKING:
    from proxy.active_request import ActiveRequest
    from proxy.event_log import EventLog
    from proxy.invariants import InvariantMonitor
    from proxy.request_registry import RequestRegistry


# Bodies of the answers that are not a backend's response.
REJECTED_BODY = b"refused\n"  # the balancer rejected the request
FAILED_BODY = b"failed\n"  # the request may have run
CLIENT_ERROR_BODY = b"rejected\n"  # a backend found the request itself at fault

# Python 3.11 is slow to look a member up in its class, and an overloaded proxy rejects many requests.
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = HTTPStatus.GATEWAY_TIMEOUT
BAD_GATEWAY = HTTPStatus.BAD_GATEWAY


class Responder:
    """Answers active requests, each once."""

    def __init__(self, registry: RequestRegistry, monitor: InvariantMonitor, event_log: EventLog) -> None:
        self._registry = registry
        self._monitor = monitor
        self._event_log = event_log

    def respond(
        self, active: ActiveRequest, status: int, headers: bytes, body: bytes, reason: str = ""
    ) -> None:
        """Send the final answer, if one is still pending.

        Args:
            active: The request.
            status: The status code of the response.
            headers: Its end-to-end headers, each with its line end.
            body: Its complete body.
            reason: Why the request is rejected, for the event log.
        """
        response_sink = active.response_sink
        if response_sink is not None:
            self._monitor.on_response(active, status)
            if self._event_log.enabled:
                self._event_log.record(ResponseSent(id=active.logged_id, status=status, reason=reason))
        self._registry.settle(active)
        if response_sink is not None:
            response_sink.send_response(status, headers, body)

    def reject(self, active: ActiveRequest, action: Reject) -> None:
        """Answer that the request was rejected, so that the client may repeat it without harm."""
        headers = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
        self.respond(active, SERVICE_UNAVAILABLE, headers, REJECTED_BODY, action.reason.value)

    def return_client_error(self, active: ActiveRequest, status: int) -> None:
        """Answer with the status by which a backend found the request itself at fault."""
        self.respond(active, status, b"", CLIENT_ERROR_BODY)

    def fail(self, active: ActiveRequest) -> None:
        """Answer that the request failed, without a promise on whether it ran."""
        status = GATEWAY_TIMEOUT if active.last_outcome is Outcome.TIMEOUT else BAD_GATEWAY
        self.respond(active, status, b"", FAILED_BODY)
