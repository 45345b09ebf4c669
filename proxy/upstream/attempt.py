"""One attempt to get a response to a request from a backend, from its start to its outcome.

It owns the attempt's timer, the task that waits for a connection, and the connection while it is in use. All
three end with the attempt. `ConnectionPool` finds the connection and enforces the limits on connections. The
balancer decides whether a retry follows.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from balancer.events import NOT_EXECUTED_OUTCOMES, Outcome, SendRejection

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.upstream.backend import Backend
    from proxy.upstream.response_parser import UpstreamResponse

#: Seconds without new bytes after which a retryable attempt fails if its response has begun. Backends send a
#: response in one piece, and a retry takes about 0.2 s, which must still fit in before the deadline.
MAX_RESPONSE_STALL = 0.1


class AttemptConnection(Protocol):
    """The interface to the connection on which an attempt is sent.

    Attributes:
        request_sent: Whether the last byte of the request has been sent.
    """

    request_sent: bool

    def abort(self) -> None:
        """Close the connection immediately."""


class FinishCallback(Protocol):
    """Receives the outcome of an attempt."""

    def __call__(
        self, attempt: UpstreamAttempt, outcome: Outcome, response: UpstreamResponse | None, /
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            response: The backend's complete response, or None if there was none.
        """


def _allow_send() -> SendRejection | None:
    return None


def _ignore_written(_attempt: UpstreamAttempt, _timeout: float) -> None:
    pass


@dataclass(slots=True)
class AttemptCallbacks:
    """The functions that an attempt calls in the code that started it.

    Attributes:
        build_request: Returns the request's bytes, given the seconds until the attempt's deadline.
        on_finished: Called once, with the outcome.
        send_rejection: Returns the reason why the request must not be sent any more, or None if it may be
            sent. Called immediately before the first byte is written.
        on_written: Called after the request is written, with the timeout in seconds stated in the request.
    """

    build_request: Callable[[float], bytes]
    on_finished: FinishCallback
    send_rejection: Callable[[], SendRejection | None] = _allow_send
    on_written: Callable[[UpstreamAttempt, float], None] = _ignore_written


class UpstreamAttempt:
    """One attempt to get a response to a request from one backend.

    Attributes:
        backend: The backend to which it is sent.
        started_at: The event loop's time at which it started.
        deadline: The event loop's time at which it expires.
        callbacks: The functions of the code that started it.
        retryable: Whether the request may be sent again if this attempt fails.
        written_at: The event loop's time at which writing of the request began; None before that.
        finished: Whether the outcome has been reported.
        outcome: The outcome after it has been reported; None before that.
        connection: The connection on which it is sent, from the write of the request until the attempt
            finishes.
        connect_task: The task that waits for a connection; None when no task is waiting.
    """

    __slots__ = (
        "_timer",
        "backend",
        "callbacks",
        "connect_task",
        "connection",
        "deadline",
        "finished",
        "outcome",
        "retryable",
        "started_at",
        "written_at",
    )

    def __init__(
        self,
        backend: Backend,
        *,
        started_at: float,
        deadline: float,
        callbacks: AttemptCallbacks,
        retryable: bool = True,
    ) -> None:
        self.backend = backend
        self.started_at = started_at
        self.deadline = deadline
        self.callbacks = callbacks
        self.retryable = retryable
        self.written_at: float | None = None
        self.finished = False
        self.outcome: Outcome | None = None
        self.connection: AttemptConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start_timer(self) -> None:
        """Start the timer for the deadline; it replaces a timer that is already running."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(self.deadline, self.expire)

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """Report the outcome and close a connection still in use; only the first call has an effect."""
        if self.finished:
            return
        self.finished = True
        self.outcome = outcome
        if self._timer is not None:
            self._timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
        self.callbacks.on_finished(self, outcome, response)

    def may_have_run(self) -> bool:
        """Return whether a backend may have processed the request, or may still do so."""
        return self.written_at is not None and self.outcome not in NOT_EXECUTED_OUTCOMES

    def forbid_retry(self) -> None:
        """Mark the request as not retryable; a response that has begun may then take until the deadline."""
        if self.retryable and not self.finished and self._timer is not None:
            self.start_timer()
        self.retryable = False

    def expire(self) -> None:
        """Finish the attempt because its deadline has passed."""
        self.finish(Outcome.TIMEOUT if self._may_have_been_processed() else Outcome.UNREACHABLE)

    def fail(self) -> None:
        """Finish the attempt because its connection was lost or its response is unusable."""
        self.finish(Outcome.CONNECTION_LOST if self._may_have_been_processed() else Outcome.UNREACHABLE)

    def on_response_progress(self, now: float) -> None:
        """Handle received bytes that do not complete the response.

        A response that begins but never ends would block a retryable request until its deadline, when it is
        too late for a retry. Therefore a retryable attempt fails if no bytes arrive for `MAX_RESPONSE_STALL`.
        Limitation: this also fails correct responses that a backend sends slowly.

        Args:
            now: The event loop's time.
        """
        if not self.retryable or self.finished or self._timer is None:
            return
        if now + MAX_RESPONSE_STALL >= self.deadline:
            self.start_timer()
            return
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(now + MAX_RESPONSE_STALL, self.fail)

    def _may_have_been_processed(self) -> bool:
        return self.connection is not None and self.connection.request_sent
