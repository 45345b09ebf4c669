"""Sends the one final response to each request.

It owns the status and the body of the responses that the proxy generates itself. The balancer and the
dispatcher decide which response a request gets; `proxy.downstream` writes it to the client.
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
    from proxy.response_sink import ResponseSink


# Bodies of the responses that the proxy generates itself.
REJECTED_BODY = b"refused\n"  # the balancer rejected the request
FAILED_BODY = b"failed\n"  # the request may have run
CLIENT_ERROR_BODY = b"rejected\n"  # a backend reported a fault of the request itself

# Constants, as Python 3.11 looks up enum members slowly, and an overloaded proxy rejects many requests.
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = HTTPStatus.GATEWAY_TIMEOUT
BAD_GATEWAY = HTTPStatus.BAD_GATEWAY


class Responder:
    """Sends one final response to each active request."""

    def __init__(self, registry: RequestRegistry, monitor: InvariantMonitor, event_log: EventLog) -> None:
        self._registry = registry
        self._monitor = monitor
        self._event_log = event_log

    def respond(
        self,
        active_request: ActiveRequest,
        status: int,
        headers: bytes,
        body: bytes | bytearray,
        reason: str = "",
    ) -> None:
        """Send the final response, if it is still pending.

        Args:
            active_request: The request.
            status: The status code of the response.
            headers: Its end-to-end headers, each with its line end.
            body: Its complete body.
            reason: The reason of a rejection for the event log, else empty.
        """
        response_sink = active_request.response_sink
        if response_sink is not None:
            self._monitor.on_response(active_request, status)
            if self._event_log.enabled:
                self._event_log.record(
                    ResponseSent(id=active_request.logged_id, status=status, reason=reason)
                )
            self._watch_delivery(active_request, response_sink)
        self._registry.clear_response_sink(active_request)
        if response_sink is not None:
            response_sink.send_response(status, headers, body)

    def _watch_delivery(self, active_request: ActiveRequest, response_sink: ResponseSink) -> None:
        """Prepare for a client that leaves before it has read its response, and sends the same id again."""
        if not active_request.must_not_repeat():
            return
        if response_sink.has_disconnected():
            active_request.is_abandoned = True
        else:
            unconfirmed_responses = self._registry.unconfirmed_responses
            unconfirmed_responses.add(response_sink, active_request.client_request_id)

    def reject(self, active_request: ActiveRequest, action: Reject) -> None:
        """Respond that the request was rejected, so that the client may safely repeat it."""
        headers = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
        self.respond(active_request, SERVICE_UNAVAILABLE, headers, REJECTED_BODY, action.reason.value)

    def return_client_error(self, active_request: ActiveRequest, status: int) -> None:
        """Respond with the status by which a backend reported a fault of the request itself."""
        self.respond(active_request, status, b"", CLIENT_ERROR_BODY)

    def fail(self, active_request: ActiveRequest) -> None:
        """Respond that the request failed; whether it has run is unknown."""
        status = GATEWAY_TIMEOUT if active_request.last_outcome is Outcome.TIMEOUT else BAD_GATEWAY
        self.respond(active_request, status, b"", FAILED_BODY)
