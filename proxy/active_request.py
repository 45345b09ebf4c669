"""One request that the proxy has accepted, until its final answer is sent and its attempts have finished.

It owns what is known of that request: where its answer goes, its deadlines, and its attempts so far. It does
not decide what happens to the request, and sends nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balancer.events import Outcome
from balancer.reconfiguration import restrict_class
from balancer.settings import Idempotency, RequestClass

if TYPE_CHECKING:
    import asyncio

    from proxy.downstream.request_parser import ClientRequest
    from proxy.response_sink import ResponseSink
    from proxy.upstream import UpstreamAttempt

MIN_TIMEOUT = 0.001  # seconds: the smallest timeout that three decimals can express


class ActiveRequest:
    """A request with a pending answer or with attempts in flight.

    Attributes:
        request_id: The id that the balancer knows it by, unique in this process.
        client_request_id: The id that the client gave it.
        request: What the client sent.
        request_class: Its class when it was admitted, narrowed by later settings.
        response_sink: Where the final answer goes; None once it is sent or no longer wanted.
        client_deadline: The event loop's time until which the client waits.
        deadline: The event loop's time by which the answer has to be written.
        attempts: All its attempts, in the order in which they were started.
        last_outcome: How its latest attempt ended.
        deadline_timer: Fires at the deadline.
    """

    __slots__ = (
        "attempts",
        "client_deadline",
        "client_request_id",
        "response_sink",
        "deadline",
        "deadline_timer",
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
        self.request = request
        self.request_class = request_class
        self.response_sink: ResponseSink | None = response_sink
        self.client_deadline = client_deadline
        self.deadline = deadline
        self.attempts: list[UpstreamAttempt] = []
        self.last_outcome = Outcome.NOT_SENT
        self.deadline_timer: asyncio.TimerHandle | None = None

    @property
    def logged_id(self) -> str:
        """The client's request id, as text for the event log."""
        return self.client_request_id.decode("latin-1")

    @property
    def is_retryable(self) -> bool:
        """Whether the request may run more than once."""
        return self.request_class.idempotency is not Idempotency.NON_IDEMPOTENT

    def narrow_class(self, request_class: RequestClass) -> None:
        """Restrict the class to what both it and the class of new settings allow."""
        self.request_class = restrict_class(self.request_class, request_class)
        if not self.is_retryable:
            for attempt in self.attempts:
                attempt.forbid_retry()

    def client_is_waiting(self) -> bool:
        """Return whether an answer is pending and the client is still connected."""
        return self.response_sink is not None and not self.response_sink.has_disconnected()

    def is_finished(self) -> bool:
        """Return whether no answer is pending and no attempt is in flight."""
        return self.response_sink is None and all(attempt.finished for attempt in self.attempts)

    def end_unsent_attempts(self) -> None:
        """End the attempts that are not written yet if the request is settled.

        The balancer decides whether those that are written already are cancelled.
        """
        if self.response_sink is None:
            for attempt in tuple(self.attempts):
                if attempt.connection is None:
                    attempt.finish(Outcome.NOT_SENT)

    def serialize(self, timeout: float) -> bytes:
        """Return the bytes of the request as it is sent to a backend.

        Args:
            timeout: Seconds until the proxy stops waiting for the backend's response.
        """
        request = self.request
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
