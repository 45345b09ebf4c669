"""Carries out the actions that the balancer returns, in their order.

The executor owns no state. Events of timers and attempts go to the dispatcher, which notifies the balancer
and passes the resulting actions to the executor.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Protocol

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
from proxy.logged_events import AttemptStarted, AttemptWritten
from proxy.upstream import AttemptCallbacks, UpstreamAttempt, UpstreamResponse

if TYPE_CHECKING:
    from proxy.active_request import ActiveRequest
    from proxy.dispatch_context import DispatchContext
    from proxy.request_registry import RequestRegistry
    from proxy.responder import Responder


class DispatchEventHandler(Protocol):
    """Receives the events of timers and attempts, and decides whether an attempt may be written.

    The dispatcher implements it.
    """

    def on_timer(self, token: int) -> None:
        """Handle a timer that is due.

        Args:
            token: The token that the balancer set the timer with.
        """

    def on_client_disconnected(self, active_request: ActiveRequest) -> None:
        """Handle the disconnect of a request's client."""

    def on_attempt_finished(
        self,
        active_request: ActiveRequest,
        attempt_number: int,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        """Handle the end of an attempt; `attempt_number` counts the attempts of its request from 0."""

    def send_rejection(self, active_request: ActiveRequest, attempt_number: int) -> SendRejection | None:
        """Return why an attempt must not be written now, or None if it may be written."""


class ActionExecutor:
    """Carries out the balancer's actions."""

    def __init__(
        self,
        context: DispatchContext,
        registry: RequestRegistry,
        responder: Responder,
        event_handler: DispatchEventHandler,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = context.clock
        self._endpoint_table = context.endpoint_table
        self._pool = context.pool
        self._poll_endpoints = context.poll_endpoints
        self._monitor = context.monitor
        self._event_log = context.event_log
        self._active_requests = registry.active_requests
        self._responder = responder
        self._event_handler = event_handler

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions, in their order."""
        for action in actions:
            match action:
                case SetTimer():
                    due_at = self._clock.to_loop_time(action.at)
                    self._loop.call_at(due_at, self._event_handler.on_timer, action.token)
                case PollEndpoints():
                    self._poll_endpoints()
                case _:
                    active_request = self._active_requests.get(action.request)
                    if active_request is not None:
                        self._perform_for_request(active_request, action)

    def _perform_for_request(
        self, active_request: ActiveRequest, action: StartAttempt | Reject | Fail | CancelAttempt
    ) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(active_request, action)
            case CancelAttempt():
                active_request.attempts[action.attempt].finish(Outcome.CANCELLED)
            case Reject():
                self._responder.reject(active_request, action)
            case Fail():
                self._responder.fail(active_request)

    def _start_attempt(self, active_request: ActiveRequest, action: StartAttempt) -> None:
        now = self._loop.time()
        attempt_deadline = (
            min(active_request.deadline, now + action.timeout)
            if action.timeout > 0.0
            else active_request.deadline
        )
        attempt_number = len(active_request.attempts)
        attempt = UpstreamAttempt(
            self._endpoint_table.backends[action.endpoint],
            started_at=now,
            deadline=attempt_deadline,
            retryable=active_request.is_retryable,
            callbacks=AttemptCallbacks(
                build_request=active_request.serialize,
                on_finished=partial(self._event_handler.on_attempt_finished, active_request, attempt_number),
                send_rejection=partial(self._event_handler.send_rejection, active_request, attempt_number),
                on_written=partial(self._on_written, active_request),
            ),
        )
        if self._event_log.enabled:
            address = str(attempt.backend.address)
            self._event_log.record(
                AttemptStarted(id=active_request.logged_id, attempt=attempt_number, endpoint=address)
            )
        active_request.attempts.append(attempt)
        if active_request.client_is_waiting():
            self._pool.start(attempt)
        else:
            self._event_handler.on_client_disconnected(active_request)

    def _on_written(self, active_request: ActiveRequest, attempt: UpstreamAttempt, timeout: float) -> None:
        """Check and log an attempt that was just written."""
        self._monitor.on_written(self._loop.time(), active_request, attempt, timeout)
        if self._event_log.enabled:
            attempt_number = active_request.attempts.index(attempt)
            self._event_log.record(
                AttemptWritten(id=active_request.logged_id, attempt=attempt_number, timeout=timeout)
            )
