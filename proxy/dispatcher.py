"""Takes a client's request to its answer: tells the decisions what happened, and carries out their actions.

Owns the active requests and the timers of the decisions. Decides nothing: `balancer` does. Does not own any
connection, neither of clients (`proxy.downstream`) nor to backends (`proxy.upstream`).
"""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from math import inf
from typing import TYPE_CHECKING

from balancer.events import (
    Action,
    CancelAttempt,
    Fail,
    Outcome,
    PollEndpoints,
    Reject,
    SendRejection,
    SetTimer,
    StartAttempt,
)
from proxy.active_request import ActiveRequest
from proxy.downstream.errors import HttpError
from proxy.event_log import Event, EventLog
from proxy.log import RateLimit
from proxy.upstream import AttemptCallbacks, ConnectionPool, UpstreamAttempt, UpstreamResponse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balancer.balancer import Balancer
    from balancer.endpoints import Endpoint, UpdateKind
    from balancer.settings import RequestClass, Settings
    from proxy.clock import EpochClock
    from proxy.downstream.classification import ClassifiedRequest
    from proxy.downstream.request_parser import ClientRequest
    from proxy.endpoint_table import EndpointTable
    from proxy.invariants import InvariantMonitor
    from proxy.response_sink import ResponseSink

logger = logging.getLogger(__name__)

ANSWER_MARGIN = 0.005  # seconds before the client's time is up: the answer still has to reach it
#: Statuses of responses that say that the request is at fault: 4xx, but not a timeout or a limit on the rate.
REQUEST_FAULT_STATUSES = frozenset(range(400, 500)) - {408, 429}


