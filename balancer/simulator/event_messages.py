"""The messages of events from the simulator, and their conversion to the balancer's types.

The names of keys and values are those of the simulator's protocol. The readers check that required keys are
present and that enumerated values are known. They rely on the types of the other values; `Balancer` checks
the values of a request.
"""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import IncomingRequest, Outcome
from balancer.simulator.errors import UnknownValueError

STATUSES = {"U": EndpointStatus.UP, "L": EndpointStatus.DRAINING, "D": EndpointStatus.REMOVED}
UPDATE_KINDS = {
    "stale_copy": UpdateKind.CACHED,
    "whole": UpdateKind.SNAPSHOT,
    "patch": UpdateKind.DELTA,
    "broken": UpdateKind.FAILED,
}
OUTCOMES = {
    "success": Outcome.SUCCESS,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.OVERLOADED,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.CONNECTION_LOST,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_SENT,
}


class TickMessage(TypedDict):
    """Starts a batch of events that happen at the same time."""

    m: Literal["Tick"]
    Time: float


class FlushMessage(TypedDict):
    """Ends a batch and requests the reply to it."""

    m: Literal["Flush"]


class EndpointRow(TypedDict):
    """One entry of an endpoint list."""

    Backend: int
    Readiness: NotRequired[str]
    FailureDomain: NotRequired[int]
    Cluster: NotRequired[int]
    Units: NotRequired[float]
    StartTime: NotRequired[float]
    Hw: NotRequired[int]


class RegisterMessage(TypedDict):
    """Defines a numbered endpoint list, which all instances of the process share."""

    m: Literal["Register"]
    List: int
    Rows: NotRequired[list[EndpointRow]]


class OpenMessage(TypedDict):
    """Starts an instance."""

    m: Literal["OpenInstance"]
    ProxyId: int
    Entropy: NotRequired[int]
    Settings: NotRequired[dict[str, object]]


class CloseMessage(TypedDict):
    """Ends an instance without a graceful shutdown."""

    m: Literal["Teardown"]
    ProxyId: int


class UpdateMessage(TypedDict):
    """Gives a registered endpoint list to an instance, or reports that a poll failed."""

    m: Literal["Members"]
    ProxyId: int
    Mode: str
    List: int


class RequestMessage(TypedDict):
    """A new request."""

    m: Literal["Call"]
    ProxyId: int
    Ref: str
    Kind: NotRequired[int]
    ClientGroup: NotRequired[int]
    Deadline: NotRequired[float]
    Effort: NotRequired[float]
    Retry: NotRequired[bool]


class OutcomeMessage(TypedDict):
    """How an attempt ended."""

    m: Literal["Returned"]
    ProxyId: int
    Ref: str
    How: str
    RoundNo: NotRequired[int]
    CostTime: NotRequired[float]
    Last: NotRequired[bool]


class TimerMessage(TypedDict):
    """A timer of the instance is due."""

    m: Literal["Wake"]
    ProxyId: int
    Tag: int


class DisconnectMessage(TypedDict):
    """The client of a request has disconnected."""

    m: Literal["Aborted"]
    ProxyId: int
    Ref: str


class ResponseStartMessage(TypedDict):
    """The response to an attempt of a streamed class has started."""

    m: Literal["Started"]
    ProxyId: int
    Ref: str
    RoundNo: NotRequired[int]


class IgnoredMessage(TypedDict):
    """The result of a probe, or a message of another instance; this balancer uses neither."""

    m: Literal["PingResult", "NeighbourSays"]
    ProxyId: int


InstanceMessage = (
    RequestMessage
    | OutcomeMessage
    | TimerMessage
    | DisconnectMessage
    | ResponseStartMessage
    | UpdateMessage
    | CloseMessage
    | IgnoredMessage
)
EventMessage = RegisterMessage | OpenMessage | InstanceMessage
Message = TickMessage | FlushMessage | EventMessage


def read_endpoint(row: EndpointRow) -> Endpoint:
    """Return one entry of a `Register` message."""
    readiness = row.get("Readiness", "U")
    status = STATUSES.get(readiness)
    if status is None:
        raise UnknownValueError(key="Readiness", value=readiness, expected=STATUSES)
    return Endpoint(
        id=row["Backend"],
        status=status,
        zone=row.get("FailureDomain", 0),
        cell=row.get("Cluster", 0),
        size=row.get("Units", 1.0),
        started=row.get("StartTime", 0.0),
        machine_type=row.get("Hw", 0),
    )


def read_update_kind(message: UpdateMessage) -> UpdateKind:
    """Return the kind of update of a `Members` message."""
    kind = UPDATE_KINDS.get(message["Mode"])
    if kind is None:
        raise UnknownValueError(key="Mode", value=message["Mode"], expected=UPDATE_KINDS)
    return kind


def read_request(message: RequestMessage) -> IncomingRequest:
    """Return the request of a `Call` message."""
    # Positional, in the order of the fields: with keyword arguments this takes twice as long.
    return IncomingRequest(
        message["Ref"],
        message.get("Kind", 0),
        message.get("ClientGroup", 0),
        message.get("Deadline"),
        message.get("Effort", 0.0),
        message.get("Retry", False),
    )


def read_outcome(message: OutcomeMessage) -> Outcome:
    """Return the outcome of a `Returned` message."""
    outcome = OUTCOMES.get(message["How"])
    if outcome is None:
        raise UnknownValueError(key="How", value=message["How"], expected=OUTCOMES)
    return outcome
