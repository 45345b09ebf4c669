"""The active requests of the proxy, and the request ids that clients use for them.

It owns both sets. What happens to a request is up to the dispatcher.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from proxy.active_request import ActiveRequest
from proxy.downstream.errors import HttpError

if TYPE_CHECKING:
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.request_parser import ClientRequest
    from proxy.response_sink import ResponseSink


class RequestRegistry:
    """All requests with a pending answer or with attempts in flight.

    Attributes:
        active: These requests, by the id that the balancer knows them by.
        client_request_ids: The clients' ids of the requests with a pending answer.
    """

    def __init__(self) -> None:
        self.active: dict[str, ActiveRequest] = {}
        self.client_request_ids: set[bytes] = set()
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
            request: What the client sent.
            classified: Its class.
            response_sink: Where its final answer goes.
            client_deadline: The event loop's time until which the client waits.
            deadline: The event loop's time by which the answer has to be written.

        Raises:
            HttpError: The answer to a request with the same id is still pending.
        """
        client_request_id = request.headers[b"x-request-id"]
        if client_request_id in self.client_request_ids:
            # Backends would mistake a second request with the same id for the first one.
            raise HttpError(HTTPStatus.CONFLICT, "a request with this id is open")
        self.client_request_ids.add(client_request_id)
        self._last_number += 1
        request_id = str(self._last_number)
        active = ActiveRequest(
            request_id, request, classified.request_class, response_sink, client_deadline, deadline
        )
        self.active[request_id] = active
        return active

    def settle(self, active: ActiveRequest) -> None:
        """Record that no answer to a request is pending any more."""
        if active.response_sink is not None:
            self.client_request_ids.discard(active.client_request_id)
        active.response_sink = None
        if active.deadline_timer is not None:
            active.deadline_timer.cancel()
        self.remove_if_finished(active)

    def remove_if_finished(self, active: ActiveRequest) -> None:
        """Remove a request if no answer is pending and no attempt is in flight."""
        if active.is_finished():
            self.active.pop(active.request_id, None)
            # A request and its attempts refer to each other, and would wait for the garbage collector.
            active.attempts.clear()
