"""What a run records of requests, arrivals at backends, endpoint changes and proxies, for the judge.

All times are seconds on the machine's monotonic clock, which all processes of a run share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Safety(StrEnum):
    """How far a request of a class may be repeated once it may have run."""

    IDEMPOTENT = "retryable"
    KEYED = "dedup"
    NON_IDEMPOTENT = "fragile"


class Ending(StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection ended without an answer
    LEFT = "left"  # the client closed first
    NONE = "none"  # nothing came until the client stopped waiting
    UNSENT = "unsent"  # no connection came up, or it ended before the request was written


class Ran(StrEnum):
    """What a backend did with an arrival."""

    YES = "yes"  # it made an answer
    MAYBE = "maybe"  # it failed, or never answered: it may have run
    NEVER = "never"  # it promised that the request did not run


@dataclass(slots=True)
class Request:
    """One request as its client saw it.

    Attributes:
        id: Its id; the same in a request that was sent once more since its connection ended unread.
        safety: How far its class may be repeated.
        proxy: The number of the proxy that it went to.
        timeout: Seconds that the client waits, from `sent_at`.
        began_at: When its first byte was written.
        sent_at: When its last byte was written.
        new_connection: Whether it was the first on its connection.
        pipelined: Whether it was sent behind another one that was unanswered.
        turn_by: When the time of the last one before it on its connection is up: answers come in order.
        ended_at: When its last byte came, or its connection ended, or the client left.
        ending: How it ended.
        status: The answer's status; 0 without one.
        body_is_genuine: Whether a 200's body is one that a backend made for this id.
    """

    id: str
    safety: Safety
    proxy: int
    timeout: float
    began_at: float = 0.0
    sent_at: float = 0.0
    new_connection: bool = False
    pipelined: bool = False
    turn_by: float = 0.0
    ended_at: float = 0.0
    ending: Ending = Ending.UNSENT
    status: int = 0
    body_is_genuine: bool = True


@dataclass(slots=True)
class Arrival:
    """One request that arrived whole at a backend.

    Attributes:
        id: The request's id.
        proxy: The number of the proxy that sent it.
        backend: The backend's name.
        began_at: When its first byte was read.
        at: When its last byte was read.
        timeout: Seconds that the proxy said it would wait.
        ran: What became of it.
        has_length: Whether the answer named its length.
        completed: Whether the whole answer was written and the connection ended in order, where that ends it.
    """

    id: str
    proxy: int
    backend: str
    began_at: float
    at: float
    timeout: float
    ran: Ran = Ran.MAYBE
    has_length: bool = True
    completed: bool = False


@dataclass(slots=True, frozen=True)
class Drain:
    """A backend that wants nothing new.

    Attributes:
        backend: Its name.
        notified_at: For each proxy, by number, when the proxy counts as notified.
        ended_at: When the backend was in service again under this name; infinite if never.
    """

    backend: str
    notified_at: dict[int, float]
    ended_at: float = float("inf")


@dataclass(slots=True, frozen=True)
class Span:
    """A stretch of time."""

    begin: float
    end: float


@dataclass(slots=True)
class ProxyLife:
    """One process of a proxy.

    Attributes:
        proxy: The proxy's number.
        started_at: When the process was started.
        ready_at: When its health check first succeeded; infinite if it never did.
        terminated_at: When SIGTERM was sent; infinite if never.
        killed_at: When SIGKILL was sent; infinite if never.
        ended_at: When it was gone; infinite while it runs.
        exit_code: Its exit code; None while it runs.
        held_up: When it was stopped and went on.
        log: What it wrote to standard error.
        resident: Bytes of memory at the end.
    """

    proxy: int
    started_at: float
    ready_at: float = float("inf")
    terminated_at: float = float("inf")
    killed_at: float = float("inf")
    ended_at: float = float("inf")
    exit_code: int | None = None
    held_up: list[Span] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    resident: int = 0


@dataclass(slots=True, frozen=True)
class BadClient:
    """A client that sent a part of a request and stayed.

    Attributes:
        proxy: The proxy's number.
        stopped_at: When it sent its last byte.
        ended_at: When it got an error or a close; infinite if it never did.
    """

    proxy: int
    stopped_at: float
    ended_at: float


@dataclass(slots=True)
class Recording:
    """All that was recorded in a run.

    Attributes:
        lags: Moments at which the run's own processes were late, and by how many seconds.
    """

    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    lives: list[ProxyLife] = field(default_factory=list)
    bad_clients: list[BadClient] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)
    deduplication_window: float = 0.0
