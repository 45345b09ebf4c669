"""The types of the balancer's events and actions.

Times are in seconds on the caller's clock, timeouts are durations in seconds. The attempts of a request are
numbered from 0, in the order of their `StartAttempt` actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balancer.endpoints import EndpointId

RequestId = str


class Outcome(Enum):
    """How an attempt ended.

    OVERLOADED means that the endpoint rejected the request and did not process it. UNREACHABLE means that no
    connection was established, CONNECTION_LOST that the connection broke while the request was open.
    CANCELLED and NOT_SENT are not failures of the endpoint: the attempt was cancelled, or never written.
    """

    SUCCESS = "success"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    # Members are singletons. The hash of Enum is a slow Python function, and each attempt needs it twice.
    __hash__ = object.__hash__


#: Outcomes that prove that the endpoint did not execute the request.
NOT_EXECUTED_OUTCOMES = frozenset({Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class SendRejection(Enum):
    """Why an attempt that was started may not be written to its endpoint any more.

    ENDPOINT_NOT_IN_SERVICE: the endpoint is draining or removed. ENDPOINT_RESTARTED: another process runs
    there now. MISPLACED: the settings no longer allow this endpoint for the class. HEDGING_FORBIDDEN: a
    second open attempt is no longer allowed. REPEAT_FORBIDDEN: a retry is no longer allowed, because an
    earlier attempt may have been executed.
    """

    CLIENT_DISCONNECTED = "client_disconnected"
    REQUEST_ENDED = "request_ended"
    DEADLINE_PASSED = "deadline_passed"
    ENDPOINT_NOT_IN_SERVICE = "endpoint_not_in_service"
    ENDPOINT_RESTARTED = "endpoint_restarted"
    MISPLACED = "misplaced"
    HEDGING_FORBIDDEN = "hedging_forbidden"
    REPEAT_FORBIDDEN = "repeat_forbidden"


class RejectReason(Enum):
    """Why a request is rejected."""

    NO_TIME = "no_time"  # its work needs more time than it has left
    PENDING = "pending"  # too many requests are pending for the rate at which they are served
    LATENCY = "latency"  # shed at random, because the expected wait is far above the latency baseline
    THROTTLED = "throttled"  # shed at random, because requests fail (adaptive throttling)
    NO_ENDPOINT = "no_endpoint"  # no endpoint is ready, or the breakers of all candidates reject it
    ATTEMPTS_FAILED = "attempts_failed"  # all attempts failed, and no further retry is allowed


@dataclass(slots=True)
class IncomingRequest:
    """A new request, as the caller of `Balancer.on_request` describes it; the balancer never changes it.

    It is not frozen because a frozen dataclass takes more than twice as long to create, for each request.

    Attributes:
        request_id: Its id, unique among the open requests.
        class_index: Its class, as an index into `Settings.classes`.
        tenant: Its tenant, as an index into `Settings.tenants`; 0 where there are none.
        deadline: When its client gives up, in seconds on the caller's clock; None: the class's deadline,
            counted from now.
        cost: The work that it is expected to need, in a unit that all requests share; 0: not known.
        is_retry: Whether the client has marked it as a retry.
    """

    request_id: RequestId
    class_index: int = 0
    tenant: int = 0
    deadline: float | None = None
    cost: float = 0.0
    is_retry: bool = False


@dataclass(slots=True)
class MisplacedAttempt:
    """An open attempt at an endpoint that new settings no longer allow for its request.

    Attributes:
        request: The id of its request.
        attempt: Its number among the attempts of the request, counted from 0.
    """

    request: RequestId
    attempt: int


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an endpoint.

    Attributes:
        request: The id of the request.
        endpoint: The id of the endpoint.
        timeout: How long to wait for the response, in seconds from now; 0: until the client gives up.
    """

    request: RequestId
    endpoint: EndpointId
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Give the final response "rejected": the client may safely retry the request.

    Attributes:
        request: The id of the request.
        retry_after: How many seconds the client should wait before it retries; 0: no advice.
        reason: Why the request is rejected, for the log.
    """

    request: RequestId
    retry_after: float = 0.0
    reason: RejectReason = field(default=RejectReason.ATTEMPTS_FAILED, compare=False)


@dataclass(slots=True)
class Fail:
    """Give the final response "failed"; the request may or may not have been executed."""

    request: RequestId


@dataclass(slots=True)
class CancelAttempt:
    """Cancel one attempt.

    Attributes:
        request: The id of the request.
        attempt: The number of the attempt.
    """

    request: RequestId
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Call `Balancer.on_timer(now, token)` at `at` or soon after.

    Attributes:
        at: When the timer is due, in seconds on the caller's clock.
        token: Identifies the timer.
    """

    at: float
    token: int


@dataclass(slots=True)
class PollEndpoints:
    """Subscribe to changes of the endpoint list at discovery from now on."""


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | PollEndpoints
