"""Notifies the balancer of what happens to each request, and has the resulting actions carried out.

It owns the deadlines of the requests. It decides nothing: `balancer` does. `request_registry` owns the active
requests, `action_executor` carries out actions, `responder` sends answers; connections belong to
`proxy.downstream` and `proxy.upstream`.
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
    from proxy.downstream.request_parser import ClientRequest
    from proxy.response_sink import ResponseSink
    from proxy.upstream import UpstreamAttempt, UpstreamResponse

logger = logging.getLogger(__name__)

RESPONSE_MARGIN = 0.005  # seconds before the client's deadline: the answer still has to reach the client
#: Statuses of responses by which the request itself is at fault: 4xx, except a timeout or a rate limit.
CLIENT_ERROR_STATUSES = frozenset(range(400, 500)) - {
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.TOO_MANY_REQUESTS,
}
OK = HTTPStatus.OK  # Python 3.11 is slow to look a member up in its class, and each request needs this one


class Dispatcher:
    """Dispatches each request as the balancer decides.

    Attributes:
        active_requests: The requests with a pending answer or with attempts in flight, by the id that the
            balancer knows them by.
        client_request_ids: The clients' ids of the requests with a pending answer.
        respond_by: The event loop's time by which requests that arrive from now on need their answer.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._loop = asyncio.get_running_loop()
        self._balancer = context.balancer
        self._clock = context.clock
        self._event_log = context.event_log
        self._traceback_limit = RateLimit()
        self._registry = RequestRegistry()
        self._responder = Responder(self._registry, context.monitor, context.event_log)
        self._executor = ActionExecutor(context, self._registry, self._responder, self)
        self.active_requests = self._registry.active
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
            HttpError: The answer to a request with the same id is still pending.
        """
        client_deadline = request.received_at + classified.timeout
        deadline = min(client_deadline, self.respond_by) - RESPONSE_MARGIN
        active = self._registry.open(request, classified, response_sink, client_deadline, deadline)
        if self._event_log.enabled:
            class_name = classified.request_class.name
            self._event_log.record(
                RequestReceived(id=active.logged_id, class_name=class_name, deadline=deadline)
            )
        response_sink.on_disconnect = partial(self.on_client_disconnected, active)
        active.deadline_timer = self._loop.call_at(deadline, self._on_deadline, active)
        self._executor.perform(
            self._notify(
                self._balancer.on_request,
                IncomingRequest(
                    active.request_id,
                    classified.class_index,
                    classified.tenant_index,
                    self._clock.from_loop_time(deadline),
                    classified.cost,
                    classified.is_retry,
                ),
                about=active,
            )
        )

    def on_client_disconnected(self, active: ActiveRequest) -> None:
        """End a request whose client has disconnected: no answer is pending any more."""
        if self._event_log.enabled:
            self._event_log.record(ClientDisconnected(id=active.logged_id))
        self._registry.settle(active)
        self._executor.perform(
            self._notify(self._balancer.on_client_disconnected, active.request_id, about=active)
        )
        active.end_unsent_attempts()

    def _on_deadline(self, active: ActiveRequest) -> None:
        """Answer now, even if the balancer has not decided: the client's deadline has come."""
        for attempt in tuple(active.attempts):
            attempt.expire()
        if active.response_sink is not None:
            self._fail_undecided(active)

    def on_attempt_finished(
        self,
        active: ActiveRequest,
        number: int,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        """Answer if the attempt brought the answer, and notify the balancer of the end of the attempt."""
        now = self._loop.time()
        active.last_outcome = outcome
        if self._event_log.enabled:
            self._event_log.record(
                AttemptFinished(id=active.logged_id, attempt=number, outcome=outcome.value)
            )
        if response is not None:
            outcome = self._handle_response(active, outcome, response, now)
        self._registry.remove_if_finished(active)
        # Without `_notify`, which would have to bind the keyword for each attempt.
        try:
            actions = self._balancer.on_attempt_finished(
                self._clock.now(),
                active.request_id,
                number,
                outcome,
                now - attempt.started_at,
                last=active.response_sink is None,
            )
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            actions = self._on_balancer_error(active)
        self._executor.perform(actions)
        active.end_unsent_attempts()

    def _handle_response(
        self, active: ActiveRequest, outcome: Outcome, response: UpstreamResponse, now: float
    ) -> Outcome:
        """Answer a request with a backend's response if that is final.

        Returns:
            The outcome of the attempt, as the balancer is to count it.
        """
        if response.status in CLIENT_ERROR_STATUSES:
            # It would fail at any other backend as well: a retry would only add load.
            self._responder.return_client_error(active, response.status)
            self._executor.perform(
                self._notify(self._balancer.on_client_disconnected, active.request_id, about=active)
            )
            return Outcome.NOT_SENT
        if outcome is Outcome.SUCCESS:
            if now > active.deadline:  # the deadline's timer was late, but the deadline has passed
                return Outcome.TIMEOUT
            self._responder.respond(active, OK, response.head, response.body)
        return outcome

    def on_timer(self, token: int) -> None:
        """Notify the balancer that one of its timers is due."""
        self._executor.perform(self._notify(self._balancer.on_timer, token))

    def send_rejection(self, active: ActiveRequest, number: int) -> SendRejection | None:
        """Return why an attempt must not be written now; a defect of the balancer counts as a rejection."""
        client_disconnected = not active.client_is_waiting()
        try:
            rejection = self._balancer.send_rejection(
                self._clock.now(), active.request_id, number, client_disconnected=client_disconnected
            )
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            self._log_balancer_error()
            rejection = SendRejection.REQUEST_ENDED
        if rejection is not None and self._event_log.enabled:
            self._event_log.record(
                AttemptRejected(id=active.logged_id, attempt=number, reason=rejection.value)
            )
        return rejection

    def _notify(
        self, event: Callable[..., list[Action]], *args: object, about: ActiveRequest | None = None
    ) -> list[Action]:
        """Notify the balancer of an event, and return the actions to carry out.

        Args:
            event: The balancer's method for the event.
            args: Its arguments after the time.
            about: The request that the event is about. A defect of the balancer fails it, and no other.
        """
        try:
            return event(self._clock.now(), *args)
        except Exception:  # noqa: BLE001 - a defect of the balancer must not end the other requests
            return self._on_balancer_error(about)

    def _on_balancer_error(self, about: ActiveRequest | None) -> list[Action]:
        """Log the exception that is being handled, and fail the request that it is about.

        Returns:
            The actions to carry out in place of the balancer's: none.
        """
        self._log_balancer_error()
        if about is not None:
            self._fail_undecided(about)
        return []

    def _log_balancer_error(self) -> None:
        """Log the exception that is being handled, with its traceback; at a limited rate."""
        if self._traceback_limit.allows(self._loop.time()):
            logger.exception("the balancer raised an exception")

    def _fail_undecided(self, active: ActiveRequest) -> None:
        """Fail a request for which the balancer has not decided on an answer, and notify the balancer."""
        is_late = self._loop.time() >= active.deadline
        status = HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.INTERNAL_SERVER_ERROR
        self._responder.respond(active, status, b"", b"")
        self._executor.perform(self._notify(self._balancer.on_client_disconnected, active.request_id))
        for attempt in tuple(active.attempts):
            attempt.finish(Outcome.CANCELLED)

    # ---- shutdown and new settings -----------------------------------------------------------------

    def limit_deadlines(self, respond_by: float) -> None:
        """Answer all requests that arrive from now on by this time of the event loop."""
        self.respond_by = respond_by

    def reconfigure(self, settings: Settings, request_classes: Iterable[RequestClass]) -> None:
        """Apply settings to the balancer, and allow active requests only what old and new settings allow.

        Args:
            settings: The settings, with the balancer's numbers of zones and machine types.
            request_classes: The classes as the configuration states them.

        Raises:
            InvalidValueError: The balancer can't apply these settings while it runs; nothing has changed.
        """
        self._executor.perform(self._balancer.reconfigure(self._clock.now(), settings))
        by_name = {request_class.name: request_class for request_class in request_classes}
        for active in self.active_requests.values():
            active.narrow_class(by_name.get(active.request_class.name, active.request_class))

    def end_misplaced_attempts(self) -> None:
        """End unsent attempts that new settings place at another backend."""
        for misplaced in self._balancer.misplaced_attempts():
            active = self.active_requests.get(misplaced.request)
            attempts = active.attempts if active is not None else []
            if attempts and attempts[misplaced.attempt].connection is None:
                attempts[misplaced.attempt].finish(Outcome.NOT_SENT)
