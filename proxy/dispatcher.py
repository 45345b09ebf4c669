"""Notifies the balancer of the events of each request, and has the resulting actions carried out.

The dispatcher owns the timers of the requests' deadlines. All decisions are made by the `balancer` package.
`request_registry` owns the active requests, `action_executor` carries out actions, and `responder` sends
responses. Connections belong to `proxy.downstream` and `proxy.upstream`.
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from http import HTTPStatus
from math import inf
from typing import TYPE_CHECKING

from balancer.events import Action, IncomingRequest, Outcome, SendRejection
from proxy.action_executor import ActionExecutor
from proxy.log import RateLimit
from proxy.logged_events import AttemptFinished, AttemptRejected, ClientDisconnected, RequestReceived
from proxy.request_registry import RequestRegistry
from proxy.responder import Responder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balancer.endpoints import Endpoint, UpdateKind
    from balancer.settings import RequestClass, Settings
    from proxy.active_request import ActiveRequest
    from proxy.dispatch_context import DispatchContext
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.client_request import ClientRequest
    from proxy.response_sink import ResponseSink
    from proxy.upstream import UpstreamAttempt, UpstreamResponse

logger = logging.getLogger(__name__)

RESPONSE_MARGIN = 0.005  # seconds before the client's deadline, for the response's way to the client
#: Statuses by which a backend reports a fault of the request itself: 4xx, except a timeout or a rate limit.
CLIENT_ERROR_STATUSES = frozenset(range(400, 500)) - {
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.TOO_MANY_REQUESTS,
}
OK = HTTPStatus.OK  # a constant, as Python 3.11 looks up enum members slowly and each request needs this one


class Dispatcher:
    """Dispatches each request as the balancer decides.

    Attributes:
        active_requests: The requests with a pending response or with attempts in flight, by the id that the
            balancer has for them.
        client_request_ids: The clients' ids of these requests.
        respond_by: The event loop's time by which requests that arrive from now on need their response, if
            their own deadline is not earlier; infinite unless the proxy is shutting down.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._loop = asyncio.get_running_loop()
        self._balancer = context.balancer
        self._clock = context.clock
        self._event_log = context.event_log
        self._traceback_limit = RateLimit()
        self._registry = RequestRegistry(context.max_abandoned_ids)
        self._responder = Responder(self._registry, context.monitor, context.event_log)
        self._executor = ActionExecutor(context, self._registry, self._responder, self)
        self.active_requests = self._registry.active_requests
        self.client_request_ids = self._registry.client_request_ids
        self.respond_by = inf

    # ---- events ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Notify the balancer that the proxy has started."""
        self._executor.perform(self._notify(self._balancer.start))

    def on_endpoints_updated(self, kind: UpdateKind, endpoints: list[Endpoint]) -> None:
        """Notify the balancer of an update of the endpoint list, which the endpoint table has applied."""
        self._executor.perform(self._notify(self._balancer.on_endpoints_updated, kind, endpoints))

    def on_request(
        self, request: ClientRequest, classified: ClassifiedRequest, response_sink: ResponseSink
    ) -> None:
        """Accept a client's request, and dispatch it.

        Raises:
            HttpError: A request with the same id is open, or its client has left and it may have run.
        """
        client_deadline = request.received_at + classified.timeout
        deadline = min(client_deadline, self.respond_by) - RESPONSE_MARGIN
        active_request = self._registry.open(request, classified, response_sink, client_deadline, deadline)
        if self._event_log.enabled:
            class_name = classified.request_class.name
            self._event_log.record(
                RequestReceived(id=active_request.logged_id, class_name=class_name, deadline=deadline)
            )
        response_sink.on_disconnect = partial(self.on_client_disconnected, active_request)
        active_request.deadline_timer = self._loop.call_at(deadline, self._on_deadline, active_request)
        self._executor.perform(
            self._notify(
                self._balancer.on_request,
                IncomingRequest(
                    active_request.request_id,
                    classified.class_index,
                    classified.tenant_index,
                    self._clock.from_loop_time(deadline),
                    classified.cost,
                    classified.is_retry,
                ),
                active_request=active_request,
            )
        )

    def on_client_disconnected(self, active_request: ActiveRequest) -> None:
        """End a request whose client has disconnected: no response is pending any more."""
        if self._event_log.enabled:
            self._event_log.record(ClientDisconnected(id=active_request.logged_id))
        self._registry.abandon(active_request)
        self._executor.perform(
            self._notify(
                self._balancer.on_client_disconnected,
                active_request.request_id,
                active_request=active_request,
            )
        )
        active_request.end_unsent_attempts()

    def _on_deadline(self, active_request: ActiveRequest) -> None:
        """End the request at its deadline: respond even if the balancer has not decided."""
        for attempt in tuple(active_request.attempts):
            attempt.expire()
        if active_request.response_sink is not None:
            self._fail_without_decision(active_request)

    def on_attempt_finished(
        self,
        active_request: ActiveRequest,
        attempt_number: int,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        """Respond if the attempt got the final response, and notify the balancer of the attempt's end."""
        now = self._loop.time()
        active_request.last_outcome = outcome
        if self._event_log.enabled:
            self._event_log.record(
                AttemptFinished(id=active_request.logged_id, attempt=attempt_number, outcome=outcome.value)
            )
        if response is not None:
            outcome = self._handle_response(active_request, outcome, response, now)
        self._registry.remove_if_finished(active_request)
        # Not through `_notify`: it would need a `partial` for the keyword argument, which costs time.
        try:
            actions = self._balancer.on_attempt_finished(
                self._clock.now(),
                active_request.request_id,
                attempt_number,
                outcome,
                now - attempt.started_at,
                last=active_request.response_sink is None,
            )
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            actions = self._on_balancer_error(active_request)
        self._executor.perform(actions)
        active_request.end_unsent_attempts()

    def _handle_response(
        self, active_request: ActiveRequest, outcome: Outcome, response: UpstreamResponse, now: float
    ) -> Outcome:
        """Send a backend's response to the client if it is the final one.

        Returns:
            The outcome that the balancer has to count for the attempt.
        """
        if response.status in CLIENT_ERROR_STATUSES:
            # The request would fail at any other backend as well: a retry would only add load.
            self._responder.return_client_error(active_request, response.status)
            self._executor.perform(
                self._notify(
                    self._balancer.on_client_disconnected,
                    active_request.request_id,
                    active_request=active_request,
                )
            )
            return Outcome.NOT_SENT  # counts neither for nor against the backend
        if outcome is Outcome.SUCCESS:
            if now > active_request.deadline:  # the timer of the deadline is late
                return Outcome.TIMEOUT
            self._responder.respond(active_request, OK, response.head, response.body)
        return outcome

    def on_timer(self, token: int) -> None:
        """Notify the balancer that one of its timers is due."""
        self._executor.perform(self._notify(self._balancer.on_timer, token))

    def send_rejection(self, active_request: ActiveRequest, attempt_number: int) -> SendRejection | None:
        """Return why an attempt must not be written now, or None if it may be written.

        If the balancer raises an exception, the attempt is not written.
        """
        client_disconnected = not active_request.client_is_waiting()
        try:
            rejection = self._balancer.send_rejection(
                self._clock.now(),
                active_request.request_id,
                attempt_number,
                client_disconnected=client_disconnected,
            )
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            self._log_balancer_error()
            rejection = SendRejection.REQUEST_ENDED
        if rejection is not None and self._event_log.enabled:
            self._event_log.record(
                AttemptRejected(id=active_request.logged_id, attempt=attempt_number, reason=rejection.value)
            )
        return rejection

    def _notify(
        self, event: Callable[..., list[Action]], *args: object, active_request: ActiveRequest | None = None
    ) -> list[Action]:
        """Notify the balancer of an event, and return the actions to carry out.

        Args:
            event: The balancer's method for the event.
            args: Its arguments after the time.
            active_request: The request of the event. Only this one fails if the balancer raises an exception.
        """
        try:
            return event(self._clock.now(), *args)
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            return self._on_balancer_error(active_request)

    def _on_balancer_error(self, active_request: ActiveRequest | None) -> list[Action]:
        """Log the exception that is being handled, and fail the request of the event.

        Returns:
            The actions to carry out in place of the balancer's: none.
        """
        self._log_balancer_error()
        if active_request is not None:
            self._fail_without_decision(active_request)
        return []

    def _log_balancer_error(self) -> None:
        """Log the exception that is being handled with its traceback, at a limited rate."""
        if self._traceback_limit.allows(self._loop.time()):
            logger.exception("the balancer raised an exception")

    def _fail_without_decision(self, active_request: ActiveRequest) -> None:
        """Fail a request that the balancer has not decided on, and notify the balancer of its end."""
        is_late = self._loop.time() >= active_request.deadline
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.INTERNAL_SERVER_ERROR
        self._responder.respond(active_request, status, b"", b"")
        self._executor.perform(self._notify(self._balancer.on_client_disconnected, active_request.request_id))
        for attempt in tuple(active_request.attempts):
            attempt.finish(Outcome.CANCELLED)

    # ---- shutdown and new settings -----------------------------------------------------------------

    def limit_deadlines(self, respond_by: float) -> None:
        """Respond to all requests that arrive from now on by this time of the event loop."""
        self.respond_by = respond_by

    def reconfigure(self, settings: Settings, request_classes: Iterable[RequestClass]) -> None:
        """Apply settings to the balancer, and allow active requests only what old and new settings allow.

        Args:
            settings: The settings, with the balancer's indices of zones and machine types.
            request_classes: The classes as the configuration defines them.

        Raises:
            InvalidValueError: The balancer can't apply these settings while it runs; nothing has changed.
        """
        self._executor.perform(self._balancer.reconfigure(self._clock.now(), settings))
        classes_by_name = {request_class.name: request_class for request_class in request_classes}
        for active_request in self.active_requests.values():
            active_request.restrict_class(
                classes_by_name.get(active_request.request_class.name, active_request.request_class)
            )

    def end_misplaced_attempts(self) -> None:
        """End unsent attempts whose backend is not allowed for their request by the new settings."""
        for misplaced_attempt in self._balancer.misplaced_attempts():
            active_request = self.active_requests.get(misplaced_attempt.request)
            attempts = active_request.attempts if active_request is not None else []
            if attempts and attempts[misplaced_attempt.attempt].connection is None:
                attempts[misplaced_attempt.attempt].finish(Outcome.NOT_SENT)
