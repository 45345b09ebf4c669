"""The simulator's events as they stand on the wire, and the typed values of the balancer that they mean.

The names of keys and words are the wire's. The readers rely on the types that the wire documents, and check
that required keys are there and that words are known; `Balancer` checks the values of a request.
"""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

from balancer.endpoints import Endpoint, EndpointStatus, UpdateKind
from balancer.events import IncomingRequest, Outcome
from balancer.simulator.errors import UnknownWordError

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
    """Begins a batch of events that happen at one time."""

    m: Literal["Tick"]
    Time: float


class FlushMessage(TypedDict):
    """Ends a batch, whose reply is due then."""

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
    """Kills an instance."""

    m: Literal["Teardown"]
    ProxyId: int


class UpdateMessage(TypedDict):
    """Hands an instance a registered endpoint list, or reports that a poll failed."""

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
    """The response to an attempt of a streamed class has begun."""

    m: Literal["Started"]
    ProxyId: int
    Ref: str
    RoundNo: NotRequired[int]


class IgnoredMessage(TypedDict):
    """The result of a probe, or a message of another instance: this balancer requests neither."""

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
    word = row.get("Readiness", "U")
    status = STATUSES.get(word)
    if status is None:
        raise UnknownWordError(key="Readiness", value=word, wanted=STATUSES)
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
    """Return what a `Members` message is."""
    kind = UPDATE_KINDS.get(message["Mode"])
    if kind is None:
        raise UnknownWordError(key="Mode", value=message["Mode"], wanted=UPDATE_KINDS)
    return kind


def read_request(message: RequestMessage) -> IncomingRequest:
    """Return the request of a `Call` message."""
    # In the order of the fields: with keywords a request takes twice as long to create.
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
        raise UnknownWordError(key="How", value=message["How"], wanted=OUTCOMES)
    return outcome
