"""Carries out the actions that the balancer returns, in their order.

It owns no state. Events take the opposite way, through the dispatcher: it notifies the balancer of them, and
has the resulting actions carried out here.
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


class ActionObserver(Protocol):
    """What is notified of timers and attempts, and asked whether an attempt may be written."""

    def on_timer(self, token: int) -> None:
        """Handle a timer that is due.

        Args:
            token: The one that the balancer gave with the timer.
        """

    def on_client_disconnected(self, active: ActiveRequest) -> None:
        """Handle a client that was found disconnected."""

    def on_attempt_finished(
        self,
        active: ActiveRequest,
        number: int,
        attempt: UpstreamAttempt,
        outcome: Outcome,
        response: UpstreamResponse | None,
    ) -> None:
        """Handle the end of an attempt; `number` counts the attempts of its request from 0."""

    def send_rejection(self, active: ActiveRequest, number: int) -> SendRejection | None:
        """Return why an attempt must not be written now; None if it may."""


class ActionExecutor:
    """Carries out the balancer's actions."""

    def __init__(
        self,
        context: DispatchContext,
        registry: RequestRegistry,
        responder: Responder,
        observer: ActionObserver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = context.clock
        self._endpoint_table = context.endpoint_table
        self._pool = context.pool
        self._poll_endpoints = context.poll_endpoints
        self._monitor = context.monitor
        self._event_log = context.event_log
        self._active_requests = registry.active
        self._responder = responder
        self._observer = observer

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions, in their order."""
        for action in actions:
            match action:
                case SetTimer():
                    due_at = self._clock.to_loop_time(action.at)
                    self._loop.call_at(due_at, self._observer.on_timer, action.token)
                case PollEndpoints():
                    self._poll_endpoints()
                case _:
                    active = self._active_requests.get(action.request)
                    if active is not None:
                        self._perform_for_request(active, action)

    def _perform_for_request(
        self, active: ActiveRequest, action: StartAttempt | Reject | Fail | CancelAttempt
    ) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(active, action)
            case CancelAttempt():
                active.attempts[action.attempt].finish(Outcome.CANCELLED)
            case Reject():
                self._responder.reject(active, action)
            case Fail():
                self._responder.fail(active)

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
                on_finished=partial(self._observer.on_attempt_finished, active, number),
                send_rejection=partial(self._observer.send_rejection, active, number),
                on_written=partial(self._on_written, active),
            ),
        )
        if self._event_log.enabled:
            address = str(attempt.backend.address)
            self._event_log.record(AttemptStarted(id=active.logged_id, attempt=number, endpoint=address))
        active.attempts.append(attempt)
        if active.client_is_waiting():
            self._pool.start(attempt)
        else:
            self._observer.on_client_disconnected(active)

    def _on_written(self, active: ActiveRequest, attempt: UpstreamAttempt, timeout: float) -> None:
        """Check and log an attempt that was just written."""
        self._monitor.on_written(self._loop.time(), active, attempt, timeout)
        if self._event_log.enabled:
            number = active.attempts.index(attempt)
            self._event_log.record(AttemptWritten(id=active.logged_id, attempt=number, timeout=timeout))
