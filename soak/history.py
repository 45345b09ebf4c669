"""The history of a run: requests, their arrivals at backends, drains and proxy processes.

`HistoryChecker` reads it after the run has ended. All times are seconds on the machine's monotonic clock,
which is the same for all processes of a run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

NEVER = float("inf")  # the time of an event that has not happened


class RetrySafety(StrEnum):
    """Whether a request of a class may be retried after it may have been executed.

    The values are the words of the settings, and the names of the request classes in the proxies' settings.
    """

    IDEMPOTENT = "retryable"
    KEYED = "dedup"
    NON_IDEMPOTENT = "fragile"


class RequestOutcome(StrEnum):
    """The end of a request as its client observed it."""

    RESPONDED = "responded"
    CONNECTION_CLOSED = "connection_closed"  # the connection ended without a response
    DISCONNECTED = "disconnected"  # the client closed the connection before the response
    TIMED_OUT = "timed_out"  # the client received no complete response before it stopped waiting
    UNSENT = "unsent"  # no connection was established, or it ended before the request was written


class Execution(StrEnum):
    """Whether a backend executed a request that it received."""

    CONFIRMED = "confirmed"  # the backend produced a response
    UNKNOWN = "unknown"  # the backend failed or never responded; the request may have been executed
    NOT_EXECUTED = "not_executed"  # the backend stated that it did not execute the request


@dataclass(slots=True)
class Request:
    """One request as its client observed it.

    Attributes:
        id: The id of the request. A retry by the client has the same id.
        safety: Whether requests of its class may be retried.
        proxy: The number of the proxy that it was sent to.
        timeout: Seconds that the client waits, from `sent_at`.
        began_at: When its first byte was written.
        sent_at: When its client's timeout begins: the same as `began_at`, because the head of the request
            states the timeout.
        new_connection: Whether it was the first request on its connection.
        pipelined: Whether it was sent while an earlier request on its connection had no response.
        response_due_at: When the last earlier request on its connection times out. A proxy sends responses in
            the order of the requests, so this response may be delayed until then.
        ended_at: When its response was complete, its connection ended or its client disconnected.
        outcome: How it ended.
        status: The status of the response; 0 without a response.
        response_began: Whether its client had a part of the response when it disconnected.
        body_is_genuine: Whether the body of a 200 is one that a backend produced for this id.
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
    response_began: bool = False
    body_is_genuine: bool = True


@dataclass(slots=True)
class Arrival:
    """One complete request that a backend received.

    Attributes:
        id: The id of the request.
        proxy: The number of the proxy that forwarded it.
        backend: The backend's name.
        began_at: When its first byte was read.
        received_at: When its last byte was read.
        timeout: The timeout in seconds that the proxy sent with the request.
        execution: Whether the backend executed it.
        has_length: Whether the response had a Content-Length.
        response_completed: Whether the complete response was written and, if it had no Content-Length, the
            connection was closed rather than reset.
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
    """A period in which a backend drains, so that proxies must not forward new requests to it.

    Attributes:
        backend: The backend's name.
        notified_at: When each proxy counts as notified, by the proxy's number.
        ended_at: When a backend with this name was in service again; `NEVER` if that did not happen.
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
        ready_at: When its health check first succeeded; `NEVER` if it did not succeed.
        terminated_at: When SIGTERM was sent; `NEVER` if it was not sent.
        killed_at: When SIGKILL was sent; `NEVER` if it was not sent.
        ended_at: When the process had ended; `NEVER` while it runs.
        exit_code: The exit code; None while the process runs.
        paused: The time spans between SIGSTOP and SIGCONT.
        log: The first lines that the process wrote to standard error.
        memory_limit: The memory in bytes that the process may use.
        peak_resident: The largest resident memory in bytes until the process was stopped.
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
    memory_limit: int = 0
    peak_resident: int = 0


@dataclass(slots=True, frozen=True)
class StalledClient:
    """A client that sent an incomplete request and then nothing more.

    Attributes:
        proxy: The proxy's number.
        stopped_at: When the client sent its last byte.
        ended_at: When the client received an error or its connection ended; `NEVER` if neither happened.
    """

    proxy: int
    stopped_at: float
    ended_at: float


@dataclass(slots=True, frozen=True)
class SchedulingDelay:
    """A delay with which the operating system scheduled a process of the soak test itself.

    Attributes:
        at: When the measurement of the delay began.
        seconds: The length of the delay.
    """

    at: float
    seconds: float


@dataclass(slots=True)
class History:
    """All records of a run.

    Attributes:
        requests: The clients' requests, in the order in which they were created.
        arrivals: The requests that backends received.
        drains: The drains of backends.
        incarnations: The proxies' processes, in the order of their starts.
        stalled_clients: The clients that sent an incomplete request.
        scheduling_delays: The scheduling delays of the soak test's own processes.
        deduplication_window: Seconds for which backends recognise a repeated idempotency key.
    """

    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    incarnations: list[ProxyIncarnation] = field(default_factory=list)
    stalled_clients: list[StalledClient] = field(default_factory=list)
    scheduling_delays: list[SchedulingDelay] = field(default_factory=list)
    deduplication_window: float = 0.0