class Dispatcher:
    """Carries out what the decisions say about each request.

    Attributes:
        active_requests: The requests that an answer is due for, or that have attempts in flight, by their id
            in the decisions.
        client_request_ids: The clients' ids of the requests that an answer is due for.
        answer_by: The event loop's time by which requests that are taken up from now on need their answer.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: EpochClock,
        endpoint_table: EndpointTable,
        pool: ConnectionPool,
        poll_endpoints: Callable[[], None],
        monitor: InvariantMonitor,
        event_log: EventLog,
    ) -> None:
        """Prepare for requests.

        Args:
            balancer: The decisions.
            clock: The decisions' time.
            endpoint_table: The backends that attempts go to.
            pool: Sends the attempts.
            poll_endpoints: Asks discovery for the endpoint list.
            monitor: Checks what is written and answered.
            event_log: Takes what happens to each request.
        """
        self._loop = asyncio.get_running_loop()
        self._balancer = balancer
        self._clock = clock
        self._endpoint_table = endpoint_table
        self._pool = pool
        self._poll_endpoints = poll_endpoints
        self._monitor = monitor
        self._event_log = event_log
        self._traceback_limit = RateLimit()
        self._last_request_number = 0
        self.active_requests: dict[str, ActiveRequest] = {}
        self.client_request_ids: set[bytes] = set()
        self.answer_by = inf

    # ---- what happens --------------------------------------------------------------------------

    def start(self) -> None:
        """Tell the decisions that the proxy has started."""
        self.perform(self._decide(self._balancer.start))

    def on_endpoints_updated(self, kind: UpdateKind, endpoints: list[Endpoint]) -> None:
        """Tell the decisions of an update of the endpoint list, which the endpoint table has already."""
        self.perform(self._decide(self._balancer.on_endpoints_updated, kind, endpoints))

    def on_request(
        self, request: ClientRequest, classified: ClassifiedRequest, response_sink: ResponseSink
    ) -> None:
        """Take up a client's request.

        Raises:
            HttpError: A request with its id is due for an answer already.
        """
        client_request_id = request.headers[b"x-request-id"]
        if client_request_id in self.client_request_ids:
            # Backends would take a second request with the same id for the first one.
            raise HttpError(409, "a request with this id is open")
        self.client_request_ids.add(client_request_id)
        client_deadline = request.received_at + classified.timeout
        deadline = min(client_deadline, self.answer_by) - ANSWER_MARGIN
        self._last_request_number += 1
        request_id = str(self._last_request_number)
        active = ActiveRequest(
            request_id, request, classified.request_class, response_sink, client_deadline, deadline
        )
        if self._event_log.enabled:
            name = classified.request_class.name
            self._log(Event.REQUEST_RECEIVED, active, class_name=name, deadline=deadline)
        self.active_requests[request_id] = active
        response_sink.on_disconnect = partial(self._on_client_disconnected, active)
        active.deadline_timer = self._loop.call_at(deadline, self._on_deadline, active)
        self.perform(
            self._decide(
                self._balancer.on_request,
                request_id,
                classified.class_index,
                classified.tenant_index,
                self._clock.from_loop_time(deadline),
                classified.cost,
                classified.is_retry,
                about=active,
            )
        )

    def _on_client_disconnected(self, active: ActiveRequest) -> None:
        """End a request whose client has disconnected: no answer is due any more."""
        self._log(Event.CLIENT_DISCONNECTED, active)
        self._settle(active)
        self.perform(self._decide(self._balancer.on_client_disconnected, active.request_id, about=active))
        self._end_unsent_attempts(active)

    def _on_deadline(self, active: ActiveRequest) -> None:
        """Answer now, whatever the decisions say: the client's time is up."""
        for attempt in tuple(active.attempts):
            attempt.expire()
        if active.response_sink is not None:
            self._abandon(active)

    def _on_attempt_finished(
        self,
        active: ActiveRequest,
        number: int,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        """Answer if the end of an attempt brings the answer, and tell the decisions of it."""
        now = self._loop.time()
        active.last_outcome = outcome
        if self._event_log.enabled:
            self._log(Event.ATTEMPT_FINISHED, active, attempt=number, outcome=outcome.value)
        if response is not None and response.status in REQUEST_FAULT_STATUSES:
            # It would fail at any other backend as well: a retry would only add load.
            self._answer(active, response.status, b"", b"rejected\n")
            self.perform(self._decide(self._balancer.on_client_disconnected, active.request_id, about=active))
            outcome = Outcome.NOT_SENT
        elif outcome is Outcome.SUCCESS and response is not None:
            if now <= active.deadline:
                self._answer(active, 200, response.head, response.body)
            else:  # The timer was late. The client's time is up all the same.
                outcome = Outcome.TIMEOUT
        self._forget_if_over(active)
        self.perform(
            self._decide(
                self._balancer.on_attempt_finished,
                active.request_id,
                number,
                outcome,
                now - attempt.started_at,
                active.response_sink is None,
                about=active,
            )
        )
        self._end_unsent_attempts(active)

    def _on_timer(self, token: int) -> None:
        """Tell the decisions that a timer of theirs is due."""
        self.perform(self._decide(self._balancer.on_timer, token))

    def _decide(
        self, event: Callable[..., list[Action]], *args: object, about: ActiveRequest | None = None
    ) -> list[Action]:
        """Tell the decisions of an event; a defect there fails the request that it is about, and no other."""
        try:
            return event(self._clock.now(), *args)
        except Exception:  # noqa: BLE001 - a defect of the decisions must not end the other requests
            self._log_balancer_error()
            if about is not None:
                self._abandon(about)
            return []

    def _log_balancer_error(self) -> None:
        """Log the exception that is being handled, with its traceback; at a limited rate."""
        if self._traceback_limit.allows(self._loop.time()):
            logger.exception("the balancer raised an exception")

    # ---- the decisions' actions ----------------------------------------------------------------

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions, in their order."""
        for action in actions:
            if isinstance(action, SetTimer):
                self._loop.call_at(self._clock.to_loop_time(action.at), self._on_timer, action.token)
            elif isinstance(action, PollEndpoints):
                self._poll_endpoints()
            else:
                self._perform_for_request(action)

    def _perform_for_request(self, action: StartAttempt | Reject | Fail | CancelAttempt) -> None:
        active = self.active_requests.get(action.request)
        if active is None:
            return
        if isinstance(action, StartAttempt):
            self._start_attempt(active, action)
        elif isinstance(action, CancelAttempt):
            active.attempts[action.attempt].finish(Outcome.CANCELLED)
        elif isinstance(action, Reject):
            head = b"Retry-After: %.3f\r\n" % action.retry_after if action.retry_after > 0.0 else b""
            self._answer(active, 503, head, b"refused\n", action.reason.value)
        else:
            status = 504 if active.last_outcome is Outcome.TIMEOUT else 502
            self._answer(active, status, b"", b"failed\n")

    def _start_attempt(self, active: ActiveRequest, action: StartAttempt) -> None:
        now = self._loop.time()
        until = min(active.deadline, now + action.timeout) if action.timeout > 0.0 else active.deadline
        number = len(active.attempts)
        attempt = UpstreamAttempt(
            self._endpoint_table.backends[action.endpoint],
            started_at=now,
            deadline=until,
            retryable=active.is_retryable,
            callbacks=AttemptCallbacks(
                build_request=active.serialize,
                on_finished=partial(self._on_attempt_finished, active, number),
                send_rejection=partial(self._send_rejection, active, number),
                on_written=partial(self._on_written, active),
            ),
        )
        if self._event_log.enabled:
            address = str(attempt.backend.address)
            self._log(Event.ATTEMPT_STARTED, active, attempt=number, endpoint=address)
        active.attempts.append(attempt)
        if active.is_awaited():
            self._pool.start(attempt)
        else:
            self._on_client_disconnected(active)

    def _send_rejection(self, active: ActiveRequest, number: int) -> SendRejection | None:
        """Return why an attempt may not be written now; a defect of the decisions counts as a refusal."""
        client_disconnected = not active.is_awaited()
        try:
            refusal = self._balancer.send_rejection(
                self._clock.now(), active.request_id, number, client_disconnected
            )
        except Exception:  # noqa: BLE001 - a defect of the decisions must not end the other requests
            self._log_balancer_error()
            refusal = SendRejection.REQUEST_ENDED
        if refusal is not None:
            self._log(Event.ATTEMPT_REJECTED, active, attempt=number, reason=refusal.value)
        return refusal

    def _on_written(self, active: ActiveRequest, attempt: UpstreamAttempt, timeout: float) -> None:
        """Check and log an attempt that was just written."""
        self._monitor.on_written(self._loop.time(), active, attempt, timeout)
        if self._event_log.enabled:
            number = active.attempts.index(attempt)
            self._log(Event.ATTEMPT_WRITTEN, active, attempt=number, timeout=timeout)

    def _log(self, event: Event, active: ActiveRequest, **fields: object) -> None:
        """Log an event of one request; where that is frequent, ask first whether there is a log."""
        self._event_log.record(event, id=active.client_request_id.decode("latin-1"), **fields)

    # ---- answers -------------------------------------------------------------------------------

    def _answer(self, active: ActiveRequest, status: int, head: bytes, body: bytes, reason: str = "") -> None:
        """Give the final answer, if one is still due."""
        response_sink = active.response_sink
        if response_sink is not None:
            self._monitor.on_answered(active, status)
            if self._event_log.enabled:
                self._log(Event.RESPONSE_SENT, active, status=status, reason=reason)
        self._settle(active)
        if response_sink is not None:
            response_sink.send_response(status, head, body)

    def _abandon(self, active: ActiveRequest) -> None:
        """Fail a request that the decisions have not answered, and tell them."""
        status = 504 if self._loop.time() >= active.deadline else 500
        self._answer(active, status, b"", b"")
        self.perform(self._decide(self._balancer.on_client_disconnected, active.request_id))
        for attempt in tuple(active.attempts):
            attempt.finish(Outcome.CANCELLED)

    def _settle(self, active: ActiveRequest) -> None:
        """Note that no answer is due from now on."""
        if active.response_sink is not None:
            self.client_request_ids.discard(active.client_request_id)
        active.response_sink = None
        if active.deadline_timer is not None:
            active.deadline_timer.cancel()
        self._forget_if_over(active)

    def _forget_if_over(self, active: ActiveRequest) -> None:
        if active.is_over():
            self.active_requests.pop(active.request_id, None)
            # A request and its attempts refer to each other, and would wait for the garbage collector.
            active.attempts.clear()

    def _end_unsent_attempts(self, active: ActiveRequest) -> None:
        """Send nothing more for a settled request; what is sent already is the decisions' to cancel."""
        if active.response_sink is None:
            for attempt in tuple(active.attempts):
                if attempt.connection is None:
                    attempt.finish(Outcome.NOT_SENT)

    def limit_deadlines(self, answer_by: float) -> None:
        """Answer all requests that are taken up from now on by this time of the event loop."""
        self.answer_by = answer_by

    # ---- new settings --------------------------------------------------------------------------

    def reconfigure(self, settings: Settings, request_classes: Iterable[RequestClass]) -> None:
        """Put settings in force in the decisions, and allow the active requests only what both allow.

        Args:
            settings: The settings, with the decisions' numbers of zones and machine types.
            request_classes: The classes as the configuration states them.

        Raises:
            InvalidValueError: The decisions can not go on with these settings; nothing has changed.
        """
        self.perform(self._balancer.reconfigure(self._clock.now(), settings))
        by_name = {request_class.name: request_class for request_class in request_classes}
        for active in self.active_requests.values():
            active.narrow_class(by_name.get(active.request_class.name, active.request_class))

    def end_misplaced_attempts(self) -> None:
        """End attempts that are not sent yet, where new settings place them elsewhere."""
        for request_id, number in self._balancer.misplaced_attempts():
            active = self.active_requests.get(request_id)
            attempts = active.attempts if active is not None else []
            if attempts and attempts[number].connection is None:
                attempts[number].finish(Outcome.NOT_SENT)
