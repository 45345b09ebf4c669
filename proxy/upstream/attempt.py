"""One attempt to have a request answered by a backend, from its start to its only outcome.

It owns the attempt's timer, its connect task while there is no connection yet, and the connection while that
is in use: the end of the attempt ends all three. It knows neither idle connections nor limits:
`ConnectionPool` finds a connection for it. Whether a retry follows is the balancer's decision.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from balancer.events import Outcome, SendRejection

if TYPE_CHECKING:
    from collections.abc import Callable

    from proxy.upstream.backend import Backend
    from proxy.upstream.response_parser import UpstreamResponse

#: Seconds between two pieces of a response. Backends send a response at once, and a retry needs about 0.2 s.
MAX_RESPONSE_STALL = 0.1


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that carries it.

    Attributes:
        request_sent: Whether the last byte of the request has been sent.
    """

    request_sent: bool

    def abort(self) -> None:
        """Close the connection at once."""


class FinishCallback(Protocol):
    """Receives the outcome of an attempt."""

    def __call__(
        self, attempt: UpstreamAttempt, outcome: Outcome, response: UpstreamResponse | None, /
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            response: The backend's complete response; None if there is none.
        """


def _allow_send() -> SendRejection | None:
    return None


def _ignore_written(_attempt: UpstreamAttempt, _timeout: float) -> None:
    pass


@dataclass(slots=True)
class AttemptCallbacks:
    """What an attempt asks of the code that started it, and reports to it.

    Attributes:
        build_request: Returns the request's bytes, given the seconds that are left for it.
        on_finished: Called once, with the outcome.
        send_rejection: Returns why the request may not be sent any more, or None; called just before its
            first byte is written.
        on_written: Called once the request is written, with the timeout in seconds that the request states.
    """

    build_request: Callable[[float], bytes]
    on_finished: FinishCallback
    send_rejection: Callable[[], SendRejection | None] = _allow_send
    on_written: Callable[[UpstreamAttempt, float], None] = _ignore_written


class UpstreamAttempt:
    """One attempt to have a request answered by one backend.

    Attributes:
        backend: The backend that it is sent to.
        started_at: The event loop's time at which it started.
        deadline: The event loop's time at which it expires.
        callbacks: The code that started it.
        retryable: Whether the request may be sent again if this attempt fails.
        written_at: The event loop's time at which writing the request began; None before.
        finished: Whether the outcome has been reported.
        outcome: The outcome, once it is reported.
        connection: The connection that carries it, from the writing of the request until it finishes.
        connect_task: The task that waits for a connection, while there is none.
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
        """Start the timer of the deadline, in place of one that is running."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(self.deadline, self.expire)

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """Report the outcome, unless one has been reported, and close a connection that is still in use."""
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

    def forbid_retry(self) -> None:
        """Mark the request as not retryable; a response that has begun may then last until the deadline."""
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
        """Handle a piece of the response that does not complete it.

        A response that begins and never ends would occupy a retryable request until its deadline, too late
        for a retry: such an attempt fails when no piece arrives for a short time. This does harm where
        backends send correct responses slowly.

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
