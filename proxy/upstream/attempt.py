"""One attempt on the wire, from its start to its one outcome.

It owns the attempt's timer, its connect task while there is no connection yet, and the connection while it is
in use: whatever ends the attempt ends all three. It knows no idle connections and no limits: `ConnectionPool`
finds its connection. Whether a retry follows is the balancer's decision.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from balancer.events import Outcome, SendRejection
from proxy.upstream.response_parser import UpstreamResponse

if TYPE_CHECKING:
    from proxy.upstream.backend import Backend
    from proxy.upstream.connection import UpstreamConnection

#: Seconds between two pieces of a response: it comes in one go, and another attempt needs about 0.2.
MAX_RESPONSE_STALL = 0.1

#: Called once, with the outcome and the response where there is one.
FinishCallback = Callable[["UpstreamAttempt", Outcome, UpstreamResponse | None], None]


class UpstreamAttempt:
    """One attempt to have a request answered by one backend.

    Attributes:
        backend: The backend that it goes to.
        started_at: The loop's time at which it started.
        deadline: The loop's time until which its response is waited for.
        build_request: Gives the request's bytes, from the seconds that are left for it.
        retryable: Whether the request may be sent again if this attempt fails.
        send_rejection: Tells why the request may not be written any more; asked just before its first byte.
        on_written: Called once the request is written, with the seconds that the backend was told.
        written_at: The loop's time at which that began; None before.
        finished: Whether the outcome has been reported.
        outcome: The outcome, once it is reported.
        connection: What carries it, once its request has been written there and until it finishes.
        connect_task: What waits for a connection, while there is none.
    """

    __slots__ = (
        "_on_finished",
        "_timer",
        "backend",
        "build_request",
        "connect_task",
        "connection",
        "deadline",
        "finished",
        "on_written",
        "outcome",
        "retryable",
        "send_rejection",
        "started_at",
        "written_at",
    )

    def __init__(
        self,
        backend: Backend,
        started_at: float,
        deadline: float,
        build_request: Callable[[float], bytes],
        on_finished: FinishCallback,
        retryable: bool = True,
        send_rejection: Callable[[], SendRejection | None] = lambda: None,
        on_written: Callable[[UpstreamAttempt, float], None] = lambda _attempt, _timeout: None,
    ) -> None:
        self.backend = backend
        self.started_at = started_at
        self.deadline = deadline
        self.build_request = build_request
        self.retryable = retryable
        self.send_rejection = send_rejection
        self.on_written = on_written
        self.written_at: float | None = None
        self.finished = False
        self.outcome: Outcome | None = None
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self._on_finished = on_finished
        self._timer: asyncio.TimerHandle | None = None

    def start_timer(self) -> None:
        """Expire at the deadline, and at no other time."""
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
        self._on_finished(self, outcome, response)

    def forbid_retry(self) -> None:
        """The request must not be sent again: a response that has begun is waited for until the deadline."""
        if self.retryable and not self.finished and self._timer is not None:
            self.start_timer()
        self.retryable = False

    def expire(self) -> None:
        """The deadline has passed."""
        self.finish(Outcome.TIMEOUT if self._may_have_been_processed() else Outcome.UNREACHABLE)

    def fail(self) -> None:
        """The connection was lost, or nothing that comes on it can be used."""
        self.finish(Outcome.CONNECTION_LOST if self._may_have_been_processed() else Outcome.UNREACHABLE)

    def on_response_progress(self, now: float) -> None:
        """A piece of the response has come, and more has to come.

        A response that begins and never ends, whatever stops it, would hold a retryable request until its
        deadline, too late for a retry: such an attempt fails when no piece comes for a short time. Harmful
        where backends send their responses slowly but correctly.
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
