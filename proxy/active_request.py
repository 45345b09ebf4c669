"""One request that the proxy has accepted, until its final response is sent and its attempts have finished.

It owns the state of that request: the receiver of its response, its deadlines, and its attempts so far. It
makes no decision about the request, and sends nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.events import Outcome
from balancer.reconfiguration import restrict_class
from balancer.settings import Idempotency, RequestClass

if TYPE_CHECKING:
    import asyncio

    from proxy.downstream.client_request import ClientRequest
    from proxy.response_sink import ResponseSink
    from proxy.upstream import UpstreamAttempt

MIN_TIMEOUT = 0.001  # seconds: the smallest timeout that three decimals can express


class ActiveRequest:
    """A request with a pending response or with attempts in flight.

    Attributes:
        request_id: The balancer's id for it, unique in this process.
        client_request_id: The id that the client gave it.
        request: The request as the client sent it; None once no attempt can be written any more.
        request_class: Its class when it was accepted, restricted by later settings.
        response_sink: The receiver of the final response; None once that is sent or the client disconnected.
        client_deadline: The event loop's time until which the client waits.
        deadline: The event loop's time by which the response has to be written.
        attempts: All its attempts, in the order in which they were started.
        last_outcome: The outcome of the attempt that finished last.
        deadline_timer: Fires at the deadline.
        is_abandoned: Whether the client left without its response.
    """

    __slots__ = (
        "attempts",
        "client_deadline",
        "client_request_id",
        "response_sink",
        "deadline",
        "deadline_timer",
        "is_abandoned",
        "last_outcome",
        "request",
        "request_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: str,
        request: ClientRequest,
        request_class: RequestClass,
        response_sink: ResponseSink,
        client_deadline: float,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.client_request_id = request.headers[b"x-request-id"]
        self.request: ClientRequest | None = request
        self.request_class = request_class
        self.response_sink: ResponseSink | None = response_sink
        self.client_deadline = client_deadline
        self.deadline = deadline
        self.attempts: list[UpstreamAttempt] = []
        self.last_outcome = Outcome.NOT_SENT
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.is_abandoned = False

    @property
    def logged_id(self) -> str:
        """The client's request id, as text for the event log."""
        return self.client_request_id.decode("latin-1")

    @property
    def is_retryable(self) -> bool:
        """Whether the request may run more than once."""
        return self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT

    def restrict_class(self, request_class: RequestClass) -> None:
        """Allow from now on only what both the current class and that of new settings allow."""
        self.request_class = restrict_class(self.request_class, request_class)
        if not self.is_retryable:
            for attempt in self.attempts:
                attempt.forbid_retry()

    def release_request(self) -> None:
        """Release the memory of the request: no attempt is written without a pending response."""
        self.request = None

    def must_not_repeat(self) -> bool:
        """Return whether an attempt may have run, and another one could have a second effect."""
        if self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        return any(attempt.may_have_run() for attempt in self.attempts)

    def client_is_waiting(self) -> bool:
        """Return whether a response is pending and the client is still connected."""
        return self.response_sink is not None and not self.response_sink.has_disconnected()

    def is_finished(self) -> bool:
        """Return whether no response is pending and no attempt is in flight."""
        return self.response_sink is None and all(attempt.finished for attempt in self.attempts)

    def end_unsent_attempts(self) -> None:
        """If no response is pending any more, end the attempts that are not written yet.

        The balancer decides whether attempts that are already written are cancelled.
        """
        if self.response_sink is None:
            for attempt in tuple(self.attempts):
                if attempt.connection is None:
                    attempt.finish(Outcome.NOT_SENT)

    def serialize(self, timeout: float) -> bytes:
        """Return the request's bytes for a backend.

        Args:
            timeout: Seconds until the proxy stops waiting for the backend's response, sent as `X-Timeout`.
        """
        request = self.request
        assert request is not None, "an attempt was written although no response is pending"
        has_length = request.body or request.method != b"GET"
        length = b"Content-Length: %d\r\n" % len(request.body) if has_length else b""
        return b"%b %b HTTP/1.1\r\n%bX-Timeout: %.3f\r\n%b\r\n%b" % (
            request.method,
            request.target,
            request.forwarded_headers,
            max(timeout, MIN_TIMEOUT),
            length,
            request.body,
        )
