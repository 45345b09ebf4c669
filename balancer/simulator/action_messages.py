"""The messages of actions to the simulator, and their conversion from the balancer's actions."""

from __future__ import annotations

from typing import Literal, TypedDict

from balancer.events import Action, CancelAttempt, Fail, PollEndpoints, Reject, SetTimer, StartAttempt


class StartMessage(TypedDict):
    """Starts an attempt."""

    m: Literal["Relay"]
    ProxyId: int
    Ref: str
    Backend: int
    Within: float


class RejectMessage(TypedDict):
    """Final response: rejected, the client may safely retry the request."""

    m: Literal["NotNow"]
    ProxyId: int
    Ref: str
    NotBeforeFor: float


class FailMessage(TypedDict):
    """Final response: failed."""

    m: Literal["ReportFailure"]
    ProxyId: int
    Ref: str


class CancelMessage(TypedDict):
    """Cancels an attempt."""

    m: Literal["UndoSend"]
    ProxyId: int
    Ref: str
    RoundNo: int


class SetTimerMessage(TypedDict):
    """Sets a timer."""

    m: Literal["Sleep"]
    ProxyId: int
    When: float
    Tag: int


class PollMessage(TypedDict):
    """Subscribes to changes of the endpoint list."""

    m: Literal["Watch"]
    ProxyId: int
    Want: bool


class BailOutMessage(TypedDict):
    """Reports a defect of the balancer, or a message with invalid values."""

    m: Literal["BailOut"]
    ProxyId: int
    NoteText: str


ActionMessage = StartMessage | RejectMessage | FailMessage | CancelMessage | SetTimerMessage | PollMessage


def write_action(instance: int, action: Action) -> ActionMessage:
    """Return the message for one action; the order of its keys is part of the protocol.

    Args:
        instance: The number of the instance whose balancer returned the action.
        action: The action.
    """
    if isinstance(action, StartAttempt):
        return {
            "m": "Relay",
            "ProxyId": instance,
            "Ref": action.request,
            "Backend": action.endpoint,
            "Within": action.timeout,
        }
    if isinstance(action, Reject):
        return {
            "m": "NotNow",
            "ProxyId": instance,
            "Ref": action.request,
            "NotBeforeFor": action.retry_after,
        }
    if isinstance(action, Fail):
        return {"m": "ReportFailure", "ProxyId": instance, "Ref": action.request}
    if isinstance(action, CancelAttempt):
        return {"m": "UndoSend", "ProxyId": instance, "Ref": action.request, "RoundNo": action.attempt}
    if isinstance(action, SetTimer):
        return {"m": "Sleep", "ProxyId": instance, "When": action.at, "Tag": action.token}
    assert isinstance(action, PollEndpoints)
    return {"m": "Watch", "ProxyId": instance, "Want": True}


def write_bail_out(instance: int, error: Exception) -> BailOutMessage:
    """Return the report that a message for an instance caused an error."""
    return {"m": "BailOut", "ProxyId": instance, "NoteText": f"{type(error).__name__}: {error}"}
