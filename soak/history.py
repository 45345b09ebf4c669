"""The history of a run: requests, their arrivals at backends, drains and proxy processes.

`HistoryChecker` reads it once the run has ended. All times are seconds on the machine's monotonic clock,
which all processes of a run share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

NEVER = float("inf")  # the time of an event that has not happened


class RetrySafety(StrEnum):
    """How far a request of a class may be retried once it may have been executed.

    The values are the protocol's words, and the names of the request classes in the proxies' settings.
    """

    IDEMPOTENT = "retryable"
    KEYED = "dedup"
    NON_IDEMPOTENT = "fragile"


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    RESPONDED = "responded"
    CONNECTION_CLOSED = "connection_closed"  # the connection ended without a response
    DISCONNECTED = "disconnected"  # the client closed the connection before the response
    TIMED_OUT = "timed_out"  # nothing was received before the client's timeout
    UNSENT = "unsent"  # no connection was established, or it ended before the request was written


class Execution(StrEnum):
    """Whether a backend executed a request that it received."""

    CONFIRMED = "confirmed"  # it produced a response
    UNKNOWN = "unknown"  # it failed or never responded: the request may have been executed
    NOT_EXECUTED = "not_executed"  # it stated that the request was not executed


@dataclass(slots=True)
class Request:
    """One request as its client saw it.

    Attributes:
        id: The request's id; a retry after an unread request's connection ended has the same id.
        safety: How far its class may be retried.
        proxy: The number of the proxy that it was sent to.
        timeout: Seconds that the client waits, from `sent_at`.
        began_at: When its first byte was written.
        sent_at: When its last byte was written.
        new_connection: Whether it was the first request on its connection.
        pipelined: Whether it was sent while an earlier request on its connection had no response yet.
        response_due_at: When the last earlier request on its connection times out. Responses are sent in the
            order of the requests, so its own response may have to wait until then.
        ended_at: When its response was complete, its connection ended or its client disconnected.
        outcome: How it ended.
        status: The response's status; 0 without a response.
        body_is_genuine: Whether a 200's body is one that a backend produced for this id.
    """

    id: str
    safety: RetrySafety
    proxy: int
    timeout: float
    began_at: float = 0.0
    sent_at: float = 0.0
    new_connection: bool = False
    pipelined: bool = False
    response_due_at: float = 0.0
    ended_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.UNSENT
    status: int = 0
    body_is_genuine: bool = True


@dataclass(slots=True)
class Arrival:
    """One request that a backend received completely.

    Attributes:
        id: The request's id.
        proxy: The number of the proxy that forwarded it.
        backend: The backend's name.
        began_at: When its first byte was read.
        received_at: When its last byte was read.
        timeout: Seconds that the proxy gave as the time it would wait.
        execution: Whether the backend executed it.
        has_length: Whether the response had a Content-Length.
        response_completed: Whether the response was written completely and, where it had no Content-Length,
            the connection was closed rather than reset.
    """

    id: str
    proxy: int
    backend: str
    began_at: float
    received_at: float
    timeout: float
    execution: Execution = Execution.UNKNOWN
    has_length: bool = True
    response_completed: bool = False


@dataclass(slots=True, frozen=True)
class Drain:
    """A period in which a backend is draining: no new requests may be forwarded to it.

    Attributes:
        backend: The backend's name.
        notified_at: For each proxy, by number, when it counts as notified.
        ended_at: When a backend was in service again under this name; `NEVER` if none was.
    """

    backend: str
    notified_at: dict[int, float]
    ended_at: float = NEVER


@dataclass(slots=True, frozen=True)
class TimeSpan:
    """A span of time, from `begin` to `end`."""

    begin: float
    end: float


@dataclass(slots=True)
class ProxyIncarnation:
    """One process of a proxy, from its start to its end.

    Attributes:
        proxy: The proxy's number.
        started_at: When the process was started.
        ready_at: When its health check first succeeded; `NEVER` if it did not.
        terminated_at: When SIGTERM was sent; `NEVER` if it was not.
        killed_at: When SIGKILL was sent; `NEVER` if it was not.
        ended_at: When the process had ended; `NEVER` while it runs.
        exit_code: Its exit code; None while it runs.
        paused: The spans between SIGSTOP and SIGCONT.
        log: The first lines that it wrote to standard error.
        resident: Resident memory in bytes just before it was stopped.
    """

    proxy: int
    started_at: float
    ready_at: float = NEVER
    terminated_at: float = NEVER
    killed_at: float = NEVER
    ended_at: float = NEVER
    exit_code: int | None = None
    paused: list[TimeSpan] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    resident: int = 0


@dataclass(slots=True, frozen=True)
class StalledClient:
    """A client that sent a part of a request and then nothing more.

    Attributes:
        proxy: The proxy's number.
        stopped_at: When it sent its last byte.
        ended_at: When it received an error or its connection ended; `NEVER` if neither happened.
    """

    proxy: int
    stopped_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class SchedulingDelay:
    """A moment at which a process of the run itself was scheduled late.

    Attributes:
        at: When it should have run.
        seconds: By how much it was late.
    """

    at: float
    seconds: float


@dataclass(slots=True)
class History:
    """Everything recorded in a run.

    Attributes:
        requests: The clients' requests, in the order in which they were created.
        arrivals: The requests that backends received.
        drains: The drains of backends.
        incarnations: The proxies' processes, in the order of their starts.
        stalled_clients: The clients that sent a part of a request.
        scheduling_delays: When the run's own processes were late.
        deduplication_window: Seconds for which backends recognise the repeat of an idempotency key.
    """

    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    incarnations: list[ProxyIncarnation] = field(default_factory=list)
    stalled_clients: list[StalledClient] = field(default_factory=list)
    scheduling_delays: list[SchedulingDelay] = field(default_factory=list)
    deduplication_window: float = 0.0
