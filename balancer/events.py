"""The types of the balancer's events and actions: requests, outcomes of attempts, and what to do about them.

Times are seconds on the caller's clock, timeouts are durations in seconds. The attempts of a request are
numbered from 0, in the order of their `StartAttempt`.
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

    OVERLOADED is an answer by which the endpoint rejected the request unprocessed. UNREACHABLE means that
    no connection was established, CONNECTION_LOST that one broke while the request was open. CANCELLED and
    NOT_SENT are no failure of the endpoint: the attempt was cancelled, or never written.
    """

    SUCCESS = "success"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    # Members are singletons. Enum's own hash is a Python function, which each attempt would call twice.
    __hash__ = object.__hash__


#: Outcomes that prove that the endpoint did no work for the attempt.
NOT_EXECUTED_OUTCOMES = frozenset({Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class SendRejection(Enum):
    """Why an attempt that was started may not be written to its endpoint any more.

    ENDPOINT_NOT_IN_SERVICE: it drains or was removed. ENDPOINT_RESTARTED: another process runs there now.
    MISPLACED: the settings no longer allow the class that endpoint. HEDGING_FORBIDDEN and REPEAT_FORBIDDEN: a
    second attempt at the same time, or after one that may have run, is no longer allowed.
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

    NO_TIME = "no_time"  # it can not be served in the time that is left
    PENDING = "pending"  # too many requests are pending for the rate at which they are served
    LATENCY = "latency"  # shed by chance, as latency has left its baseline
    THROTTLED = "throttled"  # shed by chance, as requests fail (adaptive throttling)
    NO_ENDPOINT = "no_endpoint"  # no endpoint is ready, or the breakers of the candidates reject
    ATTEMPTS_FAILED = "attempts_failed"  # each attempt failed, and none may follow


@dataclass(slots=True)
class IncomingRequest:
    """A new request, as the caller of `Balancer.on_request` describes it; the balancer never changes it.

    Not frozen: a frozen dataclass takes more than twice as long to create, and each request needs one.

    Attributes:
        request_id: Its id, which no open request has.
        class_index: Its class, as an index into `Settings.classes`.
        tenant: Its tenant, as an index into `Settings.tenants`; 0 where there are none.
        deadline: When its client gives up, in seconds on the caller's clock; None: a class deadline from now.
        cost: The work that it is expected to need, in any unit that all requests share; 0: not known.
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
    """An open attempt at an endpoint that new settings do not allow its request; see `Balancer.reconfigure`.

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
        timeout: When to give the attempt up, in seconds from now; 0: when the client gives up.
    """

    request: RequestId
    endpoint: EndpointId
    timeout: float = 0.0


@dataclass(slots=True)
class Reject:
    """Give the final answer "rejected": the client may repeat the request without harm.

    Attributes:
        request: The id of the request.
        retry_after: How many seconds the client should stay away; 0: no advice.
        reason: Why it is rejected, for the log.
    """

    request: RequestId
    retry_after: float = 0.0
    reason: RejectReason = field(default=RejectReason.ATTEMPTS_FAILED, compare=False)


@dataclass(slots=True)
class Fail:
    """Give the final answer "failed", which promises nothing about whether the request ran."""

    request: RequestId


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt.

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
        at: When the timer is due.
        token: What the balancer recognises the timer by.
    """

    at: float
    token: int


@dataclass(slots=True)
class PollEndpoints:
    """Subscribe to changes of the endpoint list at discovery from now on."""


Action = StartAttempt | Reject | Fail | CancelAttempt | SetTimer | PollEndpoints
