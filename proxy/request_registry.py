"""The active requests of the proxy, and the request ids that clients use for them.

It owns both sets. The dispatcher adds requests; the dispatcher and the responder report their end.
`abandoned_ids` has the ids that must not run again after their request has ended.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from proxy.abandoned_ids import AbandonedIds
from proxy.active_request import ActiveRequest
from proxy.downstream.errors import HttpError
from proxy.unconfirmed_responses import UnconfirmedResponses

if TYPE_CHECKING:
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.client_request import ClientRequest
    from proxy.response_sink import ResponseSink


class RequestRegistry:
    """All requests with a pending response or with attempts in flight.

    Attributes:
        active_requests: These requests, by the balancer's ids for them.
        client_request_ids: The clients' ids of these requests.
        unconfirmed_responses: The responses that clients may not have read.
    """

    def __init__(self, max_abandoned_ids: int) -> None:
        """Create an empty registry.

        Args:
            max_abandoned_ids: The largest number of ids that are remembered after their requests have ended.
        """
        self.active_requests: dict[str, ActiveRequest] = {}
        self.client_request_ids: set[bytes] = set()
        self._abandoned_ids = AbandonedIds(max_abandoned_ids)
        self.unconfirmed_responses = UnconfirmedResponses(self._abandoned_ids)
        self._last_number = 0

    def open(
        self,
        request: ClientRequest,
        classified: ClassifiedRequest,
        response_sink: ResponseSink,
        client_deadline: float,
        deadline: float,
    ) -> ActiveRequest:
        """Register a request.

        Args:
            request: The request as the client sent it.
            classified: Its class, and the other properties that the balancer needs.
            response_sink: The receiver of its final response.
            client_deadline: The event loop's time until which the client waits.
            deadline: The event loop's time by which the response has to be written.

        Raises:
            HttpError: A request with the same id is open, or its client has left and it may have run.
        """
        client_request_id = request.headers[b"x-request-id"]
        self.unconfirmed_responses.confirm(response_sink)
        self._check_id(client_request_id)
        self.client_request_ids.add(client_request_id)
        self._last_number += 1
        request_id = str(self._last_number)
        active_request = ActiveRequest(
            request_id, request, classified.request_class, response_sink, client_deadline, deadline
        )
        self.active_requests[request_id] = active_request
        return active_request

    def _check_id(self, client_request_id: bytes) -> None:
        """Raise HttpError if a request with this id must not be accepted."""
        self.unconfirmed_responses.check(client_request_id)
        if client_request_id in self.client_request_ids:
            # Backends would mistake a second request with the same id for the first one.
            raise HttpError(HTTPStatus.CONFLICT, "a request with this id is open")
        if client_request_id in self._abandoned_ids:
            raise HttpError(HTTPStatus.CONFLICT, "a request with this id may have run")

    def abandon(self, active_request: ActiveRequest) -> None:
        """Record that the client left without its response."""
        active_request.is_abandoned = True
        self.clear_response_sink(active_request)

    def clear_response_sink(self, active_request: ActiveRequest) -> None:
        """Record that no response is pending any more: it is being sent, or the client disconnected."""
        active_request.response_sink = None
        active_request.release_request()
        if active_request.deadline_timer is not None:
            active_request.deadline_timer.cancel()
        self.remove_if_finished(active_request)

    def remove_if_finished(self, active_request: ActiveRequest) -> None:
        """Remove a request if no response is pending and no attempt is in flight."""
        if active_request.is_finished():
            if self.active_requests.pop(active_request.request_id, None) is not None:
                self.client_request_ids.discard(active_request.client_request_id)
                if active_request.is_abandoned and active_request.must_not_repeat():
                    self._abandoned_ids.add(active_request.client_request_id)
            # A request and its attempts refer to each other: only the garbage collector would free them.
            active_request.attempts.clear()
