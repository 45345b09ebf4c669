"""The events of the event log: one type for each event, with the fields of its line.

A line is a JSON object: `at` (the event loop's time in seconds), `event` (the event's name), and the fields
of the type in their order. The names of events and fields are the interface to tools that read the log;
`event_log` writes the lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from proxy.discovery.logged_events import EndpointsUpdated, WatchClosed, WatchOpened, WatchResponded
from proxy.event_names import Event


@dataclass(slots=True, kw_only=True)
class Started:
    """The proxy is about to accept connections; all sizes are in bytes.

    Attributes:
        memory_limit: The memory that the process may use.
        resident: The memory that it uses before it serves any request.
        memory_for_peers: The limit on what is buffered for clients and backends.
        fair_share: The part of it that each client's connection may always use.
    """

    event: ClassVar = Event.STARTED
    memory_limit: int
    resident: int
    memory_for_peers: int
    fair_share: int


@dataclass(slots=True, kw_only=True)
class RequestReceived:
    """A client's request was accepted.

    Attributes:
        id: The client's request id.
        class_name: The name of its class.
        deadline: The event loop's time in seconds by which the response has to be written.
    """

    event: ClassVar = Event.REQUEST_RECEIVED
    id: str
    class_name: str
    deadline: float


@dataclass(slots=True, kw_only=True)
class AttemptStarted:
    """An attempt was started; it has no connection yet.

    Attributes:
        id: The client's request id.
        attempt: The number of the attempt, counted from 0 for each request.
        endpoint: The backend's address, as `host:port`.
    """

    event: ClassVar = Event.ATTEMPT_STARTED
    id: str
    attempt: int
    endpoint: str


@dataclass(slots=True, kw_only=True)
class AttemptRejected:
    """An attempt was not written, because it was no longer allowed when its connection was ready.

    Attributes:
        id: The client's request id.
        attempt: The number of the attempt.
        reason: A value of `balancer.events.SendRejection`.
    """

    event: ClassVar = Event.ATTEMPT_REJECTED
    id: str
    attempt: int
    reason: str


@dataclass(slots=True, kw_only=True)
class AttemptWritten:
    """The request was written to a backend.

    Attributes:
        id: The client's request id.
        attempt: The number of the attempt.
        timeout: Seconds, as sent to the backend in `X-Timeout`.
    """

    event: ClassVar = Event.ATTEMPT_WRITTEN
    id: str
    attempt: int
    timeout: float


@dataclass(slots=True, kw_only=True)
class AttemptFinished:
    """An attempt ended.

    Attributes:
        id: The client's request id.
        attempt: The number of the attempt.
        outcome: A value of `balancer.events.Outcome`.
    """

    event: ClassVar = Event.ATTEMPT_FINISHED
    id: str
    attempt: int
    outcome: str


@dataclass(slots=True, kw_only=True)
class ResponseSent:
    """The final response to a request was sent.

    Attributes:
        id: The client's request id.
        status: The status code of the response.
        reason: A value of `balancer.events.RejectReason` if the balancer rejected the request, else empty.
    """

    event: ClassVar = Event.RESPONSE_SENT
    id: str
    status: int
    reason: str


@dataclass(slots=True, kw_only=True)
class ClientDisconnected:
    """A client disconnected before its response was sent.

    Attributes:
        id: The client's request id.
    """

    event: ClassVar = Event.CLIENT_DISCONNECTED
    id: str


@dataclass(slots=True, kw_only=True)
class RequestRejected:
    """A connection rejected a request by itself; the balancer was not asked.

    Attributes:
        id: The client's request id; empty if it was not received.
        status: The status code of the response.
        reason: The reason, which is also the body of the response.
    """

    event: ClassVar = Event.REQUEST_REJECTED
    id: str
    status: int
    reason: str


@dataclass(slots=True, kw_only=True)
class ConnectionClosed:
    """The proxy closed a client's connection.

    Attributes:
        reason: A value of `proxy.downstream.connection_state.CloseReason`.
        state: The name of the `ConnectionState` that the connection was in.
        queued: The number of requests and errors that waited for their turn on it.
        unwritten: Bytes of responses that were not written yet.
        peer: The client's address and port.
    """

    event: ClassVar = Event.CONNECTION_CLOSED
    reason: str
    state: str
    queued: int
    unwritten: int
    peer: str


@dataclass(slots=True, kw_only=True)
class ShutdownStarted:
    """SIGTERM or SIGINT was received: the graceful shutdown begins."""

    event: ClassVar = Event.SHUTDOWN


@dataclass(slots=True, kw_only=True)
class ViolationFound:
    """A run-time check found that an invariant was violated.

    Attributes:
        rule: A value of `proxy.invariants.Invariant`.
        id: The client's request id.
    """

    event: ClassVar = Event.VIOLATION
    rule: str
    id: str


@dataclass(slots=True, kw_only=True)
class LinesDropped:
    """Lines of this log were dropped, because there were too many or a write failed.

    This line has no `at`. It is written with the next flush that succeeds, after the lines of that flush.

    Attributes:
        lines: The number of dropped lines.
    """

    event: ClassVar = Event.DROPPED
    lines: int


LoggedEvent = (
    Started
    | RequestReceived
    | AttemptStarted
    | AttemptRejected
    | AttemptWritten
    | AttemptFinished
    | ResponseSent
    | RequestRejected
    | ClientDisconnected
    | ConnectionClosed
    | EndpointsUpdated
    | WatchOpened
    | WatchResponded
    | WatchClosed
    | ShutdownStarted
    | ViolationFound
)
